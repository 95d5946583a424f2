package partition

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/admission"
	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/decision/placement"
	"lacewingfork.example/lacewingfork/fleet"
)

// retryAfterNoServer is what callers are told when no backend server is in the
// partition: the list shows a new one within about 2 s.
const retryAfterNoServer = 2 * time.Second

// minExpectedRun keeps the expected run time of waiting work above zero, because an
// empty backlog stands for an empty queue.
const minExpectedRun = time.Microsecond

// maxRetrying bounds the requests that wait for another attempt; those beyond
// end with what the last attempt brought.
const maxRetrying = 256

// Submit decides on a new request. A request whose ID is already known is
// ignored: the ending of the first one is the ending of both.
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
		s.servers.Need(now, operation.Mean(), kind == admission.Long)
	}
	if s.queue.Backlog(kind) == 0 {
		if server := s.choose(now, &r, kind); server != placement.NoServer {
			return s.startAttempt(now, s.addRequest(r), server, out)
		}
	}
	return s.enqueue(now, r, kind, out)
}

// kindOf returns whether a request may use every slot. Batch requests count as
// long whatever they take, so that they leave room for the others.
func kindOf(r *request) admission.Kind {
	if r.work.Class >= fleet.Batch || r.estimate.Long() {
		return admission.Long
	}
	return admission.Short
}

// enqueue puts a request into the queue, or refuses it.
func (s *State) enqueue(now time.Time, r request, kind admission.Kind, out []Action) []Action {
	// A run that is started so late that it can't end in time would waste its
	// slot. Run times that exceed half of the time there is are no ground for
	// a refusal before half of it has passed.
	left := r.work.Deadline.Sub(now)
	item := admission.Item{
		Class: min(r.work.Class, fleet.Batch), Kind: kind, Team: r.team, Run: max(r.estimate.Mean(), minExpectedRun), Arrived: now,
		Until: r.work.Deadline.Add(-min(r.estimate.Likely(now), left/2)),
	}
	handle, refusal := s.queue.Push(now, item, s.slotsFor(kind))
	if refusal.Reason != outcome.NoReason {
		return s.refuse(now, r.work.ID, refusal.Reason, refusal.RetryAfter, out)
	}
	r.phase, r.handle = waiting, handle
	s.queue.SetOwner(handle, s.addRequest(r))
	return out
}

// Cancel withdraws a request that waits. A running one runs to its end and
// isn't tried again.
func (s *State) Cancel(now time.Time, id fleet.RequestID, out []Action) []Action {
	place, known := s.byID[id]
	if !known {
		return out
	}
	r := &s.requests[place]
	switch r.phase {
	case running:
		r.cancelled = true
		return out
	case waiting:
		s.queue.Remove(r.handle)
	case retrying:
		s.dropRetrying(place)
	}
	return s.endRequest(now, place, outcome.Cancelled, 0, out)
}

// Tick refuses waiting requests whose time has passed, starts attempts that
// are due. It is due at NextTick. Relief goes on with usage reports only,
// because only they show whether it is needed.
func (s *State) Tick(now time.Time, out []Action) []Action { return s.dispatch(now, out) }

// dispatch starts waiting requests while there is room.
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
		place := s.queue.Item(h).Owner
		r := &s.requests[place]
		kind := s.queue.Item(h).Kind
		if kind == admission.Short && kindOf(r) == admission.Long {
			s.queue.Reclassify(h, admission.Long)
			continue
		}
		server := s.choose(now, r, kind)
		if server == placement.NoServer {
			room[kind] = false
			// A server with room for long work has room for short work too.
			room[admission.Long] = room[admission.Long] && room[admission.Short]
			continue
		}
		s.queue.Remove(h)
		s.queue.Started()
		out = s.startAttempt(now, place, server, out)
	}
	return out
}

// choose returns the backend server for a request, or NoServer.
func (s *State) choose(now time.Time, r *request, kind admission.Kind) placement.Index {
	ask := placement.Request{Long: kind == admission.Long, Avoid: r.server}
	s.interference.costService = r.service
	r.long = ask.Long
	return s.servers.Choose(now, ask, breakerGate{s}, slowdownCost{&s.interference}, &s.candidates)
}

// startAttempt places a request on a backend server.
func (s *State) startAttempt(now time.Time, place int32, server placement.Index, out []Action) []Action {
	r := &s.requests[place]
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

// refuse ends a request that was never entered.
func (s *State) refuse(now time.Time, id fleet.RequestID, reason outcome.Reason, after time.Duration, out []Action) []Action {
	s.recordDecision(Decision{At: now, Subject: string(id), Verdict: VerdictRefuse, Reason: reason}, nil)
	return append(out, Action{Kind: Refuse, ID: id, Reason: reason, RetryAfter: after})
}

// endRequest ends a request that has no running attempt. Only a request that was
// never written is refused as not run.
func (s *State) endRequest(now time.Time, place int32, reason outcome.Reason, after time.Duration, out []Action) []Action {
	r := &s.requests[place]
	action := Action{Kind: Refuse, ID: r.work.ID, Reason: reason, RetryAfter: after}
	if r.failed {
		action = Action{Kind: Deliver, ID: r.work.ID}
	} else if r.written {
		action = Action{Kind: GiveUp, ID: r.work.ID, Reason: reason}
	}
	s.recordDecision(Decision{
		At: now, Subject: string(r.work.ID), Verdict: verdictOf(action.Kind), Reason: action.Reason, Wait: now.Sub(r.arrived),
	}, nil)
	s.removeRequest(place)
	return append(out, action)
}

// breakerGate shows the breakers to the placement.
type breakerGate struct{ *State }

func (g breakerGate) Allowed(now time.Time, i placement.Index, slots int) int {
	return g.breakers.Allowed(now, int(i), slots)
}
