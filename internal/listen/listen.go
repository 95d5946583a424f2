// Package listen opens the sockets of an entry instance.
package listen

import (
	"net"

	"github.com/go-faster/errors"
)

// Addresses are the listen addresses as IP:port; port 0 lets the kernel choose.
type Addresses struct{ Callers, Peers, Operations string }

// Listeners are the three sockets of an entry instance. They outlive restarts
// of the duties that serve them.
type Listeners struct {
	Callers    net.Listener
	Peers      net.Listener
	Operations net.Listener
}

// Open opens all sockets or none.
func Open(a Addresses) (*Listeners, error) {
	l := &Listeners{}
	for _, socket := range []struct {
		name, address string
		place         *net.Listener
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
		*socket.place = listener
	}
	return l, nil
}

// Close closes the sockets that are open.
func (l *Listeners) Close() {
	for _, listener := range []net.Listener{l.Callers, l.Peers, l.Operations} {
		if listener != nil {
			_ = listener.Close() // the process ends, or the other sockets were not opened
		}
	}
}
