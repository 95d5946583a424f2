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
	s       *Supervisor
	answers *supervise.Ring[message.Response] // of a local holder

	holder        message.Holder
	session       *session
	redialAt      time.Duration
	upSince       time.Duration // zero while questions cannot be sent
	downSince     time.Duration
	pending       map[uint64]*question
	nextID        uint64
	counts        map[job.Queue]int
	configuration *api.Configuration
	storeSilent   time.Duration
}

// question is an ask that waits for its answer.
type question struct {
	ask   message.Request
	since time.Duration
	sent  bool // at least once, so that it may have been carried out
	open  bool // sent on the present link
}

func newRouter(s *Supervisor) *router {
	return &router{
		s: s, pending: map[uint64]*question{}, counts: map[job.Queue]int{},
		answers: supervise.NewRing[message.Response]("router.answers", answerCapacity, supervise.Refuse),
	}
}

func (r *router) run(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	rings := r.s.rings
	ticker := time.NewTicker(beatEvery)
	defer ticker.Stop()
	defer r.abandon()
	r.downSince = r.s.clock.Steady()
	for {
		var frames <-chan *cellpb.Frame
		var broken <-chan error
		if r.session != nil {
			frames, broken = r.session.received.Items(), r.session.broken.Items()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ask := <-rings.Requests.Items():
			r.ask(ctx, ask)
		case count := <-rings.CountRequests.Items():
			_ = count.Reply.Put(ctx, r.counts[count.Queue]) // the reply ring has room for one
		case answer := <-r.answers.Items():
			r.answered(ctx, answer)
		case frame := <-frames:
			r.take(ctx, frame)
		case err := <-broken:
			r.hangUp(ctx, "broken", err)
		case r.holder = <-rings.Holders.Items():
			r.holderChanged(ctx)
		case r.configuration = <-rings.Configurations.Items():
		case r.storeSilent = <-rings.StoreOutage.Items():
		case status := <-rings.RouterStatus.Items():
			if status.IsHolder {
				r.counts = status.Pending
			}
		case <-ticker.C:
			r.beat(ctx)
		case request := <-dumps:
			request.Answer(map[string]any{"holder": r.holder, "linked": r.up(), "waiting": len(r.pending)})
		}
		r.dialIfDue(ctx)
	}
}

func (r *router) up() bool { return r.upSince > 0 }

// abandon tells the waiting callers that the outcome is open.
func (r *router) abandon() {
	for _, q := range r.pending {
		_ = q.ask.Reply.Put(context.Background(), message.Response{Reply: cell.JobReply{Verdict: cell.Undetermined, Reason: "router_ended"}})
	}
	if r.session != nil {
		r.session.end()
	}
}

func (r *router) ask(ctx context.Context, ask message.Request) {
	r.nextID++
	q := &question{ask: ask, since: r.s.clock.Steady()}
	r.pending[r.nextID] = q
	r.send(ctx, r.nextID, q)
}

// send brings a question to the holder if there is a way.
func (r *router) send(ctx context.Context, id uint64, q *question) {
	switch {
	case q.open || !r.up():
		return
	case r.holder.Self:
		local := q.ask
		local.ID, local.Reply = id, r.answers
		if r.s.rings.HolderRequests.Put(ctx, local) != nil {
			delete(r.pending, id)
			r.reply(q, cell.JobReply{Verdict: notDone(q), RetryAfter: time.Second, Reason: "holder_ring_full"})
			return
		}
	default:
		frame, err := encodeAsk(id, q.ask)
		if err == nil {
			err = r.session.send(frame)
		}
		if err != nil {
			q.sent = true
			r.hangUp(ctx, "send", err)
			return
		}
	}
	q.sent, q.open = true, true
}

// notDone is the truth about a question that gets no answer.
func notDone(q *question) cell.Verdict {
	if q.sent {
		return cell.Undetermined
	}
	return cell.NotStored
}

func (r *router) reply(q *question, reply cell.JobReply) {
	// The caller's ring has room for one answer; a caller that has gone leaves it.
	_ = q.ask.Reply.Put(context.Background(), message.Response{Reply: reply})
}

func (r *router) answered(ctx context.Context, answer message.Response) {
	q := r.pending[answer.ID]
	if q == nil {
		return
	}
	if answer.NotHolder {
		q.open = false
		if r.session != nil {
			r.hangUp(ctx, "moved", nil)
		}
		return
	}
	delete(r.pending, answer.ID)
	r.reply(q, answer.Reply)
}

func (r *router) take(ctx context.Context, frame *cellpb.Frame) {
	r.session.heardAt = r.s.clock.Steady()
	switch body := frame.Body.(type) {
	case *cellpb.Frame_Answer:
		r.answered(ctx, decodeAnswer(body.Answer))
	case *cellpb.Frame_Beat:
		r.heard(ctx, decodeBeat(body.Beat))
	case *cellpb.Frame_Configuration:
		_ = r.s.rings.Offers.Put(ctx, body.Configuration.Document) // the newest wins
	case *cellpb.Frame_Handover:
		_ = r.s.rings.Handovers.Put(ctx, struct{}{})
	}
}

// heard takes in a beat of the instance that this one is linked to.
func (r *router) heard(ctx context.Context, beat message.Heartbeat) {
	if !beat.Holder || beat.Epoch < r.holder.Epoch {
		if r.s.clock.Steady()-r.session.since > linkGrace {
			r.hangUp(ctx, "not_holder", nil)
		}
		return
	}
	if beat.Epoch > r.holder.Epoch {
		h := r.holder
		h.Epoch = beat.Epoch
		_ = r.s.rings.Announcements.Put(ctx, h) // the newest win; the election decides whom to follow
		return
	}
	r.counts = beat.Pending
	_ = r.s.rings.HolderHeartbeats.Put(ctx, beat) // the newest wins; never refused
	if !r.up() {
		r.rise(ctx)
	}
	if r.configuration != nil && beat.ConfigurationVersion < r.configuration.Version {
		r.sendOrHangUp(ctx, encodeConfiguration(r.configuration.Version, r.configuration.Document))
	}
}

// linkGrace is how long an instance that has just been elected may take until
// its beats say so.
const linkGrace = 600 * time.Millisecond

// rise begins to send questions.
func (r *router) rise(ctx context.Context) {
	r.upSince, r.downSince = r.s.clock.Steady(), 0
	_ = r.s.rings.LinkChanges.Put(ctx, message.LinkChange{Epoch: r.holder.Epoch, Up: true})
	_ = r.s.rings.Linked.Put(ctx, true)
	for id, q := range r.pending {
		q.open = false
		r.send(ctx, id, q)
	}
}

// fall stops sending questions; those that are open wait for the next link.
func (r *router) fall(ctx context.Context) {
	if r.up() {
		r.upSince, r.downSince = 0, r.s.clock.Steady()
		_ = r.s.rings.Linked.Put(ctx, false)
	}
	for _, q := range r.pending {
		q.open = false
	}
}

func (r *router) hangUp(ctx context.Context, reason string, err error) {
	if r.session == nil {
		return
	}
	r.session.end()
	r.session = nil
	r.fall(ctx)
	r.redialAt = r.s.clock.Steady() + redialPause
	r.s.log.Event("link_lost", "holder", r.holder.Instance, "epoch", r.holder.Epoch, "reason", reason, "error", err)
	_ = r.s.rings.LinkChanges.Put(ctx, message.LinkChange{Epoch: r.holder.Epoch, Refused: reason == "broken"})
}

func (r *router) holderChanged(ctx context.Context) {
	if r.session != nil {
		r.session.end()
		r.session = nil
	}
	r.fall(ctx)
	r.redialAt = 0
	if r.holder.Self {
		r.rise(ctx)
	}
}

func (r *router) dialIfDue(ctx context.Context) {
	if r.session != nil || r.holder.Self || !r.holder.Known() || r.s.clock.Steady() < r.redialAt {
		return
	}
	opened, refused, err := r.open(ctx)
	if err != nil {
		r.redialAt = r.s.clock.Steady() + redialPause
		_ = r.s.rings.LinkChanges.Put(ctx, message.LinkChange{Epoch: r.holder.Epoch, Refused: refused})
		return
	}
	r.session = opened
}

// beat shows this side's life, notices a silent link and answers questions that
// have waited too long.
func (r *router) beat(ctx context.Context) {
	now := r.s.clock.Steady()
	if r.session != nil {
		if now-r.session.heardAt > silenceLimit {
			r.hangUp(ctx, "silent", nil)
		} else {
			r.sendOrHangUp(ctx, encodeBeat(message.Heartbeat{
				Epoch: r.holder.Epoch, StoreOutage: r.storeSilent, ConfigurationVersion: configurationVersion(r.configuration),
			}))
		}
	}
	for id, q := range r.pending {
		switch {
		case now > q.ask.Deadline:
			delete(r.pending, id)
		case !q.sent && now > q.ask.Deadline-2*beatEvery:
			// It was never sent, which the caller can still be told in time.
			delete(r.pending, id)
			r.reply(q, cell.JobReply{Verdict: cell.NotStored, RetryAfter: time.Second, Reason: "no_holder"})
		case !q.open && !r.up() && now-max(q.since, r.downSince) > unsentLimit:
			delete(r.pending, id)
			r.reply(q, cell.JobReply{Verdict: notDone(q), RetryAfter: time.Second, Reason: "no_holder"})
		}
	}
}

func (r *router) sendOrHangUp(ctx context.Context, frame *cellpb.Frame) {
	if err := r.session.send(frame); err != nil {
		r.hangUp(ctx, "send", err)
	}
}
