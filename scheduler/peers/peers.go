// Package peers is the supervisor of the links between entry instances. Every
// instance has one link to the holder of the cell: the router duty owns it and
// the questions that wait for an answer. The holder's side of a link is a sender
// duty for each accepted link. When the router fails, the callers that wait are
// told that the outcome is open; when a sender fails, its link ends.
package peers

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"lacewingfork.example/lacewingfork/cellpb"
	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/internal/clock"
	"lacewingfork.example/lacewingfork/records/cellrecord"
	"lacewingfork.example/lacewingfork/scheduler/api"
	"lacewingfork.example/lacewingfork/scheduler/holder"
	"lacewingfork.example/lacewingfork/scheduler/logs"
	"lacewingfork.example/lacewingfork/scheduler/message"
	"lacewingfork.example/lacewingfork/supervise"
)

const (
	// heartbeatInterval and silenceLimit let a dead link be seen within the time that a
	// caller of a latency-critical queue waits.
	heartbeatInterval = 400 * time.Millisecond
	linkTimeout       = 1300 * time.Millisecond
	dialTimeout       = 400 * time.Millisecond
	redialInterval    = 200 * time.Millisecond
	// unsentTimeout is how long a question may wait for a link: a takeover takes
	// about a second.
	unsentTimeout   = 1200 * time.Millisecond
	requestCapacity = 1024 // callers of one instance at a time
	// responseCapacity covers the answers of a link whose peer reads slowly.
	responseCapacity = 2048
)

// Settings say who this instance is.
type Settings struct {
	Instance fleet.InstanceID
	Address  string
}

// Rings are the inputs and outputs of the supervisor.
type Rings struct {
	// Requests takes the questions of local callers.
	Requests *supervise.Ring[message.Request]
	// CountRequests takes questions for the number of pending jobs.
	CountRequests *supervise.Ring[CountRequest]
	// Holders is told who holds the cell.
	Holders *supervise.Ring[message.Holder]
	// Configurations are told what is in force, for the router and the senders.
	Configurations *message.ConfigurationRing
	// LinkStatus is the state of a local holder.
	LinkStatus *supervise.Ring[holder.Status]
	// RouterStatus is the same, for the router.
	RouterStatus *supervise.Ring[holder.Status]
	// StoreOutage is for how long the store has not answered this instance.
	StoreOutage *supervise.Ring[time.Duration]
	// Members are the instances to announce to.
	Members *supervise.Ring[[]cellrecord.Member]
	// Handover asks to hand the cell over to a linked instance.
	Handover *supervise.Ring[struct{}]

	LinkChanges      *supervise.Ring[message.LinkChange]
	Announcements    *supervise.Ring[message.Holder]
	HolderHeartbeats *supervise.Ring[message.Heartbeat]
	Handovers        *supervise.Ring[struct{}]
	Offers           *supervise.Ring[[]byte]
	HolderRequests   *supervise.Ring[message.Request]
	PeerHeartbeats   *supervise.Ring[message.Heartbeat]
	// Linked tells the readiness check whether questions can be answered.
	Linked *supervise.Ring[bool]
}

// CountRequest asks for the number of pending jobs of a queue.
type CountRequest struct {
	Queue job.Queue
	Reply *supervise.Ring[int]
}

// NewRings returns the rings that the duties of this folder read.
func NewRings() *Rings {
	return &Rings{
		Requests:       supervise.NewRing[message.Request]("peers.asks", requestCapacity, supervise.Refuse),
		CountRequests:  supervise.NewRing[CountRequest]("peers.counts", requestCapacity, supervise.Refuse),
		Holders:        supervise.NewRing[message.Holder]("peers.holders", 1, supervise.DropOldest),
		Configurations: message.NewConfigurationRing("peers.configurations"),
		LinkStatus:     supervise.NewRing[holder.Status]("peers.status", 1, supervise.DropOldest),
		RouterStatus:   supervise.NewRing[holder.Status]("peers.own-status", 1, supervise.DropOldest),
		StoreOutage:    supervise.NewRing[time.Duration]("peers.store-silent", 1, supervise.DropOldest),
		Members:        supervise.NewRing[[]cellrecord.Member]("peers.members", 1, supervise.DropOldest),
		Handover:       supervise.NewRing[struct{}]("peers.handover", 1, supervise.DropOldest),
	}
}

// Supervisor runs the duties of this folder.
type Supervisor struct {
	tree     *supervise.Tree
	settings Settings
	listener net.Listener
	rings    *Rings
	clock    *clock.Clock
	log      *logs.Log
	links    *linkTable
}

// New adds the supervisor below root.
func New(root *supervise.Tree, settings Settings, listener net.Listener, rings *Rings, c *clock.Clock, log *logs.Log) *Supervisor {
	s := &Supervisor{
		tree: root.Child("peers", supervise.DefaultIntensity), settings: settings, listener: listener, rings: rings,
		clock: c, log: log,
	}
	s.links = newLinkTable(s)
	return s
}

// Start starts the duties; the rings are complete by then.
func (s *Supervisor) Start() {
	r := s.rings
	s.tree.Start(supervise.Duty{Name: "listener", Run: s.serve})
	s.tree.Start(supervise.Duty{
		Name:  "router",
		Rings: []supervise.Measured{r.Requests, r.CountRequests, r.Holders, r.Configurations, r.StoreOutage, r.RouterStatus},
		Run: func(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
			return newRouter(s).run(ctx, dumps)
		},
	})
	s.tree.Start(s.links.duty())
}

func (s *Supervisor) serve(ctx context.Context, _ <-chan supervise.DumpRequest) error {
	mux := drpcmux.New()
	if err := cellpb.DRPCRegisterCell(mux, &acceptor{supervisor: s}); err != nil {
		return errors.Wrap(err, "register cell protocol")
	}
	if err := drpcserver.New(mux).Serve(ctx, s.listener); err != nil {
		return errors.Wrap(err, "serve links")
	}
	return ctx.Err()
}

// configurationVersion is the version in force, 0 when there is none.
func configurationVersion(c *api.Configuration) int64 {
	if c == nil {
		return 0
	}
	return c.Version
}
