package estimate

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingfork.example/lacewingfork/decision/configuration"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against a quantile that falls below the observed value or exceeds it
// by more than the width of a bucket.
func TestQuantileStaysWithinOneBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Sketch
		run := time.Duration(rapid.Int64Range(int64(firstBound), int64(2*time.Minute)).Draw(t, "run"))
		for range rapid.IntRange(1, 10_000).Draw(t, "count") {
			s.Observe(start, run)
		}
		got := s.Quantile(rapid.Float64Range(0.01, 1).Draw(t, "q"))
		if got < run-time.Nanosecond || float64(got) > 1.27*float64(run) {
			t.Fatalf("quantile of the constant %v is %v, want that value up to 1.27 times it", run, got)
		}
		if s.total > weightLimit {
			t.Fatalf("total weight %v exceeds %v", s.total, weightLimit)
		}
	})
}

// Guards against a declared run time that is missing or wrong by 10 times and
// outweighs the observed ones, and against unknown work that counts as short.
func TestLongFollowsObservedRunTimes(t *testing.T) {
	cases := []struct {
		name          string
		prior, run    time.Duration
		before, after bool
	}{
		{"declared 10 times too long", 5 * time.Second, 500 * time.Millisecond, true, false},
		{"declared 10 times too short", 500 * time.Millisecond, 5 * time.Second, false, true},
		{"not declared", 0, 50 * time.Millisecond, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := operation(c.prior)
			if o.Long() != c.before {
				t.Errorf("long before any run: got %v, want %v", o.Long(), c.before)
			}
			for range MinObservations {
				o.Observe(start, c.run)
			}
			if o.Long() != c.after {
				t.Errorf("long after %d runs: got %v, want %v", MinObservations, o.Long(), c.after)
			}
		})
	}
}

// Guards against an operation that becomes long because of a few runs that take
// 100 times longer, and against one that stays short although one run in five
// is long.
func TestLongFractionThreshold(t *testing.T) {
	for _, c := range []struct {
		every int
		long  bool
	}{{50, false}, {5, true}} {
		o := operation(50 * time.Millisecond)
		for i := range 400 {
			run := 50 * time.Millisecond
			if i%c.every == c.every-1 {
				run *= 100
			}
			o.Observe(start.Add(time.Duration(i)*time.Millisecond), run)
		}
		if o.Long() != c.long {
			t.Errorf("one in %d runs long: operation counts as long: %v, want %v", c.every, o.Long(), c.long)
		}
	}
}

// Guards against refusing work because of a run time that was last observed a
// while ago.
func TestP10Expires(t *testing.T) {
	o := operation(0)
	for range MinObservations {
		o.Observe(start, time.Second)
	}
	if o.P10(start.Add(FreshFor)) < time.Second || o.P10(start.Add(FreshFor+1)) != 0 {
		t.Error("P10 isn't limited to FreshFor after an observation")
	}
}

// Guards against allocations in Observe, which is called for every completion.
func TestObserveDoesNotAllocate(t *testing.T) {
	o := operation(0)
	if n := testing.AllocsPerRun(1000, func() { o.Observe(start, time.Second) }); n != 0 {
		t.Errorf("%v allocations per observation, want 0", n)
	}
}

func operation(prior time.Duration) *Operation {
	var table Table
	table.SetConfiguration(&configuration.Configuration{
		Services: []configuration.Service{{Name: "s", Operations: []configuration.Operation{{Name: "o", ExpectedRunTime: prior}}}},
		Limits:   configuration.DefaultLimits,
	})
	return table.Find("s", "o")
}

func BenchmarkObserve(b *testing.B) {
	o := operation(0)
	for i := range b.N {
		o.Observe(start, time.Duration(i%1000)*time.Millisecond)
	}
}
