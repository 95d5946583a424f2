package triage

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func demandOfLoad(load float64) Demand {
	return Demand{Ahead: load * LateFactor * 10, Rate: 1, Objective: 10 * time.Second}
}

// Guards against a gate that closes below its margin, opens at the least change of the
// load, or counts a service without measured work as overloaded by nothing.
func TestGateHasMarginAndHysteresis(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, closed := Gate{}, false
		for range rapid.IntRange(1, 30).Draw(t, "jobs") {
			load := rapid.Float64Range(0, 4).Draw(t, "load")
			admits := g.Admits(demandOfLoad(load))
			if load < acceptBelow && !admits || load > rejectFrom && admits {
				t.Fatalf("load %v, closed before %v: admitted %v", load, closed, admits)
			}
			if load > acceptBelow && load < rejectFrom && admits == closed {
				t.Fatalf("load %v between the bounds: admitted %v, closed before %v", load, admits, closed)
			}
			closed = !admits
		}
	})
	if load := (Demand{Ahead: 1, Objective: time.Second}).Load(); load != maxLoad {
		t.Errorf("a service that completes nothing has the load %v, want %v", load, maxLoad)
	}
}

// Guards against a caller that comes again when it was told to and is rejected where a
// new one would open the gate, and against one that closes it for others.
func TestReturningCallerIsPreferred(t *testing.T) {
	g := Gate{}
	if g.Admits(demandOfLoad(rejectFrom + 1)) {
		t.Fatal("the gate is open above rejectFrom")
	}
	between := demandOfLoad((rejectFrom + acceptBelow) / 2)
	returning := between
	returning.Returns = true
	if g.Admits(between) || !g.Admits(returning) || g.Admits(between) {
		t.Error("between the bounds, want a returning caller accepted, and new ones rejected before and after it")
	}
}

// Guards against arrivals of a burst that count as the load of the time after it, and
// against arrivals that are forgotten while they go on.
func TestArrivalsAreAMeanOverSeveralBursts(t *testing.T) {
	var a Arrivals
	before, place := ByCost(Work{Priority: 1, Class: InTime, Worth: 1, Left: 1}), ByCost(Work{Priority: 2, Class: InTime, Worth: 1, Left: 1})
	arrive := func(from, until time.Duration, rate float64) {
		for at := from; at < until; at += 100 * time.Millisecond {
			a.Add(at, before, rate/10)
		}
	}
	arrive(0, 2*time.Minute, 10)
	if got := a.Before(2*time.Minute, place); got < 9.5 || got > 10.5 {
		t.Errorf("got %v after two minutes at 10, want 10", got)
	}
	if got := a.Before(2*time.Minute, before); got != 0 {
		t.Errorf("got %v before the first place, want 0", got)
	}
	arrive(2*time.Minute, 2*time.Minute+5*time.Second, 26)
	if got := a.Before(2*time.Minute+5*time.Second, place); got > 15 {
		t.Errorf("got %v after 5 s at 2.6 times 10, want at most 15", got)
	}
}

// BenchmarkAdmission measures the decision on a job beside a hundred places with
// arrivals.
func BenchmarkAdmission(b *testing.B) {
	var a Arrivals
	g, place := Gate{}, ByCost(Work{Priority: 2, Class: InTime, Worth: 1, Left: 1})
	for i := range 100 {
		a.Add(0, ByCost(Work{Priority: i % 3, Class: InTime, Worth: 1, Left: float64(i) / 4}), 1)
	}
	for b.Loop() {
		g.Admits(Demand{Ahead: 10, Arriving: a.Before(time.Second, place), Rate: 1, Objective: time.Second})
	}
}
