package cell

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The decisions of this file keep the serving tasks of a cell at work under heavy
// best-effort load. They apply if Settings.ServingRoom is set.

const (
	// loadCycle is the time in which the load of serving tasks rises and falls once.
	loadCycle = 10 * time.Second
	// maxSwing bounds the deviation of a load from its mean, as a fraction of the
	// mean: loads swing by half.
	maxSwing = 0.6
	// cycleSpan is the time span of the mean load.
	cycleSpan = 8 * time.Second
	// admissionHorizon is how far ahead the load is checked when a best-effort task
	// is placed. A run takes two to three seconds, in which a load rises from its
	// mean to its peak.
	admissionHorizon = 2500 * time.Millisecond
	// controlHorizon is how far ahead the load is checked when speeds are adjusted:
	// the time until the next list, its order and the measurement that shows it.
	controlHorizon = 900 * time.Millisecond
	// cutMargin and raiseMargin are kept below the limit of a load when speeds are
	// reduced and raised. Their difference keeps speeds from changing with each
	// measurement, whose error is a twentieth.
	cutMargin   = 0.03
	raiseMargin = 0.08
	// trialSpeed is the speed, in percent, at which a run starts beside a serving
	// image of which the interference is not known yet.
	trialSpeed = 50
	// pauseAfter is how long a target may be missed before all best-effort runs are
	// paused: the first reduction had no sufficient effect. After twice this time they
	// are paused even if the measurements do not show the last change yet: the expected
	// load may change the speeds with each list.
	pauseAfter = 700 * time.Millisecond
	// minMoveBenefit is the remaining run time below which a run is not moved. A stop
	// takes almost a second, and a restore and the start follow it.
	minMoveBenefit = 1500 * time.Millisecond
	// movePause is how long a run has been paused before it is moved. A paused run
	// does not disturb while it is being stopped.
	movePause = 500 * time.Millisecond
	// excessWeight is the weight of a new measurement in the excess of a run.
	excessWeight = 0.25
	// maxExcess bounds the excess of a run.
	maxExcess = 0.3
)

// maxWithin returns the highest load expected within a time from now. A load
// follows a cycle of loadCycle around its mean, so a low load is expected to rise.
func (e *loadEstimate) maxWithin(now, horizon time.Duration) float64 {
	if !e.known {
		return defaultPeak
	}
	perSecond := 2 * math.Pi / loadCycle.Seconds()
	slope := (e.fast - e.slow) / (slowSpan - fastSpan).Seconds()
	slope = min(max(slope, -maxSlope), maxSlope) / perSecond
	deviation := e.fast - e.mean
	if size, bound := math.Hypot(deviation, slope), maxSwing*e.mean; size > bound {
		deviation, slope = deviation*bound/size, slope*bound/size
	}
	// The deviation after a time t is size*cos(perSecond*t - peak).
	size, peak := math.Hypot(deviation, slope), math.Atan2(slope, deviation)
	age := min(now-e.at, maxExtrapolation).Seconds()
	from, to := perSecond*age, perSecond*(age+horizon.Seconds())
	highest := size * max(math.Cos(from-peak), math.Cos(to-peak))
	if from <= peak && peak <= to {
		highest = size
	}
	return min(max(e.mean+highest, 0), 1)
}

// addToMean applies a load to the mean of the cycle.
func (e *loadEstimate) addToMean(load, weight float64, passed time.Duration) {
	e.mean += weight * gain(passed, cycleSpan) * (load - e.mean)
}

// upcomingLoad returns the load of a serving run that an admission has to allow for.
func (c *Cell) upcomingLoad(s *run) float64 {
	e := &s.task.step.load
	if !c.settings.ServingRoom {
		return e.upcomingMax(c.now.Steady)
	}
	if e.upcomingAt != c.now.Steady || c.now.Steady == 0 {
		e.upcoming, e.upcomingAt = e.maxWithin(c.now.Steady, admissionHorizon), c.now.Steady
	}
	return e.upcoming + s.excess
}

// noteExcess updates the part of a serving run's load that neither its own load nor
// the best-effort runs explain, such as that of serving tasks of other images.
func (c *Cell) noteExcess(r *run, ownLoad float64, window []segment) {
	expected, _ := c.interference.expectedLoad(r.image, ownLoad, window)
	excess := c.interference.load(r.image, r.target(), float64(r.measurement)) - expected
	r.excess = min(max(r.excess+excessWeight*(excess-r.excess), 0), maxExcess)
}

// holdsBack reports whether best-effort runs beside serving tasks of a worker are
// throttled. Others would take the room that they wait for.
func (w *worker) holdsBack() bool {
	return w.throttling.serving > 0 && slices.ContainsFunc(w.runsInOrder, func(r *run) bool {
		return r.bestEffort && r.state != runStopping && r.desiredSpeed < fullSpeed
	})
}

// SpeedReason is the reason of the last change of the speed of a run, in log lines and
// metrics. It is empty without room for serving tasks.
type SpeedReason string

// The reasons of a change of speed.
const (
	SpeedAdmission    SpeedReason = "admission"     // the run starts below full speed
	SpeedExpectedLoad SpeedReason = "expected_load" // a serving task is expected to miss its target
	SpeedOverTarget   SpeedReason = "over_target"   // a serving task misses its target
	SpeedRoom         SpeedReason = "room"          // there is room for a higher speed
)

// changeSpeed sets the speed of a run for a reason.
func (c *Cell) changeSpeed(r *run, speed int, reason SpeedReason) {
	r.speedReason = reason
	c.setSpeed(r, speed)
}

// admit determines the speed at which a best-effort run starts.
func (c *Cell) admit(r *run) {
	w := r.worker
	r.desiredSpeed = c.admissionSpeed(r)
	w.runListsStale = true
	if r.desiredSpeed < fullSpeed {
		r.speedReason, r.speedChangedAt = SpeedAdmission, c.now.Steady
		c.emit(Note{Event: NoteTaskThrottled, Job: r.key.task.Job, Task: r.key.task.String(), Server: w.server.ID, Detail: map[string]any{
			"percent": r.desiredSpeed, "before": fullSpeed, "reason": SpeedAdmission,
		}})
	}
}

// admissionSpeed returns the speed at which a best-effort run starts on its worker.
func (c *Cell) admissionSpeed(r *run) int {
	w := r.worker
	if w.throttling.serving == 0 {
		return fullSpeed
	}
	c.refreshRunLists(w)
	speed := fullSpeed
	for _, s := range w.serving {
		// The run itself is part of the added load.
		added := c.interference.cautiousPressure(s.image, r.image) * r.fullShare()
		left := s.loadLimit - c.upcomingLoad(s) - s.addedLoad + added - cutMargin
		if p := &c.interference.pressures[s.image][r.image]; p.count < trialObservations {
			speed = min(speed, trialSpeed)
		}
		if left < added {
			speed = min(speed, int(fullSpeed*max(0, left)/added))
		}
	}
	if speed < minSpeed {
		return 0
	}
	return speed
}

// controlSpeeds adjusts the speeds of the best-effort runs beside serving runs to
// the expected load of these, and to what their measurements show.
func (c *Cell) controlSpeeds(w *worker, serving, bestEffort []*run) {
	now, p := c.now.Steady, &w.throttling
	for _, r := range bestEffort {
		if r.speedUnknown {
			r.desiredSpeed = min(r.desiredSpeed, c.admissionSpeed(r))
		}
	}
	shown := now-p.changedAt >= measurementWindow // the measurements show the last change
	if over := now - p.overSince; p.overSince > 0 && (shown && over >= pauseAfter || over >= 2*pauseAfter) {
		for _, r := range bestEffort {
			c.changeSpeed(r, 0, SpeedOverTarget)
		}
	} else {
		over := false
		for _, s := range serving {
			over = c.cutFor(s, bestEffort, shown) || over
		}
		if !over && shown && p.overSince == 0 {
			c.raiseSpeeds(serving, bestEffort)
		}
	}
	for _, r := range bestEffort {
		c.setSpeed(r, r.desiredSpeed) // sent again if the last order had no answer
		c.movePaused(r)
	}
}

// contribution returns the load that a best-effort run adds to a serving one at its
// desired speed.
func (c *Cell) contribution(s, r *run) float64 {
	return c.addedLoadOn(s, r, r.worker.bestEffortScale()*r.fullShare()*float64(r.desiredSpeed)/fullSpeed)
}

// cutFor reduces the speeds of best-effort runs until, by the estimates, a serving
// run meets its target. It reports whether it had to. The runs that contribute most
// come first; between equal ones that which started last.
func (c *Cell) cutFor(s *run, bestEffort []*run, shown bool) bool {
	total := 0.0
	for _, r := range bestEffort {
		total += c.contribution(s, r)
	}
	own := s.task.step.load.maxWithin(c.now.Steady, controlHorizon) + s.excess
	over := own + total + cutMargin - s.loadLimit
	scale, reason := 1.0, SpeedExpectedLoad
	if shown && s.missesTarget() {
		measured := c.interference.load(s.image, s.target(), float64(s.measurement))
		reason = SpeedOverTarget
		over = max(over, measured+cutMargin-s.loadLimit)
		if added := measured - s.task.step.load.load(c.now.Steady-measurementLag); total > 0 {
			scale = min(max(1, added/total), maxPressure)
		}
	}
	if over <= 0 || total <= 0 {
		return over > 0
	}
	byContribution := slices.Clone(bestEffort)
	slices.SortStableFunc(byContribution, func(a, b *run) int {
		return cmp.Or(cmp.Compare(c.contribution(s, b), c.contribution(s, a)), cmp.Compare(b.orderedAt, a.orderedAt))
	})
	for _, r := range byContribution {
		part := scale * c.contribution(s, r)
		if over <= 0 || part <= 0 {
			break
		}
		fraction := max(0, 1-over/part)
		over -= part * (1 - fraction)
		speed := int(float64(r.desiredSpeed) * fraction)
		if speed < minSpeed {
			speed = 0
		}
		c.changeSpeed(r, speed, reason)
	}
	return true
}

// raiseSpeeds raises the speeds of throttled runs, lowest pressure first, as far as
// every target is still met.
func (c *Cell) raiseSpeeds(serving, bestEffort []*run) {
	throttled := slices.DeleteFunc(slices.Clone(bestEffort), func(r *run) bool { return r.desiredSpeed >= fullSpeed })
	slices.SortStableFunc(throttled, func(a, b *run) int {
		return cmp.Or(cmp.Compare(c.maxPressureOn(serving, a), c.maxPressureOn(serving, b)), cmp.Compare(a.orderedAt, b.orderedAt))
	})
	for _, r := range throttled {
		room := 1.0
		for _, s := range serving {
			left := s.loadLimit - raiseMargin - s.task.step.load.maxWithin(c.now.Steady, controlHorizon) - s.excess
			for _, other := range bestEffort {
				left -= c.contribution(s, other)
			}
			room = min(room, left/max(c.addedLoadOn(s, r, 1), 0.01))
		}
		next := min(fullSpeed, r.desiredSpeed+int(fullSpeed*max(0, room)/max(r.fullShare(), minShare)))
		if next < minSpeed || next <= r.desiredSpeed {
			return
		}
		c.changeSpeed(r, next, SpeedRoom)
	}
}

// remaining returns the time that a run still needs at full speed.
func (r *run) remaining() time.Duration {
	return time.Duration(float64(r.task.step.spec.Estimate) * (1 - float64(min(r.percent, 100))/100))
}

// movePaused moves a paused run to a worker on which it does not interfere. The work
// since its last checkpoint is lost, so only a run that has much left is moved.
func (c *Cell) movePaused(r *run) {
	if r.state != runConfirmed || r.desiredSpeed > 0 || r.speed > 0 || c.now.Steady-r.speedChangedAt < movePause || r.remaining() < minMoveBenefit {
		return
	}
	c.moveAway(r)
}

// evenMixedMilliCPU is the capacity of the servers on which serving tasks of several
// images cost as much as without room for serving tasks.
const evenMixedMilliCPU = 64000.0

// mixedCost returns the cost of a serving task on a worker with serving tasks of other
// images. A few serving tasks fill a small server, and leave no room there that a
// second image could spoil for best-effort tasks; packed, they leave other servers to
// these.
func (c *Cell) mixedCost(w *worker) float64 {
	if !c.settings.ServingRoom {
		return costMixed
	}
	return costMixed * min(1, float64(w.server.Capacity.MilliCPU)/evenMixedMilliCPU)
}

// evenServingTasks is the number of serving tasks on a server for which an added load
// counts the same with and without room for serving tasks.
const evenServingTasks = 2

// addedLoad returns the load that a best-effort task adds to the serving tasks of a
// worker, as it counts in the cost. A task that adds more than expected makes all of
// them miss their targets, so with room for serving tasks their sum counts.
func (c *Cell) addedLoad(w *worker, mean float64) float64 {
	if !c.settings.ServingRoom {
		return mean
	}
	// Bounded, so that it never costs more than a missed target.
	return min(mean*float64(w.throttling.serving)/evenServingTasks, max(mean, costInterferes/costPressure))
}
