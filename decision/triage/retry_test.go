package triage

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingfork.example/lacewingfork/fleet"
)

// Guards against times that callers do not see as given, that depend on anything but
// the caller and the backlog, or that have no bound.
func TestRetryAfter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := fleet.JobID(fmt.Sprintf("%016x", rapid.Uint64().Draw(t, "id")))
		base := time.Duration(rapid.Int64Range(int64(time.Second), int64(time.Minute)).Draw(t, "base"))
		expected := rapid.IntRange(0, maxPromises).Draw(t, "expected")
		after := RetryAfter(id, base, expected)
		if after%time.Second != 0 || after < min(base, maxRetryAfter) || after > maxRetryAfter || after > base+time.Second+maxSpread {
			t.Fatalf("got %v for a base of %v", after, base)
		}
		if again := RetryAfter(id, base, expected); again != after {
			t.Fatalf("got %v, then %v for the same caller", after, again)
		}
		if more := RetryAfter(id, base+10*time.Second, 0); more < min(after, maxRetryAfter)-maxSpread {
			t.Fatalf("got %v for a longer backlog, %v before", more, after)
		}
	})
}

// Guards against rejected callers that all come again in the same second.
func TestRetryAfterSpreadsCallers(t *testing.T) {
	const callers = 1000
	seconds := map[time.Duration]int{}
	for i := range callers {
		seconds[RetryAfter(fleet.JobID(fmt.Sprintf("%016x", i*0x9e3779b9)), time.Second, i)]++
	}
	for after, count := range seconds {
		if count > callers/2 {
			t.Errorf("%d of %d callers come again after %v", count, callers, after)
		}
	}
	if few := RetryAfter("00000000000000aa", time.Second, 10); few != time.Second {
		t.Errorf("a caller beside ten others is told %v, want 1 s", few)
	}
}

// Guards against promises without a bound, and against a promise that counts before its
// time or for good.
func TestPromisesAreBoundedAndExpire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Promises
		now := time.Duration(0)
		firstAt := map[fleet.JobID]time.Duration{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			id := fleet.JobID(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "id")))
			promise, kept := p.Get(now, id)
			if kept && (now < promise.ReturnAt || now >= promise.ReturnAt+promiseKept || promise.FirstAt > now) {
				t.Fatalf("at %v: the promise %+v counts", now, promise)
			}
			if kept && promise.FirstAt != firstAt[id] {
				t.Fatalf("the first submission of %s was at %v, want %v", id, promise.FirstAt, firstAt[id])
			}
			if rapid.Bool().Draw(t, "accepted") {
				p.Remove(id)
				continue
			}
			p.Add(now, id, time.Second)
			if promise := p.byID[id]; promise.ReturnAt != now+time.Second {
				t.Fatalf("told to come again at %v, recorded %+v", now+time.Second, promise)
			}
			firstAt[id] = p.byID[id].FirstAt
		}
	})
	var p Promises
	for i := range 3 * maxPromises {
		p.Add(0, fleet.JobID(fmt.Sprint(i)), time.Second)
		if p.Len() > maxPromises || len(p.order) > 2*maxPromises {
			t.Fatalf("%d promises and %d entries after %d callers", p.Len(), len(p.order), i+1)
		}
	}
	p.Add(time.Minute, "new", time.Second)
	if p.Len() != 1 {
		t.Errorf("%d promises are left after a minute, want one", p.Len())
	}
}
