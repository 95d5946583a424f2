package standin

import (
	"context"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// firstPipePort is the port of the first listener with port 0.
const firstPipePort = 1024

// PipeNetwork joins dialers and listeners within one process by net.Pipe. A
// test under testing/synctest uses it in place of TCP, because a goroutine that
// waits on a socket keeps the fake clock from advancing.
type PipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	nextPort  int
}

// NewPipeNetwork returns a network without listeners.
func NewPipeNetwork() *PipeNetwork {
	return &PipeNetwork{listeners: map[string]*pipeListener{}, nextPort: firstPipePort}
}

// Listen has the signature of Listen. Port 0 is replaced by a free one.
func (n *PipeNetwork) Listen(address string) (net.Listener, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	ip := net.ParseIP(host)
	number, err := net.LookupPort("tcp", port)
	if err != nil || ip == nil {
		return nil, errors.Errorf("listen: %q is not an IP address with a port", address)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if number == 0 {
		number = n.nextPort
		n.nextPort++
	}
	l := &pipeListener{
		network: n, address: &net.TCPAddr{IP: ip, Port: number},
		accepted: make(chan net.Conn), closed: make(chan struct{}),
	}
	if n.listeners[l.address.String()] != nil {
		return nil, errors.Errorf("listen: %s is in use", l.address)
	}
	n.listeners[l.address.String()] = l
	return l, nil
}

// Dial connects to a listener; it has the signature of a dialer's DialContext.
func (n *PipeNetwork) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.Errorf("dial: nothing listens on %s", address)
	}
	client, server := net.Pipe()
	select {
	case l.accepted <- server:
		return client, nil
	case <-l.closed:
		return nil, errors.Errorf("dial: nothing listens on %s", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type pipeListener struct {
	network  *PipeNetwork
	address  *net.TCPAddr
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address.String())
	})
	return nil
}

func (l *pipeListener) Addr() net.Addr { return l.address }
