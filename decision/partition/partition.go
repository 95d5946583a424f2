// Package partition decides what happens to the work of one partition: the
// backend servers of one rack under one epoch of its lease. It is pure: every
// method takes the time and appends what has to be done to a list of actions.
//
// Invariants: the work placed on a backend server never exceeds what the
// server holds; a request is placed on at most one backend server at a time;
// a non-idempotent request is never placed again once it may have run.
package partition

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/fleet"
)

// Work is what the decisions need to know of a request.
type Work struct {
	ID         fleet.RequestID
	Service    fleet.Service
	Operation  fleet.Operation
	Team       fleet.Team
	Class      fleet.Class
	Idempotent bool
	Deadline   time.Time
}

// Result is how one placement of a request ended.
type Result uint8

const (
	// Succeeded means that a whole answer came and was no server failure.
	Succeeded Result = iota
	// Failed means that a whole answer came and reports a server failure.
	Failed
	// NotWritten means that no byte of the request reached the server.
	NotWritten
	// Lost means that the request may have run and no whole answer came.
	Lost
)

// Completion reports the end of a placement.
type Completion struct {
	ID       fleet.RequestID
	Server   fleet.BackendServerID
	Result   Result
	Duration time.Duration
	// SlotReleased is false when the server may still be busy with it.
	SlotReleased bool
	// Leaving is set when the server said that it is leaving.
	Leaving bool
}

// Usage is the part of a usage report that the partition counts with.
type Usage struct {
	Server    fleet.BackendServerID
	SampledAt time.Time // no later than the time of the sample
	// RequestSlots is the number of slots that requests used.
	RequestSlots int
	// Tasks are the tasks that the worker ran, with what they were given.
	Tasks []RunningTask
	// Latencies are mean service times since the sample before.
	Latencies map[fleet.Service]time.Duration
}

// RunningTask is a batch task on a worker.
type RunningTask struct {
	Task      fleet.TaskID
	Kind      string // kind of work, for interference estimates
	Resources fleet.Resources
	// Progress is the work that an eviction without a checkpoint would lose.
	Progress time.Duration
}

// TaskOffer asks for a place for a batch task.
type TaskOffer struct {
	Task      fleet.TaskID
	Kind      string
	Team      fleet.Team
	Resources fleet.Resources
	// Avoid lists backend servers on which the task failed.
	Avoid []fleet.BackendServerID
}

// ActionKind says what has to be done.
type ActionKind uint8

const (
	// Run places request ID on Server.
	Run ActionKind = iota
	// Refuse ends request ID as not run.
	Refuse
	// Deliver passes on the answer of the last placement of request ID.
	Deliver
	// GiveUp ends request ID with an unknown outcome.
	GiveUp
	// PlaceTask reserved room on Server for Task.
	PlaceTask
	// DeclineTask means that no room is free for Task now.
	DeclineTask
	// ThrottleTask, UnthrottleTask and EvictTask relieve Server.
	ThrottleTask
	UnthrottleTask
	EvictTask
)

// Action is one thing to do.
type Action struct {
	Kind       ActionKind
	ID         fleet.RequestID
	Task       fleet.TaskID
	Server     fleet.BackendServerID
	Attempt    int // of a Run, from 1
	Reason     outcome.Reason
	RetryAfter time.Duration
}

// MaxDeadline bounds how long a request that a former holder started may still
// run.
const MaxDeadline = 60 * time.Second

// MaxWaiting bounds the waiting requests of a partition; 4,096 requests of
// 1 MiB at the most are held by all partitions of an instance together.
const MaxWaiting = 4096

// State is the whole state of a partition. It is not safe for concurrent use.
type State struct {
	takenAt       time.Time
	configuration *configuration.Configuration
	servers       map[fleet.BackendServerID]*server
	order         []*server
	waiting       []Work
	running       map[fleet.RequestID]*running
}

type server struct {
	info fleet.BackendServer
	// requests is the number of slots that this holder's requests use.
	requests int
	// unknown is the number of slots that may be in use by work that nobody
	// waits for: requests of a former holder, or exchanges that were lost.
	unknown      int
	unknownSince time.Time
	tasks        map[fleet.TaskID]RunningTask
}

type running struct {
	work    Work
	server  *server
	attempt int
}

// New returns the state of a partition that was taken over now. Every slot
// counts as in use until a usage report sampled later shows otherwise.
func New(now time.Time, servers []fleet.BackendServer, c *configuration.Configuration) *State {
	s := &State{
		takenAt: now, configuration: c,
		servers: map[fleet.BackendServerID]*server{},
		running: map[fleet.RequestID]*running{},
	}
	var none []Action
	s.SetServers(now, servers, none)
	return s
}

// SetServers takes the partition's backend servers from the instance list.
func (s *State) SetServers(now time.Time, servers []fleet.BackendServer, out []Action) []Action {
	listed := map[fleet.BackendServerID]bool{}
	for _, info := range servers {
		listed[info.ID] = true
		known := s.servers[info.ID]
		if known == nil {
			known = &server{unknown: info.Capacity.Slots, unknownSince: now, tasks: map[fleet.TaskID]RunningTask{}}
			s.servers[info.ID] = known
			s.order = append(s.order, known)
		}
		known.info = info
	}
	for id, known := range s.servers {
		if !listed[id] {
			known.info.Leaving = true
		}
	}
	return s.drain(now, out)
}

// SetConfiguration takes a new version in force.
func (s *State) SetConfiguration(now time.Time, c *configuration.Configuration, out []Action) []Action {
	s.configuration = c
	return s.drain(now, out)
}

// Submit decides on a new request.
func (s *State) Submit(now time.Time, w Work, out []Action) []Action {
	if len(s.waiting) >= MaxWaiting {
		return append(out, Action{Kind: Refuse, ID: w.ID, Reason: outcome.QueueFull, RetryAfter: time.Second})
	}
	s.waiting = append(s.waiting, w)
	return s.drain(now, out)
}

// Complete takes the end of a placement.
func (s *State) Complete(now time.Time, c Completion, out []Action) []Action {
	r := s.running[c.ID]
	if r == nil || r.server.info.ID != c.Server {
		return out
	}
	delete(s.running, c.ID)
	r.server.requests--
	if !c.SlotReleased {
		r.server.unknown++
		r.server.unknownSince = now
	}
	if c.Leaving {
		r.server.info.Leaving = true
	}
	switch {
	case c.Result == Succeeded || c.Result == Failed:
		out = append(out, Action{Kind: Deliver, ID: c.ID})
	case c.Result == NotWritten:
		out = append(out, Action{Kind: Refuse, ID: c.ID, Reason: outcome.ConnectFailed})
	default:
		out = append(out, Action{Kind: GiveUp, ID: c.ID, Reason: outcome.BackendBroken})
	}
	return s.drain(now, out)
}

// Cancel withdraws a request that waits. A running one runs to its end.
func (s *State) Cancel(now time.Time, id fleet.RequestID, out []Action) []Action {
	for i, w := range s.waiting {
		if w.ID == id {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return append(out, Action{Kind: Refuse, ID: id, Reason: outcome.Cancelled})
		}
	}
	return out
}

// Report takes a usage report.
func (s *State) Report(now time.Time, u Usage, out []Action) []Action {
	known := s.servers[u.Server]
	if known == nil || !u.SampledAt.After(known.unknownSince) {
		return out
	}
	known.unknown = min(known.unknown, u.RequestSlots)
	for _, task := range u.Tasks {
		known.tasks[task.Task] = task
	}
	return s.drain(now, out)
}

// Tick refuses waiting requests whose deadline has passed.
func (s *State) Tick(now time.Time, out []Action) []Action {
	return s.drain(now, out)
}

// NextTick returns when Tick is due next; the zero time means never.
func (s *State) NextTick() time.Time {
	var next time.Time
	for _, w := range s.waiting {
		if next.IsZero() || w.Deadline.Before(next) {
			next = w.Deadline
		}
	}
	return next
}

// drain starts waiting requests while slots are free.
func (s *State) drain(now time.Time, out []Action) []Action {
	kept := s.waiting[:0]
	for _, w := range s.waiting {
		if !now.Before(w.Deadline) {
			out = append(out, Action{Kind: Refuse, ID: w.ID, Reason: outcome.DeadlineExceeded})
			continue
		}
		best := s.leastLoaded(now)
		if best == nil {
			kept = append(kept, w)
			continue
		}
		best.requests++
		s.running[w.ID] = &running{work: w, server: best, attempt: 1}
		out = append(out, Action{Kind: Run, ID: w.ID, Server: best.info.ID, Attempt: 1})
	}
	s.waiting = kept
	return out
}

func (s *State) leastLoaded(now time.Time) *server {
	var best *server
	for _, candidate := range s.order {
		if candidate.free(now) <= 0 {
			continue
		}
		if best == nil || candidate.free(now) > best.free(now) {
			best = candidate
		}
	}
	return best
}

// free returns the slots that are known to be free.
func (v *server) free(now time.Time) int {
	if v.info.Leaving {
		return 0
	}
	if v.unknown > 0 && now.Sub(v.unknownSince) > MaxDeadline {
		v.unknown = 0
	}
	used := v.requests + v.unknown
	for _, t := range v.tasks {
		used += t.Resources.Slots
	}
	return v.info.Capacity.Slots - used
}

// Load returns the free slots, all slots and the number of waiting requests.
func (s *State) Load(now time.Time) (free, capacity, waiting int) {
	for _, v := range s.order {
		free += max(0, v.free(now))
		capacity += v.info.Capacity.Slots
	}
	return free, capacity, len(s.waiting)
}
