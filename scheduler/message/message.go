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

// AskKind is the kind of a caller's question.
type AskKind uint32

// The kinds of questions.
const (
	AskSubmit AskKind = iota
	AskCancel
	AskState
)

// Ask is a caller's question to the holder.
type Ask struct {
	ID    uint64 // of the question on its link; 0 for a local one
	Kind  AskKind
	Queue job.Queue
	Job   fleet.JobID
	// Body is the submitted job.
	Body *job.Job
	// Until is when nobody waits for the answer any more, on the steady clock.
	Until time.Duration
	Reply *supervise.Ring[Answer]
}

// Answer answers an Ask.
type Answer struct {
	ID    uint64
	Reply cell.JobReply
	// Moved means that the asked instance does not hold the cell.
	Moved bool
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

// Beat is what the other side of a link believes.
type Beat struct {
	Epoch                fleet.Epoch
	Holder               bool
	ConfigurationVersion int64
	StoreSilent          time.Duration
	Pending              map[job.Queue]int
}

// Committed is the outcome of an append of the holder.
type Committed struct {
	Epoch fleet.Epoch
	Batch uint64
	// Lost means that another instance holds the cell.
	Lost bool
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
	Epoch  fleet.Epoch
	Action cell.Action
	At     time.Duration // when it was ordered, on the steady clock
}

// ServerChange is a change of the server list; Whole means that the list has
// been read from its beginning and Servers is all of it.
type ServerChange struct {
	Whole   bool
	Servers []cell.Server
	Gone    []fleet.BackendServerID
}

// ConfigurationRing hands the configuration in force to a duty; the newest wins.
type ConfigurationRing = supervise.Ring[*api.Configuration]

// NewConfigurationRing returns such a ring.
func NewConfigurationRing(name string) *ConfigurationRing {
	return supervise.NewRing[*api.Configuration](name, 1, supervise.DropOldest)
}
