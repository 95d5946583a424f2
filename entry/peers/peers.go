// Package peers is the supervisor of the links between entry instances.
//
// The listener duty serves drpc. Each accepted link has a sender duty, which sends
// the answers. The manager duty follows the instance list and starts one link duty
// for every other instance. The dialling side of a link sends forwarded requests,
// cancellations, load hints, the messages of the ownership duty and requests for
// the configuration. The accepting side sends answers and configuration offers.
// When a link duty fails or loses its connection, requests whose frame was not
// written are refused as not run; the others have an unknown outcome.
package peers

import (
	"context"
	"net"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/peerpb"
	"lacewingfork.example/lacewingfork/supervise"
)

const (
	// heartbeatInterval allows four heartbeats within linkTimeout.
	heartbeatInterval = 500 * time.Millisecond
	// linkTimeout is the time without a received frame after which a link is
	// dialled again. A network path that has lost the state of the connection
	// reports no error.
	linkTimeout = 2 * time.Second
	// forwardCapacity is the number of requests that a link sends within a few
	// milliseconds.
	forwardCapacity = 1024
	// answerCapacity exceeds forwardCapacity, so that answers are refused only
	// when the peer has stopped reading.
	answerCapacity = 4096
	// controlCapacity holds the control frames of a few rounds. Only those of the
	// newest round matter.
	controlCapacity = 64
)

// Settings identifies the local instance and configures how it dials its peers.
type Settings struct {
	Instance   fleet.InstanceID
	Region     fleet.Region
	DataCentre fleet.DataCentre
	// Dial opens a connection to a peer. Nil means TCP with a timeout of
	// dialTimeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// controlFrame is a frame for one peer, or for all peers when peer is empty.
type controlFrame struct {
	peer  fleet.InstanceID
	frame *peerpb.Frame
}

// Receivers holds the rings for the messages that other instances send.
type Receivers struct {
	Submissions *supervise.Ring[message.Submission]
	Hints       *supervise.Ring[message.PeerHints]
	// ConfigurationRequests and ConfigurationOffers are input rings of the
	// configuration duty.
	ConfigurationRequests *supervise.Ring[message.ConfigurationRequest]
	ConfigurationOffers   *message.ConfigurationOfferRing
	// PromiseRequests, Promises and GiveBacks are input rings of the ownership
	// duty.
	PromiseRequests *supervise.Ring[message.PromiseRequest]
	Promises        *supervise.Ring[message.Promise]
	GiveBacks       *supervise.Ring[message.GiveBack]
}

// Supervisor runs the listener, the manager and the links.
type Supervisor struct {
	tree      *supervise.Tree
	settings  Settings
	listener  net.Listener
	receivers Receivers
	links     *supervise.Ring[message.LinkChange]
	// Metrics must be set before the tree serves. Nil records nothing.
	Metrics *Metrics

	// Snapshots takes the instance list.
	Snapshots *message.SnapshotRing
	// OwnHints takes the load of all partitions held by this instance, for every
	// peer.
	OwnHints *supervise.Ring[[]message.LoadHint]
	// PromiseRequests, Promises and GiveBacks take messages for the peer that they
	// name.
	PromiseRequests *supervise.Ring[message.PromiseRequest]
	Promises        *supervise.Ring[message.Promise]
	GiveBacks       *supervise.Ring[message.GiveBack]
	// ConfigurationRequests takes requests for every peer.
	ConfigurationRequests *supervise.Ring[message.ConfigurationRequest]
}

// New adds the peers supervisor as a child of root. links is the ring of the
// routing duty for link changes. ownHints carries the load of the partitions held
// by this instance.
func New(root *supervise.Tree, settings Settings, listener net.Listener, receivers Receivers, links *supervise.Ring[message.LinkChange], ownHints *supervise.Ring[[]message.LoadHint]) *Supervisor {
	if settings.Dial == nil {
		settings.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	s := &Supervisor{
		tree: root.Child("peers", supervise.DefaultIntensity), settings: settings,
		listener: listener, receivers: receivers, links: links,
		Snapshots:             supervise.NewRing[message.ListSnapshot]("peers.snapshots", 1, supervise.DropOldest),
		OwnHints:              ownHints,
		PromiseRequests:       supervise.NewRing[message.PromiseRequest]("peers.promise-requests", controlCapacity, supervise.DropOldest),
		Promises:              supervise.NewRing[message.Promise]("peers.promises", controlCapacity, supervise.DropOldest),
		GiveBacks:             supervise.NewRing[message.GiveBack]("peers.give-backs", controlCapacity, supervise.DropOldest),
		ConfigurationRequests: supervise.NewRing[message.ConfigurationRequest]("peers.configuration-asks", 1, supervise.DropOldest),
	}
	s.tree.Start(supervise.Duty{Name: "listener", Run: s.listen})
	s.tree.Start(supervise.Duty{
		Name: "manager", Rings: []supervise.AnyRing{s.Snapshots, s.OwnHints, s.ConfigurationRequests, s.PromiseRequests, s.Promises, s.GiveBacks}, Run: s.manage,
	})
	return s
}

func (s *Supervisor) listen(ctx context.Context, _ <-chan supervise.DumpRequest) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &acceptor{supervisor: s}); err != nil {
		return err
	}
	return drpcserver.New(mux).Serve(ctx, deadlineListener{s.listener})
}

// managedLink is a link duty started by the manager.
type managedLink struct {
	address string
	link    *link
	handle  supervise.Handle
}

// manage is the manager duty: it keeps a link to every other instance and passes
// control frames to the links.
func (s *Supervisor) manage(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	links := map[fleet.InstanceID]managedLink{}
	var list message.ListFilter
	defer func() {
		for _, l := range links {
			l.handle.Cancel()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case snapshot := <-s.Snapshots.Items():
			if list.Due(time.Now(), snapshot) {
				s.reconcile(links, snapshot.Instances)
			}
		case hints := <-s.OwnHints.Items():
			sendToLinks(ctx, links, controlFrame{frame: encodeHints(hints)})
		case request := <-s.ConfigurationRequests.Items():
			sendToLinks(ctx, links, controlFrame{frame: encodeConfigurationRequest(request)})
		case r := <-s.PromiseRequests.Items():
			sendToLinks(ctx, links, controlFrame{r.Peer, encodePromiseRequest(r.PromiseRequest)})
		case p := <-s.Promises.Items():
			sendToLinks(ctx, links, controlFrame{p.Peer, encodePromise(p.Promise)})
		case g := <-s.GiveBacks.Items():
			sendToLinks(ctx, links, controlFrame{g.Peer, encodeGiveBack(g.GiveBack)})
		case r := <-dumps:
			peers := map[fleet.InstanceID]string{}
			for id, l := range links {
				peers[id] = l.address
			}
			r.Answer(peers)
		}
	}
}

// reconcile starts links to the instances that are new or have another address,
// and stops the links to those no longer listed.
func (s *Supervisor) reconcile(links map[fleet.InstanceID]managedLink, instances []fleet.Instance) {
	listed := map[fleet.InstanceID]bool{s.settings.Instance: true}
	for _, i := range instances {
		if i.ID == s.settings.Instance {
			continue
		}
		listed[i.ID] = true
		existing, ok := links[i.ID]
		if ok && existing.address == i.PeerAddress {
			continue
		}
		if ok {
			existing.handle.Cancel()
		}
		l := newLink(s, i)
		links[i.ID] = managedLink{i.PeerAddress, l, s.tree.Start(l.duty())}
	}
	for id, l := range links {
		if !listed[id] {
			l.handle.Cancel()
			delete(links, id)
		}
	}
}

// sendToLinks puts a control frame on the ring of each link that it addresses.
func sendToLinks(ctx context.Context, links map[fleet.InstanceID]managedLink, c controlFrame) {
	for id, l := range links {
		if c.peer == "" || c.peer == id {
			_ = l.link.controls.Put(ctx, c.frame)
		}
	}
}
