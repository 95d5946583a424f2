package partition

import (
	"math/rand/v2"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/estimate"
)

// Guards against a change in the mix of operations that is taken for
// interference, and against an adjustment that hides interference.
func TestReportedMeansAreAdjustedForOperationMix(t *testing.T) {
	short, long := &estimate.Operation{Name: "layout"}, &estimate.Operation{Name: "dye-check"}
	baseline, runs := newRunTimeBaseline(), &recentRuns{}
	random := rand.New(rand.NewPCG(1, 2))
	now := start
	// window simulates one report window of 20 ms and 800 ms requests and returns
	// their adjusted mean run time.
	window := func(shorts, longs int, slowdown float64) time.Duration {
		before, sum := now, time.Duration(0)
		for i := range shorts + longs {
			operation, run := short, 20*time.Millisecond
			if i >= shorts {
				operation, run = long, 800*time.Millisecond
			}
			run = time.Duration(float64(run) * slowdown * (0.9 + 0.2*random.Float64()))
			now = now.Add(time.Millisecond)
			runs.add(now, 0, baseline.add(0, operation, run))
			sum += run
		}
		now = now.Add(time.Second)
		expected, known := runs.expectedMean(0, before, now)
		if !known {
			t.Fatal("the mix of the recorded runs is unknown")
		}
		return baseline.adjustForMix(0, sum/time.Duration(shorts+longs), expected)
	}
	for range 200 {
		window(10, 1, 1)
	}
	reference := window(10, 1, 1)
	for name, c := range map[string]struct {
		shorts, longs int
		slowdown      float64
	}{"only short runs": {10, 0, 1}, "only long runs": {0, 3, 1}, "slowed down": {10, 1, 1.5}, "slowed down, other mix": {2, 3, 1.5}} {
		got := float64(window(c.shorts, c.longs, c.slowdown)) / float64(reference)
		if got < 0.85*c.slowdown || got > 1.15*c.slowdown {
			t.Errorf("%s: adjusted mean is %.2f of the reference, want %.2f within 15%%", name, got, c.slowdown)
		}
	}
	if adjusted := baseline.adjustForMix(0, time.Second, 0); adjusted != 0 {
		t.Errorf("adjusted mean of an unknown mix is %v, want 0", adjusted)
	}
}
