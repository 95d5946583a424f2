package peers

import (
	"context"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"
	"storj.io/drpc/drpcconn"

	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/peerpb"
	"lacewingfork.example/lacewingfork/supervise"
)

const (
	// dialTimeout bounds a dial, and the report of a closed link to the routing
	// duty.
	dialTimeout = time.Second
	// maxRedialBackoff bounds the delay until a returned instance is dialled.
	maxRedialBackoff = time.Second
)

var errLinkTimeout = errors.New("no frame from the peer within the link timeout")

// link is the duty that owns the dialled link to one other entry instance and the
// requests forwarded over it.
type link struct {
	supervisor *Supervisor
	peer       fleet.Instance
	forwards   *supervise.Ring[message.Submission]
	controls   *supervise.Ring[*peerpb.Frame]
}

func newLink(s *Supervisor, peer fleet.Instance) *link {
	return &link{
		supervisor: s, peer: peer,
		forwards: supervise.NewRing[message.Submission](fmt.Sprintf("link.%s.forwards", peer.ID), forwardCapacity, supervise.Refuse),
		controls: supervise.NewRing[*peerpb.Frame](fmt.Sprintf("link.%s.controls", peer.ID), controlCapacity, supervise.DropOldest),
	}
}

func (l *link) duty() supervise.Duty {
	return supervise.Duty{
		Name:  fmt.Sprintf("link/%s@%s", l.peer.ID, l.peer.PeerAddress),
		Rings: []supervise.AnyRing{l.forwards, l.controls},
		Run:   l.run,
	}
}

// run dials the peer and serves the connection, and dials again with exponential
// backoff when it ends.
func (l *link) run(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = 50*time.Millisecond, maxRedialBackoff
	for ctx.Err() == nil {
		session, err := l.dial(ctx)
		if err == nil {
			delay.Reset()
			err = session.serve(ctx, dumps)
			session.end(ctx)
		}
		l.refuseQueued()
		l.backOff(ctx, delay.NextBackOff(), err, dumps)
	}
	return ctx.Err()
}

// backOff waits until the next dial and refuses the requests that arrive until
// then. cause is the error of the last connection.
func (l *link) backOff(ctx context.Context, delay time.Duration, cause error, dumps <-chan supervise.DumpRequest) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			l.refuseQueued()
			return
		case <-timer.C:
			return
		case s := <-l.forwards.Items():
			refuseForward(s)
		case <-l.controls.Items():
		case r := <-dumps:
			r.Answer(linkDump{Peer: l.peer.ID, Address: l.peer.PeerAddress, LastError: fmt.Sprint(cause)})
		}
	}
}

// refuseQueued refuses every request on the ring.
func (l *link) refuseQueued() {
	for {
		select {
		case s := <-l.forwards.Items():
			refuseForward(s)
		default:
			return
		}
	}
}

func refuseForward(s message.Submission) {
	if !s.Cancel {
		s.Deliver(message.Refusal(s.Request.ID, outcome.LinkDown, 0))
	}
}

// dial connects to the peer, sends Hello and starts the receiver duty.
func (l *link) dial(ctx context.Context) (*session, error) {
	conn, err := l.supervisor.settings.Dial(ctx, "tcp", l.peer.PeerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}
	rpc := drpcconn.New(deadlineConn{conn})
	stream, err := peerpb.NewDRPCPeerClient(rpc).Link(ctx)
	if err != nil {
		_ = rpc.Close()
		return nil, errors.Wrap(err, "open link")
	}
	s := &session{
		link: l, close: rpc.Close, stream: stream,
		received:     supervise.NewRing[*peerpb.Frame](fmt.Sprintf("link.%s.received", l.peer.ID), forwardCapacity, supervise.Wait),
		receiveError: supervise.NewRing[error](fmt.Sprintf("link.%s.broken", l.peer.ID), 1, supervise.DropOldest),
		pending:      map[fleet.RequestID]message.Submission{}, hints: sentHints{}, receivedAt: time.Now(),
	}
	settings := l.supervisor.settings
	hello := &peerpb.Hello{
		Instance: string(settings.Instance), Region: string(settings.Region), DataCentre: string(settings.DataCentre),
	}
	if err := stream.Send(&peerpb.Frame{Body: &peerpb.Frame_Hello{Hello: hello}}); err != nil {
		_ = rpc.Close()
		return nil, errors.Wrap(err, "send hello")
	}
	s.receiver = l.supervisor.tree.Start(supervise.Duty{
		Name: fmt.Sprintf("link/%s/receiver", l.peer.ID), Rings: []supervise.AnyRing{s.received}, Run: s.receive,
	})
	return s, nil
}

// session is one connection of a link. Only the link duty uses it, except for the
// receiver duty, which reads the stream and puts the frames on received and the
// error that ends the stream on receiveError.
type session struct {
	link         *link
	close        func() error
	stream       peerpb.DRPCPeer_LinkClient
	receiver     supervise.Handle
	received     *supervise.Ring[*peerpb.Frame]
	receiveError *supervise.Ring[error]
	pending      map[fleet.RequestID]message.Submission
	hints        sentHints
	receivedAt   time.Time
	heartbeats   uint64
	forwards     uint64
	answers      uint64
	unmatched    uint64 // answers that matched no pending request
}

// receive is the receiver duty. It returns when the stream ends.
func (s *session) receive(ctx context.Context, _ <-chan supervise.DumpRequest) error {
	for {
		frame, err := s.stream.Recv()
		if err != nil {
			_ = s.receiveError.Put(ctx, err)
			return nil
		}
		if err := s.received.Put(ctx, frame); err != nil {
			return nil
		}
	}
}

// serve sends and receives frames until the link fails or ctx is done.
func (s *session) serve(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	l := s.link
	if err := s.announce(ctx); err != nil {
		return err
	}
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case sub := <-l.forwards.Items():
			err = s.forward(sub)
		case frame := <-l.controls.Items():
			err = s.sendControl(frame)
		case frame := <-s.received.Items():
			s.handleFrame(ctx, frame)
		case err = <-s.receiveError.Items():
			return errors.Wrap(err, "receive frame from peer")
		case <-ticker.C:
			err = s.sendHeartbeat(ctx)
		case r := <-dumps:
			r.Answer(s.dump())
		}
		if err != nil {
			return err
		}
	}
}

// sendControl sends a control frame. Of load hints it sends only those that
// changed.
func (s *session) sendControl(frame *peerpb.Frame) error {
	if all := frame.GetLoadHints(); all != nil {
		frame = s.hints.changes(all)
	}
	return s.stream.Send(frame)
}

// forward records the request as pending before the write, because the peer may
// have received part of a request whose write failed.
func (s *session) forward(sub message.Submission) error {
	if sub.Cancel {
		return s.stream.Send(encodeCancel(sub.Request.ID))
	}
	s.pending[sub.Request.ID] = sub
	s.forwards++
	return s.stream.Send(encodeForward(sub, time.Now()))
}

// sendHeartbeat sends a heartbeat and announces the link again, for a routing duty
// that was restarted. It fails when no frame arrived within linkTimeout.
func (s *session) sendHeartbeat(ctx context.Context) error {
	if time.Since(s.receivedAt) > linkTimeout {
		return errLinkTimeout
	}
	s.heartbeats++
	if err := s.stream.Send(encodeHeartbeat(s.heartbeats)); err != nil {
		return err
	}
	return s.announce(ctx)
}

// announce reports to the routing duty that the link is up.
func (s *session) announce(ctx context.Context) error {
	return s.link.supervisor.links.Put(ctx, message.LinkChange{Peer: s.link.peer.ID, Forwards: s.link.forwards})
}

func (s *session) handleFrame(ctx context.Context, frame *peerpb.Frame) {
	s.receivedAt = time.Now()
	switch body := frame.Body.(type) {
	case *peerpb.Frame_Answer:
		s.handleAnswer(decodeAnswer(body.Answer))
	case *peerpb.Frame_ConfigurationOffer:
		_ = s.link.supervisor.receivers.ConfigurationOffers.Put(ctx, decodeConfigurationOffer(body.ConfigurationOffer))
	}
}

func (s *session) handleAnswer(a message.Answer) {
	sub, ok := s.pending[a.ID]
	if !ok {
		s.unmatched++
		s.link.supervisor.Metrics.countUnmatched()
		return
	}
	delete(s.pending, a.ID)
	s.answers++
	sub.Deliver(a)
}

// end closes the connection, reports the link as down and answers every pending
// request with an unknown outcome.
func (s *session) end(ctx context.Context) {
	_ = s.close()
	s.receiver.Cancel()
	down := message.LinkChange{Peer: s.link.peer.ID}
	putCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), dialTimeout)
	defer cancel()
	_ = s.link.supervisor.links.Put(putCtx, down)
	for id, sub := range s.pending {
		sub.Deliver(message.UnknownOutcome(id, outcome.LinkLost))
	}
}

type linkDump struct {
	Peer      fleet.InstanceID `json:"peer"`
	Address   string           `json:"address"`
	Up        bool             `json:"up"`
	Pending   int              `json:"pending"`
	Forwards  uint64           `json:"forwards"`
	Answers   uint64           `json:"answers"`
	Unmatched uint64           `json:"unknown_answers"`
	LastError string           `json:"last_error,omitempty"`
}

func (s *session) dump() linkDump {
	return linkDump{
		Peer: s.link.peer.ID, Address: s.link.peer.PeerAddress, Up: true, Pending: len(s.pending),
		Forwards: s.forwards, Answers: s.answers, Unmatched: s.unmatched,
	}
}
