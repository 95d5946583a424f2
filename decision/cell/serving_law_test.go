package cell

import (
	"fmt"
	"math"
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
)

// atWork reports whether a serving run has finished its start.
func (r *simRun) atWork(now time.Duration) bool {
	return r.stopsAt == 0 && now-r.startedAt >= 500*time.Millisecond
}

// swing is the load of the users of a serving job relative to its mean.
func (j *simJob) swing(now time.Duration) float64 {
	return 1 + 0.5*math.Sin(2*math.Pi*now.Seconds()/10+j.phase)
}

// work lets the runs of a server proceed for one tick.
func (s *servingSim) work(w *simServer) {
	guaranteed, wanted := 0.0, 0.0
	for _, r := range w.runs {
		switch need := float64(r.step.Need.MilliCPU); {
		case r.job.serving:
			guaranteed += need * 0.55 * r.job.swing(s.now)
		case r.job.best:
			wanted += need * float64(r.speed) / fullSpeed
		default:
			guaranteed += need
		}
	}
	scale := min(1, max(0, float64(w.milliCPU)-guaranteed)/max(1, wanted))
	for _, r := range w.runs {
		if r.job.serving {
			s.measure(w, r, scale)
		}
	}
	for _, r := range slices.Clone(w.runs) {
		done := simTick.Seconds()
		if r.job.best {
			done *= scale * float64(r.speed) / fullSpeed
			s.result.batchWork += done * float64(r.step.Need.MilliCPU) / milliCPUPerCore
		}
		r.done += done
		if r.step.Checkpoints {
			r.saved = max(r.saved, math.Floor(r.done/simCheckpoint)*simCheckpoint)
		}
		switch {
		case r.stopsAt > 0 && s.now >= r.stopsAt:
			s.end(r, job.EndStopped)
		case !r.job.serving && r.done >= r.step.Estimate.Seconds():
			s.end(r, job.EndDone)
		}
	}
}

// measure computes the tail latency of a serving run, with and without the
// best-effort tasks beside it. It is that of an idle task divided by one less the
// load.
func (s *servingSim) measure(w *simServer, r *simRun, scale float64) {
	alone := 0.42 * r.job.swing(s.now)
	added := 0.0
	for _, other := range w.runs {
		share := float64(other.step.Need.MilliCPU) / float64(w.milliCPU)
		switch {
		case other.job.serving:
			alone += s.neighbour[r.job.image][other.job.image] * share * 0.55 * other.job.swing(s.now)
		case other.job.best:
			added += s.pressures[r.job.image][s.batchImage(other)] * share * scale * float64(other.speed) / fullSpeed
		}
	}
	r.tails[r.ticks%simWindow] = simIdle / (1 - min(alone+added, maxLoad))
	r.tailsAlone[r.ticks%simWindow] = simIdle / (1 - min(alone, maxLoad))
	r.ticks++
}

func (s *servingSim) batchImage(r *simRun) (image int) {
	_, _ = fmt.Sscanf(r.step.Image, "batch-%d", &image)
	return image
}

// mean returns the mean of the tails that have been measured.
func (r *simRun) mean(tails *[simWindow]float64) float64 {
	sum, n := 0.0, min(r.ticks, simWindow)
	for _, tail := range tails[:n] {
		sum += tail
	}
	return sum / float64(max(1, n))
}

func (s *servingSim) end(r *simRun, end job.End) {
	w := r.server
	w.runs = slices.DeleteFunc(w.runs, func(other *simRun) bool { return other == r })
	w.ends++
	row := FinishedRow{Number: w.ends, Task: r.key.task, Attempt: r.key.attempt, End: end}
	if r.saved > 0 {
		row.Checkpoint = fmt.Sprint(r.saved)
	}
	w.finished = append(w.finished, row)
}

// answerHolds answers the holds whose wait is over or whose server has ends to list.
func (s *servingSim) answerHolds() {
	for _, h := range takeActions[Hold](s.fixture) {
		s.held = append(s.held, simHold{h, s.now})
	}
	held := s.held
	s.held = nil
	for _, h := range held {
		w := s.byID[h.hold.Server]
		if w.silent {
			if s.now-h.at < time.Second+h.hold.Wait {
				s.held = append(s.held, h)
			} else {
				s.handle(HoldAnswered{Server: w.id, Number: h.hold.Number, Sent: h.at})
			}
			continue
		}
		w.finished = slices.DeleteFunc(w.finished, func(row FinishedRow) bool { return row.Number <= h.hold.Ack })
		if s.now-h.at < simTick || len(w.finished) == 0 && s.now-h.at < h.hold.Wait {
			s.held = append(s.held, h)
			continue
		}
		s.handle(HoldAnswered{
			Server: w.id, Number: h.hold.Number, Sent: h.at, OK: true, Incarnation: 1, Clock: s.now,
			Running: s.rows(w), Finished: slices.Clone(w.finished),
		})
	}
}

func (s *servingSim) rows(w *simServer) []RunningRow {
	rows := make([]RunningRow, 0, len(w.runs))
	for _, r := range w.runs {
		row := RunningRow{Task: r.key.task, Attempt: r.key.attempt, Percent: fullSpeed, Measurement: int(r.step.Need.MilliCPU)}
		switch {
		case !r.job.serving:
			row.Percent = int(100 * r.done / r.step.Estimate.Seconds())
			if r.saved > 0 {
				row.Checkpoint = fmt.Sprint(r.saved)
			}
		case !r.atWork(s.now):
			row.Percent = 50
		default:
			row.Measurement = int(math.Round(r.mean(&r.tails) * (1 + 0.05*(2*s.noise.Float64()-1))))
		}
		rows = append(rows, row)
	}
	return rows
}

func (r *servingResult) add(other servingResult) {
	r.units, r.served, r.value = r.units+other.units, r.served+other.served, r.value+other.value
	r.batch, r.batchAll, r.batchWork = r.batch+other.batch, r.batchAll+other.batchAll, r.batchWork+other.batchWork
	r.longest = max(r.longest, other.longest)
	r.over, r.overSelf, r.down, r.stops = r.over+other.over, r.overSelf+other.overSelf, r.down+other.down, r.stops+other.stops
}

// meanValue is the mean value of a serving unit, from 0 to 1.
func (r *servingResult) meanValue() float64 { return r.value / float64(r.units) }

// countUnits adds a tick to the units of the serving jobs. A task over its target
// counts as not at work, four times if best-effort tasks are the cause.
func (s *servingSim) countUnits() {
	lost := map[*simJob]float64{}
	atWork := map[*simJob]int{}
	target := float64(simTarget.Milliseconds())
	for _, w := range s.servers {
		for _, r := range w.runs {
			if !r.job.serving || !r.atWork(s.now) {
				continue
			}
			atWork[r.job]++
			if r.mean(&r.tails) <= target || r.mean(&r.tailsAlone) > target {
				r.metAt = s.now
			}
			s.result.longest = max(s.result.longest, s.now-r.metAt)
			if r.mean(&r.tails) <= target {
				continue
			}
			s.result.over += simTick.Seconds()
			if r.mean(&r.tailsAlone) > target {
				s.result.overSelf += simTick.Seconds()
				lost[r.job]++
			} else {
				lost[r.job] += 4
			}
		}
	}
	for _, j := range s.order {
		if !j.serving || j.until < 0 || s.now < s.begin || s.now-j.acceptAt < 3*time.Second {
			continue
		}
		s.result.down += float64(simServingTasks-atWork[j]) * simTick.Seconds()
		j.lost += lost[j] + float64(simServingTasks-atWork[j])
		j.ticks++
		if j.ticks < int(simUnit/simTick) {
			continue
		}
		value := max(0, 1-j.lost/float64(simServingTasks*j.ticks))
		s.result.units++
		s.result.value += value
		if value >= 0.9 {
			s.result.served++
		}
		j.ticks, j.lost = 0, 0
	}
}

// countBatch counts the best-effort jobs that were completed before they had lost
// their value, which is within three times their objective.
func (s *servingSim) countBatch() {
	for _, j := range s.order {
		if !j.best || j.acceptAt < s.begin {
			continue
		}
		work := 2 * 20 * 1.8 * simBatchTime
		s.result.batchAll += work
		if j.doneAt > 0 && j.doneAt-j.acceptAt <= 3*(time.Second+time.Duration(2*2*simBatchTime*float64(time.Second))) {
			s.result.batch += work
		}
	}
}
