// Package dispatch is the supervisor of the connections to backend servers.
//
// A partition duty opens a Pool for each backend server of its partition. A pool
// runs one exchange duty for each slot; each duty owns one connection, so within
// one epoch a backend server never has more connections than slots. A failed
// duty is restarted without a connection; the exchange that it was running ends
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
	// Metrics must be set before the tree serves; nil disables them.
	Metrics *Metrics
}

// New adds the dispatch supervisor below root. Connections older than maxAge
// are replaced, because a middlebox on the path may have dropped their state.
func New(root *supervise.Tree, maxAge time.Duration) *Supervisor {
	return &Supervisor{tree: root.Child("dispatch", supervise.DefaultIntensity), maxAge: maxAge}
}

// Pool is the set of exchange duties, and thus of connections, of one backend
// server.
type Pool struct {
	// Exchanges is the ring that the pool's exchange duties read from.
	Exchanges *supervise.Ring[message.Exchange]
	// Address is the backend server's address. A backend server that comes
	// back at another address needs a new pool.
	Address string
	handles []supervise.Handle
}

// Open starts an exchange duty for each slot of a backend server.
func (s *Supervisor) Open(server fleet.BackendServer, epoch fleet.Epoch) *Pool {
	connections := min(server.Capacity.Slots, server.Connections)
	pool := &Pool{
		Exchanges: supervise.NewRing[message.Exchange](fmt.Sprintf("dispatch.%s.exchanges", server.ID), connections, supervise.Refuse),
		Address:   server.Address,
	}
	for slot := range connections {
		pool.handles = append(pool.handles, s.tree.Start(supervise.Duty{
			Name:  fmt.Sprintf("%s@%d/slot-%d", server.ID, epoch, slot),
			Rings: slotRings(slot, pool.Exchanges),
			Run: func(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
				e := newExchanger(server, s.maxAge)
				e.metrics = s.Metrics
				return e.run(ctx, pool.Exchanges, dumps)
			},
		}))
	}
	return pool
}

// slotRings assigns the shared ring to the first duty only, so that the metrics
// count it once.
func slotRings(slot int, ring supervise.AnyRing) []supervise.AnyRing {
	if slot > 0 {
		return nil
	}
	return []supervise.AnyRing{ring}
}

// Close cancels the pool's duties and does not wait for them. An exchange in
// progress completes first, because the backend server runs the request to its
// end in any case.
func (p *Pool) Close() {
	for _, r := range p.handles {
		r.Cancel()
	}
}
