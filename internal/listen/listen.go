// Package listen opens the listening sockets of an entry instance.
package listen

import (
	"net"

	"github.com/go-faster/errors"
)

// Addresses holds the listen addresses as IP:port. Port 0 lets the kernel choose.
type Addresses struct{ Callers, Peers, Operations string }

// Listeners holds the three listening sockets of an entry instance. They stay open
// across restarts of the duties that serve them.
type Listeners struct {
	Callers    net.Listener
	Peers      net.Listener
	Operations net.Listener
}

// Open opens all sockets. On an error it leaves none open.
func Open(a Addresses) (*Listeners, error) {
	l := &Listeners{}
	for _, socket := range []struct {
		name, address string
		target        *net.Listener
	}{
		{"callers", a.Callers, &l.Callers},
		{"peers", a.Peers, &l.Peers},
		{"operations", a.Operations, &l.Operations},
	} {
		listener, err := net.Listen("tcp", socket.address)
		if err != nil {
			l.Close()
			return nil, errors.Wrapf(err, "listen for %s", socket.name)
		}
		*socket.target = listener
	}
	return l, nil
}

// Close closes the sockets that are open.
func (l *Listeners) Close() {
	for _, listener := range []net.Listener{l.Callers, l.Peers, l.Operations} {
		if listener != nil {
			_ = listener.Close() // either the process ends or Open failed
		}
	}
}
