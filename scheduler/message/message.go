// Package message holds the messages between the duties of the scheduler.
package message

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/cell"
	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/scheduler/api"
	"lacewingfork.example/lacewingfork/supervise"
)

// RequestKind is the kind of a caller's question.
type RequestKind uint32

// The kinds of questions.
const (
	RequestSubmit RequestKind = iota
	RequestCancel
	RequestState
)

// Request is a caller's question to the holder.
type Request struct {
	ID    uint64 // of the question on its link; 0 for a local one
	Kind  RequestKind
	Queue job.Queue
	Job   fleet.JobID
	// Body is the submitted job.
	Body *job.Job
	// Deadline is when nobody waits for the answer any more, on the steady clock.
	Deadline time.Duration
	Reply    *supervise.Ring[Response]
}

// Response answers an Ask.
type Response struct {
	ID    uint64
	Reply cell.JobReply
	// NotHolder means that the asked instance does not hold the cell.
	NotHolder bool
}

// Holder says who holds the cell.
type Holder struct {
	Epoch    fleet.Epoch
	Instance fleet.InstanceID
	Address  string
	Self     bool
}

// Known reports whether a holder is known at all.
func (h Holder) Known() bool { return h.Epoch > 0 }

// Elected tells the holder duty that this instance holds the cell.
type Elected struct {
	Epoch   fleet.Epoch
	Round   int
	Records []cell.Record
}

// LinkChange tells the election duty about the link to the holder.
type LinkChange struct {
	Epoch fleet.Epoch
	Up    bool
	// Refused means that the holder's instance answers but nobody listens.
	Refused bool
}

// Heartbeat is what the other side of a link believes.
type Heartbeat struct {
	Epoch                fleet.Epoch
	Holder               bool
	ConfigurationVersion int64
	StoreOutage          time.Duration
	Pending              map[job.Queue]int
}

// AppendResult is the outcome of an append of the holder.
type AppendResult struct {
	Epoch fleet.Epoch
	Batch uint64
	// Fenced means that another instance holds the cell.
	Fenced bool
	// Refused means that the append was surely not executed and is given up.
	Refused bool
	Took    time.Duration
}

// WorkerEvent is an answer of a worker for the holder of an epoch.
type WorkerEvent struct {
	Epoch fleet.Epoch
	Event cell.Event
}

// Order is a call to a worker.
type Order struct {
	Epoch    fleet.Epoch
	Action   cell.Action
	IssuedAt time.Duration // when it was ordered, on the steady clock
}

// ServerChange is a change of the server list; Whole means that the list has
// been read from its beginning and Servers is all of it.
type ServerChange struct {
	Full    bool
	Servers []cell.Server
	Removed []fleet.BackendServerID
}

// ConfigurationRing hands the configuration in force to a duty; the newest wins.
type ConfigurationRing = supervise.Ring[*api.Configuration]

// NewConfigurationRing returns such a ring.
func NewConfigurationRing(name string) *ConfigurationRing {
	return supervise.NewRing[*api.Configuration](name, 1, supervise.DropOldest)
}
