// Package peers is the supervisor of the links between entry instances. Every
// instance has one link to the holder of the cell. The router duty owns this
// link and the requests that wait for a response. The holder runs a sender duty
// for each link that it has accepted. When the router fails, pending requests
// are answered as undetermined; when a sender fails, its link ends.
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
	// heartbeatInterval and linkTimeout are short enough to detect a dead link
	// before a caller of a latency-critical queue times out.
	heartbeatInterval = 400 * time.Millisecond
	linkTimeout       = 1300 * time.Millisecond
	dialTimeout       = 400 * time.Millisecond
	redialInterval    = 200 * time.Millisecond
	// unsentTimeout is how long a request may wait for a link. It covers a
	// takeover, which takes about a second.
	unsentTimeout   = 1200 * time.Millisecond
	requestCapacity = 1024 // concurrent callers of one instance
	// responseCapacity covers the responses on a link whose peer reads slowly.
	responseCapacity = 2048
)

// Settings identify this instance.
type Settings struct {
	Instance fleet.InstanceID
	Address  string // of its peer listener
}

// Rings are the inputs and outputs of the supervisor.
type Rings struct {
	// Requests carries the requests of local callers.
	Requests *supervise.Ring[message.Request]
	// CountRequests carries requests for the number of pending jobs.
	CountRequests *supervise.Ring[CountRequest]
	// Holders carries the known holder.
	Holders *supervise.Ring[message.Holder]
	// Configurations carries the configuration in force to the router.
	Configurations *message.ConfigurationRing
	// Progress carries to the link table how far this instance has applied the
	// operators' publications, and PeerProgress to the configuration duty how far
	// the holder has.
	Progress     *supervise.Ring[message.ConfigurationProgress]
	PeerProgress *supervise.Ring[message.ConfigurationProgress]
	// LinkTableStatus carries the status of a local holder to the link table.
	LinkTableStatus *supervise.Ring[holder.Status]
	// RouterStatus carries the same status to the router.
	RouterStatus *supervise.Ring[holder.Status]
	// StoreOutage carries how long the store has not answered this instance.
	StoreOutage *supervise.Ring[time.Duration]
	// Members carries the registered instances, to which a new holder announces
	// itself.
	Members *supervise.Ring[[]cellrecord.Member]
	// StartHandover asks the link table to hand the cell over to a linked instance.
	StartHandover *supervise.Ring[struct{}]

	// LinkChanges reports changes of the link to the holder to the election
	// duty.
	LinkChanges *supervise.Ring[message.LinkChange]
	// Announcements passes announced holders to the election duty.
	Announcements *supervise.Ring[message.Holder]
	// HolderHeartbeats passes the heartbeats of the holder to the election duty.
	HolderHeartbeats *supervise.Ring[message.Heartbeat]
	// Handovers passes the holder's request to take over to the election duty.
	Handovers *supervise.Ring[struct{}]
	// Offers passes configurations of peers to the configuration duty.
	Offers *supervise.Ring[message.Publication]
	// Followed tells the duty that reads configurations whether this instance is
	// linked to another one, which passes them on.
	Followed *supervise.Ring[bool]
	// HolderRequests passes requests to the local holder duty.
	HolderRequests *supervise.Ring[message.Request]
	// PeerHeartbeats passes the heartbeats of linked instances to the local
	// holder duty.
	PeerHeartbeats *supervise.Ring[message.Heartbeat]
	// Linked reports to the readiness duty whether requests can reach the holder.
	Linked *supervise.Ring[bool]
}

// CountRequest asks for the number of pending jobs of a queue.
type CountRequest struct {
	Queue job.Queue
	Reply *supervise.Ring[int]
}

// NewRings returns the rings that the duties of this supervisor read.
func NewRings() *Rings {
	return &Rings{
		Requests:        supervise.NewRing[message.Request]("peers.asks", requestCapacity, supervise.Refuse),
		CountRequests:   supervise.NewRing[CountRequest]("peers.counts", requestCapacity, supervise.Refuse),
		Holders:         supervise.NewStateRing[message.Holder]("peers.holders"),
		Configurations:  message.NewConfigurationRing("peers.configurations"),
		Progress:        supervise.NewStateRing[message.ConfigurationProgress]("peers.configuration-progress"),
		LinkTableStatus: supervise.NewStateRing[holder.Status]("peers.status"),
		RouterStatus:    supervise.NewStateRing[holder.Status]("peers.own-status"),
		StoreOutage:     supervise.NewStateRing[time.Duration]("peers.store-silent"),
		Members:         supervise.NewStateRing[[]cellrecord.Member]("peers.members"),
		StartHandover:   supervise.NewRing[struct{}]("peers.handover", 1, supervise.DropOldest),
	}
}

// Supervisor runs the duties of the links.
type Supervisor struct {
	tree     *supervise.Tree
	settings Settings
	listener net.Listener
	rings    *Rings
	clock    *clock.Clock
	log      *logs.Log
	links    *linkTable
}

// New adds the supervisor below root; Start starts its duties.
func New(root *supervise.Tree, settings Settings, listener net.Listener, rings *Rings, c *clock.Clock, log *logs.Log) *Supervisor {
	s := &Supervisor{
		tree: root.Child("peers", supervise.DefaultIntensity), settings: settings, listener: listener, rings: rings,
		clock: c, log: log,
	}
	s.links = newLinkTable(s)
	return s
}

// Start starts the duties. All rings must be set before.
func (s *Supervisor) Start() {
	r := s.rings
	s.tree.Start(supervise.Duty{Name: "listener", Run: s.serve})
	s.tree.Start(supervise.Duty{
		Name:  "router",
		Rings: []supervise.AnyRing{r.Requests, r.CountRequests, r.Holders, r.Configurations, r.StoreOutage, r.RouterStatus},
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

// configurationVersion returns the version of c, or 0 if c is nil.
func configurationVersion(c *api.Configuration) int64 {
	if c == nil {
		return 0
	}
	return c.Version
}
