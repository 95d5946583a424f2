package standin

import (
	"maps"
	"net"
	"slices"
	"sync"
)

// trackedListener counts the open connections of a backend server and makes
// them silent on demand.
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

// Accept counts the connection until it is closed. A server that is down closes
// it at once.
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

// setDown closes every connection and refuses new ones while it is down.
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

func (l *trackedListener) setUnresponsive(silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unresponsive = silent
}

// stallOpen makes all open connections but one silent for good.
func (l *trackedListener) stallOpen(but net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.open {
		conn.stalled = conn != but
	}
}

func (l *trackedListener) overLimitCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.overLimit
}

func (l *trackedListener) counts() (open, peak int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open), l.peak
}

// trackedConn swallows what it should write while it is silent.
type trackedConn struct {
	net.Conn
	listener *trackedListener
	stalled  bool // guarded by listener.mu
}

func (c *trackedConn) Write(p []byte) (int, error) {
	c.listener.mu.Lock()
	silent := c.stalled || c.listener.unresponsive
	c.stalled = silent // a connection that lost bytes never speaks again
	c.listener.mu.Unlock()
	if silent {
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
