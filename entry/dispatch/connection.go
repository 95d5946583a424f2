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
	// connectTimeout is ten times the round trip between regions plus the
	// time of a retransmitted SYN within a data centre.
	connectTimeout = 500 * time.Millisecond
	// maxIdleNonIdempotent is the longest idle time after which a connection
	// still carries a non-idempotent request without being replaced.
	maxIdleNonIdempotent = time.Second
)

// connection is one TCP connection to a backend server.
type connection struct {
	net.Conn
	reader   *bufio.Reader
	openedAt time.Time
	usedAt   time.Time
}

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

// reusable reports whether the connection may carry another request.
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
// bytes that no request asked for. It doesn't wait.
func (c *connection) healthy() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
