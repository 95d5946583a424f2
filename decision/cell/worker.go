package cell

import (
	"slices"
	"strings"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// runKey names a run on its worker.
type runKey struct {
	task    job.TaskRef
	attempt int
}

// worker is the agent on one backend server, in one of its lives.
type worker struct {
	server Server
	listed bool
	// stored means that a later holder will learn of this worker.
	stored bool
	// born is the life that answered last; 0 until the first answer.
	born   int64
	fenced bool
	// silent means that the last call got no answer; misses counts them.
	silent     bool
	misses     int
	silentAt   time.Duration
	heardAt    time.Duration
	donorUntil time.Duration // no lasting task is wanted until then
	oldUntil   time.Duration // an earlier holder may use it until then; 0 when not
	sample     clockSample
	granted    time.Duration // latest lease end sent, on the worker's clock
	// lateUntil is until when an order to an earlier life may still run in the
	// present one; 0 when none may.
	lateUntil time.Duration
	used      fleet.Resources
	fillCPU   int64
	runs      map[runKey]*run
	list      []*run // the same, in the order in which they were added
	// serving and fills are the confirmed runs with a target and those that
	// fill; unsurveyed means that they have to be looked up again.
	serving    []*run
	fills      []*run
	unsurveyed bool
	window     []shareChange // what the fills used lately
	// orphans is the room of listed runs that belong to no task; they are being
	// stopped. unknownOrphan means that the need of one is not known.
	orphans       fleet.Resources
	unknownOrphan bool
	holding       uint64        // number of the hold in flight, 0 when none
	holdAt        time.Duration // time of the next hold
	lookAt        time.Duration // time of an extra look; 0 when none is wanted
	looking       uint64
	lastList      time.Duration // worker clock of the newest list taken
	seen          int64         // highest end taken in
	recorded      int64         // highest end that may be acknowledged
	health        health
	pacing        pacing
}

// clockSample relates the worker's clock to the holder's.
type clockSample struct {
	known    bool
	clock    time.Duration
	received time.Duration
}

const (
	// holdWait is how long a worker may wait for an end before it answers.
	holdWait = 1800 * time.Millisecond
	// pacedWait is the wait at a server on which a target has to be watched.
	// The worker's figures cover half a second.
	pacedWait = 500 * time.Millisecond
	// silentRetry spaces the calls to a worker that did not answer.
	silentRetry = 250 * time.Millisecond
	// unrecordedRetry spaces the calls while ends wait for their record; the
	// worker answers at once as long as an end is not acknowledged.
	unrecordedRetry = 300 * time.Millisecond
	// drainLease is the lease at a server that leaves: whoever ends with it is
	// known to have ended soon after.
	drainLease = 1500 * time.Millisecond
	// lateOrder is for how long an order without an answer may still be carried
	// out; the platform states seconds, its troubles up to twelve.
	lateOrder = 12 * time.Second
	// lapseMargin covers the rounding of clocks to milliseconds.
	lapseMargin = 50 * time.Millisecond
)

// usable reports whether a run may be started on the worker.
func (w *worker) usable() bool {
	return w.listed && w.fenced && w.stored && !w.silent && !w.server.Draining
}

func (c *Cell) serverSeen(s Server) {
	w := c.workers[s.ID]
	if w == nil {
		w = c.addWorker(s)
		c.do(Note{Event: NoteWorkerListed, Server: s.ID, Detail: map[string]any{
			"service": s.Service, "rack": s.Rack(), "milli_cpu": s.Capacity.MilliCPU, "draining": s.Draining,
		}})
	}
	if s.Incarnation != 0 && w.born != 0 && s.Incarnation > w.born {
		c.newLife(w, s.Incarnation)
	}
	if s.Draining && !w.server.Draining {
		c.do(Note{Event: NoteWorkerListed, Server: s.ID, Detail: map[string]any{"draining": true}})
	}
	w.server, w.listed = s, true
	if !w.stored {
		c.gathering.servers = append(c.gathering.servers, w)
	}
	if s.Draining {
		c.vacate(w)
	}
	c.needsOrder = true
	c.holdIfDue(w)
}

func (c *Cell) addWorker(s Server) *worker {
	w := &worker{server: s, runs: map[runKey]*run{}}
	c.workers[s.ID] = w
	at, _ := slices.BinarySearchFunc(c.order, s.ID, func(w *worker, id fleet.BackendServerID) int {
		return strings.Compare(string(w.server.ID), string(id))
	})
	c.order = slices.Insert(c.order, at, w)
	return w
}

func (c *Cell) serverGone(id fleet.BackendServerID) {
	w := c.workers[id]
	if w == nil || !w.listed {
		return
	}
	w.listed = false
	c.do(Note{Event: NoteWorkerUnlisted, Server: id, Detail: map[string]any{"runs": len(w.runs), "silent": w.silent}})
}

// newLife resets what was known of an earlier life. After a restart the worker
// runs nothing, but an order that had no answer may still arrive there.
func (c *Cell) newLife(w *worker, born int64) {
	c.do(Note{Event: NoteWorkerRestarted, Server: w.server.ID, Detail: map[string]any{"born": born, "before": w.born, "runs": len(w.runs)}})
	w.born, w.fenced = born, false
	w.sample, w.granted = clockSample{}, 0
	w.seen, w.recorded, w.lastList = 0, 0, 0
	w.holdAt = 0
	for _, r := range slices.Clone(w.list) {
		if r.state == runOrdered || r.state == runUnsettled {
			c.setState(r, runUnsettled)
			r.stopped = false
			w.lateUntil = max(w.lateUntil, r.orderedAt+lateOrder+time.Duration(float64(c.settings.MaxLease)/(1-clockDrift)))
			c.sendStop(r)
			continue
		}
		c.runEnded(r, job.EndLost, "")
	}
}

// removeGone forgets workers that are not listed, do not answer and run nothing. A
// later holder waits for every worker that it has a record of, so that records of
// workers that have left would hold it up.
func (c *Cell) removeGone() {
	c.order = slices.DeleteFunc(c.order, func(w *worker) bool {
		if w.listed || len(w.runs) > 0 || w.orphaned() || w.misses == 0 || w.oldUntil > 0 {
			return false
		}
		if w.stored {
			c.gathering.drops = append(c.gathering.drops, serverKey(w.server.ID))
		}
		delete(c.workers, w.server.ID)
		return true
	})
}

// orphaned reports whether the newest list shows runs that belong to no task.
func (w *worker) orphaned() bool { return w.unknownOrphan || w.orphans != fleet.Resources{} }

// lapseBy is the time at which everything on the worker has surely ended if no
// further call reaches it.
func (w *worker) lapseBy() time.Duration {
	if w.granted == 0 || !w.sample.known {
		return w.lateUntil
	}
	left := float64(w.granted-w.sample.clock) / (1 - clockDrift)
	return max(w.lateUntil, w.sample.received+time.Duration(left)+lapseMargin)
}

// holdIfDue sends the next hold of a worker, or an extra look.
func (c *Cell) holdIfDue(w *worker) {
	if !c.authority {
		return
	}
	if w.holding == 0 && c.now.Steady >= w.holdAt {
		w.holding = c.sendHold(w, c.waitAt(w), false)
		return
	}
	if w.lookAt > 0 && c.now.Steady >= w.lookAt && w.looking == 0 {
		w.lookAt = 0
		w.looking = c.sendHold(w, 0, true)
	}
}

func (c *Cell) waitAt(w *worker) time.Duration {
	switch {
	case !w.fenced, w.silent, w.seen > w.recorded:
		return 0
	case w.pacing.watched:
		return pacedWait
	default:
		return holdWait
	}
}

func (c *Cell) sendHold(w *worker, wait time.Duration, extra bool) uint64 {
	c.holdNumber++
	h := Hold{Server: w.server.ID, Address: w.server.Address, Number: c.holdNumber, Ack: w.recorded, Wait: wait, Extra: extra}
	// A worker that does not answer gets no lease with the call: the call may
	// still be carried out, and its lease would never count as lapsed.
	if len(w.runs) > 0 && w.sample.known && !w.silent {
		h.Deadline = c.leaseEnd(w)
		w.granted = max(w.granted, h.Deadline)
	}
	c.do(h)
	return c.holdNumber
}

// leaseEnd returns the end of a lease that begins now, on the worker's clock.
func (c *Cell) leaseEnd(w *worker) time.Duration {
	lease := c.settings.Lease
	if w.server.Draining {
		lease = drainLease
	}
	return (w.sample.clock + c.now.Steady - w.sample.received + lease).Truncate(time.Millisecond)
}

// held takes in the answer to a hold.
func (c *Cell) held(e HoldAnswered) {
	w := c.workers[e.Server]
	if w == nil {
		return
	}
	extra := e.Number == w.looking && e.Number != 0
	switch e.Number {
	case w.holding:
		w.holding = 0
	case w.looking:
		w.looking = 0
	default:
		return // an answer to a hold of an earlier holder duty
	}
	switch {
	case e.Fenced:
		c.do(Superseded{Server: e.Server})
		w.holdAt = c.now.Steady + silentRetry
		return
	case !e.OK:
		c.unanswered(w, extra, e.OtherIncarnation)
		return
	}
	c.answered(w, e)
	w.holdAt = c.now.Steady
	if w.seen > w.recorded {
		w.holdAt += unrecordedRetry // or as soon as the ends are recorded
	}
	c.holdIfDue(w)
}

func (c *Cell) unanswered(w *worker, extra, otherLife bool) {
	if extra {
		w.lookAt = c.now.Steady + silentRetry
		return
	}
	if !w.silent {
		w.silent, w.silentAt = true, c.now.Steady
		c.do(Note{Event: NoteWorkerUnreachable, Server: w.server.ID, Detail: map[string]any{
			"runs": len(w.runs), "heard_ms_ago": (c.now.Steady - w.heardAt).Milliseconds(),
			"lease_left_ms": (w.lapseBy() - c.now.Steady).Milliseconds(), "other_life": otherLife,
		}})
	}
	w.misses++
	w.holdAt = c.now.Steady + silentRetry
	if otherLife {
		c.replaced(w)
	}
}

// replaced ends what ran on a worker at whose address another one answers: its
// life is over, and orders that name it are refused there.
func (c *Cell) replaced(w *worker) {
	w.oldUntil = 0
	for _, r := range slices.Clone(w.list) {
		c.runEnded(r, job.EndLost, "")
	}
	c.checkBlocked()
	c.needsOrder = true
}

func (c *Cell) answered(w *worker, e HoldAnswered) {
	if e.Incarnation != 0 && w.born != 0 && e.Incarnation < w.born {
		return // a late answer of an earlier life
	}
	if w.born != 0 && e.Incarnation > w.born {
		c.newLife(w, e.Incarnation)
	}
	if w.silent {
		c.do(Note{Event: NoteWorkerReachable, Server: w.server.ID, Detail: map[string]any{"silent_ms": (c.now.Steady - w.silentAt).Milliseconds()}})
		w.silent = false
		c.needsOrder = true
	}
	w.misses, w.born, w.heardAt = 0, e.Incarnation, c.now.Steady
	w.takeClock(e.Clock, c.now.Steady)
	if !w.fenced {
		w.fenced, w.oldUntil = true, 0
		c.do(Note{Event: NoteWorkerFenced, Server: w.server.ID, Detail: map[string]any{
			"running": len(e.Running), "finished": len(e.Finished), "born": e.Incarnation,
		}})
		c.checkBlocked()
		c.needsOrder = true
	}
	c.takeEnds(w, e.Finished)
	if e.Clock >= w.lastList {
		w.lastList = e.Clock
		c.takeRunning(w, e)
	}
	c.pace(w)
}

func (w *worker) takeClock(clock, received time.Duration) {
	if clock == 0 {
		return
	}
	// The sample that puts the worker's clock furthest ahead is the sharpest:
	// the others spent longer on the way.
	if w.sample.known && clock-w.sample.clock < received-w.sample.received && received-w.sample.received < sampleAge {
		return
	}
	w.sample = clockSample{known: true, clock: clock, received: received}
}

// sampleAge bounds the drift within the life of a clock sample: 2 % of it.
const sampleAge = 2 * time.Second

// checkLapse ends the runs of a worker that does not answer once its lease has
// surely run out.
func (c *Cell) checkLapse(w *worker) {
	if w.oldUntil > 0 && c.now.Steady >= w.oldUntil && w.silent {
		w.oldUntil = 0
		c.do(Note{Event: NoteWorkerLeaseExpired, Server: w.server.ID, Detail: map[string]any{"holder": "earlier"}})
	}
	if !w.silent || len(w.runs) == 0 || c.now.Steady < w.lapseBy() {
		return
	}
	c.do(Note{Event: NoteWorkerLeaseExpired, Server: w.server.ID, Detail: map[string]any{
		"runs": len(w.runs), "silent_ms": (c.now.Steady - w.silentAt).Milliseconds(),
	}})
	for _, r := range slices.Clone(w.list) {
		c.runEnded(r, job.EndLeaseExpired, "")
	}
	c.needsOrder = true
}

// checkBlocked ends the block on tasks of restored jobs when every worker that
// an earlier holder may have used is fenced or has surely lapsed.
func (c *Cell) checkBlocked() {
	if !c.blocked || !c.listRead {
		return
	}
	for _, w := range c.order {
		if w.oldUntil > 0 {
			return
		}
	}
	c.blocked = false
	c.needsOrder = true
	c.do(Note{Event: NoteUnblocked, Detail: map[string]any{"workers": len(c.order)}})
}
