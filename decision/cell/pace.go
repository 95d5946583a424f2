package cell

import (
	"time"
)

// fullPace is the pace of a run at its start, in percent.
const fullPace = 100

// pacing watches the targets on one worker.
type pacing struct {
	serving   int  // lasting tasks with a target
	watched   bool // some task there has a target and some fills
	overSince time.Duration
	calmSince time.Duration
}

const (
	// overBeforePace is how long a target may be missed before the tasks that
	// fill are slowed down. The figures cover half a second, and the platform
	// bounds the time over the target at several seconds.
	overBeforePace = 600 * time.Millisecond
	// calmBeforeRaise is how long targets must be kept before the pace rises.
	calmBeforeRaise = 1500 * time.Millisecond
	// calmShare is the share of its target below which a tail counts as calm.
	calmShare = 0.7
	// paceFloor is the pace below which a run is held altogether.
	paceFloor = 15
	// paceRaise is the step by which a pace rises again.
	paceRaise = 25
)

// pace slows the tasks that fill beside tasks that miss their target.
func (c *Cell) pace(w *worker) {
	worst, fills := 0.0, false
	w.pacing.serving = 0
	for _, r := range w.runs {
		if r.fills {
			fills = true
		}
		target := r.task.of.step.Target
		if !r.task.of.step.Lasting || target <= 0 {
			continue
		}
		w.pacing.serving++
		if r.percent >= fullPace {
			worst = max(worst, float64(r.figure)/float64(target.Milliseconds()))
		}
	}
	w.pacing.watched = fills && w.pacing.serving > 0
	if !w.pacing.watched {
		w.pacing.overSince, w.pacing.calmSince = 0, 0
		c.paceAll(w, func(int) int { return fullPace })
		return
	}
	c.paceBy(w, worst)
}

func (c *Cell) paceBy(w *worker, worst float64) {
	now := c.now.Steady
	switch {
	case worst > 1:
		w.pacing.calmSince = 0
		if w.pacing.overSince == 0 {
			w.pacing.overSince = now
		}
		if now-w.pacing.overSince >= overBeforePace {
			c.paceAll(w, func(at int) int {
				if at/2 < paceFloor {
					return 0
				}
				return at / 2
			})
		}
	case worst < calmShare:
		w.pacing.overSince = 0
		if w.pacing.calmSince == 0 {
			w.pacing.calmSince = now
		}
		if now-w.pacing.calmSince >= calmBeforeRaise {
			w.pacing.calmSince = now
			c.paceAll(w, func(at int) int { return min(fullPace, at+paceRaise) })
		}
	default:
		w.pacing.overSince, w.pacing.calmSince = 0, 0
	}
}

// paceAll gives each task that fills a new pace.
func (c *Cell) paceAll(w *worker, next func(at int) int) {
	if !c.authority {
		return
	}
	for _, r := range w.sortedRuns() {
		if !r.fills || r.state != runConfirmed {
			continue
		}
		want := next(r.pacedWant)
		if want == r.pacedWant && r.paced == want {
			continue
		}
		if want != r.pacedWant {
			c.do(Note{Event: NotePaced, Job: r.key.task.Job, Task: r.key.task.String(), Server: w.server.ID, Detail: map[string]any{"percent": want, "before": r.pacedWant}})
		}
		r.pacedWant = want
		c.do(Pace{Server: w.server.ID, Address: w.server.Address, Task: r.key.task, Attempt: r.key.attempt, Percent: want})
	}
}

func (c *Cell) paceAnswered(e PaceAnswered) {
	w := c.workers[e.Server]
	if w == nil || !e.OK {
		return
	}
	if r := w.runs[runKey{e.Task, e.Attempt}]; r != nil {
		r.paced = e.Percent
		r.movedAt = c.now.Steady
	}
}
