package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// Guards against placing all tasks of a step by the measurements taken before the
// first of them started: one of the two tasks can run beside the serving task without
// a missed latency target, but not both.
func TestPendingStartsCountAsInterference(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	m := f.cell.interference
	m.pressures[m.id("serving")][m.id("interfering")] = pressure{known: true, value: 1}
	f.submit("00000000000000b1", servingStep(1))
	f.acceptStart(takeActions[Start](f)[0])
	two := bestEffortStep("interfering", 3000)
	two.Count = 2
	f.submit("00000000000000b2", two)
	if starts := takeActions[Start](f); len(starts) != 1 {
		t.Errorf("got %d starts beside the serving task, want 1", len(starts))
	}
}

// Guards against starting an image of unknown interference beside many serving
// tasks at once: if it interferes
// with one of them, it interferes with all.
func TestUnknownImageStartsOneTaskFirst(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"), testServer("b"), testServer("c"))
	spread := servingStep(3)
	spread.MaxPerServer = 1
	f.submit("00000000000000b1", spread)
	for _, s := range takeActions[Start](f) {
		f.acceptStart(s)
	}
	many := bestEffortStep("unknown", 500)
	many.Count = 6
	f.submit("00000000000000b2", many)
	first := takeActions[Start](f)
	if len(first) != 1 {
		t.Fatalf("got %d starts of an unknown image, want 1", len(first))
	}
	f.acceptStart(first[0])
	m := f.cell.interference
	for range trialObservations {
		m.observe(m.id("serving"), 18, 7, defaultLoad, []segment{{weight: 1, shares: addShare(nil, m.id("unknown"), 0.03)}})
	}
	f.advance(100 * time.Millisecond)
	if rest := takeActions[Start](f); len(rest) != 5 {
		t.Errorf("got %d starts once the image is known to be harmless, want 5", len(rest))
	}
}

// Guards against serving tasks of two images sharing a server although there are
// servers for each: hardly any best-effort task is harmless to both.
func TestServingImagesUseSeparateServers(t *testing.T) {
	f := newFixture(t, 1)
	var servers []Server
	for i := range 6 {
		servers = append(servers, testServer(fleet.BackendServerID(fmt.Sprintf("server-%d", i))))
	}
	f.setUpServers(servers...)
	images := map[fleet.BackendServerID][]string{}
	for n := range 6 {
		step := servingStep(3)
		step.Image = fmt.Sprintf("image-%d", n%2)
		f.submit(fleet.JobID(fmt.Sprintf("00000000000000b%d", n)), step)
		for _, s := range takeActions[Start](f) {
			f.acceptStart(s)
			if !slices.Contains(images[s.Server], step.Image) {
				images[s.Server] = append(images[s.Server], step.Image)
			}
		}
	}
	for server, found := range images {
		if len(found) > 1 {
			t.Errorf("server %s has tasks of images %v, want one image", server, found)
		}
	}
	if len(images) != 6 {
		t.Errorf("got 18 tasks on %d servers, want 6 with 3 tasks each", len(images))
	}
}

// Guards against a load peak during which every job misses its objective because the
// jobs that are late already start first.
func TestLateStepsStartLast(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	f.submit("00000000000000b0", oneTaskStep())
	running := takeActions[Start](f)[0]
	f.acceptStart(running)
	f.submit("00000000000000b1", oneTaskStep()) // its objective is 3 s
	f.advance(2500 * time.Millisecond)
	f.answerHolds(map[fleet.BackendServerID][]RunningRow{"a": {{Task: running.Task, Attempt: running.Attempt, Percent: 90}}}, nil)
	f.submit("00000000000000b2", oneTaskStep())
	f.advance(100 * time.Millisecond)
	f.answerHolds(nil, map[fleet.BackendServerID][]FinishedRow{"a": {{Number: 1, Task: running.Task, Attempt: running.Attempt, End: job.EndDone}}})
	if starts := takeActions[Start](f); len(starts) != 1 || starts[0].Task.Job != "00000000000000b2" {
		t.Errorf("got starts %+v, want one of job 00000000000000b2, which can still meet its objective", starts)
	}
}

// Guards against a best-effort task that makes serving tasks miss their latency
// target for a job that is late already, and against one that waits although
// capacity is free, for which the platform's bound is 3 s.
func TestBestEffortTaskWaitsForServerWithoutInterference(t *testing.T) {
	for _, c := range []struct {
		name    string
		serving int // tasks of 5 cores each on a server of 16
		starts  int
	}{{"three serving tasks", 3, 0}, {"one serving task", 1, 1}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.setUpServers(testServer("a"))
			m := f.cell.interference
			m.pressures[m.id("serving")][m.id("interfering")] = pressure{known: true, value: 6}
			f.submit("00000000000000b1", servingStep(c.serving))
			for _, s := range takeActions[Start](f) {
				f.acceptStart(s)
			}
			f.submit("00000000000000b2", bestEffortStep("interfering", 6000))
			if starts := takeActions[Start](f); len(starts) != 0 {
				t.Fatalf("got starts %+v at once, want none where the task interferes with serving tasks", starts)
			}
			f.advance(2500 * time.Millisecond)
			if starts := takeActions[Start](f); len(starts) != c.starts {
				t.Errorf("got %d starts after 2.5 s, want %d", len(starts), c.starts)
			}
		})
	}
}

// Guards against an objective that ignores the time of the steps that depend on a
// step. Long-running steps add no time.
func TestCriticalPathTimes(t *testing.T) {
	j := job.Job{Steps: []job.Step{
		{Estimate: time.Second},
		{Estimate: 5 * time.Second},
		{Estimate: 2 * time.Second, After: []int{0}},
		{Estimate: 3 * time.Second, After: []int{1, 2}},
		{Estimate: time.Hour, LongRunning: true, After: []int{0}},
	}}
	want := []time.Duration{6 * time.Second, 8 * time.Second, 5 * time.Second, 3 * time.Second, 0}
	if got := criticalPathTimesOf(&j); !slices.Equal(got, want) {
		t.Errorf("got times %v, want %v", got, want)
	}
}
