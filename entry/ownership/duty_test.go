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

// inRegion runs a test on a settled region of two instances and 4 partitions.
func inRegion(t *testing.T, test func(r *region)) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t, 2)
		defer r.stop()
		r.run(settled)
		if r.total() != 4 {
			t.Fatalf("%d of 4 partitions held: %v, %v", r.total(), r.nodes[0].held(), r.nodes[1].held())
		}
		test(r)
	})
}

// Guards against an instance that takes all or that does not take over.
func TestSharesAndTakesOver(t *testing.T) {
	inRegion(t, func(r *region) {
		a, b := r.nodes[0], r.nodes[1]
		if len(a.held()) != 2 || len(b.held()) != 2 {
			t.Errorf("held %v and %v, want two each", a.held(), b.held())
		}
		if h := b.last.Holders; len(h) != 4 || len(b.last.Peers) != 2 {
			t.Errorf("holders %v, peers %v", h, b.last.Peers)
		}
		r.kill(a)
		r.run(10 * time.Second)
		if len(b.held()) != 4 {
			t.Errorf("b holds %v 10 s after the death of a, want all", b.held())
		}
	})
}

// Guards against leases that lapse in an outage of the log, and against
// promises that are not given back after it.
func TestHoldsThroughLogOutage(t *testing.T) {
	inRegion(t, func(r *region) {
		r.logDown = true
		for range 60 {
			r.run(time.Second)
			if r.total() != 4 {
				t.Fatalf("%d of 4 partitions held in the outage", r.total())
			}
		}
		r.logDown = false
		r.run(10 * time.Second)
		r.kill(r.nodes[0])
		r.run(10 * time.Second)
		if got := len(r.nodes[1].held()); got != 4 {
			t.Errorf("the other instance holds %d after the outage and a death, want 4", got)
		}
	})
}

// Guards against a run that goes on with the leases of the one that failed.
func TestPanicLapsesOwnLeases(t *testing.T) {
	inRegion(t, func(r *region) {
		a := r.nodes[0]
		before, incarnation := a.held(), r.dump(a).Incarnation
		a.crash <- struct{}{}
		r.run(time.Second)
		if after := r.dump(a).Incarnation; after <= incarnation {
			t.Errorf("incarnation %d after the panic, want more than %d", after, incarnation)
		}
		if a.empty == 0 || len(a.held()) > 0 {
			t.Errorf("a holds %v after the panic, want none until they are claimed anew", a.held())
		}
		if d := r.dump(a); !strings.Contains(d.Partitions[0].Obstacle, "list") {
			t.Errorf("the dump does not say what is waited for: %+v", d.Partitions)
		}
		r.run(settled + 10*time.Second)
		if r.total() != 4 {
			t.Errorf("%d of 4 partitions held after the restart", r.total())
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

// Guards against a partition whose duty failed and that keeps its epoch.
func TestRelinquishTakesAGreaterEpoch(t *testing.T) {
	inRegion(t, func(r *region) {
		a := r.nodes[0]
		for p, epoch := range a.held() {
			_ = a.rings.Relinquish.Put(t.Context(), message.Relinquish{Partition: p, Epoch: epoch})
			_ = a.rings.Relinquish.Put(t.Context(), message.Relinquish{Partition: p, Epoch: epoch}) // a repeat changes nothing
			r.run(2 * time.Second)
			if now := a.held()[p]; now != epoch+1 {
				t.Errorf("partition %s has epoch %d, want %d", p, now, epoch+1)
			}
		}
	})
}

// Guards against a planned stop that leaves partitions to lapse, and against
// an instance that claims again while it stops, even after a panic.
func TestPlannedStop(t *testing.T) {
	inRegion(t, func(r *region) {
		a, b := r.nodes[0], r.nodes[1]
		reply := supervise.NewRing[message.AllReleased]("reply", 1, supervise.Refuse)
		_ = a.rings.Releases.Put(t.Context(), message.ReleaseAll{Timeout: 5 * time.Second, Reply: reply})
		r.run(time.Second)
		if len(reply.Items()) != 1 || !(<-reply.Items()).Complete {
			t.Error("the releases were not confirmed within a second")
		}
		r.run(2 * time.Second)
		if len(b.held()) != 4 {
			t.Errorf("b holds %v 3 s after the stop began, want all", b.held())
		}
		a.crash <- struct{}{}
		r.kill(b)
		r.run(30 * time.Second)
		if len(a.held()) != 0 {
			t.Errorf("the stopping instance holds %v", a.held())
		}
	})
}

// Guards against a planned stop that waits for ever in an outage of the log.
func TestPlannedStopInOutage(t *testing.T) {
	inRegion(t, func(r *region) {
		r.logDown = true
		reply := supervise.NewRing[message.AllReleased]("reply", 1, supervise.Refuse)
		_ = r.nodes[0].rings.Releases.Put(t.Context(), message.ReleaseAll{Timeout: 5 * time.Second, Reply: reply})
		r.run(6 * time.Second)
		if len(reply.Items()) != 1 || (<-reply.Items()).Complete {
			t.Error("want an answer that the releases are not confirmed")
		}
	})
}

func (r *region) dump(n *node) dutyState {
	states, err := n.tree.Directory().Dump(r.t.Context(), func(p string) bool { return p == "test/ownership" })
	if err != nil || len(states) != 1 {
		r.t.Fatalf("dump: %v, %v", states, err)
	}
	if _, err := json.Marshal(states[0].State); err != nil {
		r.t.Error(err)
	}
	return states[0].State.(dutyState)
}
