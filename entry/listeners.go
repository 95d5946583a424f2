package entry

import (
	"net"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/settings"
)

// Listeners are the three sockets of an entry instance. They outlive restarts
// of the duties that serve them.
type Listeners struct {
	Callers    net.Listener
	Peers      net.Listener
	Operations net.Listener
}

// OpenListeners opens all sockets or none.
func OpenListeners(s settings.Listen) (*Listeners, error) {
	l := &Listeners{}
	for _, socket := range []struct {
		name, address string
		place         *net.Listener
	}{
		{"callers", s.Callers, &l.Callers},
		{"peers", s.Peers, &l.Peers},
		{"operations", s.Operations, &l.Operations},
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
			_ = listener.Close()
		}
	}
}

// advertised returns the address that other instances dial.
func advertised(s settings.Listen, l *Listeners) string {
	bound := l.Peers.Addr().String()
	if s.AdvertisePeers == "" {
		return bound
	}
	host, port, err := net.SplitHostPort(s.AdvertisePeers)
	if err != nil || port != "0" {
		return s.AdvertisePeers
	}
	_, boundPort, _ := net.SplitHostPort(bound)
	return net.JoinHostPort(host, boundPort)
}
