package cell

import (
	"cmp"
	"slices"
	"time"
)

// fullSpeed is the speed of a run at its start, in percent.
const fullSpeed = 100

// throttling is the state of the latency targets on one worker.
type throttling struct {
	serving   int  // runs with a target, confirmed or not
	watched   bool // the worker has both serving and best-effort runs
	overSince time.Duration
	changedAt time.Duration // time of the last change of a speed
}

const (
	// throttleAfter is how long a target may be missed before best-effort runs
	// are slowed down. A measurement covers half a second, and the platform
	// bounds the time over the target at several seconds.
	throttleAfter = 400 * time.Millisecond
	// pauseShare is the fraction of the platform's bound after which all
	// best-effort runs are paused, regardless of the estimates: the rest leaves
	// time for two more measurements.
	pauseShare = 0.425
	// minSpeed is the speed below which a run is paused.
	minSpeed = 15
	// moveBelowSpeed is the speed below which a run is moved if another worker
	// suits it better. A move costs the time of a stop and a restore, which is
	// as long as a typical task.
	moveBelowSpeed = 35
	// maxMoves bounds the moves of one task.
	maxMoves = 2
	// maxPause is how long a run may be paused before it is moved.
	maxPause = 1500 * time.Millisecond
)

// refreshRunLists updates the lists of serving and best-effort runs, and the
// loads added to the serving ones, after a change on the worker.
func (c *Cell) refreshRunLists(w *worker) {
	if !w.runListsStale {
		return
	}
	w.runListsStale = false
	w.serving, w.bestEffort = w.serving[:0], w.bestEffort[:0]
	for _, r := range w.list {
		if r.state != runConfirmed {
			continue
		}
		if r.serves() {
			w.serving = append(w.serving, r)
		} else if r.bestEffort {
			w.bestEffort = append(w.bestEffort, r)
		}
	}
	for _, s := range w.serving {
		s.addedLoad = 0
		// Starts in flight count too. Otherwise all tasks of a step would be
		// placed by the same measurements.
		for _, f := range w.list {
			if f.bestEffort && f.state != runStopping {
				s.addedLoad += c.interference.pressure(s.image, f.image) * f.fullShare() * float64(f.wantedSpeed) / fullSpeed
			}
		}
		s.loadLimit = c.interference.loadLimit(s.image, s.target())
	}
}

// serves reports whether a run has a latency target.
func (r *run) serves() bool {
	return r.task.step.spec.LongRunning && r.task.step.spec.LatencyTarget > 0
}

func (r *run) target() float64 { return float64(r.task.step.spec.LatencyTarget.Milliseconds()) }

// cpuShare returns the fraction of the server's processor that a run uses.
func (r *run) cpuShare() float64 {
	return float64(r.measurement) / float64(max(1, r.worker.server.Capacity.MilliCPU))
}

// fullShare returns the fraction of the server's processor that a best-effort
// run uses at full speed.
func (r *run) fullShare() float64 {
	return float64(r.need.MilliCPU) / float64(max(1, r.worker.server.Capacity.MilliCPU))
}

// adjustSpeeds updates the interference model from a new list and slows
// best-effort runs beside runs that miss their target.
func (c *Cell) adjustSpeeds(w *worker) {
	w.runListsStale = true
	c.refreshRunLists(w)
	serving, bestEffort := slices.Clone(w.serving), slices.Clone(w.bestEffort)
	w.throttling.watched = len(serving) > 0 && len(bestEffort) > 0
	if len(serving) == 0 {
		w.throttling.overSince = 0
		for _, r := range bestEffort {
			c.setSpeed(r, fullSpeed)
		}
		return
	}
	c.learnInterference(w, serving)
	switch over := slices.ContainsFunc(serving, (*run).missesTarget); {
	case over && w.throttling.overSince == 0:
		w.throttling.overSince = c.now.Steady
	case !over && !slices.ContainsFunc(serving, (*run).nearsTarget):
		w.throttling.overSince = 0
	}
	if len(bestEffort) > 0 {
		c.throttleRuns(w, serving, bestEffort)
	}
}

// learnInterference applies the measurements of a list. Lists arrive more often
// than measurements, so a list without a new measurement is ignored.
func (c *Cell) learnInterference(w *worker, serving []*run) {
	w.recordShares(c.now.Steady)
	if !slices.ContainsFunc(serving, func(r *run) bool { return r.measurement != r.learntMeasurement }) {
		return
	}
	window := w.segments(c.now.Steady)
	for _, r := range serving {
		r.learntMeasurement = r.measurement
		if r.percent < fullSpeed || r.measurement <= 0 {
			continue
		}
		s := &r.task.step.load
		attributed, undisturbed := c.interference.observe(r.image, r.target(), float64(r.measurement), s.load(c.now.Steady-measurementLag), window)
		if undisturbed {
			s.add(c.now.Steady, attributed, 1)
		} else {
			s.add(c.now.Steady, attributed, pressedWeight)
		}
	}
}

// pressedWeight is the weight of a load observed while best-effort runs add to
// it: most of the error is that of their pressure.
const pressedWeight = 0.25

// addShare adds a run's share to that of its image.
func addShare(shares []imageShare, image imageID, share float64) []imageShare {
	for i := range shares {
		if shares[i].image == image {
			shares[i].share += share
			return shares
		}
	}
	return append(shares, imageShare{image: image, share: share})
}

func (c *Cell) throttleRuns(w *worker, serving, bestEffort []*run) {
	now, p := c.now.Steady, &w.throttling
	over := p.overSince > 0
	switch {
	case now-p.changedAt < measurementWindow:
		// The measurements do not show the last change yet.
	case over && now-p.overSince >= time.Duration(pauseShare*float64(c.settings.MaxTimeOverTarget)):
		for _, r := range bestEffort {
			c.slowDown(r, 0)
		}
	case over && now-p.overSince >= throttleAfter:
		c.slowInterfering(serving, bestEffort)
	case !over:
		c.speedUp(serving, bestEffort)
	}
	for _, r := range bestEffort {
		c.setSpeed(r, r.wantedSpeed) // sent again if the last order had no answer
	}
}

func (r *run) missesTarget() bool {
	return r.percent >= fullSpeed && float64(r.measurement) > r.target()
}

// nearTargetShare is the fraction of a target above which the real tail may
// exceed the target: measurements have an error of 5 %.
const nearTargetShare = 0.95

// nearsTarget reports whether the tail may still exceed the target. A
// measurement that is below the target by chance must not restart the
// platform's bound.
func (r *run) nearsTarget() bool {
	return r.percent >= fullSpeed && float64(r.measurement) > nearTargetShare*r.target()
}

// pressureOn returns the load that a best-effort run adds to a serving one when
// it uses the given share of the server.
func (c *Cell) pressureOn(serving, bestEffort *run, share float64) float64 {
	return c.interference.pressure(serving.image, bestEffort.image) * share
}

// slowInterfering slows the runs with the highest pressure until the estimates
// meet every target, or moves them to workers where they do not interfere.
func (c *Cell) slowInterfering(serving, bestEffort []*run) {
	for _, s := range serving {
		if !s.missesTarget() {
			continue
		}
		over := c.interference.load(s.image, s.target(), float64(s.measurement)) - s.loadLimit
		byPressure := slices.Clone(bestEffort)
		slices.SortStableFunc(byPressure, func(a, b *run) int {
			return cmp.Compare(c.pressureOn(s, b, b.cpuShare()), c.pressureOn(s, a, a.cpuShare()))
		})
		for i, f := range byPressure {
			part := c.pressureOn(s, f, f.cpuShare())
			if over <= 0 || part <= 0 && i > 0 {
				break
			}
			fraction := 0.0
			if part > over {
				fraction = 1 - over/part
			}
			over -= part * (1 - fraction)
			c.slowDown(f, fraction)
		}
	}
}

// slowDown reduces the speed of a run to a fraction of its present speed.
func (c *Cell) slowDown(r *run, fraction float64) {
	if r.state != runConfirmed {
		return
	}
	speed := int(float64(r.wantedSpeed) * min(fraction, 0.7))
	if speed < minSpeed {
		speed = 0
	}
	if speed < moveBelowSpeed && c.moveAway(r) {
		return
	}
	c.setSpeed(r, speed)
}

// moveAway stops a run that can resume on another worker without interference.
// It reports whether it did.
func (c *Cell) moveAway(r *run) bool {
	t := r.task
	if !t.step.spec.Checkpoints || t.step.spec.Gang || t.moves >= maxMoves {
		return false
	}
	w, cost := c.choose(t)
	if w == nil || w == r.worker || cost >= costInterferes {
		return false
	}
	t.moves++
	c.stopRun(r, "disturbs")
	return true
}

// speedUp raises the speed of one throttled run as far as the estimates allow,
// lowest pressure first, or moves one that has been paused for long.
func (c *Cell) speedUp(serving, bestEffort []*run) {
	throttled := slices.DeleteFunc(slices.Clone(bestEffort), func(r *run) bool { return r.wantedSpeed >= fullSpeed })
	slices.SortStableFunc(throttled, func(a, b *run) int {
		return cmp.Compare(c.maxPressureOn(serving, a), c.maxPressureOn(serving, b))
	})
	for _, r := range throttled {
		room := c.headroom(serving, r)
		next := min(fullSpeed, r.wantedSpeed+int(fullSpeed*room/max(r.fullShare(), minShare)))
		if next >= minSpeed && next > r.wantedSpeed {
			c.setSpeed(r, next)
			return
		}
		if c.now.Steady-r.speedChangedAt > maxPause && r.wantedSpeed == 0 && c.moveAway(r) {
			return
		}
	}
}

func (c *Cell) maxPressureOn(serving []*run, bestEffort *run) float64 {
	worst := 0.0
	for _, s := range serving {
		worst = max(worst, c.pressureOn(s, bestEffort, 1))
	}
	return worst
}

// headroom returns the additional share of the server that a best-effort run
// may use while every target is still met.
func (c *Cell) headroom(serving []*run, bestEffort *run) float64 {
	room := 1.0
	for _, s := range serving {
		left := s.loadLimit - c.interference.load(s.image, s.target(), float64(s.measurement))
		room = min(room, left/max(c.pressureOn(s, bestEffort, 1), 0.01))
	}
	return max(0, room)
}

// impact is the estimated effect of another best-effort task on the serving
// tasks of a worker.
type impact struct {
	count int     // tasks that would miss their target
	worst float64 // largest load over the limit, negative below it
	mean  float64 // mean load that it adds
}

// startTrials records the serving images beside which a best-effort run starts.
func (c *Cell) startTrials(r *run) {
	if !r.bestEffort {
		return
	}
	for _, other := range r.worker.list {
		if other.serves() {
			c.interference.startTrial(other.image, r.image, c.now.Steady)
		}
	}
}

// placeMargin is kept below the limit when a best-effort task is placed: loads
// are known to within a tenth.
const placeMargin = 0.1

func (c *Cell) impactOf(w *worker, image imageID, share float64) impact {
	c.refreshRunLists(w)
	effect := impact{worst: -1}
	for _, s := range w.serving {
		added := c.interference.pressure(s.image, image) * share
		after := s.task.step.load.upcomingMax(c.now.Steady) + s.addedLoad + added
		over := after + placeMargin - s.loadLimit
		effect.worst = max(effect.worst, over)
		effect.mean += added / float64(len(w.serving))
		if over > 0 || c.interference.inTrial(s.image, image, c.now.Steady) {
			effect.count++
		}
	}
	return effect
}

// setSpeed orders a speed unless it is already in effect.
func (c *Cell) setSpeed(r *run, speed int) {
	if !c.authority || r.state != runConfirmed || speed == r.wantedSpeed && r.speed == speed {
		return
	}
	if speed != r.wantedSpeed {
		c.emit(Note{Event: NoteTaskThrottled, Job: r.key.task.Job, Task: r.key.task.String(), Server: r.worker.server.ID, Detail: map[string]any{"percent": speed, "before": r.wantedSpeed}})
		r.worker.throttling.changedAt, r.speedChangedAt = c.now.Steady, c.now.Steady
		r.worker.runListsStale = true
	}
	r.wantedSpeed = speed
	c.emit(Throttle{Server: r.worker.server.ID, Address: r.worker.server.Address, Task: r.key.task, Attempt: r.key.attempt, Percent: speed})
}

func (c *Cell) throttleAnswered(e ThrottleAnswered) {
	w := c.workers[e.Server]
	if w == nil || !e.OK {
		return
	}
	if r := w.runs[runKey{e.Task, e.Attempt}]; r != nil {
		r.speed = e.Percent
		r.progressAt = c.now.Steady
		w.recordShares(c.now.Steady)
	}
}
