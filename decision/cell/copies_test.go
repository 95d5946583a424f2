package cell

import (
	"math/rand/v2"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// tailLoad is a load of which 3 in 100 runs take seven times as long as the rest, with
// estimates that are off by up to half.
func tailLoad(share float64, speculative bool) unevenLoad {
	const count, cores = 10, 4.0
	servers := unevenServers(5, 4)
	return unevenLoad{
		servers:       servers,
		queue:         QueueSettings{Name: "q", Service: "s", MaxAttempts: 3, SlackFactor: 1.2, TargetLatency: 400 * time.Millisecond},
		jobsPerSecond: share * float64(len(servers)) * 16 / (count * cores),
		steps: func(random *rand.Rand) []job.Step {
			return []job.Step{{
				Count: count, Need: fleet.Resources{MilliCPU: cores * milliCPUPerCore, MemoryMiB: 1000}, Speculative: speculative,
				Estimate: time.Duration((0.5 + random.Float64()) * float64(time.Second)),
			}}
		},
		taskTime: func(_ *job.Step, random *rand.Rand) time.Duration {
			took := time.Duration((0.9 + 0.2*random.Float64()) * float64(time.Second))
			if random.Float64() < 0.03 {
				took *= 7
			}
			return took
		},
	}
}

// Guards against a long tail of run times that decides when jobs complete although
// servers have room for a second copy, and against copies that take the room of others.
func TestCopiesShortenLongTail(t *testing.T) {
	const seeds = 3
	for _, share := range []float64{0.2, 0.5, 0.8} {
		var off, on unevenResult
		for seed := range uint64(seeds) {
			a, _ := playUneven(t, tailLoad(share, true), false, seed, 20*time.Second)
			b, _ := playUneven(t, tailLoad(share, true), true, seed, 20*time.Second)
			t.Logf("share %.2f, seed %d: off %v; on %v", share, seed, a, b)
			if a.Complete < a.Jobs || b.Complete < b.Jobs {
				t.Errorf("share %.2f, seed %d: jobs are not complete: off %v; on %v", share, seed, a, b)
			}
			off.Worth, on.Worth = off.Worth+a.Worth/seeds, on.Worth+b.Worth/seeds
			off.Mean, on.Mean = off.Mean+a.Mean/seeds, on.Mean+b.Mean/seeds
			off.Starts, on.Starts = off.Starts+a.Starts, on.Starts+b.Starts
		}
		t.Logf("share %.2f: worth %.3f off, %.3f on, mean %v and %v, starts %d and %d", share, off.Worth, on.Worth, off.Mean, on.Mean, off.Starts, on.Starts)
		if on.Worth <= off.Worth || on.Mean >= off.Mean {
			t.Errorf("share %.2f: got worth %.3f at a mean of %v, want more than %.3f in less than %v", share, on.Worth, on.Mean, off.Worth, off.Mean)
		}
		if limit := float64(off.Starts) * (1 + maxCopyShare); float64(on.Starts) > limit {
			t.Errorf("share %.2f: got %d starts, want at most %.0f", share, on.Starts, limit)
		}
	}
}

// Guards against a second copy of a task that may have one run only.
func TestOnlySpeculativeTasksAreCopied(t *testing.T) {
	on, _ := playUneven(t, tailLoad(0.5, false), true, 1, 20*time.Second) // the play checks each start
	if want := 10 * on.Jobs; on.Starts != want {
		t.Errorf("got %d starts of %d tasks", on.Starts, want)
	}
}

// Guards against copies without end of tasks that are long themselves.
func TestCopiesThatNeverWinEnd(t *testing.T) {
	load := tailLoad(0.5, true)
	load.tailByTask = true
	off, _ := playUneven(t, load, false, 1, 30*time.Second)
	on, s := playUneven(t, load, true, 1, 30*time.Second)
	t.Logf("off %v; on %v", off, on)
	for kind, times := range s.cell.runTimes {
		t.Logf("%+v: %d copies ended, %d were done first", kind, times.copies, times.wins)
	}
	if extra := on.Starts - off.Starts; extra > 2*copyTrials {
		t.Errorf("%d copies were started in vain, want at most %d", extra, 2*copyTrials)
	}
	if on.Complete < on.Jobs {
		t.Errorf("%d of %d jobs are complete", on.Complete, on.Jobs)
	}
}

// Guards against a task that starts again after a takeover although one of its two runs
// was done, and against a lost copy.
func TestCopiesSurviveTakeover(t *testing.T) {
	load := tailLoad(0.5, true)
	rounds := 1
	load.during = func(s *unevenService) {
		if s.now-s.began < time.Duration(rounds)*3*time.Second {
			return
		}
		for _, w := range s.cell.sortedWorkers {
			for _, r := range w.runsInOrder {
				if len(r.task.runs) > 1 {
					rounds++
					s.takeOver()
					return
				}
			}
		}
	}
	on, _ := playUneven(t, load, true, 2, 20*time.Second)
	t.Logf("%d holders: %v", rounds, on)
	if rounds < 4 {
		t.Fatalf("%d takeovers while a task had a copy, want at least 3", rounds-1)
	}
	if on.Complete < on.Jobs {
		t.Errorf("%d of %d jobs are complete", on.Complete, on.Jobs)
	}
}

// Guards against a run of the long tail that is expected to end at any moment, and
// against estimates of callers that outweigh what the runs of a kind have taken.
func TestExpectedEndFollowsRunTimes(t *testing.T) {
	f := newFixture(t, 1)
	f.cell.settings.UnevenDemand = true
	f.setUpServers(testServer("a"), testServer("b"))
	step := oneTaskStep()
	step.Count, step.Need = 2, fleet.Resources{MilliCPU: 100, MemoryMiB: 10}
	f.submit(testJob, step)
	f.acceptAllStarts()
	r := f.cell.workers["a"].runsInOrder[0]
	r.percent = 0 // no list has shown progress
	expect := func(when string, from, to time.Duration) {
		t.Helper()
		if rest, ends := f.cell.expectedRemaining(r); !ends || rest < from || rest > to {
			t.Errorf("%s: the run is expected to go on for %v, want %v to %v", when, rest, from, to)
		}
	}
	expect("by the estimate of 1 s", 900*time.Millisecond, time.Second)
	for i := range 100 {
		took := 2 * time.Second // twice the estimate
		if i%33 == 0 {
			took *= 7
		}
		observed := *r
		observed.confirmedAt = f.now - took
		f.cell.observeRunTime(&observed)
	}
	expect("by 100 runs of 2 s", 1800*time.Millisecond, 2600*time.Millisecond)
	f.now += 4 * time.Second
	f.cell.now = f.moment()
	expect("after 4 s of a tail of 14 s", 9*time.Second, 14*time.Second)
	r.percent, r.progressAt = 80, f.now
	expect("after 80 % in 4 s", 900*time.Millisecond, 1100*time.Millisecond)
}
