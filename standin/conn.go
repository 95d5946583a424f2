package standin

import (
	"maps"
	"net"
	"slices"
	"sync"
)

// trackedListener counts its open connections. It can discard what is written to
// them and close them, as the faults require.
type trackedListener struct {
	net.Listener
	limit int

	mu           sync.Mutex
	open         map[*trackedConn]struct{}
	peak         int
	overLimit    int
	unresponsive bool
	down         bool
}

func newTrackedListener(l net.Listener, limit int) *trackedListener {
	return &trackedListener{Listener: l, limit: limit, open: map[*trackedConn]struct{}{}}
}

// Accept returns the next connection and counts it until it is closed. While the
// server is down, it closes each connection at once instead.
func (l *trackedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tracked := l.track(conn); tracked != nil {
			return tracked, nil
		}
		_ = conn.Close()
	}
}

// track adds the connection to the open ones. It returns nil while the server is
// down.
func (l *trackedListener) track(conn net.Conn) *trackedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil
	}
	tracked := &trackedConn{Conn: conn, listener: l}
	l.open[tracked] = struct{}{}
	l.peak = max(l.peak, len(l.open))
	if len(l.open) > l.limit {
		l.overLimit++
	}
	return tracked
}

// setDown starts or ends the state in which every connection, open or new, is
// closed.
func (l *trackedListener) setDown(down bool) {
	l.mu.Lock()
	l.down = down
	open := slices.Collect(maps.Keys(l.open))
	l.mu.Unlock()
	if !down {
		return
	}
	for _, conn := range open {
		_ = conn.Close()
	}
}

// setUnresponsive starts or ends the state in which each connection that is
// written to stalls permanently.
func (l *trackedListener) setUnresponsive(unresponsive bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unresponsive = unresponsive
}

// stallOpen permanently stalls all open connections except one.
func (l *trackedListener) stallOpen(except net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.open {
		conn.stalled = conn != except
	}
}

// overLimitCount returns how many connections were accepted above the limit.
func (l *trackedListener) overLimitCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.overLimit
}

// counts returns the number of open connections and its peak.
func (l *trackedListener) counts() (open, peak int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open), l.peak
}

// trackedConn is a connection of a trackedListener. While stalled, it discards
// what is written to it.
type trackedConn struct {
	net.Conn
	listener *trackedListener
	stalled  bool // guarded by listener.mu
}

func (c *trackedConn) Write(p []byte) (int, error) {
	c.listener.mu.Lock()
	unresponsive := c.stalled || c.listener.unresponsive
	c.stalled = unresponsive // a connection that has discarded bytes stays stalled
	c.listener.mu.Unlock()
	if unresponsive {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
