// Package election is the duty that registers this instance as a member,
// follows the holder of the cell and takes the cell over if it has no holder.
// It owns the identity of the known holder. When it fails it reads the holder
// again from the store; if this instance is the holder, it remains so meanwhile.
package election

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/decision/election"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/internal/clock"
	"lacewingfork.example/lacewingfork/records/cellrecord"
	"lacewingfork.example/lacewingfork/scheduler/api"
	"lacewingfork.example/lacewingfork/scheduler/logs"
	"lacewingfork.example/lacewingfork/scheduler/message"
	"lacewingfork.example/lacewingfork/supervise"
)

const (
	// callTimeout bounds a call to the store that reads or writes one record.
	callTimeout = 800 * time.Millisecond
	// restoreTimeout bounds the read of all records of the cell.
	restoreTimeout = 4 * time.Second
	// retryInterval is the time between the attempts of a search.
	retryInterval = 200 * time.Millisecond
	// linkUpTimeout is how long the link to a new holder may take to come up.
	linkUpTimeout = 700 * time.Millisecond
	// probeInterval is the time between probes of the store while the holder
	// cannot reach it.
	probeInterval = 500 * time.Millisecond
	// membersInterval is the time after which the holder reads the registered
	// instances again.
	membersInterval = 5 * time.Second
	// storeOutageThreshold is how long the holder's append may be unanswered
	// before other instances probe the store.
	storeOutageThreshold = 600 * time.Millisecond
)

// Settings identify this instance.
type Settings struct {
	Instance  fleet.InstanceID
	Region    fleet.Region
	Address   string // of its peer listener
	Processor float64
}

// Rings are the inputs and outputs of the duty.
type Rings struct {
	// LinkChanges carries the changes of the link to the holder.
	LinkChanges *supervise.Ring[message.LinkChange]
	// Announcements carries the holders that announced themselves.
	Announcements *supervise.Ring[message.Holder]
	// RoleEnded carries the epoch whose role of holder has ended in this
	// instance.
	RoleEnded *supervise.Ring[fleet.Epoch]
	// HolderHeartbeats carries the heartbeats of the holder.
	HolderHeartbeats *supervise.Ring[message.Heartbeat]
	// Handovers signals that the holder asks this instance to take over at
	// once.
	Handovers *supervise.Ring[struct{}]
	// Stopping signals a planned stop of this instance.
	Stopping *supervise.Ring[struct{}]

	// Elected informs the holder duty that this instance has been elected.
	Elected *supervise.Ring[message.Elected]
	// Holders receive each newly known holder.
	Holders []*supervise.Ring[message.Holder]
	// StoreOutage carries how long the store has not answered this instance.
	StoreOutage *supervise.Ring[time.Duration]
	// Members receive the registered instances.
	Members []*supervise.Ring[[]cellrecord.Member]
}

// NewRings returns the rings that the duty reads.
func NewRings() *Rings {
	return &Rings{
		LinkChanges:      supervise.NewRing[message.LinkChange]("election.links", 16, supervise.DropOldest),
		Announcements:    supervise.NewRing[message.Holder]("election.announced", 16, supervise.DropOldest),
		RoleEnded:        supervise.NewRing[fleet.Epoch]("election.superseded", 4, supervise.DropOldest),
		HolderHeartbeats: supervise.NewRing[message.Heartbeat]("election.beats", 1, supervise.DropOldest),
		Handovers:        supervise.NewRing[struct{}]("election.handovers", 1, supervise.DropOldest),
		Stopping:         supervise.NewRing[struct{}]("election.stopping", 1, supervise.DropOldest),
	}
}

// Duty follows the holder and, if there is none, takes the cell over.
type Duty struct {
	rings    *Rings
	settings Settings
	store    api.Store
	clock    *clock.Clock
	log      *logs.Log

	holder            message.Holder
	round             int // highest known round of a holder
	linked            bool
	searching         bool
	connectionRefused bool
	claimNow          bool // skip the delay and the check for the holder's appends: no holder is left
	stopping          bool
	registered        bool
	holderRecorded    bool // the members topic names this instance as holder
	storeFailedAt     time.Duration
	storeProbedAt     time.Duration
	membersReadAt     time.Duration // start of the last read
	storeLatency      time.Duration
	delayStart        time.Duration // start of the delay before the next takeover attempt
	followedEpoch     fleet.Epoch
	followedAt        time.Duration
}

// New returns the duty; Start starts it.
func New(rings *Rings, settings Settings, store api.Store, c *clock.Clock, log *logs.Log) *Duty {
	return &Duty{rings: rings, settings: settings, store: store, clock: c, log: log}
}

// Start adds the duty below root.
func (d *Duty) Start(root *supervise.Tree) {
	r := d.rings
	root.Child("election", supervise.DefaultIntensity).Start(supervise.Duty{
		Name:  "election",
		Rings: []supervise.AnyRing{r.LinkChanges, r.Announcements, r.RoleEnded, r.HolderHeartbeats, r.Handovers, r.Stopping},
		Run:   d.run,
	})
}

func (d *Duty) run(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	d.searching = !d.holder.Self
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case change := <-d.rings.LinkChanges.Items():
			d.handleLinkChange(change)
		case h := <-d.rings.Announcements.Items():
			d.handleAnnouncement(h)
		case epoch := <-d.rings.RoleEnded.Items():
			d.handleRoleEnded(epoch)
		case heartbeat := <-d.rings.HolderHeartbeats.Items():
			d.handleHeartbeat(ctx, heartbeat)
		case <-d.rings.Handovers.Items():
			d.log.Event("handover_received", "epoch", d.holder.Epoch)
			d.searching, d.connectionRefused, d.claimNow, d.delayStart = true, true, true, 0
		case <-d.rings.Stopping.Items():
			d.withdraw(ctx)
		case <-timer.C:
		case r := <-dumps:
			r.Answer(map[string]any{"holder": d.holder, "linked": d.linked, "seeking": d.searching, "round": d.round})
		}
		d.runDueWork(ctx)
		timer.Reset(d.untilNextWork())
	}
}

// untilNextWork returns the time until runDueWork must run again if no message
// arrives.
func (d *Duty) untilNextWork() time.Duration {
	if d.searching || !d.registered || d.holder.Self && !d.holderRecorded {
		return retryInterval
	}
	if d.holder.Self {
		return membersInterval
	}
	return time.Minute
}

// handleLinkChange ends the search when the link to the holder is up and begins
// one when it is down.
func (d *Duty) handleLinkChange(change message.LinkChange) {
	if change.Epoch != d.holder.Epoch || d.holder.Self {
		return
	}
	if change.Up {
		d.linked, d.searching, d.claimNow = true, false, false
		return
	}
	if d.linked || !d.searching {
		d.log.Event("holder_link_lost", "epoch", change.Epoch, "holder", d.holder.Instance, "refused", change.Refused)
		d.delayStart = d.clock.Steady()
	}
	d.linked, d.searching, d.connectionRefused = false, true, change.Refused
}

func (d *Duty) handleAnnouncement(h message.Holder) {
	if h.Epoch > d.holder.Epoch {
		d.follow(h, "announced")
	}
}

// follow makes the given instance the known holder.
func (d *Duty) follow(h message.Holder, source string) {
	d.holder, d.linked = h, false
	d.round = max(d.round, election.RoundOf(h.Epoch))
	d.followedEpoch, d.followedAt = h.Epoch, d.clock.Steady()
	d.log.Event("holder_known", "epoch", h.Epoch, "holder", h.Instance, "source", source, "self", h.Self)
	d.publishHolder()
}

func (d *Duty) publishHolder() {
	for _, ring := range d.rings.Holders {
		_ = ring.Put(context.Background(), d.holder) // keeps the newest; never fails
	}
}

// handleRoleEnded begins a search after this instance has stopped being holder.
func (d *Duty) handleRoleEnded(epoch fleet.Epoch) {
	if d.holder.Self && d.holder.Epoch == epoch {
		d.holder.Self = false
		d.searching, d.linked, d.holderRecorded = true, false, false
		d.delayStart = d.clock.Steady()
		d.publishHolder()
	}
}

// handleHeartbeat probes the store if the holder cannot reach it, and starts a
// search if this instance can.
func (d *Duty) handleHeartbeat(ctx context.Context, heartbeat message.Heartbeat) {
	if heartbeat.Epoch != d.holder.Epoch || d.holder.Self || heartbeat.StoreOutage < storeOutageThreshold {
		return
	}
	if d.clock.Steady()-d.storeProbedAt < probeInterval {
		return
	}
	d.storeProbedAt = d.clock.Steady()
	if _, _, err := d.readMembers(ctx); err != nil {
		return
	}
	if !d.searching {
		d.log.Event("holder_cut_from_store", "epoch", d.holder.Epoch, "silent_ms", heartbeat.StoreOutage.Milliseconds())
		d.searching, d.connectionRefused, d.delayStart = true, false, d.clock.Steady()
	}
}

// runDueWork registers this instance, records it as the holder, reads the members or
// searches for a holder, whichever is due.
func (d *Duty) runDueWork(ctx context.Context) {
	if !d.registered && !d.stopping {
		d.register(ctx)
	}
	switch {
	case d.holder.Self && !d.holderRecorded && !d.stopping:
		d.recordHolder(ctx)
	case d.holder.Self && d.clock.Steady()-d.membersReadAt >= membersInterval:
		_, _, _ = d.readMembers(ctx) // retried after membersInterval
	case d.searching && !d.holder.Self:
		d.search(ctx)
	}
}

// recordStoreResult updates and publishes whether the store answers this
// instance.
func (d *Duty) recordStoreResult(err error) {
	now := d.clock.Steady()
	answered := err == nil || errors.Is(err, api.ErrEndMismatch) || errors.Is(err, api.ErrFenced)
	switch {
	case answered && d.storeFailedAt > 0:
		d.log.Event("dependency_regained", "dependency", "store", "after_ms", (now - d.storeFailedAt).Milliseconds())
		d.storeFailedAt = 0
	case !answered && d.storeFailedAt == 0:
		d.log.Event("dependency_lost", "dependency", "store", "error", err)
		d.storeFailedAt = now
	}
	outage := time.Duration(0)
	if d.storeFailedAt > 0 {
		outage = max(time.Millisecond, now-d.storeFailedAt)
	}
	_ = d.rings.StoreOutage.Put(context.Background(), outage) // keeps the newest; never fails
}

// register writes the member record of this instance, with the latency of the
// store.
func (d *Duty) register(ctx context.Context) {
	start := d.clock.Steady()
	if _, _, err := d.readMembers(ctx); err != nil {
		return
	}
	d.storeLatency = d.clock.Steady() - start
	item, err := cellrecord.EncodeValue(cellrecord.MemberKey(d.settings.Instance), cellrecord.Member{
		Instance: d.settings.Instance, Address: d.settings.Address, Region: d.settings.Region,
		Processor: d.settings.Processor, StoreLatencyMs: d.storeLatency.Milliseconds(),
	})
	if err != nil {
		d.log.Event("member_not_encoded", "error", err)
		return
	}
	d.registered = d.append(ctx, item) == nil
}

// append appends an item to the members topic.
func (d *Duty) append(ctx context.Context, item api.Item) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := d.store.Append(ctx, api.Append{Topic: cellrecord.MemberTopic, Items: []api.Item{item}, ExpectedEnd: -1})
	d.recordStoreResult(err)
	return err
}

// readMembers reads the registered instances and the recorded holder.
func (d *Duty) readMembers(ctx context.Context) ([]cellrecord.Member, cellrecord.Holder, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	d.membersReadAt = d.clock.Steady()
	items, _, err := d.store.Newest(ctx, cellrecord.MemberTopic)
	d.recordStoreResult(err)
	if err != nil {
		return nil, cellrecord.Holder{}, err
	}
	decoded := cellrecord.Decode(items)
	for _, ring := range d.rings.Members {
		_ = ring.Put(ctx, decoded.Members) // keeps the newest; never fails
	}
	return decoded.Members, decoded.Holder, nil
}

// recordHolder writes to the members topic that this instance holds the cell.
func (d *Duty) recordHolder(ctx context.Context) {
	item, err := cellrecord.EncodeValue(cellrecord.HolderKey, cellrecord.Holder{
		Epoch: d.holder.Epoch, Round: d.round, Instance: d.settings.Instance, Address: d.settings.Address,
	})
	if err != nil {
		d.log.Event("holder_not_encoded", "error", err)
		return
	}
	d.holderRecorded = d.append(ctx, item) == nil
}

// withdraw removes this instance from the members.
func (d *Duty) withdraw(ctx context.Context) {
	d.stopping = true
	if err := d.append(ctx, api.Item{Key: cellrecord.MemberKey(d.settings.Instance)}); err != nil {
		d.log.Event("member_not_withdrawn", "error", err)
	}
}
