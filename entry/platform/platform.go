// Package platform provides the duties that call the platform: a log reader for
// each stream, the log writer, the list watcher and a usage watcher for each
// data centre. The root of an entry instance starts them below its "platform"
// supervisor. Each duty owns the state of its calls and passes each call to a
// call duty, so that a slow platform blocks none of them. A duty that fails
// restarts with empty state: a reader continues from the first offset and a
// watcher with its next call. The writer reports the entries that it held as
// failed; those that may be in the log are reported as indeterminate.
package platform

import (
	"context"

	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/platformapi"
	"lacewingfork.example/lacewingfork/supervise"
)

// appendCapacity is the capacity of the log writer's input ring, in entries. It
// leaves room for bursts: at the target size an interval of flushAfter brings
// about 30 task starts (1,200 a second).
const appendCapacity = 1024

// Stream is a stream of the log service that the instance reads and writes.
type Stream struct {
	Name string
	// From is the first offset to read.
	From fleet.Offset
	// Folds receive the records. The reader waits while one of them is full.
	Folds []*supervise.Ring[message.LogRecords]
	// Rewinds lets a restarted fold request the stream again; nil when no fold
	// does. Every fold of the stream receives the records again.
	Rewinds *message.RewindRing
}

// UsageSubscription subscribes a ring to the usage reports of one data centre. A
// ring must not be shared between data centres, because it keeps only the
// newest item.
type UsageSubscription struct {
	DataCentre fleet.DataCentre
	Ring       *message.UsageRing
}

// Settings holds the clients of the platform's interfaces and the rings to which
// the duties deliver.
type Settings struct {
	Log       platformapi.Log
	List      platformapi.InstanceList
	Workers   platformapi.Workers
	Streams   []Stream
	Snapshots []*message.SnapshotRing
	Usage     []UsageSubscription
	// UsageRegion is nil when only the data centres of Usage are watched.
	UsageRegion *UsageRegion
	// Metrics may be nil.
	Metrics *Metrics
}

// Platform holds the settings and the input ring of the duties.
type Platform struct {
	settings Settings
	appends  *supervise.Ring[message.Append]
}

// New returns a Platform whose duties are not started yet.
func New(s Settings) *Platform {
	return &Platform{
		settings: s,
		appends:  supervise.NewRing[message.Append]("log-writer.appends", appendCapacity, supervise.Refuse),
	}
}

// Appends returns the input ring of the log writer. It refuses when full.
func (p *Platform) Appends() *supervise.Ring[message.Append] { return p.appends }

// Start starts every duty below tree.
func (p *Platform) Start(tree *supervise.Tree) {
	if p.settings.UsageRegion != nil {
		region := newUsageRegionDuty(p, tree)
		p.settings.Snapshots = append(p.settings.Snapshots, region.snapshots)
		tree.Start(region.duty())
	}
	for _, duty := range p.duties() {
		tree.Start(duty)
	}
}

func (p *Platform) duties() []supervise.Duty {
	var duties []supervise.Duty
	for _, stream := range p.settings.Streams {
		duties = append(duties, readerDuties(stream, p.settings.Log)...)
	}
	duties = append(duties, writerDuties(p.appends, p.settings.Streams, p.settings.Log, p.settings.Metrics)...)
	duties = append(duties, listDuties(p.settings.List, p.settings.Snapshots, p.settings.Metrics)...)
	for _, dataCentre := range dataCentres(p.settings.Usage) {
		duties = append(duties, usageDuties(p.settings.Workers, dataCentre, p.settings.Usage)...)
	}
	return duties
}

// dataCentres returns each subscribed data centre once, in the order of
// subscription.
func dataCentres(subscriptions []UsageSubscription) []fleet.DataCentre {
	var list []fleet.DataCentre
	seen := map[fleet.DataCentre]bool{}
	for _, s := range subscriptions {
		if !seen[s.DataCentre] {
			seen[s.DataCentre] = true
			list = append(list, s.DataCentre)
		}
	}
	return list
}

// cancelledContext makes Put return without waiting, whatever the policy of the
// ring, which another duty has created.
var cancelledContext = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()
