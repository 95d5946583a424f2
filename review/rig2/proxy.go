package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy forwards connections to a target. It can let the open connections go silent
// for good, or cut all of them off for a time.
type proxy struct {
	listener net.Listener
	target   atomic.Value // string
	cut      atomic.Bool  // nothing passes, on old and new connections
	epoch    atomic.Int64 // connections of an earlier epoch are silent
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, conns: map[net.Conn]bool{}}
	p.target.Store(target)
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// goSilent makes all open connections silent for good; new ones work.
func (p *proxy) goSilent() { p.epoch.Add(1) }

// reset closes all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
		delete(p.conns, c)
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c, p.epoch.Load())
	}
}

func (p *proxy) forward(c net.Conn, epoch int64) {
	if p.cut.Load() {
		p.hold(c)
		return
	}
	out, err := net.DialTimeout("tcp", p.target.Load().(string), time.Second)
	if err != nil {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a port without a listener resets the connection
		}
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[out] = true, true
	p.mu.Unlock()
	go p.pipe(out, c, epoch)
	p.pipe(c, out, epoch)
}

// hold keeps a connection open on which nothing passes.
func (p *proxy) hold(c net.Conn) {
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	_, _ = io.Copy(io.Discard, c)
	_ = c.Close()
}

func (p *proxy) pipe(to, from net.Conn, epoch int64) {
	buffer := make([]byte, 64<<10)
	dropping := false
	for {
		n, err := from.Read(buffer)
		dropping = dropping || p.cut.Load() || p.epoch.Load() != epoch
		if err != nil {
			if !dropping {
				_ = to.Close()
			}
			_ = from.Close()
			return
		}
		if !dropping {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
	}
}
