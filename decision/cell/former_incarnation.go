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

// callFenced handles a call that a worker has refused because it has received a higher
// token. Only that of another holder is higher than that of the present generation.
func (c *Cell) callFenced(w *worker, generation int) {
	if generation == w.generation {
		c.emit(Superseded{Server: w.server.ID})
	}
}

// boundLateLease sets lateLeaseUntil when the present incarnation of a worker begins to
// refuse all calls to former ones: those that it has carried out before have granted the
// longest lease.
func (c *Cell) boundLateLease(w *worker) {
	if w.generation == 0 && (w.recordedIncarnation == 0 || w.incarnation == w.recordedIncarnation) {
		return // it has not restarted
	}
	sent := max(w.leaseCalls.newest(), w.newestUnanswered())
	if c.round > 1 {
		sent = max(sent, c.restoredAt+c.settings.AuthorityBound) // by an earlier holder
	}
	if w.stored && !slices.Contains(c.nextBatch.servers, w) {
		c.nextBatch.servers = append(c.nextBatch.servers, w) // until then, a later holder counts on late calls
	}
	if sent > 0 {
		w.lateLeaseUntil = max(w.lateLeaseUntil, min(c.now.Steady, sent+maxOrderDelay)+c.longestLease())
	}
	c.awaitLeaseRecord(w)
}

// awaitLeaseRecord keeps a worker from use until a durable record tells a later holder
// how long its lease may last, if that is longer than a holder assumes.
func (c *Cell) awaitLeaseRecord(w *worker) {
	if w.lateLeaseUntil-c.now.Steady > c.longestWait() {
		w.awaitsLeaseRecord, c.nextBatch.leases = true, true
	}
}

// expectsLateCalls reports whether calls to former incarnations of a worker may still be
// carried out or have an effect.
func (c *Cell) expectsLateCalls(w *worker) bool {
	w.dropSettledStarts(c.now.Steady)
	sent := w.leaseCalls.newest()
	return len(w.settledStarts) > 0 || c.now.Steady < w.lateLeaseUntil || sent > 0 && c.now.Steady < c.latestLeaseEnd(sent)
}
