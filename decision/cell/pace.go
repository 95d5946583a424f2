package cell

import (
	"cmp"
	"slices"
	"time"
)

// fullPace is the pace of a run at its start, in percent.
const fullPace = 100

// pacing watches the targets on one worker.
type pacing struct {
	serving   int  // lasting tasks with a target
	watched   bool // some task there has a target and some fills
	changedAt time.Duration
	overSince time.Duration
	calmSince time.Duration
}

const (
	// overBeforePace is how long a target may be missed before the tasks that
	// fill are slowed down. The figures cover half a second, and the platform
	// bounds the time over the target at several seconds.
	overBeforePace = 400 * time.Millisecond
	// calmBeforeRaise is how long targets must be kept before a pace rises.
	calmBeforeRaise = 1200 * time.Millisecond
	// keepShare is the share of its target that a paced or newly placed task
	// may bring a tail to.
	keepShare = 0.85
	// calmShare is the share of its target below which a tail counts as calm.
	calmShare = 0.75
	// paceFloor is the pace below which a run is held altogether.
	paceFloor = 15
	// paceRaise is the step by which a pace rises again.
	paceRaise = 30
)

// serving returns the confirmed runs with a target that work at full speed.
func (w *worker) servingRuns() []*run {
	var list []*run
	for _, r := range w.sortedRuns() {
		if r.task.of.step.Lasting && r.task.of.step.Target > 0 && r.state == runConfirmed {
			list = append(list, r)
		}
	}
	return list
}

// fillingRuns returns the confirmed runs that fill.
func (w *worker) fillingRuns() []*run {
	var list []*run
	for _, r := range w.sortedRuns() {
		if r.fills && r.state == runConfirmed {
			list = append(list, r)
		}
	}
	return list
}

func (r *run) target() float64 { return float64(r.task.of.step.Target.Milliseconds()) }

// share is the part of the server's processor that a run uses.
func (r *run) share() float64 {
	return float64(r.figure) / float64(max(1, r.worker.server.Capacity.MilliCPU))
}

// pace learns from a new list and slows the tasks that fill beside tasks that
// miss their target.
func (c *Cell) pace(w *worker) {
	serving, fills := w.servingRuns(), w.fillingRuns()
	w.pacing.serving = len(serving)
	w.pacing.watched = len(serving) > 0 && len(fills) > 0
	if len(serving) == 0 {
		w.pacing.overSince, w.pacing.calmSince = 0, 0
		for _, r := range fills {
			c.setPace(r, fullPace)
		}
		return
	}
	c.learn(w, serving, fills)
	worst := 0.0
	for _, r := range serving {
		if r.percent >= fullPace {
			worst = max(worst, float64(r.figure)/r.target())
		}
	}
	c.paceBy(w, worst, serving, fills)
}

// learn takes in the figures when nothing has changed while they were made.
func (c *Cell) learn(w *worker, serving, fills []*run) {
	if c.now.Steady-w.pacing.changedAt < figureSpan {
		return
	}
	shares := sharesOf(fills)
	for _, r := range serving {
		if r.percent >= fullPace && r.figure > 0 {
			c.disturbance.observe(r.task.of.step.Image, r.target(), float64(r.figure), shares)
		}
	}
}

// sharesOf sums the shares of the runs by image.
func sharesOf(fills []*run) []imageShare {
	var shares []imageShare
	for _, r := range fills {
		image := r.task.of.step.Image
		at := slices.IndexFunc(shares, func(s imageShare) bool { return s.image == image })
		if at < 0 {
			shares = append(shares, imageShare{image: image})
			at = len(shares) - 1
		}
		shares[at].share += r.share()
	}
	return shares
}

func (c *Cell) paceBy(w *worker, worst float64, serving, fills []*run) {
	now, p := c.now.Steady, &w.pacing
	switch {
	case len(fills) == 0:
		p.overSince, p.calmSince = 0, 0
	case worst > 1:
		p.calmSince = 0
		if p.overSince == 0 {
			p.overSince = now
		}
		if now-p.overSince >= overBeforePace {
			c.relieve(serving, fills)
		}
	case worst < calmShare:
		p.overSince = 0
		if p.calmSince == 0 {
			p.calmSince = now
		}
		if now-p.calmSince >= calmBeforeRaise {
			p.calmSince = now
			c.raise(serving, fills)
		}
	default:
		p.overSince, p.calmSince = 0, 0
	}
	for _, r := range fills {
		c.setPace(r, r.pacedWant) // again, if the last order had no answer
	}
}

// contribution is by how much a run raises the tail of a serving run, in ms.
func (c *Cell) contribution(serving, filling *run) float64 {
	return c.disturbance.slope(serving.task.of.step.Image, filling.task.of.step.Image, serving.target()) * filling.share()
}

// relieve slows the runs that raise the tails most until every target is kept
// by the estimates, or moves them where they disturb nobody.
func (c *Cell) relieve(serving, fills []*run) {
	for _, s := range serving {
		over := float64(s.figure) - keepShare*s.target()
		if float64(s.figure) <= s.target() || s.percent < fullPace {
			continue
		}
		byHarm := slices.Clone(fills)
		slices.SortStableFunc(byHarm, func(a, b *run) int { return cmp.Compare(c.contribution(s, b), c.contribution(s, a)) })
		for _, f := range byHarm {
			if over <= 0 {
				break
			}
			part := c.contribution(s, f)
			if part <= 0 && f != byHarm[0] {
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
	want := int(float64(r.pacedWant) * min(keep, 0.7))
	if want < paceFloor {
		want = 0
	}
	if want < fullPace/2 && c.moveAway(r) {
		return
	}
	c.setPace(r, want)
}

// moveAway stops a run that can resume elsewhere, where it disturbs nobody.
func (c *Cell) moveAway(r *run) bool {
	t := r.task
	if !t.of.step.Checkpoints || t.of.step.Gang || t.saved == "" {
		return false
	}
	w := c.choose(t)
	if w == nil || w == r.worker || c.cost(w, t) >= costDisturbs {
		return false
	}
	c.stopRun(r, "disturbs")
	return true
}

// raise lets paced runs work faster while the targets stay kept by the
// estimates, those that disturb least first.
func (c *Cell) raise(serving, fills []*run) {
	paced := slices.DeleteFunc(slices.Clone(fills), func(r *run) bool { return r.pacedWant >= fullPace })
	slices.SortStableFunc(paced, func(a, b *run) int { return cmp.Compare(c.harmAt(serving, a, 1), c.harmAt(serving, b, 1)) })
	for _, r := range paced {
		next := min(fullPace, r.pacedWant+paceRaise)
		more := float64(next-r.pacedWant) / fullPace * float64(r.need.MilliCPU) / float64(max(1, r.worker.server.Capacity.MilliCPU))
		if c.harmAt(serving, r, more) > 1 {
			continue
		}
		c.setPace(r, next)
		return
	}
}

// harmAt returns the largest share of keepShare of its target that a serving
// run reaches when a filling run takes a further share of the server.
func (c *Cell) harmAt(serving []*run, filling *run, more float64) float64 {
	return c.harmOf(serving, filling.task.of.step.Image, more)
}

func (c *Cell) harmOf(serving []*run, image string, more float64) float64 {
	worst := 0.0
	for _, s := range serving {
		tail := float64(s.figure) + c.disturbance.slope(s.task.of.step.Image, image, s.target())*more
		worst = max(worst, tail/(keepShare*s.target()))
	}
	return worst
}

// setPace orders a pace unless it is in force.
func (c *Cell) setPace(r *run, want int) {
	if !c.authority || r.state != runConfirmed || want == r.pacedWant && r.paced == want {
		return
	}
	if want != r.pacedWant {
		c.do(Note{Event: NotePaced, Job: r.key.task.Job, Task: r.key.task.String(), Server: r.worker.server.ID, Detail: map[string]any{"percent": want, "before": r.pacedWant}})
		r.worker.pacing.changedAt = c.now.Steady
	}
	r.pacedWant = want
	c.do(Pace{Server: r.worker.server.ID, Address: r.worker.server.Address, Task: r.key.task, Attempt: r.key.attempt, Percent: want})
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
