package peers

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/cellpb"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/scheduler/api"
	"lacewingfork.example/lacewingfork/scheduler/holder"
	"lacewingfork.example/lacewingfork/scheduler/message"
	"lacewingfork.example/lacewingfork/supervise"
)

// acceptor serves the connections of other instances. drpc calls it on a
// goroutine for each connection, which only decodes frames and puts them on
// rings.
type acceptor struct{ supervisor *Supervisor }

// Announce implements the Cell service. It receives the announcement of a new
// holder.
func (a *acceptor) Announce(ctx context.Context, announcement *cellpb.Announcement) (*cellpb.AnnouncementTaken, error) {
	h := message.Holder{
		Epoch: fleet.Epoch(announcement.Epoch), Instance: fleet.InstanceID(announcement.Instance), Address: announcement.Address,
	}
	return &cellpb.AnnouncementTaken{}, a.supervisor.rings.Announcements.Put(ctx, h)
}

// acceptedLink is the holder's side of one link.
type acceptedLink struct {
	peer      fleet.InstanceID
	responses *supervise.Ring[message.Response]
	// outbound carries the frames that the link table sends to this peer.
	outbound *supervise.Ring[*cellpb.Frame]
	// configurations carries the newest configuration for this peer. It is apart
	// from outbound, so that heartbeats don't displace it while the peer reads
	// slowly.
	configurations *supervise.Ring[*cellpb.Frame]
	// sentVersion is the newest configuration sent on this link; only the link
	// table uses it.
	sentVersion int64
	// heard means that the peer has sent a heartbeat; only the link table uses it.
	heard bool
}

func newAcceptedLink(peer fleet.InstanceID) *acceptedLink {
	return &acceptedLink{
		peer:      peer,
		responses: supervise.NewRing[message.Response](fmt.Sprintf("accepted.%s.answers", peer), responseCapacity, supervise.Refuse),
		outbound:  supervise.NewRing[*cellpb.Frame](fmt.Sprintf("accepted.%s.outbound", peer), 8, supervise.DropOldest),

		configurations: supervise.NewRing[*cellpb.Frame](fmt.Sprintf("accepted.%s.configurations", peer), 1, supervise.DropOldest),
	}
}

// Link implements the Cell service. It registers the link and handles its frames
// until the stream ends.
func (a *acceptor) Link(stream cellpb.DRPCCell_LinkStream) error {
	first, err := stream.Recv()
	if err != nil {
		return errors.Wrap(err, "receive hello")
	}
	hello := first.GetHello()
	if hello == nil {
		return errors.New("first frame of a link is not a hello")
	}
	s := a.supervisor
	link := newAcceptedLink(fleet.InstanceID(hello.Instance))
	sender := s.tree.Start(supervise.Duty{
		Name: fmt.Sprintf("accepted/%s/%p", link.peer, link), Rings: []supervise.AnyRing{link.responses, link.outbound, link.configurations},
		Run: func(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
			return link.send(ctx, stream, dumps)
		},
	})
	defer sender.Cancel()
	ctx := stream.Context()
	if err := s.links.changes.Put(ctx, linkChange{link: link}); err != nil {
		return err
	}
	defer func() { _ = s.links.changes.Put(context.Background(), linkChange{link: link, removed: true}) }()
	for {
		frame, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "receive frame")
		}
		if err := a.handleFrame(ctx, link, frame); err != nil {
			return err
		}
	}
}

// handleFrame handles a frame of a linked instance. An error ends the link.
func (a *acceptor) handleFrame(ctx context.Context, link *acceptedLink, frame *cellpb.Frame) error {
	rings := a.supervisor.rings
	switch body := frame.Body.(type) {
	case *cellpb.Frame_Ask:
		request, err := decodeRequest(body.Ask)
		if err != nil {
			return err
		}
		request.Reply = link.responses
		if rings.HolderRequests.Put(ctx, request) != nil {
			return link.responses.Put(ctx, message.Response{ID: request.ID, NotHolder: true})
		}
	case *cellpb.Frame_Beat:
		heartbeat := decodeHeartbeat(body.Beat)
		heartbeat.Instance = link.peer
		if err := a.supervisor.links.heartbeats.Put(ctx, peerHeartbeat{link: link, heartbeat: heartbeat}); err != nil {
			return err
		}
		return rings.PeerHeartbeats.Put(ctx, heartbeat)
	case *cellpb.Frame_Configuration:
		publication, err := decodeConfiguration(body.Configuration)
		if err != nil {
			return err
		}
		return rings.Offers.Put(ctx, publication)
	}
	return nil
}

// send is the sender duty of an accepted link.
func (l *acceptedLink) send(ctx context.Context, stream cellpb.DRPCCell_LinkStream, dumps <-chan supervise.DumpRequest) error {
	for {
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-stream.Context().Done():
			return nil
		case response := <-l.responses.Items():
			err = stream.Send(encodeResponse(response))
		case frame := <-l.outbound.Items():
			err = stream.Send(frame)
		case frame := <-l.configurations.Items():
			err = stream.Send(frame)
		case r := <-dumps:
			r.Answer(map[string]any{"peer": l.peer})
		}
		if err != nil {
			_ = stream.Close() // the peer notices the end of the link and dials again
			return nil
		}
	}
}

// linkTable is the duty that owns the set of accepted links and sends
// heartbeats, configurations and handovers on them.
type linkTable struct {
	supervisor     *Supervisor
	changes        *supervise.Ring[linkChange]
	heartbeats     *supervise.Ring[peerHeartbeat]
	configurations *message.ConfigurationRing

	links         map[*acceptedLink]message.Heartbeat // with the last heartbeat received
	status        holder.Status
	configuration *api.Configuration
	progress      message.ConfigurationProgress
	encoded       *cellpb.Frame // the configuration last sent, the same for all links
	announcer     *announcer
}

// linkChange adds a link to the link table or removes it.
type linkChange struct {
	link    *acceptedLink
	removed bool
}

// peerHeartbeat is a heartbeat received on an accepted link.
type peerHeartbeat struct {
	link      *acceptedLink
	heartbeat message.Heartbeat
}

func newLinkTable(s *Supervisor) *linkTable {
	return &linkTable{
		supervisor: s, links: map[*acceptedLink]message.Heartbeat{},
		changes:        supervise.NewRing[linkChange]("links.changes", 64, supervise.Wait),
		heartbeats:     supervise.NewRing[peerHeartbeat]("links.beats", 256, supervise.DropOldest),
		configurations: message.NewConfigurationRing("links.configurations"),
		announcer:      newAnnouncer(s),
	}
}

// Configurations returns the ring that carries the configuration in force to
// the link table.
func (s *Supervisor) Configurations() *message.ConfigurationRing { return s.links.configurations }

func (t *linkTable) duty() supervise.Duty {
	r := t.supervisor.rings
	return supervise.Duty{
		Name:  "links",
		Rings: []supervise.AnyRing{t.changes, t.heartbeats, t.configurations, r.Progress, r.LinkTableStatus, r.Members, r.StartHandover},
		Run:   t.run,
	}
}

func (t *linkTable) run(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	r := t.supervisor.rings
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	supervise.Replay(t.configurations, r.Progress, r.LinkTableStatus, r.Members)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case change := <-t.changes.Items():
			if change.removed {
				delete(t.links, change.link)
			} else {
				t.links[change.link] = message.Heartbeat{}
				t.sendHeartbeat(ctx, change.link)
			}
		case b := <-t.heartbeats.Items():
			t.handleHeartbeat(ctx, b)
		case t.configuration = <-t.configurations.Items():
			for link, heartbeat := range t.links {
				t.passConfiguration(ctx, link, heartbeat)
			}
		case t.progress = <-r.Progress.Items():
			// At once: a linked instance reads the record if it is not told within
			// half a second that it needs not.
			for link := range t.links {
				t.sendHeartbeat(ctx, link)
			}
		case status := <-r.LinkTableStatus.Items():
			t.status = status
		case members := <-r.Members.Items():
			t.announcer.members = members
		case <-r.StartHandover.Items():
			t.handOver(ctx)
		case <-ticker.C:
			for link := range t.links {
				t.sendHeartbeat(ctx, link)
			}
			t.announcer.announce(ctx, t)
		case request := <-dumps:
			request.Answer(map[string]any{"links": len(t.links), "holds": t.status.IsHolder})
		}
	}
}

func (t *linkTable) sendHeartbeat(ctx context.Context, link *acceptedLink) {
	heartbeat := message.Heartbeat{
		Epoch: t.status.Epoch, IsHolder: t.status.IsHolder, StoreOutage: t.status.StoreOutage, Pending: t.status.Pending,
		ConfigurationVersion: configurationVersion(t.configuration), SentAt: t.supervisor.clock.Steady(),
	}
	if t.progress.Version == heartbeat.ConfigurationVersion {
		heartbeat.ConfigurationEnd = t.progress.End
	}
	_ = link.outbound.Put(ctx, encodeHeartbeat(heartbeat)) // drops the oldest when full; never fails
}

// handleHeartbeat stores the heartbeat of a peer and passes the configuration on
// to it.
func (t *linkTable) handleHeartbeat(ctx context.Context, b peerHeartbeat) {
	if _, linked := t.links[b.link]; !linked {
		return
	}
	t.links[b.link], b.link.heard = b.heartbeat, true
	t.passConfiguration(ctx, b.link, b.heartbeat)
}

// passConfiguration sends the configuration to a peer that has reported an older
// version, once on each link: the peer reports that version until the
// configuration has arrived.
func (t *linkTable) passConfiguration(ctx context.Context, link *acceptedLink, reported message.Heartbeat) {
	version := configurationVersion(t.configuration)
	if !link.heard || reported.ConfigurationVersion >= version || link.sentVersion >= version {
		return
	}
	if t.encoded.GetConfiguration().GetVersion() != version {
		t.encoded = encodeConfiguration(t.configuration)
	}
	link.sentVersion = version
	_ = link.configurations.Put(ctx, t.encoded) // keeps the newest; never fails
}

// handOver asks a linked instance that can reach the store to take the cell
// over. If there are several, it selects the one with the lowest identifier.
func (t *linkTable) handOver(ctx context.Context) {
	var best *acceptedLink
	for link, heartbeat := range t.links {
		if heartbeat.StoreOutage > 0 {
			continue
		}
		if best == nil || link.peer < best.peer {
			best = link
		}
	}
	if best == nil {
		return
	}
	t.supervisor.log.Event("handover_sent", "epoch", t.status.Epoch, "to", best.peer)
	_ = best.outbound.Put(ctx, &cellpb.Frame{Body: &cellpb.Frame_Handover{Handover: &cellpb.Handover{}}})
}
