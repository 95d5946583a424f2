package interference

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against attributing a slowdown to the wrong kind when several kinds run
// together, and against estimates that drift away because of noise.
func TestSlowdownIsSplitAmongKinds(t *testing.T) {
	e := NewEstimator()
	random := rand.New(rand.NewPCG(20261204, 2))
	service, interfering, harmless := e.Service("planner"), e.Kind("interfering"), e.Kind("harmless")
	for range 2000 {
		var loads []KindLoad
		slowdown := 0.0
		if random.IntN(2) == 0 {
			loads = append(loads, KindLoad{interfering, 1})
			slowdown += 0.8
		}
		if random.IntN(2) == 0 {
			loads = append(loads, KindLoad{harmless, 1})
		}
		noisy := 50e6 * (1 + slowdown) * (1 + 0.1*random.NormFloat64())
		e.Observe(service, 1, time.Duration(noisy), loads)
	}
	if got := e.MaxSlowdown(interfering, 1); got < 0.5 || got > 1.2 {
		t.Errorf("estimated slowdown of the interfering kind is %.2f, want 0.5 to 1.2 (true value 0.8)", got)
	}
	if got := e.MaxSlowdown(harmless, 1); got > 0.25 {
		t.Errorf("estimated slowdown of the harmless kind is %.2f, want at most 0.25 (true value 0)", got)
	}
}

// Guards against evicting before throttling, acting again before the effect of
// an action can show, exceeding the eviction limit, and acting on a single
// sample.
func TestMitigationOrder(t *testing.T) {
	var s ServerPressure
	var budget EvictionBudget
	now := start
	sample := func(n int, slowdown float64) {
		for range n {
			now = now.Add(time.Second)
			s.Observe(now, slowdown)
		}
	}
	tasks := []Task{
		{ID: "small-slowdown", Slowdown: 0.3, LostWork: time.Minute},
		{ID: "much-lost-work", Slowdown: 1, LostWork: time.Hour},
		{ID: "little-lost-work", Slowdown: 0.8, LostWork: time.Minute},
	}
	plan := func(want ActionKind, wantTask int) {
		t.Helper()
		if got, i := s.Plan(now, tasks, &budget, 1); got != want || i != wantTask {
			t.Fatalf("planned action %d on task %d, want action %d on task %d", got, i, want, wantTask)
		}
	}
	sample(1, 4)
	plan(NoAction, 0)
	sample(8, 1)
	for _, i := range []int{1, 2, 0} {
		plan(Throttle, i)
		tasks[i].Throttled = true
		plan(NoAction, 0)
		s.Observe(now.Add(time.Second), 4) // before the effect shows
		plan(NoAction, 0)
		sample(8, 1)
	}
	plan(Evict, 2)
	tasks[2].EvictedAt = now
	sample(8, 1)
	plan(NoAction, 0) // the limit is one eviction per minute
	now = now.Add(time.Minute)
	tasks = tasks[:2] // the evicted task has stopped
	sample(8, 1)
	plan(Evict, 1)
	if kind, _ := s.Plan(now, tasks[:1], &EvictionBudget{}, 1); kind != NoAction {
		t.Errorf("planned action %d on a task that causes too little of the slowdown, want none", kind)
	}
	sample(15, 0)
	plan(NoAction, 0)
	now = now.Add(unthrottleDelay)
	plan(Unthrottle, 0)
}

// Guards against using a sample during which the throttling changed, and against
// matching a sample with the present throttling instead of that at its time.
func TestSamplesAreAlignedWithActions(t *testing.T) {
	var s ServerPressure
	s.recordAction(start, "t", true)
	s.recordAction(start.Add(20*time.Second), "t", false)
	second := func(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }
	if s.ThrottlingConstant(second(1), second(3)) || s.ThrottlingConstant(second(19), second(21)) || !s.ThrottlingConstant(second(5), second(15)) {
		t.Error("ThrottlingConstant is true for a sample during an action or its settling time, or false for one between them")
	}
	for at, want := range map[int]bool{-1: false, 10: true, 25: false} {
		if got := s.ThrottledAt("t", second(at), false); got != want {
			t.Errorf("throttled at %d s: got %v, want %v", at, got, want)
		}
	}
}
