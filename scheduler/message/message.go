// Package message defines the messages between the duties of the scheduler.
package message

import (
	"cmp"
	"time"

	"lacewingfork.example/lacewingfork/decision/cell"
	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/scheduler/api"
	"lacewingfork.example/lacewingfork/supervise"
)

// RequestKind is the kind of a caller's request.
type RequestKind uint32

// The kinds of requests.
const (
	RequestSubmit RequestKind = iota
	RequestCancel
	RequestState
)

// Request is a caller's request to the holder.
type Request struct {
	ID    uint64 // of the request on its link; 0 for a local one
	Kind  RequestKind
	Queue job.Queue
	Job   fleet.JobID
	// Body is the submitted job; nil unless Kind is RequestSubmit.
	Body *job.Job
	// Deadline is the time on the steady clock after which the caller no longer
	// waits.
	Deadline time.Duration
	Reply    *supervise.Ring[Response]
}

// Response answers a Request.
type Response struct {
	ID    uint64
	Reply cell.JobReply
	// NotHolder means that the instance does not hold the cell.
	NotHolder bool
}

// Holder identifies the instance that holds the cell. The state dump prints its
// field names.
type Holder struct {
	Epoch    fleet.Epoch
	Instance fleet.InstanceID
	Address  string
	Self     bool
}

// Known reports whether any holder is known.
func (h Holder) Known() bool { return h.Epoch > 0 }

// Elected informs the holder duty that this instance has been elected. Round is
// the takeover round that Epoch belongs to; Records is the cell's stored state.
type Elected struct {
	Epoch   fleet.Epoch
	Round   int
	Records []cell.Record
	// ClaimedAt is when the claim was sent, on the steady clock.
	ClaimedAt time.Duration
}

// LinkChange reports a change of the link to the holder to the election duty.
type LinkChange struct {
	Epoch fleet.Epoch
	Up    bool
	// Refused means that the connection was refused, reset or broken:
	// the holder's process has probably exited.
	Refused bool
}

// Heartbeat is the state that the other side of a link reports. Pending, the
// number of pending jobs by queue, is set only by a holder.
type Heartbeat struct {
	Instance             fleet.InstanceID // that sent it, if it arrived on an accepted link
	Epoch                fleet.Epoch
	IsHolder             bool
	ConfigurationVersion int64
	// ConfigurationEnd is the offset up to which the operators' publications have
	// been applied in ConfigurationVersion; 0 if it is not known.
	ConfigurationEnd fleet.Offset
	StoreOutage      time.Duration
	Pending          map[job.Queue]int
	// SentAt is when a holder sent it, on its steady clock, and Answered the SentAt of
	// the newest heartbeat that the sender has received on the link; 0 if none.
	SentAt, Answered time.Duration
}

// AppendResult is the outcome of an append of the holder.
type AppendResult struct {
	Epoch fleet.Epoch
	Batch uint64
	// Fenced means that another instance holds the cell.
	Fenced bool
	// Refused means that the append was not executed and is not retried.
	Refused bool
	// SentAt is when the append was sent, on the steady clock: its success confirms
	// the role of holder as of then.
	SentAt time.Duration
	Took   time.Duration
}

// WorkerEvent is the answer of a worker or the advisor to an order of an epoch's
// holder.
type WorkerEvent struct {
	Epoch      fleet.Epoch
	Event      cell.Event
	AnsweredAt time.Duration // on the steady clock
}

// Order is a call to a worker or to the advisor.
type Order struct {
	Epoch    fleet.Epoch
	Action   cell.Action
	IssuedAt time.Duration // on the steady clock
}

// ServerChange is a change of the server list. If Full, the list was read from
// its beginning and Servers holds all of it.
type ServerChange struct {
	Full    bool
	Servers []cell.Server
	Removed []fleet.BackendServerID
}

// Evacuations are the data centres whose evacuation operators request, as a read of the
// store showed them that began at ReadAt on the steady clock. Unavailable means instead
// that the store did not answer this read and the one before.
type Evacuations struct {
	DataCentres []fleet.DataCentre
	ReadAt      time.Duration
	Unavailable bool
}

// Publication is an encoded publication of the operators and the offset of its
// record in the store. Version is 0 if only the document tells it.
type Publication struct {
	Version  int64
	Document []byte
	Offset   fleet.Offset
}

// ComparePublications orders publications by version, then by offset.
func ComparePublications(a, b Publication) int {
	return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Offset, b.Offset))
}

// ConfigurationProgress says that the publications before the offset End have been
// applied, which has brought Version into force.
type ConfigurationProgress struct {
	Version int64
	End     fleet.Offset
}

// ConfigurationRing carries the configuration in force to a duty. Only the
// newest one is kept.
type ConfigurationRing = supervise.Ring[*api.Configuration]

// NewConfigurationRing returns a ring with the given name.
func NewConfigurationRing(name string) *ConfigurationRing {
	return supervise.NewStateRing[*api.Configuration](name)
}
