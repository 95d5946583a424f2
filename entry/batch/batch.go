// Package batch is the supervisor of the duties that run batch tasks.
//
// The root of an entry instance starts it. The ledger duty owns the fold of
// the stream tasks.<region> and the planner. The runner duties make the worker
// calls, so that a worker that doesn't answer never blocks the ledger; they
// read one ring and own nothing but the call in progress. A ledger that fails
// is restarted with empty state and asks the log reader to begin again; the
// tasks go on meanwhile under their leases. A runner that fails loses one
// call, which the ledger counts as unanswered.
package batch

import (
	"fmt"

	"lacewingfork.example/lacewingfork/decision/task"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/platformapi"
	"lacewingfork.example/lacewingfork/supervise"
)

const (
	// runners is the number of worker calls at a time. A rack of 11 workers
	// that doesn't answer holds 2 calls and a renewal of each, 33 of them.
	runners = 64
	// uncountedCalls is the room for renewals and throttle calls, which the
	// ledger doesn't count: one for each of the 770 workers that an instance
	// holds at the target size, and some to spare.
	uncountedCalls = 1024
	// signalCapacity takes a burst of answers to the offers of 16 partitions.
	signalCapacity = 1024
	// commandCapacity bounds the job commands that wait.
	commandCapacity = 256
	// recordsCapacity is in batches of records.
	recordsCapacity = 64
	// usageCapacity has a place for each data centre of a region.
	usageCapacity = 4
)

// Settings of the batch duties.
type Settings struct {
	Instance fleet.InstanceID
	Region   fleet.Region
	Workers  platformapi.Workers
	// Appends is the log writer's ring, Rewinds the log reader's.
	Appends *supervise.Ring[message.Append]
	Rewinds *message.RewindRing
	Events  *supervise.Ring[message.Event]
	// Metrics may be nil.
	Metrics *Metrics
}

// Supervisor holds the input rings of the ledger duty, for those that feed it.
type Supervisor struct {
	settings Settings
	planner  task.Settings

	Records        *supervise.Ring[message.LogRecords]
	Holdings       *message.HoldingsRing
	Snapshots      *message.SnapshotRing
	Usage          *message.UsageRing
	Configurations *message.ConfigurationRing
	Signals        *supervise.Ring[message.TaskSignal]
	Commands       *supervise.Ring[message.JobCommand]

	// Resends asks the configuration duty for the version in force when the
	// ledger starts again; set before Start, nil to go without.
	Resends *supervise.Ring[message.ResendConfiguration]

	calls   *supervise.Ring[message.TaskCall]
	results *supervise.Ring[message.TaskCallDone]
}

// NewRings builds the rings; Start adds the duties.
func NewRings(s Settings) *Supervisor {
	planner := task.DefaultSettings(s.Instance, s.Region)
	calls := planner.MaxCalls + uncountedCalls
	return &Supervisor{
		settings: s, planner: planner,
		Records:        supervise.NewRing[message.LogRecords]("batch.records", recordsCapacity, supervise.Wait),
		Holdings:       supervise.NewRing[message.Holdings]("batch.holdings", 1, supervise.DropOldest),
		Snapshots:      supervise.NewRing[message.ListSnapshot]("batch.snapshots", 1, supervise.DropOldest),
		Usage:          supervise.NewRing[message.UsageReports]("batch.usage", usageCapacity, supervise.DropOldest),
		Configurations: supervise.NewRing[message.ConfigurationInForce]("batch.configurations", 1, supervise.DropOldest),
		Signals:        supervise.NewRing[message.TaskSignal]("batch.signals", signalCapacity, supervise.Refuse),
		Commands:       supervise.NewRing[message.JobCommand]("batch.commands", commandCapacity, supervise.Refuse),
		calls:          supervise.NewRing[message.TaskCall]("batch.calls", calls, supervise.Refuse),
		results:        supervise.NewRing[message.TaskCallDone]("batch.results", calls, supervise.Wait),
	}
}

// Start adds the batch supervisor below root. Rings of the settings that were
// not known to NewRings are given here.
func (s *Supervisor) Start(root *supervise.Tree, appends *supervise.Ring[message.Append]) {
	if appends != nil {
		s.settings.Appends = appends
	}
	tree := root.Child("batch", supervise.DefaultIntensity)
	tree.Start(supervise.Duty{
		Name: "ledger",
		Rings: []supervise.AnyRing{
			s.Records, s.Holdings, s.Snapshots, s.Usage, s.Configurations, s.Signals, s.Commands, s.results,
		},
		Run: s.runLedger,
	})
	for i := range runners {
		d := supervise.Duty{Name: fmt.Sprintf("runner/%d", i), Run: s.runRunner}
		if i == 0 {
			d.Rings = []supervise.AnyRing{s.calls}
		}
		tree.Start(d)
	}
}

// Rewinds is the ring by which the ledger asks its log reader to start again.
func (s *Supervisor) Rewinds() *message.RewindRing { return s.settings.Rewinds }
