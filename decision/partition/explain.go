package partition

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/decision/placement"
	"lacewingfork.example/lacewingfork/fleet"
)

// historyLength is the number of decisions kept. At 1,000 decisions a second
// that is half a second; the history duty keeps decisions for longer.
const historyLength = 512

// Verdict names what was decided. Its values are stable.
type Verdict string

// The verdicts.
const (
	VerdictRun              Verdict = "run"
	VerdictRefuse           Verdict = "refuse"
	VerdictDeliver          Verdict = "deliver"
	VerdictGiveUp           Verdict = "give-up"
	VerdictRetry            Verdict = "retry"
	VerdictTakeOutOfService Verdict = "take-out-of-service"
	VerdictPlaceTask        Verdict = "place-task"
	VerdictDecline          Verdict = "decline-task"
	VerdictAdopt            Verdict = "adopt-task"
	VerdictThrottle         Verdict = "throttle-task"
	VerdictUnthrottle       Verdict = "unthrottle-task"
	VerdictEvict            Verdict = "evict-task"
)

// Candidate is a backend server that was considered in a decision.
type Candidate struct {
	Server fleet.BackendServerID `json:"server"`
	// Score is lower for better candidates.
	Score float64 `json:"score"`
}

// Decision describes one decision and its grounds.
type Decision struct {
	At time.Time `json:"at"`
	// Subject is the ID of a request, a task or a backend server.
	Subject string                `json:"subject"`
	Verdict Verdict               `json:"verdict"`
	Reason  outcome.Reason        `json:"reason,omitempty"`
	Server  fleet.BackendServerID `json:"server,omitempty"`
	// Wait is the time since the request was submitted; for a retry, the delay
	// until the next attempt.
	Wait time.Duration `json:"wait_ns"`
	// Slowdown is the smoothed slowdown for which a task was throttled,
	// unthrottled or evicted, as a fraction of the run time without tasks.
	Slowdown float64 `json:"slowdown,omitempty"`
	// Candidates are the best backend servers considered, best first.
	Candidates []Candidate `json:"candidates,omitempty"`
	// Excluded is the number of servers excluded for each cause.
	Excluded map[string]int `json:"excluded,omitempty"`
}

// history is a ring buffer of the last decisions. The Candidates and Excluded of
// a Decision are built only when it is read.
type history struct {
	records []record
	next    int
	// total counts all decisions, including overwritten ones.
	total uint64
}

// record is a Decision before its Candidates and Excluded are built; ids are the
// servers of candidates.Best.
type record struct {
	decision   Decision
	candidates placement.Explanation
	ids        [len(placement.Explanation{}.Best)]fleet.BackendServerID
}

// recordDecision adds a decision to the history; e is nil if no servers were
// considered.
func (s *State) recordDecision(d Decision, e *placement.Explanation) {
	h := &s.history
	if len(h.records) < historyLength {
		h.records = append(h.records, record{})
	}
	r := &h.records[h.next]
	if h.next++; h.next == historyLength {
		h.next = 0
	}
	h.total++
	r.decision = d
	r.candidates.Count = 0
	if e == nil {
		r.candidates.Excluded = [placement.CauseCount]uint16{}
		return
	}
	r.candidates = *e
	for i := range e.Count {
		r.ids[i] = s.servers.ID(e.Best[i].Server)
	}
}

// Explain returns the decisions in the history about a request, task or backend
// server, oldest first. An empty ID returns all of them.
func (s *State) Explain(id string) (found []Decision) {
	h := &s.history
	for k := range h.records {
		i := k
		if len(h.records) == historyLength {
			i = (h.next + k) % historyLength
		}
		r := &h.records[i]
		if id == "" || r.decision.Subject == id || string(r.decision.Server) == id {
			found = append(found, r.toDecision())
		}
	}
	return found
}

// DecisionCount returns the number of decisions made, including those no longer
// in the history.
func (s *State) DecisionCount() uint64 { return s.history.total }

func (r *record) toDecision() Decision {
	d := r.decision
	for i := range r.candidates.Count {
		d.Candidates = append(d.Candidates, Candidate{r.ids[i], r.candidates.Best[i].Score})
	}
	for cause, n := range r.candidates.Excluded {
		if n > 0 {
			if d.Excluded == nil {
				d.Excluded = make(map[string]int)
			}
			d.Excluded[placement.Cause(cause).String()] = int(n)
		}
	}
	return d
}

// verdictOf returns the verdict of an action that ends a request.
func verdictOf(kind ActionKind) Verdict {
	switch kind {
	case Refuse:
		return VerdictRefuse
	case Deliver:
		return VerdictDeliver
	default:
		return VerdictGiveUp
	}
}
