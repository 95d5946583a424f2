package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// proxyMode selects how a proxy treats the bytes that it forwards.
type proxyMode int32

const (
	modeForward      proxyMode = iota
	modeDropAll                // drops the bytes of both directions
	modeDropRequests           // drops requests and forwards responses
	modeDelay                  // forwards every chunk after proxyDelay
)

// proxyDelay is the delay per chunk, forty times the usual duration of a store call.
const proxyDelay = 150 * time.Millisecond

// proxy is a TCP proxy between the processes and one endpoint of the platform.
type proxy struct {
	listener    net.Listener
	target      string
	mode        atomic.Int32
	mu          sync.Mutex
	connections map[net.Conn]bool
	// rewrite has addresses that are replaced in requests by others of that length.
	rewrite map[string]string
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: listener, target: target, connections: map[net.Conn]bool{}}
	t.Cleanup(func() {
		_ = listener.Close() // an error leaves nothing to clean up
		p.resetConnections()
	})
	go p.accept()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(mode proxyMode) { p.mode.Store(int32(mode)) }

func (p *proxy) inMode(mode proxyMode) bool { return proxyMode(p.mode.Load()) == mode }

// resetConnections closes every open connection with a TCP reset.
func (p *proxy) resetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // on an error the connection is closed without a reset
		}
		_ = c.Close() // copyDirection returns when the connection is closed
		delete(p.connections, c)
	}
}

// accept forwards each incoming connection to the target until the listener is
// closed.
func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // closed at the end of the test
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = c.Close() // the client sees a closed connection, as for an unreachable endpoint
			continue
		}
		p.mu.Lock()
		p.connections[c], p.connections[out] = true, true
		p.mu.Unlock()
		go p.copyDirection(out, c, true)
		go p.copyDirection(c, out, false)
	}
}

// copyDirection copies the bytes of one direction. Once a byte has been dropped, all
// later bytes of that direction are dropped too, as by a stateful firewall that has lost its
// connection state.
func (p *proxy) copyDirection(to, from net.Conn, request bool) {
	defer func() {
		_ = to.Close()   // it may be closed already
		_ = from.Close() // it may be closed already
	}()
	buffer := make([]byte, 32<<10)
	dropping := false
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			dropping = dropping || p.inMode(modeDropAll) || p.inMode(modeDropRequests) && request
			if p.inMode(modeDelay) {
				time.Sleep(proxyDelay)
			}
			if !dropping {
				chunk := buffer[:n]
				if request && p.rewrite != nil {
					chunk = replaceAll(chunk, p.rewrite)
				}
				if _, err := to.Write(chunk); err != nil {
					return
				}
			}
		}
		if err == io.EOF && dropping {
			time.Sleep(time.Second) // the peer of a connection that drops bytes does not detect the close at once
		}
		if err != nil {
			return
		}
	}
}
