package peers

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/peerpb"
	"lacewingfork.example/lacewingfork/supervise"
)

// acceptor serves the links dialled by other instances. drpc calls Link on a
// separate goroutine for each connection; Link only decodes frames and puts them
// on rings.
type acceptor struct {
	supervisor *Supervisor
}

// Link implements the Peer service. It returns when the stream ends.
func (a *acceptor) Link(stream peerpb.DRPCPeer_LinkStream) error {
	first, err := stream.Recv()
	if err != nil {
		return errors.Wrap(err, "receive hello")
	}
	hello := first.GetHello()
	if hello == nil {
		return errors.New("first frame of a link is not a hello")
	}
	peer := fleet.InstanceID(hello.Instance)
	replies := newReplies(peer)
	sender := a.supervisor.tree.Start(supervise.Duty{
		Name:  fmt.Sprintf("accepted/%s/%p", peer, replies.answers),
		Rings: []supervise.AnyRing{replies.answers, replies.offers},
		Run: func(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
			return sendReplies(ctx, stream, replies, dumps)
		},
	})
	defer sender.Cancel()
	hints := receivedHints{}
	for {
		frame, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "receive frame")
		}
		if changed := frame.GetLoadHints(); changed != nil {
			_ = a.supervisor.receivers.Hints.Put(stream.Context(), message.PeerHints{Peer: peer, Hints: hints.merge(changed)})
			continue
		}
		a.handleFrame(stream.Context(), peer, frame, replies)
	}
}

// replies holds the rings of the messages to send back on an accepted link.
type replies struct {
	answers *supervise.Ring[message.Answer]
	offers  *message.ConfigurationOfferRing
}

func newReplies(peer fleet.InstanceID) replies {
	return replies{
		answers: supervise.NewRing[message.Answer](fmt.Sprintf("accepted.%s.answers", peer), answerCapacity, supervise.Refuse),
		offers:  supervise.NewRing[message.ConfigurationOffer](fmt.Sprintf("accepted.%s.offers", peer), 1, supervise.DropOldest),
	}
}

// handleFrame puts a decoded frame on the ring of the duty that handles it.
func (a *acceptor) handleFrame(ctx context.Context, peer fleet.InstanceID, frame *peerpb.Frame, replies replies) {
	receivers := a.supervisor.receivers
	switch body := frame.Body.(type) {
	case *peerpb.Frame_Forward:
		s := decodeForward(body.Forward, time.Now())
		s.Reply = replies.answers
		if receivers.Submissions.Put(ctx, s) != nil {
			s.Deliver(message.Refusal(s.Request.ID, outcome.Overloaded, time.Second))
		}
	case *peerpb.Frame_Cancel:
		_ = receivers.Submissions.Put(ctx, message.Submission{
			Cancel: true, Request: &message.Request{ID: fleet.RequestID(body.Cancel.Id)},
		})
	case *peerpb.Frame_ConfigurationRequest:
		_ = receivers.ConfigurationRequests.Put(ctx, message.ConfigurationRequest{
			Version: body.ConfigurationRequest.Version, Offset: fleet.Offset(body.ConfigurationRequest.Offset),
			Reply: replies.offers,
		})
	case *peerpb.Frame_PromiseRequest:
		r := message.PromiseRequest{Peer: peer, PromiseRequest: decodePromiseRequest(body.PromiseRequest)}
		_ = receivers.PromiseRequests.Put(ctx, r)
	case *peerpb.Frame_Promise:
		_ = receivers.Promises.Put(ctx, message.Promise{Peer: peer, Promise: decodePromise(body.Promise)})
	case *peerpb.Frame_GiveBack:
		_ = receivers.GiveBacks.Put(ctx, message.GiveBack{Peer: peer, GiveBack: decodeGiveBack(body.GiveBack)})
	}
}

// sendReplies is the sender duty of an accepted link. It also sends heartbeats, so
// that the dialling side can detect a dead connection.
func sendReplies(ctx context.Context, stream peerpb.DRPCPeer_LinkStream, replies replies, dumps <-chan supervise.DumpRequest) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	var sent, heartbeats uint64
	for {
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-stream.Context().Done():
			return nil
		case a := <-replies.answers.Items():
			sent++
			err = stream.Send(encodeAnswer(a))
		case o := <-replies.offers.Items():
			err = stream.Send(encodeConfigurationOffer(o))
		case <-ticker.C:
			heartbeats++
			err = stream.Send(encodeHeartbeat(heartbeats))
		case r := <-dumps:
			r.Answer(map[string]uint64{"answers_sent": sent})
		}
		if err != nil {
			_ = stream.Close()
			return nil
		}
	}
}

// deadlineConn sets a deadline of linkTimeout on each read and write, so that a
// connection without progress fails.
type deadlineConn struct{ net.Conn }

func (c deadlineConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(linkTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

func (c deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(linkTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// deadlineListener wraps every accepted connection in a deadlineConn.
type deadlineListener struct{ net.Listener }

func (l deadlineListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return deadlineConn{conn}, nil
}
