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
	serving   int  // runs with a target, confirmed or not
	watched   bool // some task there has a target and some fills
	overSince time.Duration
	pacedAt   time.Duration // last change of a pace
}

const (
	// overBeforePace is how long a target may be missed before the tasks that
	// fill are slowed down. The figures cover half a second, and the platform
	// bounds the time over the target at several seconds.
	overBeforePace = 400 * time.Millisecond
	// holdShare is the share of the platform's bound after which all of them are
	// held, whatever the estimates say: two more figures fit into the rest.
	holdShare = 0.425
	// paceFloor is the pace below which a run is held altogether.
	paceFloor = 15
	// movePace is the pace below which a run is moved, if that helps: a move
	// costs the time of a stop and a restore, which is as long as a usual task.
	movePace = 35
	// maxMoves bounds the moves of one task.
	maxMoves = 2
	// heldFor is how long a run may be held before it gives its place up.
	heldFor = 1500 * time.Millisecond
)

// survey brings the lists of serving and filling runs and the loads on the
// serving ones up to date after a change on the worker.
func (c *Cell) survey(w *worker) {
	if !w.unsurveyed {
		return
	}
	w.unsurveyed = false
	w.serving, w.fills = w.serving[:0], w.fills[:0]
	for _, r := range w.list {
		if r.state != runConfirmed {
			continue
		}
		if r.serves() {
			w.serving = append(w.serving, r)
		} else if r.fills {
			w.fills = append(w.fills, r)
		}
	}
	for _, s := range w.serving {
		s.pressed = 0
		// Starts that are on their way press too, or the tasks of a step would all
		// be placed by the same figures.
		for _, f := range w.list {
			if f.fills && f.state != runStopping {
				s.pressed += c.disturbance.pressure(s.image, f.image) * f.fullShare() * float64(f.pacedWant) / fullPace
			}
		}
		s.limit = c.disturbance.limit(s.image, s.target())
	}
}

// serves reports whether a run has a target to keep.
func (r *run) serves() bool { return r.task.of.step.LongRunning && r.task.of.step.LatencyTarget > 0 }

func (r *run) target() float64 { return float64(r.task.of.step.LatencyTarget.Milliseconds()) }

// share is the part of the server's processor that a run uses.
func (r *run) share() float64 {
	return float64(r.figure) / float64(max(1, r.worker.server.Capacity.MilliCPU))
}

// fullShare is the part that a filling run uses at full pace.
func (r *run) fullShare() float64 {
	return float64(r.need.MilliCPU) / float64(max(1, r.worker.server.Capacity.MilliCPU))
}

// pace learns from a new list and slows the tasks that fill beside tasks that
// miss their target.
func (c *Cell) pace(w *worker) {
	w.unsurveyed = true
	c.survey(w)
	serving, fills := slices.Clone(w.serving), slices.Clone(w.fills)
	w.pacing.watched = len(serving) > 0 && len(fills) > 0
	if len(serving) == 0 {
		w.pacing.overSince = 0
		for _, r := range fills {
			c.setPace(r, fullPace)
		}
		return
	}
	c.learn(w, serving)
	switch over := slices.ContainsFunc(serving, (*run).missesTarget); {
	case over && w.pacing.overSince == 0:
		w.pacing.overSince = c.now.Steady
	case !over && !slices.ContainsFunc(serving, (*run).nearsTarget):
		w.pacing.overSince = 0
	}
	if len(fills) > 0 {
		c.paceBy(w, serving, fills)
	}
}

// learn takes in the figures of a list. Lists come more often than figures, so
// that one without a new figure teaches nothing.
func (c *Cell) learn(w *worker, serving []*run) {
	w.noteShares(c.now.Steady)
	if !slices.ContainsFunc(serving, func(r *run) bool { return r.figure != r.learnt }) {
		return
	}
	window := w.segments(c.now.Steady)
	for _, r := range serving {
		r.learnt = r.figure
		if r.percent < fullPace || r.figure <= 0 {
			continue
		}
		s := &r.task.of.served
		left, quiet := c.disturbance.observe(r.image, r.target(), float64(r.figure), s.load(c.now.Steady-figureLag), window)
		if quiet {
			s.add(c.now.Steady, left, 1)
		} else {
			s.add(c.now.Steady, left, pressedTrust)
		}
	}
}

// pressedTrust is the trust in the load of a task on which filling tasks press:
// most of an error is that of their pressure.
const pressedTrust = 0.25

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

func (c *Cell) paceBy(w *worker, serving, fills []*run) {
	now, p := c.now.Steady, &w.pacing
	over := p.overSince > 0
	switch {
	case now-p.pacedAt < figureSpan:
		// The figures do not show the last change yet.
	case over && now-p.overSince >= time.Duration(holdShare*float64(c.settings.MaxTimeOverTarget)):
		for _, r := range fills {
			c.slowDown(r, 0)
		}
	case over && now-p.overSince >= overBeforePace:
		c.relieve(serving, fills)
	case !over:
		c.raise(serving, fills)
	}
	for _, r := range fills {
		c.setPace(r, r.pacedWant) // again, if the last order had no answer
	}
}

func (r *run) missesTarget() bool {
	return r.percent >= fullPace && float64(r.figure) > r.target()
}

// nearShare is the share of a target above which a rough figure may stand for a
// tail over it: figures are off by one part in twenty.
const nearShare = 0.95

// nearsTarget reports whether the tail may still be over the target. A figure below
// it by chance must not begin the platform's bound anew.
func (r *run) nearsTarget() bool {
	return r.percent >= fullPace && float64(r.figure) > nearShare*r.target()
}

// pressureOn is the load that a filling run adds to a serving one at a share of
// the server.
func (c *Cell) pressureOn(serving, filling *run, share float64) float64 {
	return c.disturbance.pressure(serving.image, filling.image) * share
}

// relieve slows the runs that press most until every target is kept by the
// estimates, or moves them where they disturb nobody.
func (c *Cell) relieve(serving, fills []*run) {
	for _, s := range serving {
		if !s.missesTarget() {
			continue
		}
		over := c.disturbance.load(s.image, s.target(), float64(s.figure)) - s.limit
		byHarm := slices.Clone(fills)
		slices.SortStableFunc(byHarm, func(a, b *run) int {
			return cmp.Compare(c.pressureOn(s, b, b.share()), c.pressureOn(s, a, a.share()))
		})
		for i, f := range byHarm {
			part := c.pressureOn(s, f, f.share())
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
	want := int(float64(r.pacedWant) * min(keep, 0.7))
	if want < paceFloor {
		want = 0
	}
	if want < movePace && c.moveAway(r) {
		return
	}
	c.setPace(r, want)
}

// moveAway stops a run that can resume elsewhere, where it disturbs nobody.
func (c *Cell) moveAway(r *run) bool {
	t := r.task
	if !t.of.step.Checkpoints || t.of.step.Gang || t.moves >= maxMoves {
		return false
	}
	w, cost := c.choose(t)
	if w == nil || w == r.worker || cost >= costDisturbs {
		return false
	}
	t.moves++
	c.stopRun(r, "disturbs")
	return true
}

// raise lets paced runs work as fast as the targets allow by the estimates,
// those that press least first, and moves one that has been held for long.
func (c *Cell) raise(serving, fills []*run) {
	paced := slices.DeleteFunc(slices.Clone(fills), func(r *run) bool { return r.pacedWant >= fullPace })
	slices.SortStableFunc(paced, func(a, b *run) int {
		return cmp.Compare(c.worstPressure(serving, a), c.worstPressure(serving, b))
	})
	for _, r := range paced {
		room := c.roomFor(serving, r)
		next := min(fullPace, r.pacedWant+int(fullPace*room/max(r.fullShare(), minShare)))
		if next >= paceFloor && next > r.pacedWant {
			c.setPace(r, next)
			return
		}
		if c.now.Steady-r.pacedAt > heldFor && r.pacedWant == 0 && c.moveAway(r) {
			return
		}
	}
}

func (c *Cell) worstPressure(serving []*run, filling *run) float64 {
	worst := 0.0
	for _, s := range serving {
		worst = max(worst, c.pressureOn(s, filling, 1))
	}
	return worst
}

// roomFor is the further share of the server that a filling run may use while
// every target stays kept.
func (c *Cell) roomFor(serving []*run, filling *run) float64 {
	room := 1.0
	for _, s := range serving {
		left := s.limit - c.disturbance.load(s.image, s.target(), float64(s.figure))
		room = min(room, left/max(c.pressureOn(s, filling, 1), 0.01))
	}
	return max(0, room)
}

// harm is what a further filling task would do to the serving tasks on a worker.
type harm struct {
	count int     // tasks that would miss their target
	worst float64 // largest load over the limit, negative below it
	mean  float64 // load that it adds on average
}

// tryBeside notes the serving images beside which a filling run starts.
func (c *Cell) tryBeside(r *run) {
	if !r.fills {
		return
	}
	for _, other := range r.worker.list {
		if other.serves() {
			c.disturbance.try(other.image, r.image, c.now.Steady)
		}
	}
}

// placeMargin is kept below the limit when a filling task is placed: loads are
// known to a tenth.
const placeMargin = 0.1

func (c *Cell) harmBy(w *worker, image imageID, share float64) harm {
	c.survey(w)
	h := harm{worst: -1}
	for _, s := range w.serving {
		added := c.disturbance.pressure(s.image, image) * share
		after := s.task.of.served.highest(c.now.Steady) + s.pressed + added
		over := after + placeMargin - s.limit
		h.worst = max(h.worst, over)
		h.mean += added / float64(len(w.serving))
		if over > 0 || c.disturbance.trying(s.image, image, c.now.Steady) {
			h.count++
		}
	}
	return h
}

// setPace orders a pace unless it is in force.
func (c *Cell) setPace(r *run, want int) {
	if !c.authority || r.state != runConfirmed || want == r.pacedWant && r.paced == want {
		return
	}
	if want != r.pacedWant {
		c.do(Note{Event: NoteTaskThrottled, Job: r.key.task.Job, Task: r.key.task.String(), Server: r.worker.server.ID, Detail: map[string]any{"percent": want, "before": r.pacedWant}})
		r.worker.pacing.pacedAt, r.pacedAt = c.now.Steady, c.now.Steady
		r.worker.unsurveyed = true
	}
	r.pacedWant = want
	c.do(Throttle{Server: r.worker.server.ID, Address: r.worker.server.Address, Task: r.key.task, Attempt: r.key.attempt, Percent: want})
}

func (c *Cell) paceAnswered(e ThrottleAnswered) {
	w := c.workers[e.Server]
	if w == nil || !e.OK {
		return
	}
	if r := w.runs[runKey{e.Task, e.Attempt}]; r != nil {
		r.paced = e.Percent
		r.movedAt = c.now.Steady
		w.noteShares(c.now.Steady)
	}
}
