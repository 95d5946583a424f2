package standin

import (
	"context"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// firstPipePort is the first port assigned to a listener with port 0.
const firstPipePort = 1024

// PipeNetwork connects dialers and listeners within one process through net.Pipe.
// Tests under testing/synctest use it instead of TCP, because a goroutine that
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

// Listen opens a listener on an IP address with a port. Port 0 is replaced by the
// next unassigned port. It has the signature of the type Listen.
func (n *PipeNetwork) Listen(address string) (net.Listener, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	ip := net.ParseIP(host)
	number, err := net.LookupPort("tcp", port)
	if err != nil || ip == nil {
		return nil, errors.Errorf("listen: address %q, expected IP:port", address)
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
		return nil, errors.Errorf("listen: address %s is already in use", l.address)
	}
	n.listeners[l.address.String()] = l
	return l, nil
}

// Dial connects to a listener. It has the signature of net.Dialer.DialContext.
func (n *PipeNetwork) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.Errorf("dial: no listener on %s", address)
	}
	client, server := net.Pipe()
	select {
	case l.accepted <- server:
		return client, nil
	case <-l.closed:
		return nil, errors.Errorf("dial: no listener on %s", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pipeListener is a listener of a PipeNetwork.
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
