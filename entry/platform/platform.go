// Package platform holds the duties that meet the platform: a log reader for
// each stream, the log writer, the list watcher and a usage watcher for each
// data centre. The root of an entry instance starts them below its "platform"
// supervisor. Each duty owns what it knows of its calls and hands every call to
// a call duty of its own, so that a slow platform blocks none of them. A duty
// that fails starts again from the platform: a reader from the first offset, a
// watcher with the next call; the writer answers what it held as refused or
// possibly done.
package platform

import (
	"context"

	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/platformapi"
	"lacewingfork.example/lacewingfork/supervise"
)

// appendCapacity is the ring of the log writer: about four flush intervals of
// the task starts at the target size (1,200 a second), with room for bursts.
const appendCapacity = 1024

// Stream is a stream of the log service that the instance reads and writes.
type Stream struct {
	Name string
	// From is the first offset to read.
	From fleet.Offset
	// Folds take the records. A ring that is full holds the reader back.
	Folds []*supervise.Ring[message.LogRecords]
	// Rewinds lets a fold that restarts ask for the stream again; nil when no
	// fold does. Every fold of the stream sees the records again.
	Rewinds *message.RewindRing
}

// UsageSubscription asks for the usage reports of one data centre. A ring must
// not be shared between data centres, because it keeps only the newest item.
type UsageSubscription struct {
	DataCentre fleet.DataCentre
	Ring       *message.UsageRing
}

// Settings name the platform's interfaces and the rings that the duties feed.
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

// Platform holds the rings of the duties before and while they run.
type Platform struct {
	settings Settings
	appends  *supervise.Ring[message.Append]
}

// New builds the rings; Start adds the duties.
func New(s Settings) *Platform {
	return &Platform{
		settings: s,
		appends:  supervise.NewRing[message.Append]("log-writer.appends", appendCapacity, supervise.Refuse),
	}
}

// Appends is the input ring of the log writer. It refuses when full.
func (p *Platform) Appends() *supervise.Ring[message.Append] { return p.appends }

// Start adds every duty to the tree.
func (p *Platform) Start(tree *supervise.Tree) {
	if p.settings.UsageRegion != nil {
		region := newRegionDuty(p, tree)
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

// dataCentres lists each data centre once, in the order of subscription.
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

// ended is a context that has ended. Put with it never waits, whatever the
// policy of a ring that another duty made.
var ended = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()
