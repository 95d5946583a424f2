package ownership

import (
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/supervise"
)

// runInRegion runs a test on a region of 2 instances in which all 4 partitions
// are held.
func runInRegion(t *testing.T, test func(r *region)) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t, 2)
		defer r.stop()
		r.run(settleTime)
		if r.heldPartitions() != 4 {
			t.Fatalf("%d partitions held (%v, %v), want 4", r.heldPartitions(), r.nodes[0].held(), r.nodes[1].held())
		}
		test(r)
	})
}

// Guards against an instance that acquires more than its share, and against
// partitions that no other instance takes over after the death of their holder.
func TestSharesPartitionsAndTakesOver(t *testing.T) {
	runInRegion(t, func(r *region) {
		a, b := r.nodes[0], r.nodes[1]
		if len(a.held()) != 2 || len(b.held()) != 2 {
			t.Errorf("a holds %v and b holds %v, want 2 each", a.held(), b.held())
		}
		if h := b.lastHoldings.Holders; len(h) != 4 || len(b.lastHoldings.Peers) != 2 {
			t.Errorf("holders = %v, peers = %v, want 4 holders and 2 peers", h, b.lastHoldings.Peers)
		}
		r.kill(a)
		r.run(10 * time.Second)
		if len(b.held()) != 4 {
			t.Errorf("b holds %v 10 s after the death of a, want 4 partitions", b.held())
		}
	})
}

// Guards against leases that lapse during an outage of the log, and against
// promises that are not released after it.
func TestLeasesSurviveLogOutage(t *testing.T) {
	runInRegion(t, func(r *region) {
		r.logDown = true
		for range 60 {
			r.run(time.Second)
			if r.heldPartitions() != 4 {
				t.Fatalf("%d partitions held during the outage, want 4", r.heldPartitions())
			}
		}
		r.logDown = false
		r.run(10 * time.Second)
		r.kill(r.nodes[0])
		r.run(10 * time.Second)
		if got := len(r.nodes[1].held()); got != 4 {
			t.Errorf("b holds %d partitions after the outage and the death of a, want 4", got)
		}
	})
}

// Guards against a restarted duty that continues with the leases of the run that
// panicked.
func TestPanicEndsOwnLeases(t *testing.T) {
	runInRegion(t, func(r *region) {
		a := r.nodes[0]
		before, incarnation := a.held(), r.dump(a).Incarnation
		a.crash <- struct{}{}
		r.run(time.Second)
		if after := r.dump(a).Incarnation; after <= incarnation {
			t.Errorf("incarnation = %d after the panic, want more than %d", after, incarnation)
		}
		if a.holdingsLost == 0 || len(a.held()) > 0 {
			t.Errorf("a holds %v after the panic (%d empty holdings published), want none until they are claimed again", a.held(), a.holdingsLost)
		}
		if d := r.dump(a); !strings.Contains(d.Partitions[0].NotAcquiredBecause, "list") {
			t.Errorf("state dump has partitions %+v, want a reason that names the list", d.Partitions)
		}
		r.run(settleTime + 10*time.Second)
		if r.heldPartitions() != 4 {
			t.Errorf("%d partitions held after the restart, want 4", r.heldPartitions())
		}
		for _, n := range r.nodes {
			for p, epoch := range n.held() {
				if old, was := before[p]; was && epoch <= old {
					t.Errorf("partition %s is held under epoch %d, want more than %d", p, epoch, old)
				}
			}
		}
	})
}

// Guards against a partition that keeps its epoch after its duty was restarted
// and has lost its state.
func TestRelinquishAcquiresGreaterEpoch(t *testing.T) {
	runInRegion(t, func(r *region) {
		a := r.nodes[0]
		for p, epoch := range a.held() {
			_ = a.rings.Relinquish.Put(t.Context(), message.Relinquish{Partition: p, Epoch: epoch})
			_ = a.rings.Relinquish.Put(t.Context(), message.Relinquish{Partition: p, Epoch: epoch}) // a repeated message has no effect
			r.run(2 * time.Second)
			if now := a.held()[p]; now != epoch+1 {
				t.Errorf("partition %s has epoch %d, want %d", p, now, epoch+1)
			}
		}
	})
}

// Guards against a planned stop that lets leases lapse instead of releasing
// them, and against an instance that claims partitions while it stops, even
// after a panic.
func TestPlannedStop(t *testing.T) {
	runInRegion(t, func(r *region) {
		a, b := r.nodes[0], r.nodes[1]
		reply := supervise.NewRing[message.AllReleased]("reply", 1, supervise.Refuse)
		_ = a.rings.Releases.Put(t.Context(), message.ReleaseAll{Timeout: 5 * time.Second, Reply: reply})
		r.run(time.Second)
		if len(reply.Items()) != 1 || !(<-reply.Items()).Complete {
			t.Error("the releases were not confirmed within 1 s")
		}
		r.run(2 * time.Second)
		if len(b.held()) != 4 {
			t.Errorf("b holds %v 3 s after the stop began, want 4 partitions", b.held())
		}
		a.crash <- struct{}{}
		r.kill(b)
		r.run(30 * time.Second)
		if len(a.held()) != 0 {
			t.Errorf("the stopping instance holds %v, want none", a.held())
		}
	})
}

// Guards against a planned stop that waits without limit during an outage of the
// log.
func TestPlannedStopDuringLogOutage(t *testing.T) {
	runInRegion(t, func(r *region) {
		r.logDown = true
		reply := supervise.NewRing[message.AllReleased]("reply", 1, supervise.Refuse)
		_ = r.nodes[0].rings.Releases.Put(t.Context(), message.ReleaseAll{Timeout: 5 * time.Second, Reply: reply})
		r.run(6 * time.Second)
		if len(reply.Items()) != 1 || (<-reply.Items()).Complete {
			t.Error("got no answer after the timeout or one that the releases are complete, want an incomplete one")
		}
	})
}

func (r *region) dump(n *node) dutyState {
	states, err := n.tree.Directory().Dump(r.t.Context(), func(p string) bool { return p == "test/ownership" })
	if err != nil || len(states) != 1 {
		r.t.Fatalf("state dump = %v, %v, want one state", states, err)
	}
	if _, err := json.Marshal(states[0].State); err != nil {
		r.t.Error(err)
	}
	return states[0].State.(dutyState)
}
