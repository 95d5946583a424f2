// Package batch is the supervisor of the duties that run batch tasks.
//
// The root of an entry instance starts it. The ledger duty owns the planner and
// the state folded from the stream tasks.<region>. The runner duties make the
// calls to the workers, so that an unresponsive worker never blocks the ledger.
// They share one input ring and have no state but the call in progress.
//
// A ledger that fails restarts with empty state and has the log reader start
// over; running tasks continue under their leases meanwhile. A runner that
// fails loses one call, which the ledger counts as unanswered.
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
	// runnerCount is the number of concurrent worker calls. An unresponsive rack
	// of 11 workers occupies 33 of them: 2 calls and a renewal for each worker.
	runnerCount = 64
	// uncountedCalls is the ring capacity for renewals and throttle calls, which
	// the planner's MaxCalls does not cover: one for each of the 770 workers of
	// an instance at the target size, and a reserve.
	uncountedCalls = 1024
	// signalCapacity holds a burst of replies to the offers of 16 partitions.
	signalCapacity = 1024
	// commandCapacity bounds the queued job commands.
	commandCapacity = 256
	// recordsCapacity counts batches of records.
	recordsCapacity = 64
	// usageCapacity holds one batch of reports for each data centre of a region.
	usageCapacity = 4
)

// Settings configures the batch duties.
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

// Supervisor starts the batch duties and holds the input rings of the ledger
// duty.
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

	// Resends takes the ledger's request to the configuration duty for the
	// version in force, sent whenever the ledger starts. Set it before Start; if
	// nil, no request is sent.
	Resends *supervise.Ring[message.ResendConfiguration]

	calls   *supervise.Ring[message.TaskCall]
	results *supervise.Ring[message.TaskCallDone]
}

// New returns a supervisor with its rings; Start adds the duties.
func New(s Settings) *Supervisor {
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

// Start adds the batch supervisor below root. A non-nil appends replaces
// Settings.Appends, for a ring that did not exist when New was called.
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
	for i := range runnerCount {
		d := supervise.Duty{Name: fmt.Sprintf("runner/%d", i), Run: s.runRunner}
		if i == 0 {
			d.Rings = []supervise.AnyRing{s.calls}
		}
		tree.Start(d)
	}
}

// Rewinds returns the ring of the ledger's requests to its log reader to read
// again from an earlier offset.
func (s *Supervisor) Rewinds() *message.RewindRing { return s.settings.Rewinds }
