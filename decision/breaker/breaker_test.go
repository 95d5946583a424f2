package breaker

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

const slots = 8

func newBreaker(n int) *Breaker {
	b := &Breaker{}
	b.SetCount(n, n)
	return b
}

// sendRequests sends one request every 10 ms to each server that is allowed
// one. It returns how many requests failed and how many were sent.
func sendRequests(b *Breaker, from time.Time, length time.Duration, failing func(i int) bool) (failed, sent int) {
	for now := from; now.Before(from.Add(length)); now = now.Add(10 * time.Millisecond) {
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

// Guards against a server that fails all requests and stays in service.
func TestFailingServerIsTakenOut(t *testing.T) {
	b := newBreaker(8)
	only := func(i int) bool { return i == 3 }
	sendRequests(b, start, 2*time.Second, only)
	if !b.Out(3) {
		t.Fatal("the failing server is still in service after 2 s")
	}
	failed, sent := sendRequests(b, start.Add(2*time.Second), time.Minute, only)
	if failed*100 > sent {
		t.Errorf("%d of %d requests failed after the first 2 s, want at most 1%%", failed, sent)
	}
}

// Guards against taking servers out of service when all of them fail alike.
func TestNoServerIsTakenOutWhenAllFail(t *testing.T) {
	b := newBreaker(8)
	sendRequests(b, start, 10*time.Second, func(int) bool { return true })
	if b.out != 0 {
		t.Errorf("%d of 8 servers are out of service, want 0", b.out)
	}
}

// Guards against taking more than half of the servers out of service, and
// against a count that differs from the states.
func TestAtLeastHalfStayInService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "servers")
		b := newBreaker(n)
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
				t.Fatalf("%d of %d servers are out of service, want at most half; the breaker counts %d", out, n, b.out)
			}
		}
	})
}

// Guards against more than one probe at a time, and against a returning server
// that gets all its slots at once.
func TestOneProbeThenSlowStart(t *testing.T) {
	b := newBreaker(4)
	sendRequests(b, start, time.Second, func(i int) bool { return i == 0 })
	now := start.Add(time.Second + minPause)
	if b.Allowed(now, 0, slots) == 0 {
		t.Fatal("no probe is allowed after the pause")
	}
	b.Started(0)
	if b.Allowed(now, 0, slots) != 0 {
		t.Error("a second probe is allowed while the first runs")
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
