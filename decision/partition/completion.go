package partition

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/decision/placement"
	"lacewingfork.example/lacewingfork/decision/retry"
)

// Complete records the end of a placement. Late, repeated and unknown
// completions are ignored and change no slot count.
func (s *State) Complete(now time.Time, c Completion, out []Action) []Action {
	index, known := s.byID[c.ID]
	if !known {
		return out
	}
	r := &s.requests[index]
	if r.phase != running || s.servers.ID(r.server) != c.Server || c.Attempt != 0 && c.Attempt != r.attempt {
		return out
	}
	s.releaseSlot(now, r, c)
	s.recordAttempt(now, r, c)
	switch c.Result {
	case Succeeded:
		out = s.deliver(now, index, out)
	case Failed:
		r.written, r.failed = true, true
		out = s.retryOrEnd(now, index, outcome.BackendFailed, out)
	case NotWritten:
		reason := outcome.ConnectFailed
		if c.Leaving {
			reason = outcome.BackendLeaving
		}
		out = s.retryOrEnd(now, index, reason, out)
	default:
		r.written, r.failed = true, false
		reason := outcome.BackendFailed
		if !now.Before(r.work.Deadline) {
			reason = outcome.BackendTimeout
		}
		out = s.retryOrEnd(now, index, reason, out)
	}
	return s.dispatch(now, out)
}

// releaseSlot frees the slot and the quota of the attempt.
func (s *State) releaseSlot(now time.Time, r *request, c Completion) {
	// If nothing was written, the server runs nothing.
	s.servers.End(now, r.server, r.long, c.SlotReleased || c.Result == NotWritten)
	s.queue.AddRunning(r.team, -1)
	if c.Leaving {
		s.servers.MarkLeaving(now, r.server)
		s.breakers.Reset(int(r.server))
		s.queue.SetSlots(s.servers.Capacity())
	}
}

// recordAttempt updates the circuit breaker of the server and the run time
// estimates of the operation with the result of the attempt.
func (s *State) recordAttempt(now time.Time, r *request, c Completion) {
	failed := c.Result != Succeeded
	if !c.Leaving && s.breakers.Ended(now, int(r.server), failed) {
		s.recordDecision(Decision{At: now, Subject: string(c.Server), Verdict: VerdictTakeOutOfService}, nil)
	}
	// The duration of a lost run is a lower bound of its run time, which is
	// useful only above the mean. Failures are often quick and not
	// representative of the run time.
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

// deliver ends a request with the answer of its last attempt.
func (s *State) deliver(now time.Time, index int32, out []Action) []Action {
	r := &s.requests[index]
	id := r.work.ID
	s.recordDecision(Decision{
		At: now, Subject: string(id), Verdict: VerdictDeliver, Server: s.servers.ID(r.server), Wait: now.Sub(r.arrived),
	}, nil)
	s.removeRequest(index)
	return append(out, Action{Kind: Deliver, ID: id})
}

// retryOrEnd schedules another attempt if the retry rule and the retry budget
// allow it, and ends the request otherwise.
func (s *State) retryOrEnd(now time.Time, index int32, reason outcome.Reason, out []Action) []Action {
	r := &s.requests[index]
	delay, allowed := retry.Allowed(now, retry.Attempt{
		Number: r.attempt, Written: r.written, Idempotent: r.work.Idempotent,
		Deadline: r.work.Deadline, MinRunTime: r.estimate.P10(now),
	}, jitter(r))
	if !allowed || r.cancelled || !s.hasOtherServer(r.server) || len(s.retrying) >= maxRetrying || !s.budget.Take() {
		return s.endRequest(now, index, reason, retryAfterFailure, out)
	}
	r.phase, r.retryAt = retrying, now.Add(delay)
	s.retrying = append(s.retrying, index)
	s.recordDecision(Decision{
		At: now, Subject: string(r.work.ID), Verdict: VerdictRetry, Reason: reason, Server: s.servers.ID(r.server), Wait: delay,
	}, nil)
	return out
}

// retryAfterFailure is the RetryAfter of a request that is refused after failed
// attempts.
const retryAfterFailure = 500 * time.Millisecond

// jitter returns a value that is evenly distributed over requests and attempts.
// It is derived from the request ID, so that runs are reproducible.
func jitter(r *request) uint32 {
	return uint32(xxhash.Sum64String(string(r.work.ID)) >> (8 * r.attempt))
}

// hasOtherServer reports whether a backend server other than i accepts work.
func (s *State) hasOtherServer(i placement.Index) bool {
	for k := range placement.Index(s.servers.Len()) {
		if k != i && !s.servers.Leaving(k) {
			return true
		}
	}
	return false
}

// startRetries starts the retries that are due and ends the requests whose
// deadline has passed. Retries go before queued requests, because they have
// already waited, and the retry budget limits their number.
func (s *State) startRetries(now time.Time, out []Action) []Action {
	for i := 0; i < len(s.retrying); {
		index := s.retrying[i]
		r := &s.requests[index]
		if !now.Before(r.work.Deadline) {
			s.retrying = slices.Delete(s.retrying, i, i+1)
			out = s.endRequest(now, index, outcome.DeadlineExceeded, 0, out)
			continue
		}
		if now.Before(r.retryAt) {
			i++
			continue
		}
		server := s.choose(now, r, kindOf(r))
		if server == placement.NoServer {
			// The retry waits for an event that frees a slot.
			r.retryAt = minTime(now.Add(retryPollInterval), r.work.Deadline)
			i++
			continue
		}
		s.retrying = slices.Delete(s.retrying, i, i+1)
		out = s.startAttempt(now, index, server, out)
	}
	return out
}

// retryPollInterval is how long a retry that found no free slot waits for an
// event before it tries again.
const retryPollInterval = 100 * time.Millisecond

// dropRetrying removes a request from the list of retries.
func (s *State) dropRetrying(index int32) {
	if i := slices.Index(s.retrying, index); i >= 0 {
		s.retrying = slices.Delete(s.retrying, i, i+1)
	}
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
