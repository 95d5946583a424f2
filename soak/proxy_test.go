package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// path is what a proxy does with the bytes that pass through it.
type path int32

const (
	passes path = iota
	silent      // nothing arrives any more, in either direction
	deaf        // answers arrive, requests do not
	slow        // every piece is held for slowBy
)

// slowBy is forty times the usual time of a call to the store.
const slowBy = 150 * time.Millisecond

// proxy stands between the processes and one end of the platform.
type proxy struct {
	listener net.Listener
	target   string
	path     atomic.Int32
	mu       sync.Mutex
	open     map[net.Conn]bool
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: listener, target: target, open: map[net.Conn]bool{}}
	t.Cleanup(func() {
		_ = listener.Close() // it is open until then
		p.reset()
	})
	go p.accept()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(to path) { p.path.Store(int32(to)) }

func (p *proxy) is(what path) bool { return path(p.path.Load()) == what }

// reset breaks every open connection.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a failure leaves an ordinary close
		}
		_ = c.Close() // its copies end with it
		delete(p.open, c)
	}
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // closed at the end of the test
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = c.Close() // as a port where nobody listens
			continue
		}
		p.mu.Lock()
		p.open[c], p.open[out] = true, true
		p.mu.Unlock()
		go p.carry(out, c, true)
		go p.carry(c, out, false)
	}
}

// carry copies one direction. Bytes that arrive during a cut are lost together with
// their connection, as behind a box that has forgotten it.
func (p *proxy) carry(to, from net.Conn, request bool) {
	defer func() {
		_ = to.Close()   // it may be closed already
		_ = from.Close() // it may be closed already
	}()
	buffer := make([]byte, 32<<10)
	cut := false
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			cut = cut || p.is(silent) || p.is(deaf) && request
			if p.is(slow) {
				time.Sleep(slowBy)
			}
			if !cut {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
		}
		if err == io.EOF && cut {
			time.Sleep(time.Second) // the other side does not hear of the end at once
		}
		if err != nil {
			return
		}
	}
}
