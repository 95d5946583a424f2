package peers

import (
	"context"
	"net"
	"time"

	"storj.io/drpc/drpcconn"

	"lacewingfork.example/lacewingfork/cellpb"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/records/cellrecord"
	"lacewingfork.example/lacewingfork/supervise"
)

const (
	// announceInterval is the time between announcements to instances without a
	// link.
	announceInterval = time.Second
	// announceDuration is how long a new holder announces itself. It is bounded
	// because an instance that has been removed stays among the members for a
	// while. A holder that cannot reach the store goes on, as it needs the report of
	// each instance, including those that have restarted.
	announceDuration = 8 * time.Second
	// announceCapacity is the number of queued announcements. It covers each
	// instance of a deployment once.
	announceCapacity = 64
)

// announcer announces this holder to instances that have no link to it.
// Instances that cannot reach the store have no other way to find the holder.
type announcer struct {
	supervisor  *Supervisor
	members     []cellrecord.Member
	epoch       fleet.Epoch
	epochSince  time.Duration // when this instance became the holder with epoch
	announcedAt time.Duration
	calls       *supervise.Ring[announcement]
}

// announcement is an announcement to the instance at address.
type announcement struct {
	address string
	epoch   fleet.Epoch
}

func newAnnouncer(s *Supervisor) *announcer {
	a := &announcer{supervisor: s, calls: supervise.NewRing[announcement]("announce.calls", announceCapacity, supervise.DropOldest)}
	s.tree.Start(supervise.Duty{Name: "announcer", Rings: []supervise.AnyRing{a.calls}, Run: a.run})
	return a
}

// announce queues the announcements that are due. It is called by the link
// table.
func (a *announcer) announce(ctx context.Context, t *linkTable) {
	now := a.supervisor.clock.Steady()
	if !t.status.IsHolder {
		return
	}
	if t.status.Epoch != a.epoch {
		a.epoch, a.epochSince, a.announcedAt = t.status.Epoch, now, 0
	}
	withoutStore := t.status.StoreOutage > 0
	if now-a.epochSince > announceDuration && !withoutStore || now-a.announcedAt < announceInterval {
		return
	}
	a.announcedAt = now
	linked := map[fleet.InstanceID]bool{a.supervisor.settings.Instance: true}
	for link := range t.links {
		linked[link.peer] = true
	}
	for _, m := range a.members {
		if !linked[m.Instance] {
			_ = a.calls.Put(ctx, announcement{address: m.Address, epoch: a.epoch}) // drops the oldest when full; never fails
		}
	}
}

// run makes the announcements one after the other.
func (a *announcer) run(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case call := <-a.calls.Items():
			a.announceTo(ctx, call)
		case r := <-dumps:
			r.Answer(nil)
		}
	}
}

// announceTo makes one announcement. A peer that does not answer receives
// another one after announceInterval.
func (a *announcer) announceTo(ctx context.Context, call announcement) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", call.address)
	if err != nil {
		return
	}
	rpc := drpcconn.New(conn)
	_, err = cellpb.NewDRPCCellClient(rpc).Announce(ctx, &cellpb.Announcement{
		Epoch: uint64(call.epoch), Instance: string(a.supervisor.settings.Instance), Address: a.supervisor.settings.Address,
	})
	if err != nil {
		a.supervisor.log.Event("announcement_failed", "address", call.address, "error", err)
	}
	_ = rpc.Close() // one call per connection
}
