package message

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/platformapi"
	"lacewingfork.example/lacewingfork/supervise"
)

// Rings with one place that keep the newest state. Each receiving duty owns
// one; the sender holds a list of them.
type (
	SnapshotRing      = supervise.Ring[ListSnapshot]
	UsageRing         = supervise.Ring[UsageReports]
	HoldingsRing      = supervise.Ring[Holdings]
	ConfigurationRing = supervise.Ring[ConfigurationInForce]
)

// ListSnapshot is the instance list, dated by the local clock. It goes from
// the list watcher to the duties that follow membership.
type ListSnapshot struct {
	// SampledAt is no later than the time the list was true.
	SampledAt time.Time
	// Version changes with the list's content; 0 when that isn't known.
	Version        uint64
	Instances      []fleet.Instance
	BackendServers []fleet.BackendServer
}

// UsageReports are the newest usage reports of a data centre. They go from the
// usage watcher to the partition duties and the batch duties.
type UsageReports struct {
	DataCentre fleet.DataCentre
	Reports    []UsageReport
}

// UsageReport is a worker's report, dated by the local clock.
type UsageReport struct {
	// SampledAt is no later than the time of the sample.
	SampledAt time.Time
	platformapi.UsageReport
}

// Holding is a partition that this instance holds.
type Holding struct {
	Partition fleet.PartitionID
	Epoch     fleet.Epoch
	// Until is when the lease ends unless it is extended.
	Until time.Time
}

// HolderView says who holds a partition as far as this instance knows.
type HolderView struct {
	Holder fleet.InstanceID
	Epoch  fleet.Epoch
}

// Holdings goes from the ownership duty to routing, scheduling and batch.
type Holdings struct {
	Own     []Holding
	Holders map[fleet.PartitionID]HolderView
	// Peers are the known entry instances of every region.
	Peers []fleet.Instance
}

// ConfigurationInForce goes from the configuration duty to every duty that
// follows the configuration. The value is immutable.
type ConfigurationInForce struct {
	Version int64
	Value   *configuration.Configuration
}

// LogRecords goes from a log reader to the fold of its stream. Its ring waits,
// so that a slow fold holds the reader back.
type LogRecords struct {
	Stream string
	// From is the offset that was read from and Next the one that follows. A
	// fold that keeps its own next offset drops a batch with another From,
	// which makes a second delivery harmless.
	From    fleet.Offset
	Next    fleet.Offset
	Records []LogEntry
	// ReadAt is when the read that returned the records was sent.
	ReadAt time.Time
	// CaughtUp is set when no newer record was there.
	CaughtUp bool
	// Truncated is set when records before these are gone.
	Truncated bool
}

// Rewind goes from a fold that starts again with clean state to its log reader,
// which reads from that offset on. Its ring has one place; the newest wins.
type Rewind struct{ From fleet.Offset }

// RewindRing takes the rewinds of one stream.
type RewindRing = supervise.Ring[Rewind]

// LogEntry is one entry of a group-committed log record.
type LogEntry struct {
	Offset fleet.Offset
	// Index is the place among the entries of the record.
	Index int
	ID    string
	Data  []byte
}

// Append goes from a duty to the log writer. Its ring refuses when full.
type Append struct {
	Stream string
	// ID identifies the entry when it is read back.
	ID   string
	Data []byte
	// Result takes the result of the append; nil when the sender only trusts
	// what it reads back.
	Result *supervise.Ring[AppendResult]
}

// AppendResult tells how an append ended. Indeterminate is true when the entry may
// be in the log although no offset is known.
type AppendResult struct {
	ID            string
	Offset        fleet.Offset
	Err           error
	Indeterminate bool
}

// Event explains one decision. It goes to the history duty; its ring drops the
// oldest.
type Event struct {
	At time.Time `json:"at"`
	// Subject is a request, task, job, partition or backend server identifier.
	Subject string         `json:"subject"`
	Event   string         `json:"event"`
	Detail  map[string]any `json:"detail,omitempty"`
}
