package cell

import (
	"cmp"
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// AdvisorSettings configure the advisor of a queue. The advisor decides which
// workers may run a step and returns a ticket for each. TicketValidity is 0 for
// a queue without an advisor.
type AdvisorSettings struct {
	// BaseTime and PerWorkerTime are the time of a call and the additional time
	// for each worker in it.
	BaseTime      time.Duration
	PerWorkerTime time.Duration
	// TicketValidity is how long a ticket can be used.
	TicketValidity time.Duration
}

// CallTime returns how long a call about the given number of workers takes.
func (a AdvisorSettings) CallTime(workers int) time.Duration {
	return a.BaseTime + time.Duration(workers)*a.PerWorkerTime
}

// EligibleWorker is a worker that may run a step, with its ticket.
type EligibleWorker struct {
	Server fleet.BackendServerID
	Ticket string
}

// StepRef identifies one step of one occurrence of a job.
type StepRef struct {
	Job        fleet.JobID
	Occurrence int
	Step       int
}

const (
	// maxWorkersPerCall bounds the workers in a call. The objective of a job
	// allows for one call with about thirty workers for each step.
	maxWorkersPerCall = 30
	// maxAdviceInFlight bounds the calls in flight: the advisor handles one at
	// a time for each calling instance.
	maxAdviceInFlight = 2
	// adviceRetryInterval is the time until a failed call for a step is
	// repeated.
	adviceRetryInterval = 200 * time.Millisecond
	// ticketMargin is the part of a ticket's validity that is reserved for
	// sending the start to the worker.
	ticketMargin = 200 * time.Millisecond
)

// advice is what the advisor has answered about one step, and the state of its
// calls.
type advice struct {
	inFlight   bool
	retryAt    time.Duration
	tickets    map[fleet.BackendServerID]ticket
	ineligible map[fleet.BackendServerID]bool // workers that may never run the step
}

// ticket allows starts of a step on one worker.
type ticket struct {
	text        string
	validUntil  time.Duration
	incarnation int64 // incarnation of the worker that it is issued for
}

// ticketFor returns the ticket for starting a step on a worker, and whether the
// start is allowed. Queues without an advisor need no ticket.
func (c *Cell) ticketFor(s *stepState, w *worker) (string, bool) {
	if c.queueOf(s.occurrence.job).Advisor.TicketValidity == 0 {
		return "", true
	}
	t, ok := s.advice.tickets[w.server.ID]
	return t.text, ok && t.incarnation == w.incarnation && c.now.Steady < t.validUntil
}

// ensureAdvice calls the advisor for a step with waiting tasks if no worker has
// both room and a ticket. It returns false if the step cannot be started yet.
func (c *Cell) ensureAdvice(s *stepState) bool {
	settings := c.queueOf(s.occurrence.job).Advisor
	if settings.TicketValidity == 0 {
		return true
	}
	t := s.tasks[s.waiting[0]]
	if w, _ := c.findWorker(t); w != nil {
		return true
	}
	if s.advice.inFlight || c.now.Steady < s.advice.retryAt || c.adviceInFlight >= maxAdviceInFlight {
		return false
	}
	workers := c.adviceCandidates(t)
	if len(workers) == 0 {
		return false
	}
	s.advice.inFlight = true
	c.adviceInFlight++
	c.emit(Advise{Step: s.ref(), Workers: workers, Duration: settings.CallTime(len(workers))})
	c.emit(Note{Event: NoteAdviceRequested, Job: s.occurrence.job.job.ID, Detail: map[string]any{"step": s.index, "workers": len(workers)}})
	return false
}

// adviceCandidates returns the lowest-cost workers that the advisor has not
// declared ineligible for the step.
func (c *Cell) adviceCandidates(t *task) []fleet.BackendServerID {
	type candidate struct {
		id   fleet.BackendServerID
		cost float64
	}
	var found []candidate
	service := c.queueOf(t.step.occurrence.job).Service
	for _, w := range c.sortedWorkers {
		if w.server.Service == service && !t.step.advice.ineligible[w.server.ID] && c.feasible(w, t) {
			found = append(found, candidate{w.server.ID, c.cost(w, t)})
		}
	}
	slices.SortStableFunc(found, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	ids := make([]fleet.BackendServerID, 0, maxWorkersPerCall)
	for _, f := range found[:min(len(found), maxWorkersPerCall)] {
		ids = append(ids, f.id)
	}
	return ids
}

func (s *stepState) ref() StepRef {
	return StepRef{Job: s.occurrence.job.job.ID, Occurrence: s.occurrence.number, Step: s.index}
}

// adviceAnswered applies an answer of the advisor.
func (c *Cell) adviceAnswered(e AdviceAnswered) {
	c.adviceInFlight = max(0, c.adviceInFlight-1)
	c.needsScheduling = true
	t := c.lookup(job.TaskRef{Job: e.Step.Job, Occurrence: e.Step.Occurrence, Step: e.Step.Step})
	if t == nil {
		return // the job has ended since the call
	}
	s := t.step
	s.advice.inFlight = false
	c.emit(Note{Event: NoteAdviceReceived, Job: e.Step.Job, Detail: map[string]any{
		"step": e.Step.Step, "ok": e.OK, "named": len(e.Workers), "eligible": len(e.Eligible), "took_ms": (c.now.Steady - e.Sent).Milliseconds(),
	}})
	if !e.OK {
		s.advice.retryAt = c.now.Steady + adviceRetryInterval
		return
	}
	if s.advice.tickets == nil {
		s.advice.tickets, s.advice.ineligible = map[fleet.BackendServerID]ticket{}, map[fleet.BackendServerID]bool{}
	}
	for _, id := range e.Workers {
		s.advice.ineligible[id] = true
	}
	for _, eligible := range e.Eligible {
		delete(s.advice.ineligible, eligible.Server)
		if w := c.workers[eligible.Server]; w != nil {
			s.advice.tickets[eligible.Server] = ticket{text: eligible.Ticket, validUntil: e.Sent + e.TicketValidity - ticketMargin, incarnation: w.incarnation}
		}
	}
}
