// Package peers is the supervisor of the links between entry instances.
//
// The listener duty serves drpc; each accepted link has a sender duty that
// returns answers. The manager duty follows the instance list and starts one
// link duty for every other instance. A link carries forwarded requests, load
// hints, promises and configuration offers from the dialling side, and answers
// back. A link duty that fails or loses its connection answers truthfully:
// requests whose frame was not written are refused as not run, the others have
// an unknown outcome.
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
	// heartbeatInterval leaves four chances within silenceLimit.
	heartbeatInterval = 500 * time.Millisecond
	// silenceLimit is how long a link may bring no frame before it is
	// replaced; a path that lost track of the connection never answers.
	silenceLimit = 2 * time.Second
	// forwardCapacity is what a link sends within a few milliseconds.
	forwardCapacity = 1024
	// answerCapacity is larger than forwardCapacity, so that answers are
	// refused only when the other side has stopped reading.
	answerCapacity = 4096
	// controlCapacity holds the control frames of a few rounds; the newest
	// round counts.
	controlCapacity = 64
)

// Settings place the instance and its drpc listener.
type Settings struct {
	Instance   fleet.InstanceID
	Region     fleet.Region
	DataCentre fleet.DataCentre
	// Dial opens a connection to a peer; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// control is a control message for one peer, or for all when to is empty.
type control struct {
	to    fleet.InstanceID
	frame *peerpb.Frame
}

// Receivers take what other instances send.
type Receivers struct {
	Submissions *supervise.Ring[message.Submission]
	Hints       *supervise.Ring[message.PeerHints]
	// ConfigurationRequests and ConfigurationOffers belong to the
	// configuration duty.
	ConfigurationRequests *supervise.Ring[message.ConfigurationRequest]
	ConfigurationOffers   *message.ConfigurationOfferRing
	// PromiseRequests, Promises and GiveBacks belong to the ownership duty.
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
	// Metrics is set before the tree serves; nil counts nothing.
	Metrics *Metrics

	Snapshots *message.SnapshotRing
	OwnHints  *supervise.Ring[[]message.LoadHint]
	// PromiseRequests, Promises and GiveBacks go to the peer that they name.
	PromiseRequests *supervise.Ring[message.PromiseRequest]
	Promises        *supervise.Ring[message.Promise]
	GiveBacks       *supervise.Ring[message.GiveBack]
	// ConfigurationAsks goes to every peer.
	ConfigurationAsks *supervise.Ring[message.ConfigurationRequest]
}

// New adds the peers supervisor below root. Link changes go to routing;
// ownHints brings the load of the partitions held here.
func New(root *supervise.Tree, settings Settings, listener net.Listener, receivers Receivers, links *supervise.Ring[message.LinkChange], ownHints *supervise.Ring[[]message.LoadHint]) *Supervisor {
	if settings.Dial == nil {
		settings.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	s := &Supervisor{
		tree: root.Child("peers", supervise.DefaultIntensity), settings: settings,
		listener: listener, receivers: receivers, links: links,
		Snapshots:         supervise.NewRing[message.ListSnapshot]("peers.snapshots", 1, supervise.DropOldest),
		OwnHints:          ownHints,
		PromiseRequests:   supervise.NewRing[message.PromiseRequest]("peers.promise-requests", controlCapacity, supervise.DropOldest),
		Promises:          supervise.NewRing[message.Promise]("peers.promises", controlCapacity, supervise.DropOldest),
		GiveBacks:         supervise.NewRing[message.GiveBack]("peers.give-backs", controlCapacity, supervise.DropOldest),
		ConfigurationAsks: supervise.NewRing[message.ConfigurationRequest]("peers.configuration-asks", 1, supervise.DropOldest),
	}
	s.tree.Start(supervise.Duty{Name: "listener", Run: s.listen})
	s.tree.Start(supervise.Duty{
		Name: "manager", Rings: []supervise.AnyRing{s.Snapshots, s.OwnHints, s.ConfigurationAsks, s.PromiseRequests, s.Promises, s.GiveBacks}, Run: s.manage,
	})
	return s
}

func (s *Supervisor) listen(ctx context.Context, _ <-chan supervise.DumpRequest) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &acceptor{supervisor: s}); err != nil {
		return err
	}
	return drpcserver.New(mux).Serve(ctx, progressListener{s.listener})
}

// managedLink is a link duty that the manager started.
type managedLink struct {
	address string
	link    *link
	running supervise.Handle
}

func (s *Supervisor) manage(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	links := map[fleet.InstanceID]managedLink{}
	var list message.ListFilter
	defer func() {
		for _, l := range links {
			l.running.Cancel()
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
			send(ctx, links, control{frame: encodeHints(hints)})
		case ask := <-s.ConfigurationAsks.Items():
			send(ctx, links, control{frame: encodeConfigurationRequest(ask)})
		case r := <-s.PromiseRequests.Items():
			send(ctx, links, control{r.Peer, encodePromiseRequest(r.PromiseRequest)})
		case p := <-s.Promises.Items():
			send(ctx, links, control{p.Peer, encodePromise(p.Promise)})
		case g := <-s.GiveBacks.Items():
			send(ctx, links, control{g.Peer, encodeGiveBack(g.GiveBack)})
		case r := <-dumps:
			peers := map[fleet.InstanceID]string{}
			for id, l := range links {
				peers[id] = l.address
			}
			r.Answer(peers)
		}
	}
}

func (s *Supervisor) reconcile(links map[fleet.InstanceID]managedLink, instances []fleet.Instance) {
	listed := map[fleet.InstanceID]bool{s.settings.Instance: true}
	for _, i := range instances {
		if i.ID == s.settings.Instance {
			continue
		}
		listed[i.ID] = true
		known, ok := links[i.ID]
		if ok && known.address == i.PeerAddress {
			continue
		}
		if ok {
			known.running.Cancel()
		}
		l := newLink(s, i)
		links[i.ID] = managedLink{i.PeerAddress, l, s.tree.Start(l.duty())}
	}
	for id, l := range links {
		if !listed[id] {
			l.running.Cancel()
			delete(links, id)
		}
	}
}

func send(ctx context.Context, links map[fleet.InstanceID]managedLink, c control) {
	for id, l := range links {
		if c.to == "" || c.to == id {
			_ = l.link.controls.Put(ctx, c.frame)
		}
	}
}
