package cell

import (
	"slices"
	"time"
)

// A worker that starts again under its identifier knows nothing of before, and its clock
// starts anew. A call to its former incarnation that had no answer may still be carried
// out by the present one: the deadline of a lease, on the former clock, is then cut at the
// longest lease, a start is not refused by a stop that only the former incarnation has
// seen, and an acknowledgement makes it forget ends that the holder does not know. Each
// incarnation that the holder learns of is therefore a generation with a fencing token of
// its own: from its first answer to a call with that token on, the worker refuses what was
// sent to former ones, and its lists show all that they have started.

// leaseCalls are the holds with a lease that have no answer of the present incarnation of
// a worker. Such a hold may be carried out seconds later, also by the next incarnation.
type leaseCalls struct {
	hold, extraHold time.Duration // when those in flight were sent; 0 if they carry no lease
	deadline        time.Duration // of the newest one, on the worker's clock
	unanswered      time.Duration // when the newest one without an answer was sent; 0 if there is none
}

func (l *leaseCalls) sent(now, deadline time.Duration, extra bool) {
	l.deadline = deadline
	if extra {
		l.extraHold = now
	} else {
		l.hold = now
	}
}

// ended applies the end of a hold; answered means that the present incarnation has
// answered it.
func (l *leaseCalls) ended(extra, answered bool) {
	sent := &l.hold
	if extra {
		sent = &l.extraHold
	}
	if !answered {
		l.unanswered = max(l.unanswered, *sent)
	}
	*sent = 0
}

// newest returns when the newest hold with a lease that has no answer was sent; 0 if
// there is none.
func (l *leaseCalls) newest() time.Duration { return max(l.hold, l.extraHold, l.unanswered) }

// sinceMs returns the time since newest in milliseconds; -1 if there is none.
func (l *leaseCalls) sinceMs(now time.Duration) int64 {
	if l.newest() == 0 {
		return -1
	}
	return (now - l.newest()).Milliseconds()
}

// noteRestart logs a restart of a worker with the lease that a late call to the former
// incarnation may grant to the next one.
func (c *Cell) noteRestart(w *worker, incarnation int64) {
	c.emit(Note{Event: NoteWorkerRestarted, Server: w.server.ID, Detail: map[string]any{
		"born": incarnation, "before": w.incarnation, "generation": w.generation + 1, "runs": len(w.runs), "heard_ms_ago": (c.now.Steady - w.lastAnswerAt).Milliseconds(),
		"lease_call_ms_ago": w.leaseCalls.sinceMs(c.now.Steady), "lease_call_deadline_ms": w.leaseCalls.deadline.Milliseconds(),
	}})
}

// longestLease returns the time, on the holder's clock, that the longest lease may take.
func (c *Cell) longestLease() time.Duration {
	return time.Duration(float64(c.settings.MaxLease) / (1 - clockDrift))
}

// latestLeaseEnd returns the end of the longest lease that a call sent at the given time
// can grant.
func (c *Cell) latestLeaseEnd(sent time.Duration) time.Duration {
	return sent + maxOrderDelay + c.longestLease()
}

// longestWait returns how long a new holder waits for a worker that no lease record names.
func (c *Cell) longestWait() time.Duration {
	return c.settings.AuthorityBound + time.Duration(float64(c.settings.Lease)/(1-clockDrift)) + clockMargin
}

// expectLateLease raises lateOrderUntil by the holds to former incarnations of a worker
// that may still be carried out.
func (c *Cell) expectLateLease(w *worker) {
	if sent := w.leaseCalls.newest(); sent > 0 {
		w.lateOrderUntil = max(w.lateOrderUntil, c.latestLeaseEnd(sent))
	}
	if authority := c.restoredAt + c.settings.AuthorityBound; c.round > 1 && c.now.Steady < c.latestLeaseEnd(authority) {
		w.lateOrderUntil = max(w.lateOrderUntil, c.latestLeaseEnd(authority)) // by calls of an earlier holder
	}
}

// callFenced handles a call that a worker has refused because it has received a higher
// token. Only that of another holder is higher than that of the present generation.
func (c *Cell) callFenced(w *worker, generation int) {
	if generation == w.generation {
		c.emit(Superseded{Server: w.server.ID})
	}
}

// boundLateLease lowers lateOrderUntil when the present incarnation of a worker refuses
// all calls to former ones: those carried out before have granted the longest lease.
func (c *Cell) boundLateLease(w *worker) {
	w.lateOrderUntil = min(w.lateOrderUntil, c.now.Steady+c.longestLease())
	c.awaitLeaseRecord(w)
}

// awaitLeaseRecord keeps a worker from use until a durable record tells a later holder
// how long its lease may last, if that is longer than a holder assumes.
func (c *Cell) awaitLeaseRecord(w *worker) {
	if w.lateOrderUntil-c.now.Steady > c.longestWait() {
		w.awaitsLeaseRecord, c.nextBatch.leases = true, true
	}
}

// settledStart is a start without an answer that the incarnation of its time has not
// carried out, and refuses since.
type settledStart struct {
	task      *task
	attempt   int
	orderedAt time.Duration
}

// startSettledUnanswered keeps a start without an answer that is settled, until it can
// no longer be carried out.
func (c *Cell) startSettledUnanswered(r *run) {
	w := r.worker
	w.dropSettledStarts(c.now.Steady)
	if r.confirmedAt == 0 && !r.listed && c.now.Steady < r.orderedAt+maxOrderDelay {
		w.settledStarts = append(w.settledStarts, settledStart{task: r.task, attempt: r.key.attempt, orderedAt: r.orderedAt})
	}
}

func (w *worker) dropSettledStarts(now time.Duration) {
	w.settledStarts = slices.DeleteFunc(w.settledStarts, func(s settledStart) bool { return now >= s.orderedAt+maxOrderDelay })
}

// trackSettledStarts tracks the settled starts that a new incarnation may carry out as
// uncertain runs, until its lists show whether it has. A task that waits does not start
// elsewhere before that.
func (c *Cell) trackSettledStarts(w *worker) {
	w.dropSettledStarts(c.now.Steady)
	for _, settled := range w.settledStarts {
		t, key := settled.task, runKey{settled.task.ref(), settled.attempt}
		if w.runs[key] != nil || c.jobs[key.task.Job] != t.step.occurrence.job {
			continue
		}
		r := c.addRun(t, w, settled.attempt, runUncertain)
		r.orderedAt, r.reason, r.generation = settled.orderedAt, "start_unanswered", w.generation-1
		t.step.waiting = slices.DeleteFunc(t.step.waiting, func(i int) bool { return i == t.index })
		w.lateOrderUntil = max(w.lateOrderUntil, c.latestLeaseEnd(settled.orderedAt))
	}
	w.settledStarts = nil
}

// expectsLateCalls reports whether calls to former incarnations of a worker may still be
// carried out or have an effect.
func (c *Cell) expectsLateCalls(w *worker) bool {
	w.dropSettledStarts(c.now.Steady)
	sent := w.leaseCalls.newest()
	return len(w.settledStarts) > 0 || c.now.Steady < w.lateOrderUntil || sent > 0 && c.now.Steady < c.latestLeaseEnd(sent)
}
