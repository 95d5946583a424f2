package cell

import (
	"cmp"
	"slices"
	"time"
)

// fullSpeed is the pace of a run at its start, in percent.
const fullSpeed = 100

// throttling watches the targets on one worker.
type throttling struct {
	serving   int  // runs with a target, confirmed or not
	watched   bool // some task there has a target and some fills
	overSince time.Duration
	changedAt time.Duration // last change of a pace
}

const (
	// throttleAfter is how long a target may be missed before the tasks that
	// fill are slowed down. The figures cover half a second, and the platform
	// bounds the time over the target at several seconds.
	throttleAfter = 400 * time.Millisecond
	// pauseShare is the share of the platform's bound after which all of them are
	// held, whatever the estimates say: two more figures fit into the rest.
	pauseShare = 0.425
	// minSpeed is the pace below which a run is held altogether.
	minSpeed = 15
	// moveBelowSpeed is the pace below which a run is moved, if that helps: a move
	// costs the time of a stop and a restore, which is as long as a usual task.
	moveBelowSpeed = 35
	// maxMoves bounds the moves of one task.
	maxMoves = 2
	// maxPause is how long a run may be held before it gives its place up.
	maxPause = 1500 * time.Millisecond
)

// refreshRunLists brings the lists of serving and filling runs and the loads on the
// serving ones up to date after a change on the worker.
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
		// Starts that are on their way press too, or the tasks of a step would all
		// be placed by the same figures.
		for _, f := range w.list {
			if f.bestEffort && f.state != runStopping {
				s.addedLoad += c.interference.pressure(s.image, f.image) * f.fullShare() * float64(f.wantedSpeed) / fullSpeed
			}
		}
		s.loadLimit = c.interference.loadLimit(s.image, s.target())
	}
}

// serves reports whether a run has a target to keep.
func (r *run) serves() bool {
	return r.task.step.spec.LongRunning && r.task.step.spec.LatencyTarget > 0
}

func (r *run) target() float64 { return float64(r.task.step.spec.LatencyTarget.Milliseconds()) }

// cpuShare is the part of the server's processor that a run uses.
func (r *run) cpuShare() float64 {
	return float64(r.measurement) / float64(max(1, r.worker.server.Capacity.MilliCPU))
}

// fullShare is the part that a filling run uses at full pace.
func (r *run) fullShare() float64 {
	return float64(r.need.MilliCPU) / float64(max(1, r.worker.server.Capacity.MilliCPU))
}

// adjustSpeeds learns from a new list and slows the tasks that fill beside tasks that
// miss their target.
func (c *Cell) adjustSpeeds(w *worker) {
	w.runListsStale = true
	c.refreshRunLists(w)
	serving, fills := slices.Clone(w.serving), slices.Clone(w.bestEffort)
	w.throttling.watched = len(serving) > 0 && len(fills) > 0
	if len(serving) == 0 {
		w.throttling.overSince = 0
		for _, r := range fills {
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
	if len(fills) > 0 {
		c.throttleRuns(w, serving, fills)
	}
}

// learnInterference takes in the figures of a list. Lists come more often than figures, so
// that one without a new figure teaches nothing.
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
		left, quiet := c.interference.observe(r.image, r.target(), float64(r.measurement), s.load(c.now.Steady-measurementLag), window)
		if quiet {
			s.add(c.now.Steady, left, 1)
		} else {
			s.add(c.now.Steady, left, pressedWeight)
		}
	}
}

// pressedWeight is the trust in the load of a task on which filling tasks press:
// most of an error is that of their pressure.
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

func (c *Cell) throttleRuns(w *worker, serving, fills []*run) {
	now, p := c.now.Steady, &w.throttling
	over := p.overSince > 0
	switch {
	case now-p.changedAt < measurementWindow:
		// The figures do not show the last change yet.
	case over && now-p.overSince >= time.Duration(pauseShare*float64(c.settings.MaxTimeOverTarget)):
		for _, r := range fills {
			c.slowDown(r, 0)
		}
	case over && now-p.overSince >= throttleAfter:
		c.slowInterfering(serving, fills)
	case !over:
		c.speedUp(serving, fills)
	}
	for _, r := range fills {
		c.setSpeed(r, r.wantedSpeed) // again, if the last order had no answer
	}
}

func (r *run) missesTarget() bool {
	return r.percent >= fullSpeed && float64(r.measurement) > r.target()
}

// nearTargetShare is the share of a target above which a rough figure may stand for a
// tail over it: figures are off by one part in twenty.
const nearTargetShare = 0.95

// nearsTarget reports whether the tail may still be over the target. A figure below
// it by chance must not begin the platform's bound anew.
func (r *run) nearsTarget() bool {
	return r.percent >= fullSpeed && float64(r.measurement) > nearTargetShare*r.target()
}

// pressureOn is the load that a filling run adds to a serving one at a share of
// the server.
func (c *Cell) pressureOn(serving, filling *run, share float64) float64 {
	return c.interference.pressure(serving.image, filling.image) * share
}

// slowInterfering slows the runs that press most until every target is kept by the
// estimates, or moves them where they disturb nobody.
func (c *Cell) slowInterfering(serving, fills []*run) {
	for _, s := range serving {
		if !s.missesTarget() {
			continue
		}
		over := c.interference.load(s.image, s.target(), float64(s.measurement)) - s.loadLimit
		byHarm := slices.Clone(fills)
		slices.SortStableFunc(byHarm, func(a, b *run) int {
			return cmp.Compare(c.pressureOn(s, b, b.cpuShare()), c.pressureOn(s, a, a.cpuShare()))
		})
		for i, f := range byHarm {
			part := c.pressureOn(s, f, f.cpuShare())
			if over <= 0 || part <= 0 && i > 0 {
				break
			}
			keep := 0.0
			if part > over {
				keep = 1 - over/part
			}
			over -= part * (1 - keep)
			c.slowDown(f, keep)
		}
	}
}

// slowDown brings a run to a share of its present pace.
func (c *Cell) slowDown(r *run, keep float64) {
	if r.state != runConfirmed {
		return
	}
	want := int(float64(r.wantedSpeed) * min(keep, 0.7))
	if want < minSpeed {
		want = 0
	}
	if want < moveBelowSpeed && c.moveAway(r) {
		return
	}
	c.setSpeed(r, want)
}

// moveAway stops a run that can resume elsewhere, where it disturbs nobody.
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

// speedUp lets paced runs work as fast as the targets allow by the estimates,
// those that press least first, and moves one that has been held for long.
func (c *Cell) speedUp(serving, fills []*run) {
	paced := slices.DeleteFunc(slices.Clone(fills), func(r *run) bool { return r.wantedSpeed >= fullSpeed })
	slices.SortStableFunc(paced, func(a, b *run) int {
		return cmp.Compare(c.maxPressureOn(serving, a), c.maxPressureOn(serving, b))
	})
	for _, r := range paced {
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

func (c *Cell) maxPressureOn(serving []*run, filling *run) float64 {
	worst := 0.0
	for _, s := range serving {
		worst = max(worst, c.pressureOn(s, filling, 1))
	}
	return worst
}

// headroom is the further share of the server that a filling run may use while
// every target stays kept.
func (c *Cell) headroom(serving []*run, filling *run) float64 {
	room := 1.0
	for _, s := range serving {
		left := s.loadLimit - c.interference.load(s.image, s.target(), float64(s.measurement))
		room = min(room, left/max(c.pressureOn(s, filling, 1), 0.01))
	}
	return max(0, room)
}

// impact is what a further filling task would do to the serving tasks on a worker.
type impact struct {
	count int     // tasks that would miss their target
	worst float64 // largest load over the limit, negative below it
	mean  float64 // load that it adds on average
}

// startTrials notes the serving images beside which a filling run starts.
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

// placeMargin is kept below the limit when a filling task is placed: loads are
// known to a tenth.
const placeMargin = 0.1

func (c *Cell) impactOf(w *worker, image imageID, share float64) impact {
	c.refreshRunLists(w)
	h := impact{worst: -1}
	for _, s := range w.serving {
		added := c.interference.pressure(s.image, image) * share
		after := s.task.step.load.upcomingMax(c.now.Steady) + s.addedLoad + added
		over := after + placeMargin - s.loadLimit
		h.worst = max(h.worst, over)
		h.mean += added / float64(len(w.serving))
		if over > 0 || c.interference.inTrial(s.image, image, c.now.Steady) {
			h.count++
		}
	}
	return h
}

// setSpeed orders a pace unless it is in force.
func (c *Cell) setSpeed(r *run, want int) {
	if !c.authority || r.state != runConfirmed || want == r.wantedSpeed && r.speed == want {
		return
	}
	if want != r.wantedSpeed {
		c.emit(Note{Event: NoteTaskThrottled, Job: r.key.task.Job, Task: r.key.task.String(), Server: r.worker.server.ID, Detail: map[string]any{"percent": want, "before": r.wantedSpeed}})
		r.worker.throttling.changedAt, r.speedChangedAt = c.now.Steady, c.now.Steady
		r.worker.runListsStale = true
	}
	r.wantedSpeed = want
	c.emit(Throttle{Server: r.worker.server.ID, Address: r.worker.server.Address, Task: r.key.task, Attempt: r.key.attempt, Percent: want})
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
