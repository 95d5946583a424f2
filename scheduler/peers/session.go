package peers

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"storj.io/drpc/drpcconn"

	"lacewingfork.example/lacewingfork/cellpb"
	"lacewingfork.example/lacewingfork/supervise"
)

// receivedCapacity is the number of frames queued for the router.
const receivedCapacity = 256

// session is one dialled connection to the holder. The receiver duty reads the
// stream; only the router uses the rest.
type session struct {
	close       func() error
	stream      cellpb.DRPCCell_LinkClient
	receiver    supervise.Handle
	received    *supervise.Ring[*cellpb.Frame]
	failed      *supervise.Ring[error]
	openedAt    time.Duration
	receivedAt  time.Duration
	heartbeatAt time.Duration // SentAt of the newest heartbeat of the followed holder
	// sentVersion is the newest configuration sent to the holder.
	sentVersion int64
}

// writeDeadlineConn fails a write that makes no progress for linkTimeout.
type writeDeadlineConn struct{ net.Conn }

// Write implements net.Conn.
func (c writeDeadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(linkTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// dial connects to the holder. refused means that no process listens at its
// address.
func (r *router) dial(ctx context.Context) (opened *session, refused bool, err error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(dialCtx, "tcp", r.holder.Address)
	if err != nil {
		return nil, errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET), errors.Wrap(err, "dial holder")
	}
	rpc := drpcconn.New(writeDeadlineConn{conn})
	stream, err := cellpb.NewDRPCCellClient(rpc).Link(ctx)
	if err != nil {
		_ = rpc.Close() // the link was not established
		return nil, false, errors.Wrap(err, "open link")
	}
	now := r.supervisor.clock.Steady()
	s := &session{
		close: rpc.Close, stream: stream, openedAt: now, receivedAt: now,
		received: supervise.NewRing[*cellpb.Frame]("link.received", receivedCapacity, supervise.Wait),
		failed:   supervise.NewRing[error]("link.broken", 1, supervise.DropOldest),
	}
	hello := &cellpb.Hello{Instance: string(r.supervisor.settings.Instance), Epoch: uint64(r.holder.Epoch)}
	if err := s.send(&cellpb.Frame{Body: &cellpb.Frame_Hello{Hello: hello}}); err != nil {
		_ = rpc.Close() // the link was not established
		return nil, false, err
	}
	s.receiver = r.supervisor.tree.Start(supervise.Duty{
		Name: fmt.Sprintf("receiver/%s/%d", r.holder.Instance, now), Rings: []supervise.AnyRing{s.received}, Run: s.receive,
	})
	return s, false, nil
}

// receive is the receiver duty. It ends with the stream.
func (s *session) receive(ctx context.Context, _ <-chan supervise.DumpRequest) error {
	for {
		frame, err := s.stream.Recv()
		if err != nil {
			_ = s.failed.Put(ctx, err) // keeps the newest error
			return nil
		}
		if err := s.received.Put(ctx, frame); err != nil {
			return nil // the session has ended
		}
	}
}

func (s *session) send(frame *cellpb.Frame) error {
	if err := s.stream.Send(frame); err != nil {
		return errors.Wrap(err, "send frame")
	}
	return nil
}

// end ends the receiver duty and closes the connection.
func (s *session) end() {
	s.receiver.Cancel()
	_ = s.close() // the connection is discarded, whatever its state
}
