package cell

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// Guards against a learner that cannot tell an image that disturbs from one that
// does not, although both run beside the same tasks: figures follow the queue's
// law with a swinging load and one part in ten of noise.
func TestPressureEstimatesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heavy := rapid.Float64Range(2, 6).Draw(t, "heavy")
		d := newDisturbance()
		serving, loud, calm := d.id("serving"), d.id("loud"), d.id("calm")
		var s served
		const idle, target = 4.0, 18.0
		for i := range 400 {
			at := time.Duration(i) * 500 * time.Millisecond
			load := 0.42 * (1 + 0.5*math.Sin(2*math.Pi*at.Seconds()/10))
			var shares []imageShare
			switch i % 4 {
			case 1:
				shares, load = addShare(nil, loud, 0.08), load+heavy*0.08
			case 2:
				shares = addShare(nil, calm, 0.15)
			case 3:
				shares, load = addShare(addShare(nil, calm, 0.1), loud, 0.04), load+heavy*0.04
			}
			noise := 1 + 0.1*float64(i%3-1)
			left, quiet := d.observe(serving, target, noise*idle/(1-min(load, 0.97)), s.load(at), []segment{{weight: 1, shares: shares}})
			if quiet {
				s.add(at, left, 1)
			} else {
				s.add(at, left, pressedTrust)
			}
		}
		if got := d.pressure(serving, loud); got < heavy*0.5 {
			t.Fatalf("the pressure of the loud image is taken for %.2f, it is %.2f", got, heavy)
		}
		if got := d.pressure(serving, calm); got > 0.8 {
			t.Fatalf("the pressure of the calm image is taken for %.2f, it is 0", got)
		}
	})
}

// Guards against a takeover that has to learn everything again.
func TestPressureEstimatesSurviveTakeover(t *testing.T) {
	d := newDisturbance()
	serving, loud := d.id("serving"), d.id("loud")
	for range 200 {
		d.observe(serving, 18, 30, usualLoad, []segment{{weight: 1, shares: addShare(nil, loud, 0.1)}})
	}
	next := newDisturbance()
	next.id("another") // the numbers of images differ between holders
	next.restore(d.record())
	want, got := d.pressure(serving, loud), next.pressure(next.id("serving"), next.id("loud"))
	if math.Abs(want-got) > 0.01 || want < 1 {
		t.Errorf("got %.2f, want %.2f", got, want)
	}
}

func lastingStep(count int) job.Step {
	return job.Step{
		Count: count, Need: fleet.Resources{MilliCPU: 5000, MemoryMiB: 1000}, LongRunning: true, Image: "serving", LatencyTarget: 18 * time.Millisecond,
	}
}

func fillStep(image string, milliCPU int64) job.Step {
	return job.Step{Count: 1, Need: fleet.Resources{MilliCPU: milliCPU, MemoryMiB: 1000}, BestEffort: true, Checkpoints: true, Image: image, Estimate: time.Second}
}

// Guards against fills that are left beside a missed target until the platform's
// bound of 4 s has passed (HARM): over its target for longer than 1.7 s, they are
// held whatever was learnt. Rough figures that fall below the target by chance
// must not begin the time anew (HARM, asante-sockyard quiet-1, seed 903459867668).
func TestFillsArePausedInTime(t *testing.T) {
	for name, figures := range map[string][]int{"far over": {40}, "just over, by rough figures": {19, 18, 19, 18, 18}} {
		t.Run(name, func(t *testing.T) { checkFillPausedInTime(t, figures) })
	}
}

func checkFillPausedInTime(t *testing.T, figures []int) {
	t.Helper()
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	f.submit("00000000000000b1", lastingStep(1))
	lasting := takeActions[Start](f)[0]
	f.acceptStart(lasting)
	f.submit("00000000000000b2", fillStep("unknown", 3000))
	fill := takeActions[Start](f)[0]
	f.acceptStart(fill)
	rows := map[fleet.BackendServerID][]RunningRow{"a": {
		{Task: lasting.Task, Attempt: lasting.Attempt, Percent: 100, Measurement: 40},
		{Task: fill.Task, Attempt: fill.Attempt, Percent: 5, Measurement: 3000},
	}}
	paced := fullPace
	began := f.now
	for n := 0; paced > 0 && f.now-began < 4*time.Second; n++ {
		f.advance(100 * time.Millisecond)
		rows["a"][0].Measurement = figures[n%len(figures)]
		f.answerHolds(rows, nil)
		for _, p := range takeActions[Throttle](f) {
			paced = p.Percent
			f.handle(ThrottleAnswered{Server: p.Server, Task: p.Task, Attempt: p.Attempt, Percent: p.Percent, OK: true})
		}
	}
	if took := f.now - began; paced != 0 || took > 3*time.Second {
		t.Errorf("the fill works at %d %% after %v beside a missed target", paced, took)
	}
}

// Guards against a fill that is placed beside a serving task which it is known to
// disturb while a server without one is free.
func TestDisturbingFillGetsFreeServer(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"), testServer("b"))
	d := f.cell.disturbance
	d.pressures[d.id("serving")][d.id("loud")] = pressure{known: true, value: 5}
	f.submit("00000000000000b1", lastingStep(2))
	for _, s := range takeActions[Start](f) {
		f.acceptStart(s)
	}
	serving := f.cell.order[0]
	if serving.pacing.serving == 0 {
		serving = f.cell.order[1]
	}
	f.submit("00000000000000b2", fillStep("loud", 6000))
	if starts := takeActions[Start](f); len(starts) != 1 || starts[0].Server == serving.server.ID {
		t.Errorf("started %+v beside the serving tasks of %s", starts, serving.server.ID)
	}
}

// Guards against serving tasks that stay spread over servers while fills find no
// place; baseline is the same cell without consolidation.
func TestServerIsFreedForFills(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"), testServer("b"))
	d := f.cell.disturbance
	d.pressures[d.id("serving")][d.id("loud")] = pressure{known: true, value: 6}
	spread := lastingStep(2)
	spread.MaxPerServer = 1
	f.submit("00000000000000b1", spread)
	for _, s := range takeActions[Start](f) {
		f.acceptStart(s)
	}
	for _, j := range f.cell.jobs { // the bound is gone, as after a change of the job mix
		j.job.Steps[0].MaxPerServer = 0
	}
	for n := range troubledFills {
		f.submit(fleet.JobID("00000000000000c"+string(rune('0'+n))), fillStep("loud", 6000))
	}
	if starts := takeActions[Start](f); len(starts) != 0 {
		t.Fatalf("placed where it disturbs: %+v", starts)
	}
	f.advance(2 * time.Second)
	stops := takeActions[Stop](f)
	if len(stops) == 0 {
		t.Fatal("no serving task was moved")
	}
	for _, s := range stops { // repeated until it is answered
		if s.Task != stops[0].Task || s.Task.Job != "00000000000000b1" {
			t.Fatalf("stops: %+v", stops)
		}
	}
}
