package breaker

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

const slots = 8

func breakers(n int) *Breaker {
	b := &Breaker{}
	b.SetCount(n, n)
	return b
}

// run sends one request every 10 ms to each server that may get one and
// returns how many failed.
func run(b *Breaker, from time.Time, for_ time.Duration, failing func(i int) bool) (failed, sent int) {
	for now := from; now.Before(from.Add(for_)); now = now.Add(10 * time.Millisecond) {
		for i := range b.entries {
			if b.Allowed(now, i, slots) == 0 {
				continue
			}
			b.Started(i)
			sent++
			if failing(i) {
				failed++
			}
			b.Ended(now, i, failing(i))
		}
	}
	return failed, sent
}

// Guards against a server that fails everything costing requests for ever.
func TestServerThatFailsEverythingIsTakenOut(t *testing.T) {
	b := breakers(8)
	only := func(i int) bool { return i == 3 }
	run(b, start, 2*time.Second, only)
	if !b.Out(3) {
		t.Fatal("still in service after 2 s")
	}
	failed, sent := run(b, start.Add(2*time.Second), time.Minute, only)
	if failed*100 > sent {
		t.Errorf("%d of %d requests failed after the first 2 s", failed, sent)
	}
}

// Guards against taking servers out when the fault isn't theirs.
func TestNobodyIsTakenOutWhenAllFailAlike(t *testing.T) {
	b := breakers(8)
	run(b, start, 10*time.Second, func(int) bool { return true })
	if b.out != 0 {
		t.Errorf("%d of 8 servers are out", b.out)
	}
}

// Guards against taking out more than half of the servers, and against counts
// that drift from the states.
func TestAtLeastHalfStayIn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "servers")
		b := breakers(n)
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, n-1).Draw(t, "server")
			if b.Allowed(now, i, slots) > 0 {
				b.Started(i)
			}
			b.Ended(now, i, rapid.IntRange(0, 9).Draw(t, "failed") < 2+i)
			out := 0
			for k := range n {
				if b.Out(k) {
					out++
				}
			}
			if out != b.out || 2*out > n {
				t.Fatalf("%d of %d servers are out, counted %d", out, n, b.out)
			}
		}
	})
}

// Guards against more than one probe at a time and against a returning server
// that gets all its slots at once.
func TestOneProbeThenSlowStart(t *testing.T) {
	b := breakers(4)
	run(b, start, time.Second, func(i int) bool { return i == 0 })
	now := start.Add(time.Second + firstPause)
	if b.Allowed(now, 0, slots) == 0 {
		t.Fatal("no probe after the pause")
	}
	b.Started(0)
	if b.Allowed(now, 0, slots) != 0 {
		t.Error("a second probe while the first runs")
	}
	b.Ended(now, 0, false)
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 1}, {SlowStart / 2, 5}, {SlowStart, 8}} {
		if got := b.Allowed(now.Add(c.after), 0, slots); got != c.want {
			t.Errorf("%d slots %v after the probe, want %d", got, c.after, c.want)
		}
	}
}
