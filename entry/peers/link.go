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
	dialTimeout = time.Second
	// maxRedialPause keeps the time to find a returned instance short.
	maxRedialPause = time.Second
)

var errSilent = errors.New("no frame from the peer within the silence limit")

// link is the duty that owns the dialled link to one other entry instance and
// the requests forwarded over it.
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

// run dials and serves one connection after the other.
func (l *link) run(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = 50*time.Millisecond, maxRedialPause
	for ctx.Err() == nil {
		session, err := l.dial(ctx)
		if err == nil {
			pause.Reset()
			err = session.serve(ctx, dumps)
			session.end(ctx)
		}
		l.refuseWaiting()
		l.wait(ctx, pause.NextBackOff(), err, dumps)
	}
	return ctx.Err()
}

// wait refuses what still arrives until the next attempt.
func (l *link) wait(ctx context.Context, pause time.Duration, cause error, dumps <-chan supervise.DumpRequest) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			l.refuseWaiting()
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

func (l *link) refuseWaiting() {
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

func (l *link) dial(ctx context.Context) (*session, error) {
	conn, err := l.supervisor.settings.Dial(ctx, "tcp", l.peer.PeerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}
	rpc := drpcconn.New(progressConn{conn})
	stream, err := peerpb.NewDRPCPeerClient(rpc).Link(ctx)
	if err != nil {
		_ = rpc.Close()
		return nil, errors.Wrap(err, "open link")
	}
	s := &session{
		link: l, close: rpc.Close, stream: stream,
		received: supervise.NewRing[*peerpb.Frame](fmt.Sprintf("link.%s.received", l.peer.ID), forwardCapacity, supervise.Wait),
		broken:   supervise.NewRing[error](fmt.Sprintf("link.%s.broken", l.peer.ID), 1, supervise.DropOldest),
		pending:  map[fleet.RequestID]message.Submission{}, hints: sentHints{}, heardAt: time.Now(),
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

// session is one connection of a link. Only the link duty uses it, but for the
// receiver duty, which reads the stream and fills the received ring.
type session struct {
	link     *link
	close    func() error
	stream   peerpb.DRPCPeer_LinkClient
	receiver supervise.Handle
	received *supervise.Ring[*peerpb.Frame]
	broken   *supervise.Ring[error]
	pending  map[fleet.RequestID]message.Submission
	hints    sentHints
	heardAt  time.Time
	beats    uint64
	forwards uint64
	answers  uint64
	unknown  uint64 // answers to requests that nobody waits for
}

// receive is the receiver duty: it ends with the stream.
func (s *session) receive(ctx context.Context, _ <-chan supervise.DumpRequest) error {
	for {
		frame, err := s.stream.Recv()
		if err != nil {
			_ = s.broken.Put(ctx, err)
			return nil
		}
		if err := s.received.Put(ctx, frame); err != nil {
			return nil
		}
	}
}

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
			err = s.control(frame)
		case frame := <-s.received.Items():
			s.take(ctx, frame)
		case err = <-s.broken.Items():
			return errors.Wrap(err, "link broken")
		case <-ticker.C:
			err = s.beat(ctx)
		case r := <-dumps:
			r.Answer(s.dump())
		}
		if err != nil {
			return err
		}
	}
}

// control sends a control frame; of load hints only what changed.
func (s *session) control(frame *peerpb.Frame) error {
	if all := frame.GetLoadHints(); all != nil {
		frame = s.hints.changes(all)
	}
	return s.stream.Send(frame)
}

// forward notes the request before it is written: after a failed write some
// of it may have arrived.
func (s *session) forward(sub message.Submission) error {
	if sub.Cancel {
		return s.stream.Send(encodeCancel(sub.Request.ID))
	}
	s.pending[sub.Request.ID] = sub
	s.forwards++
	return s.stream.Send(encodeForward(sub, time.Now()))
}

// beat also announces the link again, for a routing duty that was restarted.
func (s *session) beat(ctx context.Context) error {
	if time.Since(s.heardAt) > silenceLimit {
		return errSilent
	}
	s.beats++
	if err := s.stream.Send(encodeHeartbeat(s.beats)); err != nil {
		return err
	}
	return s.announce(ctx)
}

func (s *session) announce(ctx context.Context) error {
	return s.link.supervisor.links.Put(ctx, message.LinkChange{Peer: s.link.peer.ID, Forwards: s.link.forwards})
}

func (s *session) take(ctx context.Context, frame *peerpb.Frame) {
	s.heardAt = time.Now()
	switch body := frame.Body.(type) {
	case *peerpb.Frame_Answer:
		s.answer(decodeAnswer(body.Answer))
	case *peerpb.Frame_ConfigurationOffer:
		_ = s.link.supervisor.receivers.ConfigurationOffers.Put(ctx, decodeConfigurationOffer(body.ConfigurationOffer))
	}
}

func (s *session) answer(a message.Answer) {
	sub, ok := s.pending[a.ID]
	if !ok {
		s.unknown++
		s.link.supervisor.Metrics.answerUnmatched()
		return
	}
	delete(s.pending, a.ID)
	s.answers++
	sub.Deliver(a)
}

// end answers the requests that were on the link.
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
	Unknown   uint64           `json:"unknown_answers"`
	LastError string           `json:"last_error,omitempty"`
}

func (s *session) dump() linkDump {
	return linkDump{
		Peer: s.link.peer.ID, Address: s.link.peer.PeerAddress, Up: true, Pending: len(s.pending),
		Forwards: s.forwards, Answers: s.answers, Unknown: s.unknown,
	}
}
