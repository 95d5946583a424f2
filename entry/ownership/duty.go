// Package ownership provides the duty that manages the partition leases of this
// instance: the fold of the stream `ownership.<region>`, the promises given and
// received, and the validity of each lease. The root supervisor starts it below
// `entry/ownership`. When the duty fails it restarts from the log under a greater
// incarnation. The leases of the failed run count as lapsed, and this or another
// instance claims their partitions after the TTL plus the margin.
package ownership

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/decision/lease"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	records "lacewingfork.example/lacewingfork/records/ownership"
	"lacewingfork.example/lacewingfork/supervise"
)

const (
	// logRingCapacity is the capacity, in batches, of the ring from the log
	// reader; the rings to other folds have the same.
	logRingCapacity = 64
	// peerRingCapacity is enough for several messages from each of 7 members.
	peerRingCapacity = 64
	// relinquishRingCapacity is enough for every partition of a member at the
	// target size, in case all partition duties fail at once.
	relinquishRingCapacity = 64
	// resultRingCapacity is enough for the appends of several seconds. A refused
	// result leaves its append unresolved, which is always safe.
	resultRingCapacity = 64
)

// ErrSuperseded means that a later incarnation of this instance has joined. The
// next run needs a greater one.
var ErrSuperseded = errors.New("a later incarnation of this instance has joined")

// Settings configures the duty.
type Settings struct {
	Instance fleet.Instance
	Lease    lease.Settings
	// Metrics may be nil.
	Metrics *Metrics
}

// Rings connects the duty with other duties.
type Rings struct {
	// Inputs, created by NewRings.
	Log        *supervise.Ring[message.LogRecords]
	Snapshots  *message.SnapshotRing
	Requests   *supervise.Ring[message.PromiseRequest]
	Promises   *supervise.Ring[message.Promise]
	GiveBacks  *supervise.Ring[message.GiveBack]
	Relinquish *supervise.Ring[message.Relinquish]
	Releases   *supervise.Ring[message.ReleaseAll]

	// Outputs, set by the caller.
	Subscribers   []*message.HoldingsRing
	Appends       *supervise.Ring[message.Append]
	Rewinds       *message.RewindRing
	SendRequests  *supervise.Ring[message.PromiseRequest]
	SendPromises  *supervise.Ring[message.Promise]
	SendGiveBacks *supervise.Ring[message.GiveBack]
	Events        *supervise.Ring[message.Event]
}

// NewRings returns the input rings; the caller sets the outputs.
func NewRings() Rings {
	return Rings{
		Log:        supervise.NewRing[message.LogRecords]("ownership.log", logRingCapacity, supervise.Wait),
		Snapshots:  supervise.NewRing[message.ListSnapshot]("ownership.snapshots", 1, supervise.DropOldest),
		Requests:   supervise.NewRing[message.PromiseRequest]("ownership.requests", peerRingCapacity, supervise.DropOldest),
		Promises:   supervise.NewRing[message.Promise]("ownership.promises", peerRingCapacity, supervise.DropOldest),
		GiveBacks:  supervise.NewRing[message.GiveBack]("ownership.give-backs", peerRingCapacity, supervise.DropOldest),
		Relinquish: supervise.NewRing[message.Relinquish]("ownership.relinquish", relinquishRingCapacity, supervise.Wait),
		Releases:   supervise.NewRing[message.ReleaseAll]("ownership.releases", 1, supervise.Wait),
	}
}

// persistentState is kept across restarts of the duty.
type persistentState struct {
	incarnation uint64 // of the last run
	stopping    bool
}

// nextIncarnation returns the incarnation of a new run. It is derived from the
// wall clock, so that a new process with the same identifier gets a greater one
// than the old process.
func (p *persistentState) nextIncarnation() uint64 {
	p.incarnation = max(p.incarnation+1, uint64(time.Now().UnixMilli()))
	return p.incarnation
}

// New returns the duty, which drives a lease.Member.
func New(s Settings, rings Rings) supervise.Duty {
	var persistent persistentState
	return supervise.Duty{
		Name: "ownership",
		Rings: []supervise.AnyRing{
			rings.Log, rings.Snapshots, rings.Requests, rings.Promises, rings.GiveBacks, rings.Relinquish, rings.Releases,
		},
		Run: func(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
			return newDuty(s, rings, &persistent).run(ctx, dumps)
		},
	}
}

type duty struct {
	settings         Settings
	rings            Rings
	persistent       *persistentState
	member           *lease.Member
	stream           string
	results          *supervise.Ring[message.AppendResult]
	next             fleet.Offset // offset after the last applied batch
	peers            []fleet.Instance
	publishedChanges uint64 // number of ownership changes published so far
	pendingRelease   *message.ReleaseAll
	releaseTimer     *time.Timer
	counters         counters
}

// counters counts events for the state dump.
type counters struct {
	Acquired   uint64 `json:"acquired"`
	Lost       uint64 `json:"lost"`
	Malformed  uint64 `json:"malformed_records"`
	OutOfOrder uint64 `json:"batches_out_of_order"`
	Refused    uint64 `json:"appends_refused"`
}

func newDuty(s Settings, rings Rings, p *persistentState) *duty {
	d := &duty{
		settings: s, rings: rings, persistent: p,
		member:       lease.NewMember(s.Instance, p.nextIncarnation(), s.Lease),
		stream:       records.Stream(s.Instance.Region),
		results:      supervise.NewRing[message.AppendResult]("ownership.results", resultRingCapacity, supervise.Refuse),
		releaseTimer: time.NewTimer(0),
	}
	d.releaseTimer.Stop()
	return d
}

func (d *duty) run(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	defer d.answerRelease(false)
	d.start(ctx)
	tick := time.NewTicker(d.settings.Lease.TickEvery())
	defer tick.Stop()
	for {
		// A lease expires without an event of its own, so the member checks the
		// clock before it handles any event.
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			d.execute(ctx, d.member.Tick(time.Now()))
		case batch := <-d.rings.Log.Items():
			d.applyBatch(ctx, batch)
		case s := <-d.rings.Snapshots.Items():
			d.applySnapshot(ctx, s)
		case r := <-d.rings.Requests.Items():
			d.execute(ctx, d.member.HandlePromiseRequest(time.Now(), r.PromiseRequest))
		case p := <-d.rings.Promises.Items():
			d.execute(ctx, d.member.HandlePromise(time.Now(), p.Promise))
		case g := <-d.rings.GiveBacks.Items():
			d.execute(ctx, d.member.HandleGiveBack(time.Now(), g.GiveBack))
		case r := <-d.results.Items():
			d.execute(ctx, d.member.HandleAppendResult(time.Now(), r.ID, r.Err != nil, r.Indeterminate))
		case r := <-d.rings.Relinquish.Items():
			actions, _ := d.member.Retake(time.Now(), lease.PartitionEpoch(r))
			d.execute(ctx, actions)
		case r := <-d.rings.Releases.Items():
			d.releaseAll(ctx, r)
		case <-d.releaseTimer.C:
			d.answerRelease(false)
		case request := <-dumps:
			request.Answer(d.dump(time.Now()))
		}
		if newest, superseded := d.member.Superseded(); superseded {
			d.persistent.incarnation = max(d.persistent.incarnation, newest)
			return ErrSuperseded
		}
	}
}

// start discards batches read for an earlier run and requests the whole stream.
// The leases of an earlier run count as lapsed; publish reports that to the
// subscribers.
func (d *duty) start(ctx context.Context) {
	for len(d.rings.Log.Items()) > 0 {
		<-d.rings.Log.Items()
	}
	_ = d.rings.Rewinds.Put(ctx, message.Rewind{From: 0})
	d.publish(ctx, time.Now())
	if d.persistent.stopping {
		d.execute(ctx, d.member.Stop(time.Now()))
	}
}

// applyBatch applies a batch of log records. It drops a batch that leaves a gap
// after the previous one: it was read for an earlier run, and the stream is
// delivered again after the rewind.
func (d *duty) applyBatch(ctx context.Context, batch message.LogRecords) {
	switch {
	case batch.Truncated:
		d.execute(ctx, d.member.HandleTruncation(time.Now(), batch.From))
	case batch.From > d.next:
		d.counters.OutOfOrder++
		return
	}
	entries := make([]lease.Entry, 0, len(batch.Records))
	for _, e := range batch.Records {
		if e.Offset < d.next {
			continue
		}
		r, err := records.Decode(e.ID, e.Data)
		if err != nil {
			d.counters.Malformed++ // rejected by every member alike
			continue
		}
		entries = append(entries, lease.Entry{Offset: e.Offset, Record: r})
	}
	d.next = max(d.next, batch.Next)
	d.execute(ctx, d.member.HandleRecords(time.Now(), entries))
}

// applySnapshot passes the entry instances and the partitions of this region to
// the member.
func (d *duty) applySnapshot(ctx context.Context, s message.ListSnapshot) {
	d.peers = s.Instances
	l := lease.List{SampledAt: s.SampledAt, Instances: s.Instances}
	seen := map[fleet.PartitionID]bool{}
	for i := range s.BackendServers {
		b := &s.BackendServers[i]
		if p := b.Partition(); b.Region == d.settings.Instance.Region && !seen[p] {
			seen[p] = true
			l.Partitions = append(l.Partitions, p)
		}
	}
	d.execute(ctx, d.member.HandleList(time.Now(), l))
	d.publish(ctx, time.Now())
}

// releaseAll begins the release of every lease for a planned stop.
func (d *duty) releaseAll(ctx context.Context, r message.ReleaseAll) {
	d.answerRelease(false) // answers an earlier request, if any
	d.persistent.stopping = true
	d.pendingRelease = &r
	d.releaseTimer.Reset(r.Timeout)
	d.execute(ctx, d.member.Stop(time.Now()))
}

// answerRelease answers the pending release request, if any.
func (d *duty) answerRelease(complete bool) {
	if d.pendingRelease == nil {
		return
	}
	_ = d.pendingRelease.Reply.Put(context.Background(), message.AllReleased{Complete: complete})
	d.pendingRelease = nil
	d.releaseTimer.Stop()
}
