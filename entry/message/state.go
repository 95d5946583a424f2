package message

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/platformapi"
	"lacewingfork.example/lacewingfork/supervise"
)

// Rings of capacity 1 that keep the newest state. Each receiving duty owns one;
// the sender has a list of them.
type (
	SnapshotRing      = supervise.Ring[ListSnapshot]
	UsageRing         = supervise.Ring[UsageReports]
	HoldingsRing      = supervise.Ring[Holdings]
	ConfigurationRing = supervise.Ring[ConfigurationInForce]
)

// ListSnapshot is the instance list with a timestamp of the local clock. It
// goes from the list watcher to the duties that follow membership.
type ListSnapshot struct {
	// SampledAt is no later than the time at which the list was valid.
	SampledAt time.Time
	// Version changes with the content of the list; 0 if it is not known.
	Version        uint64
	Instances      []fleet.Instance
	BackendServers []fleet.BackendServer
}

// UsageReports holds the newest usage reports of a data centre. It goes from
// the usage watcher to the partition duties and the batch duties.
type UsageReports struct {
	DataCentre fleet.DataCentre
	Reports    []UsageReport
}

// UsageReport is a worker's report with a timestamp of the local clock.
type UsageReport struct {
	// SampledAt is no later than the time of the sample.
	SampledAt time.Time
	platformapi.UsageReport
}

// Holding is a partition that this instance holds.
type Holding struct {
	Partition fleet.PartitionID
	Epoch     fleet.Epoch
	// Until is the time at which the lease ends unless it is extended.
	Until time.Time
}

// HolderView is the holder of a partition as far as this instance has read the
// log.
type HolderView struct {
	Holder fleet.InstanceID
	Epoch  fleet.Epoch
}

// Holdings goes from the ownership duty to routing, scheduling, batch and
// operations.
type Holdings struct {
	// Own lists the partitions that this instance holds.
	Own     []Holding
	Holders map[fleet.PartitionID]HolderView
	// Peers lists the known entry instances of every region.
	Peers []fleet.Instance
}

// ConfigurationInForce goes from the configuration duty to every duty that
// follows the configuration. The value is immutable.
type ConfigurationInForce struct {
	Version int64
	Value   *configuration.Configuration
}

// LogRecords is a batch of records that goes from a log reader to the fold of
// its stream. Its ring waits when full, so that a slow fold slows the reader.
type LogRecords struct {
	Stream string
	// From is the offset at which the read started and Next the one after the
	// batch. A fold compares From with its own next offset, so that a repeated
	// or misplaced batch has no effect.
	From    fleet.Offset
	Next    fleet.Offset
	Records []LogEntry
	// ReadAt is when the read that returned the records was sent.
	ReadAt time.Time
	// CaughtUp is set when the stream had no newer record.
	CaughtUp bool
	// Truncated is set when retention removed records before these.
	Truncated bool
}

// Rewind asks a log reader to continue from the offset From. It comes from a
// fold that has restarted with empty state. Its ring has capacity 1 and drops
// the oldest item.
type Rewind struct{ From fleet.Offset }

// RewindRing receives the rewinds of one stream.
type RewindRing = supervise.Ring[Rewind]

// LogEntry is one entry of a group-committed log record.
type LogEntry struct {
	Offset fleet.Offset
	// Index is the position of the entry within its record.
	Index int
	ID    string
	Data  []byte
}

// Append goes from a duty to the log writer. Its ring refuses when full.
type Append struct {
	Stream string
	// ID identifies the entry when it is read back from the log.
	ID   string
	Data []byte
	// Result receives the result of the append; nil when the sender relies only
	// on what it reads back.
	Result *supervise.Ring[AppendResult]
}

// AppendResult reports how an append ended.
type AppendResult struct {
	ID     string
	Offset fleet.Offset
	Err    error
	// Indeterminate is set when the append failed but the entry may still be
	// in the log.
	Indeterminate bool
}

// Event records one decision. It goes to the history duty. Its ring drops the
// oldest item.
type Event struct {
	At time.Time `json:"at"`
	// Subject is the identifier of the request, task, job, partition, backend
	// server or duty.
	Subject string         `json:"subject"`
	Event   string         `json:"event"`
	Detail  map[string]any `json:"detail,omitempty"`
}
