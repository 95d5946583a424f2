package entry

import (
	"net"

	"lacewingfork.example/lacewingfork/internal/listen"
	"lacewingfork.example/lacewingfork/settings"
)

// Listeners holds the listening sockets of an entry instance.
type Listeners = listen.Listeners

// OpenListeners opens all listening sockets or, after an error, none.
func OpenListeners(s settings.Listen) (*Listeners, error) {
	return listen.Open(listen.Addresses{Callers: s.Callers, Peers: s.Peers, Operations: s.Operations})
}

// advertised returns the address at which other instances connect. Port 0 in the
// settings stands for the port of the listener.
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
