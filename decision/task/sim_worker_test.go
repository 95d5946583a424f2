package task

import (
	"maps"
	"slices"
	"time"
)

// handleCall simulates the worker's side of a call.
func (w *worker) handleCall(s *sim, c Call) (CallOutcome, Observation) {
	if c.Epoch < w.newestEpoch {
		return CallRefused, Observation{}
	}
	w.newestEpoch = c.Epoch
	if c.Kind == RenewCall {
		for _, a := range w.tasks {
			a.leaseUntil = s.now.Add(c.Lease)
		}
		return CallDone, Observation{}
	}
	id := key(c.Task, c.Attempt)
	a := w.tasks[id]
	switch {
	case c.Kind == StartCall && a == nil:
		w.start(s, c)
		return CallDone, Observation{}
	case a == nil || c.Kind == StartCall || c.Kind == ThrottleCall:
		return CallDone, Observation{}
	}
	if a.State == WorkerRunning {
		a.State, a.endedAt = WorkerStopped, s.now
		if c.Kind == CheckpointCall {
			a.State, a.Checkpoint = WorkerCheckpointed, "after "+id
		}
	}
	return CallDone, a.Observation
}

func (w *worker) start(s *sim, c Call) {
	id := key(c.Task, c.Attempt)
	if s.started[id]++; s.started[id] > 1 {
		s.t.Fatalf("attempt %s was started twice", id)
	}
	if c.Checkpoint != "" {
		s.resumed[c.Checkpoint]++
	}
	w.tasks[id] = &attempt{
		Observation: Observation{Task: c.Task, Attempt: c.Attempt, State: WorkerRunning},
		leaseUntil:  s.now.Add(c.Lease), doneAt: s.now.Add(c.RunTime),
	}
}

func (w *worker) run(s *sim) {
	for id, a := range w.tasks {
		switch {
		case a.State != WorkerRunning && s.now.Sub(a.endedAt) > time.Minute:
			delete(w.tasks, id) // no longer reported
		case a.State != WorkerRunning:
		case s.now.After(a.leaseUntil):
			a.State, a.endedAt = WorkerStopped, s.now
		case w.faulty && !s.faultsStopped || a.Task.Job == "never":
			a.State, a.Reason, a.endedAt = WorkerFailed, "exit status 1", s.now
		case s.now.After(a.doneAt):
			a.State, a.endedAt = WorkerSucceeded, s.now
		}
	}
}

// report takes a sample now and delivers it to the instances later.
func (s *sim) report(w *worker) {
	if w.unreachable {
		return
	}
	var seen []Observation
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		seen = append(seen, w.tasks[id].Observation)
	}
	sampled := s.now
	s.afterTicks(s.rand.IntN(15), func() {
		for _, m := range s.instances {
			if m.isRunning(s.now) {
				m.ledger.Report(s.now, w.id, sampled, seen)
			}
		}
	})
}
