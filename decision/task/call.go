package task

import (
	"time"
)

// queueCall queues the call that the run's phase requires, if any.
func (l *Ledger) queueCall(now time.Time, u *run) {
	if u.queued || u.call != 0 || now.Before(u.callNotBefore) || l.servers[u.server.id] != u.server || u.server.runs[u.ref] != u {
		return
	}
	switch u.phase {
	case starting, evicting, stopping:
		u.queued = true
		u.server.queue = append(u.server.queue, u)
		l.issueCalls(now, u.server)
	}
}

// queueCallAt queues the run's call at a later time.
func (l *Ledger) queueCallAt(at time.Time, u *run) {
	u.callNotBefore = at
	l.timers.add(at, func(now time.Time) { l.queueCall(now, u) })
}

// issueCalls issues queued calls within CallsPerServer and MaxCalls. It issues no
// call after the partition's lease has expired, and no start call while the
// renewals of the server are stopped, because a start grants a new lease.
func (l *Ledger) issueCalls(now time.Time, s *server) {
	if !now.Before(s.holding.until) {
		return // renew calls issueCalls again
	}
	for len(s.queue) > 0 && len(s.inFlight) < l.settings.CallsPerServer && l.calls < l.settings.MaxCalls {
		u := s.queue[0]
		s.queue = s.queue[1:]
		u.queued = false
		if u.phase == starting && s.renewalsStopped {
			continue // checkContact ends it as not started after the leases expire
		}
		if c, ok := l.newRunCall(now, u); ok {
			u.call = c.ID
			s.inFlight[c.ID] = true
			l.calls++
			l.out.Calls = append(l.out.Calls, c)
			l.addCallTimeout(s, c)
		}
	}
}

// addCallTimeout ends a call as CallUnknown if its result does not arrive, which
// happens when the runner duty that executed it has failed.
func (l *Ledger) addCallTimeout(s *server, c Call) {
	l.timers.add(c.NotAfter.Add(l.settings.CallTimeout), func(now time.Time) {
		if s.inFlight[c.ID] {
			l.CallDone(now, CallResult{Call: c, Outcome: CallUnknown, Reason: "no result of the call"})
		}
	})
}

func (l *Ledger) newCall(now time.Time, s *server, k CallKind) Call {
	l.nextCall++
	c := Call{
		ID: l.nextCall, Kind: k, Server: s.id, Partition: s.holding.partition, Epoch: s.holding.epoch,
		NotAfter: now.Add(l.settings.CallTimeout),
	}
	if s.holding.until.Before(c.NotAfter) {
		c.NotAfter = s.holding.until
	}
	return c
}

func (l *Ledger) newRunCall(now time.Time, u *run) (Call, bool) {
	kinds := map[phase]CallKind{starting: StartCall, evicting: CheckpointCall, stopping: StopCall}
	kind, ok := kinds[u.phase]
	if !ok {
		return Call{}, false
	}
	c := l.newCall(now, u.server, kind)
	c.Task, c.Attempt = u.ref, u.attempt
	if kind == StartCall {
		j, t := l.fold.find(u.ref)
		c.Lease, c.WorkKind, c.Resources = l.settings.Lease, j.spec.Kind, j.spec.Resources
		c.RunTime, c.Parameters, c.Checkpoint = j.spec.RunTime, j.spec.Parameters, t.checkpoint()
		u.server.lastLeaseAt = now
	}
	return c, true
}

// CallDone processes the result of a call.
func (l *Ledger) CallDone(now time.Time, r CallResult) {
	s := l.servers[r.Call.Server]
	if s == nil || s.holding.epoch != r.Call.Epoch || s.holding.partition != r.Call.Partition {
		return
	}
	if r.Outcome == CallDone {
		s.recordContact(now)
	}
	if r.Call.Kind == RenewCall {
		s.recordRenewal(now, r)
		return
	}
	if !s.inFlight[r.Call.ID] {
		return // a throttle call, or the stop of a stray task
	}
	u := s.runs[r.Call.Task]
	if u != nil && u.call == r.Call.ID {
		u.call = 0
		if u.phase != endAppended {
			l.applyResult(now, u, r)
		}
	}
	l.callEnded(now, s, r.Call.ID)
}

func (l *Ledger) callEnded(now time.Time, s *server, id uint64) {
	full := l.calls >= l.settings.MaxCalls
	delete(s.inFlight, id)
	l.calls--
	l.issueCalls(now, s)
	if full {
		for _, other := range l.servers {
			l.issueCalls(now, other)
		}
	}
}

func (l *Ledger) applyResult(now time.Time, u *run, r CallResult) {
	switch {
	case r.Call.Kind == StartCall:
		l.startDone(now, u, r)
	case r.Outcome == CallDone && r.Call.Kind == StopCall && l.recordObservedEnd(now, u, r.Observed):
	case r.Outcome == CallDone && r.Call.Kind == CheckpointCall && l.recordObservedEnd(now, u, r.Observed):
	case r.Outcome == CallRefused && u.phase == evicting:
		u.refusals++
		if u.refusals >= maxCheckpointRefusals {
			u.phase = confirmed
			return
		}
		l.queueCallAt(now.Add(callRetryPause), u)
	default:
		l.queueCallAt(now.Add(callRetryPause), u)
	}
}

// startDone processes the result of a start call. If the call may have taken
// effect without a response, the attempt is stopped before the next one may
// start.
func (l *Ledger) startDone(now time.Time, u *run, r CallResult) {
	if u.phase != starting { // stopped in the meantime
		if r.Outcome == CallNotSent {
			l.recordEnd(now, u, Record{Kind: Ended, End: NotStarted, Reason: u.reason})
			return
		}
		l.queueCall(now, u)
		return
	}
	switch r.Outcome {
	case CallDone:
		u.phase, u.confirmedAt = confirmed, now
		l.event(Event{Kind: EventStarted, Task: u.ref, Server: u.server.id, Attempt: u.attempt})
		if u.evictOnStart {
			u.evictOnStart = false
			l.evict(now, u)
		}
	case CallRefused:
		u.phase, u.endIfAbsent, u.reason = stopping, Failed, r.Reason
		l.queueCall(now, u)
	case CallUnknown:
		u.phase, u.endIfAbsent, u.reason = stopping, NotStarted, r.Reason
		// Workers do not record a stop of an unknown attempt, so the start must
		// no longer be in flight when the stop arrives.
		l.queueCallAt(r.Call.NotAfter.Add(l.settings.Margin), u)
	default:
		l.queueCallAt(now.Add(callRetryPause), u)
	}
}
