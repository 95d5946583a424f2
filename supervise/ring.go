// Package supervise provides the three parts that every process is built from:
// the Ring, a bounded queue between duties; the Duty, a goroutine that owns a
// piece of state; and the Tree, a supervisor that starts duties and restarts
// those that fail.
package supervise

import (
	"context"
	"strings"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// ErrRingFull is returned by Put when a ring with the policy Refuse is full.
var ErrRingFull = errors.New("ring is full")

// FullPolicy says what Put does when a ring is full.
type FullPolicy int

const (
	// Refuse returns ErrRingFull at once.
	Refuse FullPolicy = iota
	// Wait blocks until there is room or the context ends.
	Wait
	// DropOldest discards the oldest item to make room for the new one.
	DropOldest
	// KeepGreatest keeps the greatest item, whatever the order of arrival.
	KeepGreatest
)

// String returns the policy's name as shown in the state dump.
func (p FullPolicy) String() string {
	switch p {
	case Refuse:
		return "refuse"
	case Wait:
		return "wait"
	case DropOldest:
		return "drop-oldest"
	case KeepGreatest:
		return "keep-greatest"
	default:
		return "unknown"
	}
}

// Ring is a bounded queue between duties. Any number of goroutines may Put;
// one duty receives from Items. The receiver blocks on the channel, so no thread
// polls an empty ring.
type Ring[T any] struct {
	name    string
	policy  FullPolicy
	items   chan T
	refused atomic.Uint64
	dropped atomic.Uint64
	compare func(a, b T) int   // of KeepGreatest
	latest  *atomic.Pointer[T] // of a state ring; nil for any other
}

// NewRing returns a ring that holds up to capacity items, at least 1. The name
// identifies the ring in the state dump and the metrics.
func NewRing[T any](name string, capacity int, policy FullPolicy) *Ring[T] {
	return &Ring[T]{name: name, policy: policy, items: make(chan T, max(1, capacity))}
}

// NewGreatestRing returns a ring that holds one item, the greatest by compare of
// those that have not been received.
func NewGreatestRing[T any](name string, compare func(a, b T) int) *Ring[T] {
	return &Ring[T]{name: name, policy: KeepGreatest, items: make(chan T, 1), compare: compare}
}

// NewStateRing returns a ring that carries the present value of a state: it holds
// the newest item only, and Replay delivers that item again.
func NewStateRing[T any](name string) *Ring[T] {
	r := NewRing[T](name, 1, DropOldest)
	r.latest = &atomic.Pointer[T]{}
	return r
}

// Replay makes a state ring deliver its newest item again. A duty calls it for each
// of its state rings when it starts: after a failure its sources send nothing until
// the state changes.
func (r *Ring[T]) Replay() {
	if r.latest == nil || len(r.items) > 0 {
		return
	}
	for item := r.latest.Load(); item != nil; {
		r.putDroppingOldest(*item)
		put := item
		if item = r.latest.Load(); item == put {
			return // otherwise it may have displaced a newer item
		}
	}
}

// Replayer is a ring whose newest item can be delivered again.
type Replayer interface{ Replay() }

// Replay calls Replay for each ring.
func Replay(rings ...Replayer) {
	for _, r := range rings {
		r.Replay()
	}
}

// Put adds an item to the ring. When the ring is full, its policy applies: Refuse
// returns ErrRingFull, and Wait returns the context's error when the context ends
// first.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	if r.latest != nil {
		r.latest.Store(&item)
	}
	select {
	case r.items <- item:
		return nil
	default:
	}
	switch r.policy {
	case Wait:
		return r.putWait(ctx, item)
	case DropOldest:
		r.putDroppingOldest(item)
		return nil
	case KeepGreatest:
		r.putKeepingGreatest(item)
		return nil
	default:
		r.refused.Add(1)
		return errors.Wrap(ErrRingFull, r.name)
	}
}

func (r *Ring[T]) putWait(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		r.refused.Add(1)
		return errors.Wrap(ctx.Err(), r.name)
	}
}

// putDroppingOldest discards old items until the new one fits. Each iteration
// makes progress: it adds the new item, or the ring loses an older one.
func (r *Ring[T]) putDroppingOldest(item T) {
	for {
		select {
		case r.items <- item:
			return
		default:
		}
		select {
		case <-r.items:
			r.dropped.Add(1)
		default:
		}
	}
}

// putKeepingGreatest replaces a smaller queued item.
func (r *Ring[T]) putKeepingGreatest(item T) {
	for {
		select {
		case r.items <- item:
			return
		default:
		}
		select {
		case queued := <-r.items:
			r.dropped.Add(1)
			if r.compare(queued, item) > 0 {
				item = queued
			}
		default:
		}
	}
}

// Items returns the channel that the duty receives from. It is never closed.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Stats returns a snapshot of the ring's counters.
func (r *Ring[T]) Stats() RingStats {
	return RingStats{
		Name: r.name, Policy: r.policy.String(),
		Depth: len(r.items), Capacity: cap(r.items),
		Refused: r.refused.Load(), Dropped: r.dropped.Load(),
	}
}

// RingStats is a snapshot of a ring's counters for the state dump and the
// metrics.
type RingStats struct {
	Name     string `json:"name"`
	Policy   string `json:"when_full"`
	Depth    int    `json:"depth"`
	Capacity int    `json:"capacity"`
	Refused  uint64 `json:"refused"`
	Dropped  uint64 `json:"dropped"`
}

// AnyRing is a ring of any item type.
type AnyRing interface{ Stats() RingStats }

// Kind returns the first and the last dot-separated part of the ring's name. The
// parts between identify a partition, server or peer.
func (s RingStats) Kind() string {
	first, rest, found := strings.Cut(s.Name, ".")
	if !found {
		return first
	}
	if i := strings.LastIndexByte(rest, '.'); i >= 0 {
		return first + "." + rest[i+1:]
	}
	return first + "." + rest
}
