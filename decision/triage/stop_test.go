package triage

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func anyRun() *rapid.Generator[Run] {
	return rapid.Custom(func(t *rapid.T) Run {
		return Run{
			Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Class: Class(rapid.IntRange(int(InTime), int(Useless)).Draw(t, "class")),
			LongRunning: rapid.Bool().Draw(t, "long-running"), Preserved: rapid.Bool().Draw(t, "preserved"),
			Remaining: time.Duration(rapid.IntRange(0, 6).Draw(t, "remaining")) * time.Second, Loss: rapid.SampledFrom([]float64{0, 0.1, 1}).Draw(t, "loss"),
		}
	})
}

// Guards against a choice of the cheapest run that depends on the order of the workers.
func TestOrderOfStopsIsAStrictWeakOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := anyRun().Draw(t, "a"), anyRun().Draw(t, "b"), anyRun().Draw(t, "c")
		if a.Compare(a) != 0 || a.Compare(b) != -b.Compare(a) {
			t.Fatalf("%+v and %+v: compared %d and %d", a, b, a.Compare(b), b.Compare(a))
		}
		if a.Compare(b) <= 0 && b.Compare(c) <= 0 && a.Compare(c) > 0 {
			t.Fatalf("%+v, %+v and %+v: the order is not transitive", a, b, c)
		}
	})
}

// Guards against a stop for work of no use, of a more urgent run that is of use, of a
// run whose progress is lost, or of one that is about to end.
func TestMayStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		waiting, r, longRunning := anyWork().Draw(t, "waiting"), anyRun().Draw(t, "run"), rapid.Bool().Draw(t, "waits long-running")
		if r.LongRunning {
			r.Class = InTime
		}
		if !MayStop(waiting, longRunning, r) {
			return
		}
		switch {
		case waiting.Class == Useless:
			t.Fatal("a run is stopped for work of no use")
		case r.Class != Useless && r.Priority < waiting.Priority:
			t.Fatalf("%+v is stopped for less urgent work %+v", r, waiting)
		case !r.LongRunning && r.Class != Useless && (!r.Preserved || r.Priority == waiting.Priority):
			t.Fatalf("%+v is stopped for %+v", r, waiting)
		case !r.LongRunning && r.Remaining < MinRemaining:
			t.Fatalf("%+v is about to end", r)
		case r.LongRunning && longRunning:
			t.Fatal("long-running work replaces other long-running work")
		}
	})
}
