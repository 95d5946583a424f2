package partition

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/admission"
	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/decision/placement"
	"lacewingfork.example/lacewingfork/fleet"
)

// retryAfterNoServer is the RetryAfter of a request that is refused because the
// partition has no backend server. A new one is listed within about 2 s.
const retryAfterNoServer = 2 * time.Second

// minExpectedRun keeps the expected run time of queued work above zero, because
// a backlog of zero means an empty queue.
const minExpectedRun = time.Microsecond

// maxRetrying is the maximum number of requests that wait for another attempt.
// Further ones end with the result of their last attempt.
const maxRetrying = 256

// Submit decides on a new request. A request with a known ID is ignored: the
// result of the first one is the result of both.
func (s *State) Submit(now time.Time, w Work, out []Action) []Action {
	if _, known := s.byID[w.ID]; known {
		return out
	}
	operation := s.estimates.Find(w.Service, w.Operation)
	if operation == nil {
		return s.refuse(now, w.ID, outcome.NoSuchService, 0, out)
	}
	left := w.Deadline.Sub(now)
	if left <= 0 || operation.P10(now) > left {
		return s.refuse(now, w.ID, outcome.DeadlineExceeded, 0, out)
	}
	if s.servers.Capacity() == 0 {
		return s.refuse(now, w.ID, outcome.NoCapacity, retryAfterNoServer, out)
	}
	r := request{
		work: w, estimate: operation, arrived: now, server: placement.NoServer, team: s.queue.Team(w.Team),
		service: s.interference.estimates.Service(w.Service),
	}
	kind := kindOf(&r)
	if w.Class < fleet.Batch {
		s.servers.RecordDemand(now, operation.Mean(), kind == admission.Long)
	}
	if s.queue.Backlog(kind) == 0 {
		if server := s.choose(now, &r, kind); server != placement.NoServer {
			return s.startAttempt(now, s.addRequest(r), server, out)
		}
	}
	return s.enqueue(now, r, kind, out)
}

// kindOf returns the admission kind of a request; only Short requests may use
// every slot. Batch requests count as Long whatever their run time, so that they
// leave slots for other requests.
func kindOf(r *request) admission.Kind {
	if r.work.Class >= fleet.Batch || r.estimate.Long() {
		return admission.Long
	}
	return admission.Short
}

// enqueue adds a request to the queue, or refuses it.
func (s *State) enqueue(now time.Time, r request, kind admission.Kind, out []Action) []Action {
	// A run that starts too late to end before the deadline would waste its
	// slot. A likely run time of more than half of the remaining time doesn't
	// cause a refusal before half of that time has passed.
	left := r.work.Deadline.Sub(now)
	item := admission.Item{
		Class: min(r.work.Class, fleet.Batch), Kind: kind, Team: r.team, RunTime: max(r.estimate.Mean(), minExpectedRun), Arrived: now,
		StartBy: r.work.Deadline.Add(-min(r.estimate.P90(now), left/2)),
	}
	handle, refusal := s.queue.Push(now, item, s.slotsFor(kind))
	if refusal.Reason != outcome.NoReason {
		return s.refuse(now, r.work.ID, refusal.Reason, refusal.RetryAfter, out)
	}
	r.phase, r.handle = waiting, handle
	s.queue.SetOwner(handle, s.addRequest(r))
	return out
}

// Cancel ends a request that waits. A running one runs to its end and isn't
// retried.
func (s *State) Cancel(now time.Time, id fleet.RequestID, out []Action) []Action {
	index, known := s.byID[id]
	if !known {
		return out
	}
	r := &s.requests[index]
	switch r.phase {
	case running:
		r.cancelled = true
		return out
	case waiting:
		s.queue.Remove(r.handle)
	case retrying:
		s.dropRetrying(index)
	}
	return s.endRequest(now, index, outcome.Cancelled, 0, out)
}

// Tick ends waiting requests that can no longer meet their deadline and starts
// retries that are due. It is called at NextTick. Throttling and evictions are
// planned only on usage reports, which show whether they are needed.
func (s *State) Tick(now time.Time, out []Action) []Action { return s.dispatch(now, out) }

// dispatch starts waiting requests while there are free slots.
func (s *State) dispatch(now time.Time, out []Action) []Action {
	s.lastDispatch = now
	s.servers.Expire(now)
	for h, ok := s.queue.Expired(now); ok; h, ok = s.queue.Expired(now) {
		out = s.endRequest(now, s.queue.Remove(h).Owner, outcome.DeadlineExceeded, 0, out)
	}
	out = s.startRetries(now, out)
	room := [2]bool{true, true}
	for room[admission.Short] || room[admission.Long] {
		h, ok := s.queue.Next(now, room)
		if !ok {
			return out
		}
		index := s.queue.Item(h).Owner
		r := &s.requests[index]
		kind := s.queue.Item(h).Kind
		if kind == admission.Short && kindOf(r) == admission.Long {
			s.queue.Reclassify(h, admission.Long)
			continue
		}
		server := s.choose(now, r, kind)
		if server == placement.NoServer {
			room[kind] = false
			// A server that can take long work can also take short work.
			room[admission.Long] = room[admission.Long] && room[admission.Short]
			continue
		}
		s.queue.Remove(h)
		s.queue.Started()
		out = s.startAttempt(now, index, server, out)
	}
	return out
}

// choose returns the backend server for a request, or placement.NoServer, and
// sets the request's long field.
func (s *State) choose(now time.Time, r *request, kind admission.Kind) placement.Index {
	req := placement.Request{Long: kind == admission.Long, Avoid: r.server}
	s.interference.costService = r.service
	r.long = req.Long
	return s.servers.Choose(now, req, breakerLimiter{s}, slowdownCost{&s.interference}, &s.candidates)
}

// startAttempt places a request on a backend server.
func (s *State) startAttempt(now time.Time, index int32, server placement.Index, out []Action) []Action {
	r := &s.requests[index]
	r.phase, r.server = running, server
	r.attempt++
	if r.attempt == 1 {
		s.budget.CountFirst()
	}
	s.servers.Start(server, r.long)
	s.breakers.Started(int(server))
	s.queue.AddRunning(r.team, 1)
	id := s.servers.ID(server)
	s.recordDecision(Decision{
		At: now, Subject: string(r.work.ID), Verdict: VerdictRun, Server: id, Wait: now.Sub(r.arrived),
	}, &s.candidates)
	return append(out, Action{Kind: Run, ID: r.work.ID, Server: id, Attempt: r.attempt, Long: r.long})
}

// refuse ends a request that was not added to the state.
func (s *State) refuse(now time.Time, id fleet.RequestID, reason outcome.Reason, retryAfter time.Duration, out []Action) []Action {
	s.recordDecision(Decision{At: now, Subject: string(id), Verdict: VerdictRefuse, Reason: reason}, nil)
	return append(out, Action{Kind: Refuse, ID: id, Reason: reason, RetryAfter: retryAfter})
}

// endRequest ends a request that has no running attempt. It is refused as not
// run only if it was never written.
func (s *State) endRequest(now time.Time, index int32, reason outcome.Reason, retryAfter time.Duration, out []Action) []Action {
	r := &s.requests[index]
	action := Action{Kind: Refuse, ID: r.work.ID, Reason: reason, RetryAfter: retryAfter}
	if r.failed {
		action = Action{Kind: Deliver, ID: r.work.ID}
	} else if r.written {
		action = Action{Kind: GiveUp, ID: r.work.ID, Reason: reason}
	}
	s.recordDecision(Decision{
		At: now, Subject: string(r.work.ID), Verdict: verdictOf(action.Kind), Reason: action.Reason, Wait: now.Sub(r.arrived),
	}, nil)
	s.removeRequest(index)
	return append(out, action)
}

// breakerLimiter implements placement.SlotLimiter with the circuit breakers.
type breakerLimiter struct{ *State }

func (l breakerLimiter) Allowed(now time.Time, i placement.Index, slots int) int {
	return l.breakers.Allowed(now, int(i), slots)
}
