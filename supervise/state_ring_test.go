package supervise

import (
	"cmp"
	"context"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// Guards against an older item that displaces the greatest one.
func TestGreatestRingKeepsGreatestItem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		items := rapid.SliceOfN(rapid.Int(), 1, 20).Draw(t, "items")
		ring := NewGreatestRing("test.greatest", cmp.Compare[int])
		var senders sync.WaitGroup
		for _, item := range items {
			senders.Go(func() { _ = ring.Put(context.Background(), item) })
		}
		senders.Wait()
		greatest := items[0]
		for _, item := range items {
			greatest = max(greatest, item)
		}
		if got := <-ring.Items(); got != greatest {
			t.Fatalf("got %d of %v, want %d", got, items, greatest)
		}
	})
}

// Guards against a restarted duty that begins without the state that its sources have
// sent before, or with one that has been replaced meanwhile.
func TestStateRingReplaysNewestItem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ring := NewStateRing[int]("test.state")
		newest := 0
		for range rapid.IntRange(1, 10).Draw(t, "rounds") {
			newest++
			_ = ring.Put(context.Background(), newest)
			if rapid.Bool().Draw(t, "received") {
				<-ring.Items()
			}
			var concurrent sync.WaitGroup
			concurrent.Go(ring.Replay)
			if rapid.Bool().Draw(t, "changed") {
				newest++
				concurrent.Go(func() { _ = ring.Put(context.Background(), newest) })
			}
			concurrent.Wait()
			if got := <-ring.Items(); got != newest {
				t.Fatalf("got item %d after a restart, want %d", got, newest)
			}
		}
	})
}

// Guards against an item that a restarted duty handles twice.
func TestOtherRingsAreNotReplayed(t *testing.T) {
	ring := NewRing[int]("test.events", 4, DropOldest)
	_ = ring.Put(context.Background(), 1)
	<-ring.Items()
	Replay(ring)
	if depth := ring.Stats().Depth; depth != 0 {
		t.Errorf("got %d items after the replay of a ring of events, want 0", depth)
	}
}
