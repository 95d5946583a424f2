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

// router is the duty that brings the questions of local callers to the holder,
// wherever it is, and the answers back.
type router struct {
	supervisor *Supervisor
	responses  *supervise.Ring[message.Response] // of a local holder

	holder        message.Holder
	session       *session
	redialAt      time.Duration
	upSince       time.Duration // zero while questions cannot be sent
	downSince     time.Duration
	pending       map[uint64]*pendingRequest
	nextID        uint64
	counts        map[job.Queue]int
	configuration *api.Configuration
	storeOutage   time.Duration
}

// pendingRequest is an ask that waits for its answer.
type pendingRequest struct {
	request    message.Request
	receivedAt time.Duration
	sent       bool // at least once, so that it may have been carried out
	inFlight   bool // sent on the present link
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
	for {
		var frames <-chan *cellpb.Frame
		var broken <-chan error
		if r.session != nil {
			frames, broken = r.session.received.Items(), r.session.failed.Items()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ask := <-rings.Requests.Items():
			r.handleRequest(ctx, ask)
		case count := <-rings.CountRequests.Items():
			_ = count.Reply.Put(ctx, r.counts[count.Queue]) // the reply ring has room for one
		case answer := <-r.responses.Items():
			r.handleResponse(ctx, answer)
		case frame := <-frames:
			r.handleFrame(ctx, frame)
		case err := <-broken:
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

func (r *router) up() bool { return r.upSince > 0 }

// failPending tells the waiting callers that the outcome is open.
func (r *router) failPending() {
	for _, q := range r.pending {
		_ = q.request.Reply.Put(context.Background(), message.Response{Reply: cell.JobReply{Verdict: cell.Undetermined, Reason: "router_ended"}})
	}
	if r.session != nil {
		r.session.end()
	}
}

func (r *router) handleRequest(ctx context.Context, ask message.Request) {
	r.nextID++
	q := &pendingRequest{request: ask, receivedAt: r.supervisor.clock.Steady()}
	r.pending[r.nextID] = q
	r.send(ctx, r.nextID, q)
}

// send brings a question to the holder if there is a way.
func (r *router) send(ctx context.Context, id uint64, q *pendingRequest) {
	switch {
	case q.inFlight || !r.up():
		return
	case r.holder.Self:
		local := q.request
		local.ID, local.Reply = id, r.responses
		if r.supervisor.rings.HolderRequests.Put(ctx, local) != nil {
			delete(r.pending, id)
			r.reply(q, cell.JobReply{Verdict: failureVerdict(q), RetryAfter: time.Second, Reason: "holder_ring_full"})
			return
		}
	default:
		frame, err := encodeRequest(id, q.request)
		if err == nil {
			err = r.session.send(frame)
		}
		if err != nil {
			q.sent = true
			r.closeLink(ctx, "send", err)
			return
		}
	}
	q.sent, q.inFlight = true, true
}

// failureVerdict is the truth about a question that gets no answer.
func failureVerdict(q *pendingRequest) cell.Verdict {
	if q.sent {
		return cell.Undetermined
	}
	return cell.NotStored
}

func (r *router) reply(q *pendingRequest, reply cell.JobReply) {
	// The caller's ring has room for one answer; a caller that has gone leaves it.
	_ = q.request.Reply.Put(context.Background(), message.Response{Reply: reply})
}

func (r *router) handleResponse(ctx context.Context, answer message.Response) {
	q := r.pending[answer.ID]
	if q == nil {
		return
	}
	if answer.NotHolder {
		q.inFlight = false
		if r.session != nil {
			r.closeLink(ctx, "moved", nil)
		}
		return
	}
	delete(r.pending, answer.ID)
	r.reply(q, answer.Reply)
}

func (r *router) handleFrame(ctx context.Context, frame *cellpb.Frame) {
	r.session.receivedAt = r.supervisor.clock.Steady()
	switch body := frame.Body.(type) {
	case *cellpb.Frame_Answer:
		r.handleResponse(ctx, decodeResponse(body.Answer))
	case *cellpb.Frame_Beat:
		r.handleHeartbeat(ctx, decodeHeartbeat(body.Beat))
	case *cellpb.Frame_Configuration:
		_ = r.supervisor.rings.Offers.Put(ctx, body.Configuration.Document) // the newest wins
	case *cellpb.Frame_Handover:
		_ = r.supervisor.rings.Handovers.Put(ctx, struct{}{})
	}
}

// handleHeartbeat takes in a beat of the instance that this one is linked to.
func (r *router) handleHeartbeat(ctx context.Context, beat message.Heartbeat) {
	if !beat.Holder || beat.Epoch < r.holder.Epoch {
		if r.supervisor.clock.Steady()-r.session.openedAt > electedGrace {
			r.closeLink(ctx, "not_holder", nil)
		}
		return
	}
	if beat.Epoch > r.holder.Epoch {
		h := r.holder
		h.Epoch = beat.Epoch
		_ = r.supervisor.rings.Announcements.Put(ctx, h) // the newest win; the election decides whom to follow
		return
	}
	r.counts = beat.Pending
	_ = r.supervisor.rings.HolderHeartbeats.Put(ctx, beat) // the newest wins; never refused
	if !r.up() {
		r.linkUp(ctx)
	}
	if r.configuration != nil && beat.ConfigurationVersion < r.configuration.Version {
		r.sendOrClose(ctx, encodeConfiguration(r.configuration.Version, r.configuration.Document))
	}
}

// electedGrace is how long an instance that has just been elected may take until
// its beats say so.
const electedGrace = 600 * time.Millisecond

// linkUp begins to send questions.
func (r *router) linkUp(ctx context.Context) {
	r.upSince, r.downSince = r.supervisor.clock.Steady(), 0
	_ = r.supervisor.rings.LinkChanges.Put(ctx, message.LinkChange{Epoch: r.holder.Epoch, Up: true})
	_ = r.supervisor.rings.Linked.Put(ctx, true)
	for id, q := range r.pending {
		q.inFlight = false
		r.send(ctx, id, q)
	}
}

// linkDown stops sending questions; those that are open wait for the next link.
func (r *router) linkDown(ctx context.Context) {
	if r.up() {
		r.upSince, r.downSince = 0, r.supervisor.clock.Steady()
		_ = r.supervisor.rings.Linked.Put(ctx, false)
	}
	for _, q := range r.pending {
		q.inFlight = false
	}
}

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

// tick shows this side's life, notices a silent link and answers questions that
// have waited too long.
func (r *router) tick(ctx context.Context) {
	now := r.supervisor.clock.Steady()
	if r.session != nil {
		if now-r.session.receivedAt > linkTimeout {
			r.closeLink(ctx, "silent", nil)
		} else {
			r.sendOrClose(ctx, encodeHeartbeat(message.Heartbeat{
				Epoch: r.holder.Epoch, StoreOutage: r.storeOutage, ConfigurationVersion: configurationVersion(r.configuration),
			}))
		}
	}
	for id, q := range r.pending {
		switch {
		case now > q.request.Deadline:
			delete(r.pending, id)
		case !q.sent && now > q.request.Deadline-2*heartbeatInterval:
			// It was never sent, which the caller can still be told in time.
			delete(r.pending, id)
			r.reply(q, cell.JobReply{Verdict: cell.NotStored, RetryAfter: time.Second, Reason: "no_holder"})
		case !q.inFlight && !r.up() && now-max(q.receivedAt, r.downSince) > unsentTimeout:
			delete(r.pending, id)
			r.reply(q, cell.JobReply{Verdict: failureVerdict(q), RetryAfter: time.Second, Reason: "no_holder"})
		}
	}
}

func (r *router) sendOrClose(ctx context.Context, frame *cellpb.Frame) {
	if err := r.session.send(frame); err != nil {
		r.closeLink(ctx, "send", err)
	}
}
