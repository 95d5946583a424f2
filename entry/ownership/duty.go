// Package ownership owns the partition leases of this instance: the fold of the
// stream `ownership.<region>`, the promises given and received, and the
// validity of each lease. The root supervisor starts it below
// `entry/ownership`. When the duty fails it starts again from the log under a
// greater incarnation; the leases of the failed run count as lapsed, and this
// instance or another claims their partitions after TTL plus margin.
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
	// logRingCapacity is that of every ring from a log reader to a fold.
	logRingCapacity = 64 // batches
	// peerRingCapacity has room for a few messages of each of 7 members.
	peerRingCapacity = 64
	// relinquishCapacity has room for every partition of a member at the
	// target size, should all partition duties fail at once.
	relinquishCapacity = 64
	// resultCapacity has room for the appends of some seconds. A result that
	// is refused leaves its append unresolved, which is always safe.
	resultCapacity = 64
)

// ErrSuperseded means that a later incarnation of this instance has joined,
// so the next run needs a greater one.
var ErrSuperseded = errors.New("a later incarnation of this instance has joined")

// Settings configure the lease duty.
type Settings struct {
	Instance fleet.Instance
	Lease    lease.Settings
	// Metrics may be nil.
	Metrics *Metrics
}

// Rings joins the lease duty with others.
type Rings struct {
	// Inputs, made by NewRings.
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
		Relinquish: supervise.NewRing[message.Relinquish]("ownership.relinquish", relinquishCapacity, supervise.Wait),
		Releases:   supervise.NewRing[message.ReleaseAll]("ownership.releases", 1, supervise.Wait),
	}
}

// kept is what outlives a failed run of the duty.
type kept struct {
	incarnation uint64 // of the last run
	stopping    bool
}

// next returns the incarnation of a new run. It follows the wall clock, so
// that a new process with the same identifier continues above the old one.
func (k *kept) next() uint64 {
	k.incarnation = max(k.incarnation+1, uint64(time.Now().UnixMilli()))
	return k.incarnation
}

// NewLeaseDuty returns the duty that drives a lease.Member.
func NewLeaseDuty(s Settings, rings Rings) supervise.Duty {
	var k kept
	return supervise.Duty{
		Name: "ownership",
		Rings: []supervise.Measured{
			rings.Log, rings.Snapshots, rings.Requests, rings.Promises, rings.GiveBacks, rings.Relinquish, rings.Releases,
		},
		Run: func(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
			return newDuty(s, rings, &k).run(ctx, dumps)
		},
	}
}

type duty struct {
	settings Settings
	rings    Rings
	kept     *kept
	member   *lease.Member
	stream   string
	results  *supervise.Ring[message.AppendResult]
	next     fleet.Offset // offset after the last batch
	peers    []fleet.Instance
	changes  uint64 // changes of ownership that were published
	release  *message.ReleaseAll
	released *time.Timer
	counters counters
}

// counters are for the state dump.
type counters struct {
	Acquired   uint64 `json:"acquired"`
	Lost       uint64 `json:"lost"`
	Malformed  uint64 `json:"malformed_records"`
	OutOfOrder uint64 `json:"batches_out_of_order"`
	Refused    uint64 `json:"appends_refused"`
}

func newDuty(s Settings, rings Rings, k *kept) *duty {
	d := &duty{
		settings: s, rings: rings, kept: k,
		member:   lease.NewMember(s.Instance, k.next(), s.Lease),
		stream:   records.Stream(s.Instance.Region),
		results:  supervise.NewRing[message.AppendResult]("ownership.results", resultCapacity, supervise.Refuse),
		released: time.NewTimer(0),
	}
	d.released.Stop()
	return d
}

func (d *duty) run(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	defer d.answerRelease(false)
	d.start(ctx)
	tick := time.NewTicker(d.settings.Lease.TickEvery())
	defer tick.Stop()
	for {
		// Leases end by time alone; each event looks at the clock first.
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			d.carryOut(ctx, d.member.Tick(time.Now()))
		case batch := <-d.rings.Log.Items():
			d.takeBatch(ctx, batch)
		case s := <-d.rings.Snapshots.Items():
			d.takeSnapshot(ctx, s)
		case r := <-d.rings.Requests.Items():
			d.carryOut(ctx, d.member.PromiseRequested(time.Now(), r.PromiseRequest))
		case p := <-d.rings.Promises.Items():
			d.carryOut(ctx, d.member.Promised(time.Now(), p.Promise))
		case g := <-d.rings.GiveBacks.Items():
			d.carryOut(ctx, d.member.GivenBack(time.Now(), g.GiveBack))
		case r := <-d.results.Items():
			d.carryOut(ctx, d.member.Appended(time.Now(), r.ID, r.Err != nil, r.Indeterminate))
		case r := <-d.rings.Relinquish.Items():
			actions, _ := d.member.Retake(time.Now(), lease.PartitionEpoch(r))
			d.carryOut(ctx, actions)
		case r := <-d.rings.Releases.Items():
			d.releaseAll(ctx, r)
		case <-d.released.C:
			d.answerRelease(false)
		case request := <-dumps:
			request.Answer(d.dump(time.Now()))
		}
		if newest, superseded := d.member.Superseded(); superseded {
			d.kept.incarnation = max(d.kept.incarnation, newest)
			return ErrSuperseded
		}
	}
}

// start drops what was read for an earlier run and asks for the whole stream.
// The leases of an earlier run count as lapsed, which subscribers learn here.
func (d *duty) start(ctx context.Context) {
	for len(d.rings.Log.Items()) > 0 {
		<-d.rings.Log.Items()
	}
	_ = d.rings.Rewinds.Put(ctx, message.Rewind{From: 0})
	d.publish(ctx, time.Now())
	if d.kept.stopping {
		d.carryOut(ctx, d.member.Stop(time.Now()))
	}
}

// takeBatch drops a batch that leaves a gap after the last one: it was read
// for an earlier run, and the rewind brings the stream again.
func (d *duty) takeBatch(ctx context.Context, batch message.LogRecords) {
	switch {
	case batch.Truncated:
		d.carryOut(ctx, d.member.Truncated(time.Now(), batch.From))
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
			d.counters.Malformed++ // on every member alike
			continue
		}
		entries = append(entries, lease.Entry{Offset: e.Offset, Record: r})
	}
	d.next = max(d.next, batch.Next)
	d.carryOut(ctx, d.member.Records(time.Now(), entries))
}

func (d *duty) takeSnapshot(ctx context.Context, s message.ListSnapshot) {
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
	d.carryOut(ctx, d.member.Listed(time.Now(), l))
	d.publish(ctx, time.Now())
}

func (d *duty) releaseAll(ctx context.Context, r message.ReleaseAll) {
	d.answerRelease(false) // an earlier request
	d.kept.stopping = true
	d.release = &r
	d.released.Reset(r.Timeout)
	d.carryOut(ctx, d.member.Stop(time.Now()))
}

func (d *duty) answerRelease(complete bool) {
	if d.release == nil {
		return
	}
	_ = d.release.Reply.Put(context.Background(), message.AllReleased{Complete: complete})
	d.release = nil
	d.released.Stop()
}
