package cell

import "time"

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
		"born": incarnation, "before": w.incarnation, "runs": len(w.runs), "heard_ms_ago": (c.now.Steady - w.lastAnswerAt).Milliseconds(),
		"lease_call_ms_ago": w.leaseCalls.sinceMs(c.now.Steady), "lease_call_deadline_ms": w.leaseCalls.deadline.Milliseconds(),
	}})
}
