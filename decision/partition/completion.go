package partition

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/decision/placement"
	"lacewingfork.example/lacewingfork/decision/retry"
)

// Complete takes the end of a placement. Late, repeated and unknown ones are
// ignored; the slots that they may stand for stay as they are counted.
func (s *State) Complete(now time.Time, c Completion, out []Action) []Action {
	place, known := s.byID[c.ID]
	if !known {
		return out
	}
	r := &s.requests[place]
	if r.phase != running || s.servers.ID(r.server) != c.Server || c.Attempt != 0 && c.Attempt != r.attempt {
		return out
	}
	s.releaseSlot(now, r, c)
	s.recordAttempt(now, r, c)
	switch c.Result {
	case Succeeded:
		out = s.deliver(now, place, out)
	case Failed:
		r.written, r.failed = true, true
		out = s.retryOrEnd(now, place, outcome.BackendBroken, out)
	case NotWritten:
		reason := outcome.ConnectFailed
		if c.Leaving {
			reason = outcome.BackendLeaving
		}
		out = s.retryOrEnd(now, place, reason, out)
	default:
		r.written, r.failed = true, false
		reason := outcome.BackendBroken
		if !now.Before(r.work.Deadline) {
			reason = outcome.BackendTimeout
		}
		out = s.retryOrEnd(now, place, reason, out)
	}
	return s.dispatch(now, out)
}

// releaseSlot gives back what the attempt held.
func (s *State) releaseSlot(now time.Time, r *request, c Completion) {
	// Nothing runs on the server when nothing was written.
	s.servers.End(now, r.server, r.long, c.SlotReleased || c.Result == NotWritten)
	s.queue.AddRunning(r.team, -1)
	if c.Leaving {
		s.servers.MarkLeaving(now, r.server)
		s.breakers.Reset(int(r.server))
		s.queue.SetSlots(s.servers.Capacity())
	}
}

// recordAttempt takes what the attempt says about the server and the operation.
func (s *State) recordAttempt(now time.Time, r *request, c Completion) {
	failed := c.Result != Succeeded
	if !c.Leaving && s.breakers.Ended(now, int(r.server), failed) {
		s.recordDecision(Decision{At: now, Subject: string(c.Server), Verdict: VerdictTakeOutOfService}, nil)
	}
	// A run that was cut off took at least as long as it was waited for, which
	// tells something only when that is more than expected. Failures are often
	// quick and say nothing of the run time.
	if c.Result == Succeeded || c.Result == Lost && c.Duration > r.estimate.Mean() {
		before := r.estimate.Long()
		r.estimate.Observe(now, c.Duration)
		service := s.interference.estimates.Service(r.work.Service)
		s.interference.servers[r.server].recentRuns.add(now, service, s.interference.baseline.add(service, r.estimate, c.Duration))
		if r.estimate.Long() != before {
			s.updateLongLimit()
		}
	}
}

func (s *State) deliver(now time.Time, place int32, out []Action) []Action {
	r := &s.requests[place]
	id := r.work.ID
	s.recordDecision(Decision{
		At: now, Subject: string(id), Verdict: VerdictDeliver, Server: s.servers.ID(r.server), Wait: now.Sub(r.arrived),
	}, nil)
	s.removeRequest(place)
	return append(out, Action{Kind: Deliver, ID: id})
}

// retryOrEnd plans another attempt if the retry rule and its budget allow it, and
// ends the request otherwise.
func (s *State) retryOrEnd(now time.Time, place int32, reason outcome.Reason, out []Action) []Action {
	r := &s.requests[place]
	delay, allowed := retry.Allowed(now, retry.Attempt{
		Number: r.attempt, Written: r.written, Idempotent: r.work.Idempotent,
		Deadline: r.work.Deadline, MinRunTime: r.estimate.P10(now),
	}, jitter(r))
	if !allowed || r.cancelled || !s.hasOtherServer(r.server) || len(s.retrying) >= maxRetrying || !s.budget.Take() {
		return s.endRequest(now, place, reason, retryAfterFailure, out)
	}
	r.phase, r.retryAt = retrying, now.Add(delay)
	s.retrying = append(s.retrying, place)
	s.recordDecision(Decision{
		At: now, Subject: string(r.work.ID), Verdict: VerdictRetry, Reason: reason, Server: s.servers.ID(r.server), Wait: delay,
	}, nil)
	return out
}

// retryAfterFailure is what callers are told whose request couldn't be
// written.
const retryAfterFailure = 500 * time.Millisecond

// jitter returns a value that is spread evenly over requests and attempts. It
// is derived from the identifier, so that a run can be repeated.
func jitter(r *request) uint32 {
	return uint32(xxhash.Sum64String(string(r.work.ID)) >> (8 * r.attempt))
}

// hasOtherServer reports whether a backend server other than i may get work.
func (s *State) hasOtherServer(i placement.Index) bool {
	for k := range placement.Index(s.servers.Len()) {
		if k != i && !s.servers.Leaving(k) {
			return true
		}
	}
	return false
}

// startRetries starts the further attempts that are due and ends those whose deadline
// has passed. They go before the queue, because they waited before, and the
// budget bounds how many there are.
func (s *State) startRetries(now time.Time, out []Action) []Action {
	for i := 0; i < len(s.retrying); {
		place := s.retrying[i]
		r := &s.requests[place]
		if !now.Before(r.work.Deadline) {
			s.retrying = slices.Delete(s.retrying, i, i+1)
			out = s.endRequest(now, place, outcome.DeadlineExceeded, 0, out)
			continue
		}
		if now.Before(r.retryAt) {
			i++
			continue
		}
		server := s.choose(now, r, kindOf(r))
		if server == placement.NoServer {
			// Without room the attempt waits for an event that brings some.
			r.retryAt = minTime(now.Add(retryPollInterval), r.work.Deadline)
			i++
			continue
		}
		s.retrying = slices.Delete(s.retrying, i, i+1)
		out = s.startAttempt(now, place, server, out)
	}
	return out
}

// retryPollInterval bounds how long an attempt that found no room waits for an event.
const retryPollInterval = 100 * time.Millisecond

func (s *State) dropRetrying(place int32) {
	if i := slices.Index(s.retrying, place); i >= 0 {
		s.retrying = slices.Delete(s.retrying, i, i+1)
	}
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
