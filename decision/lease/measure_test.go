package lease

import (
	"slices"
	"testing"
	"time"
)

// settle is the time after which every partition of a fresh region is held.
const settle = 40 * time.Second

func TestSettles(t *testing.T) {
	w := newWorld(1, 7, 16)
	for _, at := range []time.Duration{5, 9, 10, 15, 20, 30, 40, 60} {
		w.runTo(at * time.Second)
		held := 0
		for _, p := range w.partitions {
			held += len(w.holders(p))
		}
		var spread []int
		for _, n := range w.nodes {
			spread = append(spread, len(n.member.own))
		}
		t.Log(w.now, held, spread, w.violation, len(w.log), w.nodes[0].member.mayAcquire())
	}
}

func (w *world) validShare() float64 {
	held := 0
	for _, p := range w.partitions {
		held += len(w.holders(p))
	}
	return float64(held) / float64(len(w.partitions))
}

var _ = slices.Sort[[]int]
