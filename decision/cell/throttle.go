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
	serving   int           // number of serving runs, confirmed or not
	watched   bool          // the worker has both serving and best-effort runs
	overSince time.Duration // a target has been missed since then; 0 if none is
	changedAt time.Duration // time of the last change of a speed
}

const (
	// throttleAfter is how long a target may be missed before best-effort runs
	// are slowed down. A measurement covers half a second, and the platform
	// allows a task to exceed its target for several seconds.
	throttleAfter = 400 * time.Millisecond
	// pauseFraction is the fraction of MaxTimeOverTarget after which all
	// best-effort runs are paused, regardless of the estimates. The rest is
	// enough for two more measurements.
	pauseFraction = 0.425
	// minSpeed is the speed, in percent, below which a run is paused.
	minSpeed = 15
	// moveBelowSpeed is the speed, in percent, below which a run is moved if
	// another worker can run it without interference. A stop and a restore take
	// as long as a typical task.
	moveBelowSpeed = 35
	// maxSlowDownFraction is the largest fraction of its speed that a run keeps
	// when it is slowed down.
	maxSlowDownFraction = 0.7
	// maxMoves bounds the moves of one task.
	maxMoves = 2
	// maxPause is how long a run may be paused before it is moved.
	maxPause = 1500 * time.Millisecond
)

// refreshRunLists updates the lists of serving and best-effort runs, the loads
// added to the serving ones and their limits, if they are stale.
func (c *Cell) refreshRunLists(w *worker) {
	if !w.runListsStale {
		return
	}
	w.runListsStale, w.slacksEvent = false, 0
	w.serving, w.bestEffort = w.serving[:0], w.bestEffort[:0]
	for _, r := range w.runsInOrder {
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
		for _, r := range w.runsInOrder {
			if r.bestEffort && r.state != runStopping {
				s.addedLoad += c.interference.cautiousPressure(s.image, r.image) * r.fullShare() * float64(r.desiredSpeed) / fullSpeed
			}
		}
		s.loadLimit = c.interference.loadLimit(s.image, s.target())
	}
}

// serves reports whether a run has a latency target.
func (r *run) serves() bool {
	return r.task.step.spec.LongRunning && r.task.step.spec.LatencyTarget > 0
}

// target returns the latency target in milliseconds.
func (r *run) target() float64 { return float64(r.task.step.spec.LatencyTarget.Milliseconds()) }

// cpuShare returns the fraction of the server's processor that a best-effort run
// uses by its last measurement.
func (r *run) cpuShare() float64 {
	return float64(r.measurement) / float64(max(1, r.worker.server.Capacity.MilliCPU))
}

// fullShare returns the fraction of the server's processor that a best-effort
// run uses at full speed.
func (r *run) fullShare() float64 {
	return float64(r.need.MilliCPU) / float64(max(1, r.worker.server.Capacity.MilliCPU))
}

// adjustSpeeds updates the interference model from a new list and adjusts the
// speeds of the best-effort runs to the latency targets.
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
	switch {
	case len(bestEffort) == 0:
	case c.settings.ServingRoom:
		c.controlSpeeds(w, serving, bestEffort)
	default:
		c.throttleRuns(w, serving, bestEffort)
	}
}

// learnInterference applies the measurements of a list. Lists arrive more often
// than measurements, so a list without a new measurement is ignored.
func (c *Cell) learnInterference(w *worker, serving []*run) {
	w.recordShares(c.now.Steady)
	if !slices.ContainsFunc(serving, func(r *run) bool { return r.measurement != r.appliedMeasurement }) {
		return
	}
	window := w.segments(c.now.Steady)
	for _, r := range serving {
		r.appliedMeasurement = r.measurement
		if r.percent < fullSpeed || r.measurement <= 0 {
			continue
		}
		s := &r.task.step.load
		if c.settings.ServingRoom {
			c.noteExcess(r, s.load(c.now.Steady-measurementLag), window)
		}
		ownLoad, isolated := c.interference.observe(r.image, r.target(), float64(r.measurement), s.load(c.now.Steady-measurementLag), window)
		if isolated {
			s.add(c.now.Steady, ownLoad, 1)
		} else {
			s.add(c.now.Steady, ownLoad, colocatedWeight)
		}
	}
}

// colocatedWeight is the weight of a load observed while best-effort runs add to
// it: most of its error comes from the estimated pressure of these runs.
const colocatedWeight = 0.25

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

// throttleRuns adjusts the speeds of the best-effort runs beside serving runs.
func (c *Cell) throttleRuns(w *worker, serving, bestEffort []*run) {
	now, p := c.now.Steady, &w.throttling
	over := p.overSince > 0
	switch {
	case now-p.changedAt < measurementWindow:
		// The measurements do not show the last change yet.
	case over && now-p.overSince >= time.Duration(pauseFraction*float64(c.settings.MaxTimeOverTarget)):
		for _, r := range bestEffort {
			c.slowDown(r, 0)
		}
	case over && now-p.overSince >= throttleAfter:
		c.slowInterfering(serving, bestEffort)
	case !over:
		c.speedUp(serving, bestEffort)
	}
	for _, r := range bestEffort {
		c.setSpeed(r, r.desiredSpeed) // sent again if the last order had no answer
	}
}

// missesTarget reports whether the measured tail exceeds the target.
func (r *run) missesTarget() bool {
	return r.percent >= fullSpeed && float64(r.measurement) > r.target()
}

// nearTargetFraction is the fraction of a target above which the real tail may
// exceed the target: measurements have an error of 5 %.
const nearTargetFraction = 0.95

// nearsTarget reports whether the real tail may exceed the target. The time over
// the target must not restart because a measurement is below the target by
// chance.
func (r *run) nearsTarget() bool {
	return r.percent >= fullSpeed && float64(r.measurement) > nearTargetFraction*r.target()
}

// addedLoadOn returns the load that a best-effort run adds to a serving one when
// it uses the given share of the server.
func (c *Cell) addedLoadOn(serving, bestEffort *run, share float64) float64 {
	return c.interference.pressure(serving.image, bestEffort.image) * share
}

// slowInterfering slows the best-effort runs that add the most load until, by the
// estimates, every target is met, or moves them to workers where they do not
// interfere.
func (c *Cell) slowInterfering(serving, bestEffort []*run) {
	for _, s := range serving {
		if !s.missesTarget() {
			continue
		}
		over := c.interference.load(s.image, s.target(), float64(s.measurement)) - s.loadLimit
		byAddedLoad := slices.Clone(bestEffort)
		slices.SortStableFunc(byAddedLoad, func(a, b *run) int {
			return cmp.Compare(c.addedLoadOn(s, b, b.cpuShare()), c.addedLoadOn(s, a, a.cpuShare()))
		})
		for i, r := range byAddedLoad {
			part := c.addedLoadOn(s, r, r.cpuShare())
			if over <= 0 || part <= 0 && i > 0 {
				break
			}
			fraction := 0.0
			if part > over {
				fraction = 1 - over/part
			}
			over -= part * (1 - fraction)
			c.slowDown(r, fraction)
		}
	}
}

// slowDown reduces the speed of a run to at most the given fraction of its present
// speed, or moves the run.
func (c *Cell) slowDown(r *run, fraction float64) {
	if r.state != runConfirmed {
		return
	}
	speed := int(float64(r.desiredSpeed) * min(fraction, maxSlowDownFraction))
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
	if c.interferesEverywhere(t.step) {
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

// speedUp raises the speed of one throttled run, lowest pressure first, as far as
// every target is still met by the estimates, or moves one that has been paused
// for longer than maxPause.
func (c *Cell) speedUp(serving, bestEffort []*run) {
	throttled := slices.DeleteFunc(slices.Clone(bestEffort), func(r *run) bool { return r.desiredSpeed >= fullSpeed })
	slices.SortStableFunc(throttled, func(a, b *run) int {
		return cmp.Compare(c.maxPressureOn(serving, a), c.maxPressureOn(serving, b))
	})
	for _, r := range throttled {
		room := c.headroom(serving, r)
		next := min(fullSpeed, r.desiredSpeed+int(fullSpeed*room/max(r.fullShare(), minShare)))
		if next >= minSpeed && next > r.desiredSpeed {
			c.setSpeed(r, next)
			return
		}
		if c.now.Steady-r.speedChangedAt > maxPause && r.desiredSpeed == 0 && c.moveAway(r) {
			return
		}
	}
}

// maxPressureOn returns the highest pressure of a best-effort run on the serving
// runs.
func (c *Cell) maxPressureOn(serving []*run, bestEffort *run) float64 {
	worst := 0.0
	for _, s := range serving {
		worst = max(worst, c.addedLoadOn(s, bestEffort, 1))
	}
	return worst
}

// headroom returns the additional share of the server that a best-effort run
// may use while every target is still met.
func (c *Cell) headroom(serving []*run, bestEffort *run) float64 {
	room := 1.0
	for _, s := range serving {
		left := s.loadLimit - c.interference.load(s.image, s.target(), float64(s.measurement))
		room = min(room, left/max(c.addedLoadOn(s, bestEffort, 1), 0.01))
	}
	return max(0, room)
}

// impact is the estimated effect of another best-effort task on the serving
// tasks of a worker.
type impact struct {
	count int     // tasks that would miss their target
	worst float64 // highest load relative to the limit of its task, negative below it
	mean  float64 // mean load that it adds
	added float64 // load that it adds, as it counts in the cost
}

// startTrials begins a trial with each serving image beside which a best-effort
// run starts.
func (c *Cell) startTrials(r *run) {
	if !r.bestEffort {
		return
	}
	for _, other := range r.worker.runsInOrder {
		if other.serves() {
			c.interference.startTrial(other.image, r.image, c.now.Steady)
		}
	}
}

// placementMargin is kept below the limit when a best-effort task is placed: loads
// are known to within a tenth.
const placementMargin = 0.1

// impactOf estimates the effect of a best-effort task that uses the given share of
// the worker's server.
func (c *Cell) impactOf(w *worker, image imageID, share float64) impact {
	c.refreshRunLists(w)
	effect := impact{worst: -1}
	for _, s := range w.serving {
		added := c.interference.cautiousPressure(s.image, image) * share
		after := c.upcomingLoad(s) + s.addedLoad + added
		over := after + placementMargin - s.loadLimit
		effect.worst = max(effect.worst, over)
		effect.mean += added / float64(len(w.serving))
		if over > 0 || c.interference.inTrial(s.image, image, c.now.Steady) {
			effect.count++
		}
	}
	effect.added = c.addedLoad(w, effect.mean)
	return effect
}

// setSpeed orders a speed unless it is already in effect.
func (c *Cell) setSpeed(r *run, speed int) {
	if !c.authority || r.state != runConfirmed || speed == r.desiredSpeed && r.speed == speed && !r.speedUnknown {
		return
	}
	if speed != r.desiredSpeed {
		c.emit(Note{Event: NoteTaskThrottled, Job: r.key.task.Job, Task: r.key.task.String(), Server: r.worker.server.ID, Detail: map[string]any{"percent": speed, "before": r.desiredSpeed, "reason": r.speedReason}})
		r.worker.throttling.changedAt, r.speedChangedAt = c.now.Steady, c.now.Steady
		r.worker.runListsStale = true
	}
	r.desiredSpeed = speed
	c.emit(Throttle{Server: r.worker.server.ID, Address: r.worker.server.Address, Generation: r.worker.generation, Task: r.key.task, Attempt: r.key.attempt, Percent: speed})
}

func (c *Cell) throttleAnswered(e ThrottleAnswered) {
	w := c.workers[e.Server]
	if w == nil || !e.OK {
		return
	}
	if r := w.runs[runKey{e.Task, e.Attempt}]; r != nil {
		r.speed, r.speedUnknown = e.Percent, false
		r.progressAt = c.now.Steady
		w.recordShares(c.now.Steady)
	}
}
