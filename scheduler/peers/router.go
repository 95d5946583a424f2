package peers

import (
	"context"
	"time"

	"lacewingfork.example/lacewingfork/cellpb"
	"lacewingfork.example/lacewingfork/decision/cell"
	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/scheduler/api"
	"lacewingfork.example/lacewingfork/scheduler/message"
	"lacewingfork.example/lacewingfork/supervise"
)

// router is the duty that sends the requests of local callers to the holder,
// whether local or remote, and returns the responses.
type router struct {
	supervisor *Supervisor
	responses  *supervise.Ring[message.Response] // of a local holder

	holder        message.Holder
	session       *session
	redialAt      time.Duration // no dial before
	upSince       time.Duration // zero while there is no usable link
	downSince     time.Duration
	pending       map[uint64]*pendingRequest
	nextID        uint64
	counts        map[job.Queue]int // pending jobs
	configuration *api.Configuration
	storeOutage   time.Duration // how long the store has not answered this instance
}

// pendingRequest is a request that waits for its response.
type pendingRequest struct {
	request    message.Request
	receivedAt time.Duration
	sent       bool // at least once, so it may have been executed
	inFlight   bool // sent on the current link
}

func newRouter(s *Supervisor) *router {
	return &router{
		supervisor: s, pending: map[uint64]*pendingRequest{}, counts: map[job.Queue]int{},
		responses: supervise.NewRing[message.Response]("router.answers", responseCapacity, supervise.Refuse),
	}
}

func (r *router) run(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	rings := r.supervisor.rings
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	defer r.failPending()
	r.downSince = r.supervisor.clock.Steady()
	supervise.Replay(rings.Holders, rings.Configurations, rings.StoreOutage, rings.RouterStatus)
	for {
		var frames <-chan *cellpb.Frame
		var failed <-chan error
		if r.session != nil {
			frames, failed = r.session.received.Items(), r.session.failed.Items()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case request := <-rings.Requests.Items():
			r.handleRequest(ctx, request)
		case count := <-rings.CountRequests.Items():
			_ = count.Reply.Put(ctx, r.counts[count.Queue]) // the reply ring has room for one count
		case response := <-r.responses.Items():
			r.handleResponse(ctx, response)
		case frame := <-frames:
			r.handleFrame(ctx, frame)
		case err := <-failed:
			r.closeLink(ctx, "broken", err)
		case r.holder = <-rings.Holders.Items():
			r.holderChanged(ctx)
		case r.configuration = <-rings.Configurations.Items():
		case r.storeOutage = <-rings.StoreOutage.Items():
		case status := <-rings.RouterStatus.Items():
			if status.IsHolder {
				r.counts = status.Pending
			}
		case <-ticker.C:
			r.tick(ctx)
		case request := <-dumps:
			request.Answer(map[string]any{"holder": r.holder, "linked": r.up(), "waiting": len(r.pending)})
		}
		r.dialIfDue(ctx)
	}
}

// up reports whether the link to the holder is usable.
func (r *router) up() bool { return r.upSince > 0 }

// failPending answers all pending requests as undetermined.
func (r *router) failPending() {
	for _, p := range r.pending {
		_ = p.request.Reply.Put(context.Background(), message.Response{Reply: cell.JobReply{Verdict: cell.Undetermined, Reason: "router_ended"}})
	}
	if r.session != nil {
		r.session.end()
	}
}

func (r *router) handleRequest(ctx context.Context, request message.Request) {
	r.nextID++
	p := &pendingRequest{request: request, receivedAt: r.supervisor.clock.Steady()}
	r.pending[r.nextID] = p
	r.send(ctx, r.nextID, p)
}

// send sends a request to the holder if there is a usable link.
func (r *router) send(ctx context.Context, id uint64, p *pendingRequest) {
	switch {
	case p.inFlight || !r.up():
		return
	case r.holder.Self:
		local := p.request
		local.ID, local.Reply = id, r.responses
		if r.supervisor.rings.HolderRequests.Put(ctx, local) != nil {
			delete(r.pending, id)
			r.reply(p, cell.JobReply{Verdict: failureVerdict(p), RetryAfter: time.Second, Reason: "holder_ring_full"})
			return
		}
	default:
		frame, err := encodeRequest(id, p.request)
		if err == nil {
			err = r.session.send(frame)
		}
		if err != nil {
			p.sent = true
			r.closeLink(ctx, "send", err)
			return
		}
	}
	p.sent, p.inFlight = true, true
}

// failureVerdict returns the verdict on a request that receives no response.
func failureVerdict(p *pendingRequest) cell.Verdict {
	if p.sent {
		return cell.Undetermined
	}
	return cell.NotStored
}

func (r *router) reply(p *pendingRequest, reply cell.JobReply) {
	// The caller's ring has room for one response; a caller that has left does
	// not read it.
	_ = p.request.Reply.Put(context.Background(), message.Response{Reply: reply})
}

// handleResponse answers the pending request, or keeps it for the next holder if
// the instance does not hold the cell.
func (r *router) handleResponse(ctx context.Context, response message.Response) {
	p := r.pending[response.ID]
	if p == nil {
		return
	}
	if response.NotHolder {
		p.inFlight = false
		if r.session != nil {
			r.closeLink(ctx, "moved", nil)
		}
		return
	}
	delete(r.pending, response.ID)
	r.reply(p, response.Reply)
}

func (r *router) handleFrame(ctx context.Context, frame *cellpb.Frame) {
	r.session.receivedAt = r.supervisor.clock.Steady()
	switch body := frame.Body.(type) {
	case *cellpb.Frame_Answer:
		r.handleResponse(ctx, decodeResponse(body.Answer))
	case *cellpb.Frame_Beat:
		r.handleHeartbeat(ctx, decodeHeartbeat(body.Beat))
	case *cellpb.Frame_Configuration:
		publication, err := decodeConfiguration(body.Configuration)
		if err != nil {
			r.closeLink(ctx, "configuration", err)
			return
		}
		_ = r.supervisor.rings.Offers.Put(ctx, publication) // drops the oldest when full
	case *cellpb.Frame_Handover:
		_ = r.supervisor.rings.Handovers.Put(ctx, struct{}{})
	}
}

// handleHeartbeat handles a heartbeat of the holder that this instance is
// linked to.
func (r *router) handleHeartbeat(ctx context.Context, heartbeat message.Heartbeat) {
	if !heartbeat.IsHolder || heartbeat.Epoch < r.holder.Epoch {
		if r.supervisor.clock.Steady()-r.session.openedAt > electedGrace {
			r.closeLink(ctx, "not_holder", nil)
		}
		return
	}
	if heartbeat.Epoch > r.holder.Epoch {
		h := r.holder
		h.Epoch = heartbeat.Epoch
		_ = r.supervisor.rings.Announcements.Put(ctx, h) // the election decides which holder to follow
		return
	}
	r.counts, r.session.heartbeatAt = heartbeat.Pending, heartbeat.SentAt
	_ = r.supervisor.rings.HolderHeartbeats.Put(ctx, heartbeat) // keeps the newest; never fails
	if !r.up() {
		r.linkUp(ctx)
	}
	version := configurationVersion(r.configuration)
	if heartbeat.ConfigurationEnd > 0 && heartbeat.ConfigurationVersion == version {
		// Keeps the newest; never fails.
		_ = r.supervisor.rings.PeerProgress.Put(ctx, message.ConfigurationProgress{Version: version, End: heartbeat.ConfigurationEnd})
	}
	if heartbeat.ConfigurationVersion < version && r.session.sentVersion < version {
		r.session.sentVersion = version
		r.sendOrClose(ctx, encodeConfiguration(r.configuration))
	}
}

// electedGrace is how long a newly elected instance may take until its
// heartbeats state that it is the holder.
const electedGrace = 600 * time.Millisecond

// linkUp marks the link as usable and sends all pending requests.
func (r *router) linkUp(ctx context.Context) {
	r.upSince, r.downSince = r.supervisor.clock.Steady(), 0
	_ = r.supervisor.rings.LinkChanges.Put(ctx, message.LinkChange{Epoch: r.holder.Epoch, Up: true})
	_ = r.supervisor.rings.Linked.Put(ctx, true)
	_ = r.supervisor.rings.Followed.Put(ctx, !r.holder.Self) // keeps the newest; never fails
	for id, p := range r.pending {
		p.inFlight = false
		r.send(ctx, id, p)
	}
}

// linkDown marks the link as unusable. Requests in flight are sent again on the
// next link.
func (r *router) linkDown(ctx context.Context) {
	if r.up() {
		r.upSince, r.downSince = 0, r.supervisor.clock.Steady()
		_ = r.supervisor.rings.Linked.Put(ctx, false)
		_ = r.supervisor.rings.Followed.Put(ctx, false) // keeps the newest; never fails
	}
	for _, p := range r.pending {
		p.inFlight = false
	}
}

// closeLink ends the session, if any, and reports that the link is down.
func (r *router) closeLink(ctx context.Context, reason string, err error) {
	if r.session == nil {
		return
	}
	r.session.end()
	r.session = nil
	r.linkDown(ctx)
	r.redialAt = r.supervisor.clock.Steady() + redialInterval
	r.supervisor.log.Event("link_lost", "holder", r.holder.Instance, "epoch", r.holder.Epoch, "reason", reason, "error", err)
	_ = r.supervisor.rings.LinkChanges.Put(ctx, message.LinkChange{Epoch: r.holder.Epoch, Refused: reason == "broken"})
}

// holderChanged replaces the link after the known holder has changed.
func (r *router) holderChanged(ctx context.Context) {
	if r.session != nil {
		r.session.end()
		r.session = nil
	}
	r.linkDown(ctx)
	r.redialAt = 0
	if r.holder.Self {
		r.linkUp(ctx)
	}
}

// dialIfDue dials a remote holder if there is no session and the time of the
// next dial has come.
func (r *router) dialIfDue(ctx context.Context) {
	if r.session != nil || r.holder.Self || !r.holder.Known() || r.supervisor.clock.Steady() < r.redialAt {
		return
	}
	opened, refused, err := r.dial(ctx)
	if err != nil {
		r.redialAt = r.supervisor.clock.Steady() + redialInterval
		_ = r.supervisor.rings.LinkChanges.Put(ctx, message.LinkChange{Epoch: r.holder.Epoch, Refused: refused})
		return
	}
	r.session = opened
}

// tick sends a heartbeat, closes a link on which nothing was received for
// linkTimeout, and answers requests that have waited too long.
func (r *router) tick(ctx context.Context) {
	now := r.supervisor.clock.Steady()
	if r.session != nil {
		// Queued frames show that the link works and this duty was busy.
		if now-r.session.receivedAt > linkTimeout && r.session.received.Stats().Depth == 0 {
			r.closeLink(ctx, "silent", nil)
		} else {
			r.sendOrClose(ctx, encodeHeartbeat(message.Heartbeat{
				Epoch: r.holder.Epoch, StoreOutage: r.storeOutage, ConfigurationVersion: configurationVersion(r.configuration),
				Answered: r.session.heartbeatAt,
			}))
		}
	}
	for id, p := range r.pending {
		switch {
		case now > p.request.Deadline:
			delete(r.pending, id)
		case !p.sent && now > p.request.Deadline-2*heartbeatInterval:
			// Never sent: answer before the deadline that nothing was stored.
			delete(r.pending, id)
			r.reply(p, cell.JobReply{Verdict: cell.NotStored, RetryAfter: time.Second, Reason: "no_holder"})
		case !p.inFlight && !r.up() && now-max(p.receivedAt, r.downSince) > unsentTimeout:
			delete(r.pending, id)
			r.reply(p, cell.JobReply{Verdict: failureVerdict(p), RetryAfter: time.Second, Reason: "no_holder"})
		}
	}
}

// sendOrClose sends a frame and closes the link if that fails.
func (r *router) sendOrClose(ctx context.Context, frame *cellpb.Frame) {
	if err := r.session.send(frame); err != nil {
		r.closeLink(ctx, "send", err)
	}
}
