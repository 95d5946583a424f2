// Package dispatch is the supervisor of the connections to backend servers.
//
// A partition duty opens a Line for each backend server of its partition. A line
// runs one exchange duty for each slot; each duty owns one connection, so the
// connections of one epoch to a backend server never outnumber its slots. A duty
// that fails is restarted without a connection; the exchange it carried ends
// with an unknown outcome.
package dispatch

import (
	"context"
	"fmt"
	"time"

	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/supervise"
)

// Supervisor starts the exchange duties.
type Supervisor struct {
	tree   *supervise.Tree
	maxAge time.Duration // of a connection
	// Metrics is set before the tree serves; nil counts nothing.
	Metrics *Metrics
}

// New adds the dispatch supervisor below root. Connections older than maxAge
// are replaced, so that a path that lost track of one is left in time.
func New(root *supervise.Tree, maxAge time.Duration) *Supervisor {
	return &Supervisor{tree: root.Child("dispatch", supervise.DefaultIntensity), maxAge: maxAge}
}

// Line is the way to one backend server.
type Line struct {
	// Exchanges is the ring that the line's exchange duties read.
	Exchanges *supervise.Ring[message.Exchange]
	// Address is where the line leads; a backend server that returns at
	// another address needs a new line.
	Address string
	running []supervise.Running
}

// Open starts an exchange duty for each slot of a backend server.
func (s *Supervisor) Open(server fleet.BackendServer, epoch fleet.Epoch) *Line {
	places := min(server.Capacity.Slots, server.Connections)
	line := &Line{
		Exchanges: supervise.NewRing[message.Exchange](fmt.Sprintf("dispatch.%s.exchanges", server.ID), places, supervise.Refuse),
		Address:   server.Address,
	}
	for slot := range places {
		line.running = append(line.running, s.tree.Start(supervise.Duty{
			Name:  fmt.Sprintf("%s@%d/slot-%d", server.ID, epoch, slot),
			Rings: slotRings(slot, line.Exchanges),
			Run: func(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
				e := newExchanger(server, s.maxAge)
				e.metrics = s.Metrics
				return e.run(ctx, line.Exchanges, dumps)
			},
		}))
	}
	return line
}

// slotRings attributes the shared ring to the first duty only, so that the
// metrics count it once.
func slotRings(slot int, ring supervise.Measured) []supervise.Measured {
	if slot > 0 {
		return nil
	}
	return []supervise.Measured{ring}
}

// Close stops the line's duties without waiting. An exchange in progress ends
// first; the backend server would run the request to its end anyway.
func (l *Line) Close() {
	for _, r := range l.running {
		r.Cancel()
	}
}
