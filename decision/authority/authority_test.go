package authority

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingfork.example/lacewingfork/fleet"
)

const second = time.Second

// Guards against a holder on one side of a partition that goes on because a peer on the
// same side can't reach the store either, while the other side elects the next holder
// (TWICE on asante-sockyard, users' record of 5 December 2026).
func TestOnePeerWithoutStoreConfirmsNothing(t *testing.T) {
	a := New(1 * second)
	a.Register(1*second, []fleet.InstanceID{"near", "far"})
	a.Heard(9*second, "far", false, 9*second)
	a.StoreConfirmed(10 * second) // the partition begins: the store and "far" are on the other side
	for now := 10 * second; now < 20*second; now += 100 * time.Millisecond {
		a.Heard(now, "near", true, now)
		if held := a.Held(now); held != (now < 10*second+Timeout) {
			t.Fatalf("%v after the last confirmation by the store: authority held %v", now-10*second, held)
		}
	}
	a.Heard(20*second, "far", true, 20*second)
	if !a.Held(20 * second) {
		t.Error("no authority although no instance can reach the store")
	}
}

// Guards against a holder that takes an answer which waited while it was suspended for a
// confirmation as of now, and gives orders although the cell has been taken over.
func TestConfirmationCountsFromWhenItWasAskedFor(t *testing.T) {
	for name, confirm := range map[string]func(*Authority){
		"store": func(a *Authority) { a.StoreConfirmed(10 * second) },
		"peer":  func(a *Authority) { a.Heard(14*second, "other", true, 10*second) },
	} {
		t.Run(name, func(t *testing.T) {
			a := New(1 * second)
			a.Register(1*second, []fleet.InstanceID{"other"})
			confirm(a)
			if a.Held(10*second + Timeout) {
				t.Error("authority held for longer than Timeout after the confirmation was asked for")
			}
			if !a.Held(10*second + Timeout - 1) {
				t.Error("no authority within Timeout after the confirmation was asked for")
			}
		})
	}
}

// Guards against an authority that outlives a suspension which the steady clock doesn't
// show.
func TestSuspensionEndsAuthority(t *testing.T) {
	a := New(10 * second)
	a.Suspended(11 * second)
	a.StoreConfirmed(11*second - 1)
	if a.Held(11 * second) {
		t.Error("authority held by a confirmation from before the suspension")
	}
	a.StoreConfirmed(11 * second)
	if !a.Held(11 * second) {
		t.Error("no authority by a confirmation from after the suspension")
	}
}

// Guards against an outage of the store that ends the authority because of an instance
// that was removed before, or that withdrew on a planned stop.
func TestRemovedInstanceIsNotWaitedFor(t *testing.T) {
	for name, remove := range map[string]func(*Authority){
		"silent":    func(a *Authority) { a.StoreConfirmed(2*second + PresumedGone) },
		"withdrawn": func(a *Authority) { a.Register(10*second, []fleet.InstanceID{"other"}) },
	} {
		t.Run(name, func(t *testing.T) {
			a := New(1 * second)
			a.Register(1*second, []fleet.InstanceID{"other", "removed"})
			remove(a)
			a.Heard(50*second, "other", true, 50*second)
			if !a.Held(50 * second) {
				t.Error("no authority although no remaining instance can reach the store")
			}
		})
	}
}

// Guards against two holders at a time, for any partitions, outages, delays and
// suspensions. The holder sends messages to the instances and the store; a claim by an
// instance that reaches the store must not find the holder with authority later than
// Timeout after it.
func TestNoAuthorityLongAfterClaim(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := make([]fleet.InstanceID, rapid.IntRange(1, 4).Draw(t, "instances"))
		for n := range ids {
			ids[n] = fleet.InstanceID(fmt.Sprint(n))
		}
		a := New(second)
		a.Register(second, ids)
		type message struct {
			arrives time.Duration
			apply   func(now time.Duration)
		}
		var inFlight []message
		claimed, claimant := time.Duration(0), fleet.InstanceID("")
		storeServes := func(draw string) bool { return rapid.IntRange(0, 9).Draw(t, draw) < 4 }
		for now := second; now < 12*second; now += 200 * time.Millisecond {
			delay := func() time.Duration {
				return time.Duration(rapid.IntRange(0, 4000).Draw(t, "delay")) * time.Millisecond
			}
			if claimed == 0 && storeServes("holder reaches the store") {
				inFlight = append(inFlight, message{now + delay(), func(time.Duration) { a.StoreConfirmed(now) }})
			}
			for _, id := range ids {
				reaches := storeServes("instance reaches the store")
				if reaches && claimed == 0 && rapid.IntRange(0, 9).Draw(t, "claims") == 0 {
					claimed, claimant = now, id
				}
				// An instance without the store does not learn of the claim and goes on
				// to report.
				follows := id != claimant && (claimed == 0 || !reaches)
				if rapid.Bool().Draw(t, "linked") && follows {
					inFlight = append(inFlight, message{now + delay(), func(at time.Duration) { a.Heard(at, id, !reaches, now) }})
				}
			}
			for _, m := range inFlight {
				if m.arrives > now-200*time.Millisecond && m.arrives <= now {
					m.apply(now)
				}
			}
			if claimed > 0 && now >= claimed+Timeout && a.Held(now) {
				t.Fatalf("authority held %v after a claim", now-claimed)
			}
		}
	})
}
