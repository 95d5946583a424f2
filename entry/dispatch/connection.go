package dispatch

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	// connectTimeout is ten times the round-trip time between regions plus
	// the time for one retransmitted SYN within a data centre.
	connectTimeout = 500 * time.Millisecond
	// maxIdleNonIdempotent is the longest idle time after which a connection
	// is still reused for a non-idempotent request.
	maxIdleNonIdempotent = time.Second
)

// connection is one TCP connection to a backend server.
type connection struct {
	net.Conn
	reader   *bufio.Reader
	openedAt time.Time
	usedAt   time.Time
}

// dial connects to address until deadline, and for connectTimeout at most.
func dial(ctx context.Context, address string, deadline time.Time) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	dialer := net.Dialer{Deadline: deadline}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to backend server")
	}
	now := time.Now()
	return &connection{Conn: conn, reader: bufio.NewReader(conn), openedAt: now, usedAt: now}, nil
}

// reusable reports whether another request may be sent over the connection.
func (c *connection) reusable(now time.Time, maxAge time.Duration, idempotent bool) bool {
	if now.Sub(c.openedAt) > maxAge {
		return false
	}
	if !idempotent && now.Sub(c.usedAt) > maxIdleNonIdempotent {
		return false
	}
	return c.reader.Buffered() == 0 && c.healthy()
}

// healthy reports that the peer has neither closed the connection nor sent
// unsolicited bytes. It does not block.
func (c *connection) healthy() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	healthy := false
	err = control.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		healthy = err == syscall.EAGAIN
		return true
	})
	return err == nil && healthy
}
