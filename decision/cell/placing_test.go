package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// Guards against tasks of a step that are all placed by the figures from before
// the first of them: two of these fit beside the target by themselves, but not
// together.
func TestPendingStartsCountAsPressure(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	d := f.cell.disturbance
	d.pressures[d.id("serving")][d.id("disturbing")] = pressure{known: true, value: 1}
	f.submit("00000000000000b1", lastingStep(1))
	f.acceptStart(takeActions[Start](f)[0])
	two := fillStep("disturbing", 3000)
	two.Count = 2
	f.submit("00000000000000b2", two)
	if starts := takeActions[Start](f); len(starts) != 1 {
		t.Errorf("%d fills were started beside the target, one fits", len(starts))
	}
}

// Guards against an image of which nothing is known that is started beside many
// targets at once: whatever it does to the first one it does to all.
func TestUnknownImageStartsOneTaskFirst(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"), testServer("b"), testServer("c"))
	spread := lastingStep(3)
	spread.MaxPerServer = 1
	f.submit("00000000000000b1", spread)
	for _, s := range takeActions[Start](f) {
		f.acceptStart(s)
	}
	many := fillStep("unknown", 500)
	many.Count = 6
	f.submit("00000000000000b2", many)
	first := takeActions[Start](f)
	if len(first) != 1 {
		t.Fatalf("%d tasks of an unknown image were started at once, want 1", len(first))
	}
	f.acceptStart(first[0])
	d := f.cell.disturbance
	for range triedAfter {
		d.observe(d.id("serving"), 18, 7, usualLoad, []segment{{weight: 1, shares: addShare(nil, d.id("unknown"), 0.03)}})
	}
	f.advance(100 * time.Millisecond)
	if rest := takeActions[Start](f); len(rest) != 5 {
		t.Errorf("%d tasks were started once the image is known to be harmless, want 5", len(rest))
	}
}

// Guards against serving tasks of two images on one server while there are servers
// for each: hardly any filling task is harmless to both.
func TestServingImagesUseSeparateServers(t *testing.T) {
	f := newFixture(t, 1)
	var servers []Server
	for i := range 6 {
		servers = append(servers, testServer(fleet.BackendServerID(fmt.Sprintf("server-%d", i))))
	}
	f.setUpServers(servers...)
	images := map[fleet.BackendServerID][]string{}
	for n := range 6 {
		step := lastingStep(3)
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
			t.Errorf("%s has tasks of %v", server, found)
		}
	}
	if len(images) != 6 {
		t.Errorf("18 tasks of 3 a server take %d servers", len(images))
	}
}

// Guards against a crest at which every job is late because the ones that are
// late already go first.
func TestLateStepsStartLast(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	f.submit("00000000000000b0", oneTaskStep())
	running := takeActions[Start](f)[0]
	f.acceptStart(running)
	f.submit("00000000000000b1", oneTaskStep()) // may take 3 s
	f.advance(2500 * time.Millisecond)
	f.answerHolds(map[fleet.BackendServerID][]RunningRow{"a": {{Task: running.Task, Attempt: running.Attempt, Percent: 90}}}, nil)
	f.submit("00000000000000b2", oneTaskStep())
	f.advance(100 * time.Millisecond)
	f.answerHolds(nil, map[fleet.BackendServerID][]FinishedRow{"a": {{Number: 1, Task: running.Task, Attempt: running.Attempt, End: job.EndDone}}})
	if starts := takeActions[Start](f); len(starts) != 1 || starts[0].Task.Job != "00000000000000b2" {
		t.Errorf("started %+v, want the job that can still meet its objective", starts)
	}
}

// Guards against a fill that disturbs a target for the sake of a job that is late
// already, and against one that waits beside free capacity, which the platform
// bounds to 3 s.
func TestFillWaitsForUndisturbedServer(t *testing.T) {
	for _, c := range []struct {
		name    string
		serving int // of 5 cores each on 16
		starts  int
	}{{"crowded", 3, 0}, {"roomy", 1, 1}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.setUpServers(testServer("a"))
			d := f.cell.disturbance
			d.pressures[d.id("serving")][d.id("disturbing")] = pressure{known: true, value: 6}
			f.submit("00000000000000b1", lastingStep(c.serving))
			for _, s := range takeActions[Start](f) {
				f.acceptStart(s)
			}
			f.submit("00000000000000b2", fillStep("disturbing", 6000))
			if starts := takeActions[Start](f); len(starts) != 0 {
				t.Fatalf("placed at once where it disturbs: %+v", starts)
			}
			f.advance(2500 * time.Millisecond)
			if starts := takeActions[Start](f); len(starts) != c.starts {
				t.Errorf("%d starts after 2.5 s, want %d", len(starts), c.starts)
			}
		})
	}
}

// Guards against an objective that leaves out what depends on a step.
func TestChains(t *testing.T) {
	j := job.Job{Steps: []job.Step{
		{Estimate: time.Second},
		{Estimate: 5 * time.Second},
		{Estimate: 2 * time.Second, After: []int{0}},
		{Estimate: 3 * time.Second, After: []int{1, 2}},
		{Estimate: time.Hour, LongRunning: true, After: []int{0}},
	}}
	want := []time.Duration{6 * time.Second, 8 * time.Second, 5 * time.Second, 3 * time.Second, 0}
	if got := chainsOf(&j); !slices.Equal(got, want) {
		t.Errorf("chains are %v, want %v", got, want)
	}
}
