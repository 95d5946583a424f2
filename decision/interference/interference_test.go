package interference

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against blaming the wrong kind when several run side by side, and
// against estimates that noise drives away.
func TestSlowdownIsSplitAmongKinds(t *testing.T) {
	e := NewEstimator()
	random := rand.New(rand.NewPCG(20261204, 2))
	service, loud, quiet := e.Service("planner"), e.Kind("loud"), e.Kind("quiet")
	for range 2000 {
		var present []KindLoad
		slowdown := 0.0
		if random.IntN(2) == 0 {
			present = append(present, KindLoad{loud, 1})
			slowdown += 0.8
		}
		if random.IntN(2) == 0 {
			present = append(present, KindLoad{quiet, 1})
		}
		noisy := 50e6 * (1 + slowdown) * (1 + 0.1*random.NormFloat64())
		e.Observe(service, 1, time.Duration(noisy), present)
	}
	if got := e.MaxSlowdown(loud, 1); got < 0.5 || got > 1.2 {
		t.Errorf("slowdown through the loud kind is estimated as %.2f, is 0.8", got)
	}
	if got := e.MaxSlowdown(quiet, 1); got > 0.25 {
		t.Errorf("slowdown through the quiet kind is estimated as %.2f, is 0", got)
	}
}

// Guards against evicting before throttling, acting again before the effect of
// an action can show, exceeding the cap, and evicting on a single sample.
func TestReliefInOrder(t *testing.T) {
	var s ServerPressure
	var budget EvictionBudget
	now := start
	sample := func(n int, slowdown float64) {
		for range n {
			now = now.Add(time.Second)
			s.Observe(now, slowdown)
		}
	}
	tasks := []Task{{ID: "mild", Slowdown: 0.3, LostWork: time.Minute}, {ID: "costly", Slowdown: 1, LostWork: time.Hour}, {ID: "cheap", Slowdown: 0.8, LostWork: time.Minute}}
	plan := func(want ActionKind, wantTask int) {
		t.Helper()
		if got, i := s.Plan(now, tasks, &budget, 1); got != want || i != wantTask {
			t.Fatalf("planned action %d on task %d, want %d on %d", got, i, want, wantTask)
		}
	}
	sample(1, 4)
	plan(NoAction, 0)
	sample(8, 1)
	for _, i := range []int{1, 2, 0} {
		plan(Throttle, i)
		tasks[i].Throttled = true
		plan(NoAction, 0)
		s.Observe(now.Add(time.Second), 4) // doesn't show the effect yet
		plan(NoAction, 0)
		sample(8, 1)
	}
	plan(Evict, 2)
	tasks[2].EvictedAt = now
	sample(8, 1)
	plan(NoAction, 0) // the cap is one eviction a minute
	now = now.Add(time.Minute)
	tasks = tasks[:2] // the evicted one has stopped
	sample(8, 1)
	plan(Evict, 1)
	if kind, _ := s.Plan(now, tasks[:1], &EvictionBudget{}, 1); kind != NoAction {
		t.Error("a task is evicted that explains too little of the slowdown")
	}
	sample(15, 0)
	plan(NoAction, 0)
	now = now.Add(calm)
	plan(Unthrottle, 0)
}

// Guards against learning from a sample that mixes two states of throttling,
// and against taking the present state for that of the sample.
func TestSamplesAreAlignedWithActions(t *testing.T) {
	var s ServerPressure
	s.act(start, "t", true)
	s.act(start.Add(20*time.Second), "t", false)
	second := func(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }
	if s.ThrottlingConstant(second(1), second(3)) || s.ThrottlingConstant(second(19), second(21)) || !s.ThrottlingConstant(second(5), second(15)) {
		t.Error("samples are not told apart by the actions during them")
	}
	for at, want := range map[int]bool{-1: false, 10: true, 25: false} {
		if got := s.ThrottledAt("t", second(at), false); got != want {
			t.Errorf("throttled at %d s: %v", at, got)
		}
	}
}
