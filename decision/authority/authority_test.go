package authority

import (
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

const second = time.Second

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
