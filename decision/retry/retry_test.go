package retry

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against retries that multiply the load while all requests fail.
func TestBudgetBoundsAmplification(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		first, all := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "requests") {
			b.CountFirst()
			first++
			all++
			for range MaxAttempts - 1 {
				if b.Take() {
					all++
				}
			}
			if float64(all) > 1.1*float64(first) {
				t.Fatalf("%d attempts for %d requests, want at most 1.1 times as many", all, first)
			}
		}
	})
}

// Guards against a second run of a request that is not idempotent, and against
// attempts beyond the deadline or the limit.
func TestAllowed(t *testing.T) {
	retryable := Attempt{Number: 1, Deadline: start.Add(time.Second)}
	cases := []struct {
		name   string
		change func(*Attempt)
		want   bool
	}{
		{"not written", func(*Attempt) {}, true},
		{"written, idempotent", func(a *Attempt) { a.Written, a.Idempotent = true, true }, true},
		{"written, not idempotent", func(a *Attempt) { a.Written = true }, false},
		{"past the deadline", func(a *Attempt) { a.Deadline = start }, false},
		{"minimum run time exceeds the time left", func(a *Attempt) { a.MinRunTime = time.Second }, false},
		{"last attempt", func(a *Attempt) { a.Number = MaxAttempts }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := retryable
			c.change(&a)
			if _, got := Allowed(start, a, math.MaxUint32/2); got != c.want {
				t.Errorf("allowed: %v, want %v", got, c.want)
			}
		})
	}
	least, _ := Allowed(start, retryable, 0)
	most, _ := Allowed(start, retryable, math.MaxUint32)
	if least != baseDelay/2 || most < baseDelay || most >= 2*baseDelay {
		t.Errorf("delays range from %v to %v, want from %v to a value in [%v, %v)", least, most, baseDelay/2, baseDelay, 2*baseDelay)
	}
}
