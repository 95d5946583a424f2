package triage

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// anyWork draws works whose fields are often equal, so that every field decides.
func anyWork() *rapid.Generator[Work] {
	return rapid.Custom(func(t *rapid.T) Work {
		return Work{
			Priority: rapid.IntRange(-1, 2).Draw(t, "priority"), Class: Class(rapid.IntRange(int(Starving), int(Useless)).Draw(t, "class")),
			Crowds: rapid.Bool().Draw(t, "crowds"), Worth: rapid.Float64Range(-1, 4).Draw(t, "worth"), Left: rapid.Float64Range(-1, 40).Draw(t, "left"),
			ObjectiveAt: time.Duration(rapid.IntRange(-2, 2).Draw(t, "objective at")) * time.Second,
		}
	})
}

func compareKeys(a, b Key) int { return a.Compare(&b) }

// Guards against an order that is no strict weak order: a sort would then start steps
// in an order that depends on where they were before.
func TestOrdersAreStrictWeakOrders(t *testing.T) {
	for name, place := range map[string]func(Work) Key{"by priority": ByPriority, "by cost": ByCost} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				a, b, c := place(anyWork().Draw(t, "a")), place(anyWork().Draw(t, "b")), place(anyWork().Draw(t, "c"))
				if compareKeys(a, a) != 0 || compareKeys(a, b) != -compareKeys(b, a) {
					t.Fatalf("%+v and %+v: compared %d and %d", a, b, compareKeys(a, b), compareKeys(b, a))
				}
				if compareKeys(a, b) < 0 && compareKeys(b, c) < 0 && compareKeys(a, c) >= 0 {
					t.Fatalf("%+v, %+v and %+v: the order is not transitive", a, b, c)
				}
				if compareKeys(a, b) == 0 && compareKeys(a, c) != compareKeys(b, c) {
					t.Fatalf("%+v and %+v have the same place, but not relative to %+v", a, b, c)
				}
			})
		})
	}
}

// Guards against an order by priority that differs from the one that cells without
// triage by cost have had: priority, crowding, lateness, objective.
func TestOrderByPriorityComparesFieldByField(t *testing.T) {
	crowding := func(w Work) int {
		if w.Crowds {
			return 1
		}
		return 0
	}
	rapid.Check(t, func(t *rapid.T) {
		a, b := anyWork().Draw(t, "a"), anyWork().Draw(t, "b")
		want := cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(crowding(a), crowding(b)), cmp.Compare(a.Class, b.Class), cmp.Compare(a.ObjectiveAt, b.ObjectiveAt))
		if got := compareKeys(ByPriority(a), ByPriority(b)); got != want {
			t.Fatalf("%+v and %+v: compared %d, want %d", a, b, got, want)
		}
	})
}

// Guards against an order by cost in which work that is of no use delays work that
// still is, or a job that has just begun delays one that is nearly complete.
func TestOrderByCost(t *testing.T) {
	fresh := Work{Priority: 2, Class: InTime, Worth: 1, Left: 1, ObjectiveAt: time.Second}
	with := func(change func(w *Work)) Work {
		w := fresh
		change(&w)
		return w
	}
	for name, first := range map[string]struct{ before, after Work }{
		"starving work":                  {with(func(w *Work) { w.Class = Starving }), with(func(w *Work) { w.Priority = 0 })},
		"useful work of any priority":    {with(func(w *Work) { w.Class = Late }), with(func(w *Work) { w.Class, w.Priority = Useless, 0 })},
		"priority":                       {with(func(w *Work) { w.Priority, w.Class = 0, Late }), with(func(w *Work) { w.Left = 0.1 })},
		"in time before late":            {fresh, with(func(w *Work) { w.Class, w.Left = Late, 0.1 })},
		"nearly complete":                {with(func(w *Work) { w.Left, w.ObjectiveAt = 0.25, time.Minute }), fresh},
		"more worth for the same work":   {with(func(w *Work) { w.Worth = 2 }), fresh},
		"size of urgent work":            {with(func(w *Work) { w.Priority, w.Left = 0, 4 }), with(func(w *Work) { w.Priority, w.Left, w.ObjectiveAt = 0, 0.1, 2*time.Second })},
		"objective among similar jobs":   {fresh, with(func(w *Work) { w.Left, w.ObjectiveAt = 0.99, 2*time.Second })},
		"crowding long-running work":     {with(func(w *Work) { w.Class = Late }), with(func(w *Work) { w.Crowds, w.Left = true, 0 })},
		"crowding before lower priority": {with(func(w *Work) { w.Crowds, w.Priority = true, 0 }), fresh},
		"crowding before useless":        {with(func(w *Work) { w.Crowds = true }), with(func(w *Work) { w.Class, w.Priority = Useless, 0 })},
	} {
		if a, b := ByCost(first.before), ByCost(first.after); a.Compare(&b) >= 0 {
			t.Errorf("%s: %+v does not come before %+v", name, first.before, first.after)
		}
	}
}

// fieldOrder is the place of a step as five fields, which cells compared before this
// package existed. It is the measure of what a decision may cost.
type fieldOrder struct {
	priority, crowding, lateness int
	objectiveAt                  time.Duration
}

func compareFields(a, b fieldOrder) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.crowding, b.crowding), cmp.Compare(a.lateness, b.lateness), cmp.Compare(a.objectiveAt, b.objectiveAt))
}

// BenchmarkOrder measures the places of 10,000 waiting steps and their sort.
func BenchmarkOrder(b *testing.B) {
	const steps = 10000
	works := make([]Work, steps)
	for i := range works {
		works[i] = Work{
			Priority: i % 3, Class: InTime + Class(i*7919%3), Worth: 1, Left: float64(1+i*104729%200) / 100,
			ObjectiveAt: time.Duration(i*15485863%1000) * time.Millisecond,
		}
	}
	b.Run("fields", func(b *testing.B) {
		places := make([]fieldOrder, steps)
		for b.Loop() {
			for i, w := range works {
				places[i] = fieldOrder{w.Priority, 0, int(w.Class), w.ObjectiveAt}
			}
			slices.SortStableFunc(places, compareFields)
		}
	})
	for name, place := range map[string]func(Work) Key{"priority": ByPriority, "cost": ByCost} {
		b.Run(name, func(b *testing.B) {
			places := make([]Key, steps)
			for b.Loop() {
				for i, w := range works {
					places[i] = place(w)
				}
				slices.SortStableFunc(places, compareKeys)
			}
		})
	}
}
