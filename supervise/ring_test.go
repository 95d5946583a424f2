package supervise

import (
	"context"
	"testing"

	"github.com/go-faster/errors"
	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a ring that loses or reorders items or miscounts refused and
// dropped items.
func TestRingAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 4).Draw(t, "capacity")
		policy := rapid.SampledFrom([]FullPolicy{Refuse, DropOldest}).Draw(t, "policy")
		ring := NewRing[int]("model", capacity, policy)
		var model []int
		var refused, dropped uint64
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				err := ring.Put(context.Background(), next)
				full := len(model) == capacity
				switch {
				case full && policy == Refuse:
					refused++
					if !errors.Is(err, ErrRingFull) {
						t.Fatalf("Put on a full ring returned %v, want ErrRingFull", err)
					}
				case full:
					dropped++
					model = append(model[1:], next)
				default:
					model = append(model, next)
				}
				next++
			},
			"take": func(t *rapid.T) {
				if len(model) == 0 {
					t.Skip("empty")
				}
				if got := <-ring.Items(); got != model[0] {
					t.Fatalf("received %d, want %d", got, model[0])
				}
				model = model[1:]
			},
			"": func(t *rapid.T) {
				s := ring.Stats()
				if s.Depth != len(model) || s.Refused != refused || s.Dropped != dropped {
					t.Fatalf("got stats %+v, want depth %d, refused %d, dropped %d", s, len(model), refused, dropped)
				}
			},
		})
	})
}

// Guards against a Put that keeps waiting for room after its context has ended.
func TestWaitingPutEndsWithContext(t *testing.T) {
	ring := NewRing[int]("wait", 1, Wait)
	ctx, cancel := context.WithCancel(context.Background())
	if err := ring.Put(ctx, 1); err != nil {
		t.Fatal(err)
	}
	cancel()
	if err := ring.Put(ctx, 2); !errors.Is(err, context.Canceled) {
		t.Fatalf("Put with an ended context returned %v, want context.Canceled", err)
	}
}
