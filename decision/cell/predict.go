package cell

import "time"

// pace is a first observation of the progress of a run, from which a later one gives
// its speed. A run that starts afresh has made no progress when it is confirmed. One
// that resumes from a checkpoint, or that an earlier holder started, is measured from
// the first list that names it.
type pace struct {
	known   bool
	percent int
	at      time.Duration
}

// minPaceShare is the fraction of a run, in percent, from which its progress says more
// about its end than the estimate of its step. Percents are rounded.
const minPaceShare = 10

// overdueGrowth is the fraction of the time that a run has taken by which a run whose
// predicted end has passed, and that shows no progress, is expected to go on. The
// longer it has taken, the longer it is expected to take.
const overdueGrowth = 0.5

// declaredRunTime returns how long a run of a task takes on a worker by the caller's
// estimate.
func (c *Cell) declaredRunTime(w *worker, t *task) time.Duration {
	s := t.step.spec
	if s.DataRack != "" && w.server.Rack() != s.DataRack {
		return time.Duration(c.settings.RemoteFactor * float64(s.Estimate))
	}
	return s.Estimate
}

// expectedRunTime returns how long a run of a task is expected to take on a worker, if
// it starts afresh: the median of its kind.
func (c *Cell) expectedRunTime(w *worker, t *task) time.Duration {
	base := c.declaredRunTime(w, t)
	if ratios := c.ratiosOf(t.step); ratios != nil {
		return scaled(base, ratios, 0.5)
	}
	return base
}

// expectedRemaining returns how long a run is expected to go on, and false for a run
// that does not end by itself or may not have started. Its own progress says most, then
// the run times of its kind, then the caller's estimate.
func (c *Cell) expectedRemaining(r *run) (time.Duration, bool) {
	if r.task.step.spec.LongRunning || r.state == runUncertain {
		return 0, false
	}
	if r.state == runStopping {
		return 0, true
	}
	elapsed := c.now.Steady - max(r.orderedAt, r.confirmedAt)
	base := c.declaredRunTime(r.worker, r.task)
	remaining := base - elapsed
	if made := r.percent - r.pace.percent; r.pace.known && made >= minPaceShare && r.progressAt > r.pace.at {
		perPercent := (r.progressAt - r.pace.at) / time.Duration(made)
		remaining = perPercent*time.Duration(fullSpeed-r.percent) - (c.now.Steady - r.progressAt)
	} else if ratios := c.ratiosOf(r.task.step); ratios != nil && base > 0 {
		remaining = expectedRest(base, elapsed, ratios)
	}
	if remaining <= 0 {
		return max(time.Duration(overdueGrowth*float64(elapsed)), clockMargin), true
	}
	return remaining, true
}

// observePace notes the first progress of a run that a list shows.
func (c *Cell) observePace(r *run, percent int) {
	if !r.pace.known {
		r.pace = pace{true, percent, c.now.Steady}
	}
}
