package cell

import (
	"math/rand/v2"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// unlikeLoad is a load of 24 servers with 16, 16 and 24 cores. Most tasks fit on all of
// them; one job in ten has tasks that need 20 cores, and one in ten 14 cores.
func unlikeLoad(share float64) unevenLoad {
	servers := unevenServers(6, 4, 1, 1, 1.5)
	cores := 0.0
	for _, s := range servers {
		cores += float64(s.Capacity.MilliCPU) / milliCPUPerCore
	}
	step := func(count int, cores float64) job.Step {
		return job.Step{Count: count, Need: fleet.Resources{MilliCPU: int64(cores * milliCPUPerCore), MemoryMiB: 1000}, Estimate: time.Second}
	}
	const coreSeconds = 0.1*4*20 + 0.1*2*14 + 0.4*10*1.9 + 0.4*10*3
	return unevenLoad{
		servers:       servers,
		queue:         QueueSettings{Name: "q", Service: "s", MaxAttempts: 3, SlackFactor: 1.2, TargetLatency: 400 * time.Millisecond},
		jobsPerSecond: share * cores / coreSeconds,
		steps: func(random *rand.Rand) []job.Step {
			switch n := random.IntN(10); {
			case n == 0:
				return []job.Step{step(4, 20)}
			case n == 1:
				return []job.Step{step(2, 14)}
			case n < 6:
				return []job.Step{step(10, 1.9)}
			default:
				return []job.Step{step(10, 3)}
			}
		},
		taskTime: func(_ *job.Step, random *rand.Rand) time.Duration {
			return time.Duration((0.5 + random.Float64()) * float64(time.Second))
		},
	}
}

// Guards against small tasks that occupy the large servers although small ones have
// room, so that tasks which fit only there wait, and against servers whose room is too
// little for any task.
func TestLargeServersAreKeptForLargeTasks(t *testing.T) {
	const seeds = 5
	for _, share := range []float64{0.6, 0.75, 0.85, 0.95} {
		var off, on unevenResult
		for seed := range uint64(seeds) {
			a, _ := playUneven(t, unlikeLoad(share), false, seed, 20*time.Second)
			b, _ := playUneven(t, unlikeLoad(share), true, seed, 20*time.Second)
			t.Logf("share %.2f, seed %d: off %v; on %v", share, seed, a, b)
			if a.Complete < a.Jobs || b.Complete < b.Jobs {
				t.Errorf("share %.2f, seed %d: jobs are not complete: off %v; on %v", share, seed, a, b)
			}
			off.Worth, on.Worth = off.Worth+a.Worth/seeds, on.Worth+b.Worth/seeds
			off.Mean, on.Mean = off.Mean+a.Mean/seeds, on.Mean+b.Mean/seeds
		}
		t.Logf("share %.2f: worth %.3f off, %.3f on, mean %v and %v", share, off.Worth, on.Worth, off.Mean, on.Mean)
		if on.Worth < off.Worth || on.Mean > off.Mean {
			t.Errorf("share %.2f: got worth %.3f at a mean of %v, want at least %.3f in at most %v", share, on.Worth, on.Mean, off.Worth, off.Mean)
		}
	}
}

// newSizeFixture returns a fixture with two servers of 16 cores and one of 24, of which
// the task of a job of 13 cores occupies the larger one.
func newSizeFixture(t *testing.T, uneven bool) *fixture {
	f := newFixture(t, 1)
	f.cell.settings.UnevenDemand = uneven
	large := testServer("c")
	large.Capacity.MilliCPU = 24000
	f.setUpServers(large)
	step := oneTaskStep()
	step.Need.MilliCPU = 13000
	f.submit("00000000000000f1", step)
	f.acceptAllStarts()
	f.handle(ServerListed{Server: testServer("a")})
	f.handle(ServerListed{Server: testServer("b")})
	f.answerHolds(map[fleet.BackendServerID][]RunningRow{"c": {{Task: job.TaskRef{Job: "00000000000000f1"}, Attempt: 1, Percent: 10}}}, nil)
	f.handle(Tick{})
	return f
}

// Guards against a small task on the fuller large server, which best fit prefers to an
// empty small one, and against tasks that wait because only large servers are left.
func TestSmallTaskLeavesLargeServer(t *testing.T) {
	for uneven, want := range map[bool]fleet.BackendServerID{false: "c", true: "a"} {
		f := newSizeFixture(t, uneven)
		step := oneTaskStep()
		step.Need.MilliCPU = 2000
		f.submit(testJob, step)
		if starts := f.takeStarts(); len(starts) != 1 || starts[0].Server != want {
			t.Errorf("uneven %t: got starts %+v, want one on %s", uneven, starts, want)
		}
	}
	f := newSizeFixture(t, true)
	for _, id := range []fleet.BackendServerID{"a", "b"} {
		lost := testServer(id)
		lost.Draining = true
		f.handle(ServerListed{Server: lost})
	}
	f.submit(testJob, oneTaskStep())
	if starts := f.takeStarts(); len(starts) != 1 || starts[0].Server != "c" {
		t.Errorf("got starts %+v after the small servers are lost, want one on c", starts)
	}
}

// Guards against long-running tasks that fill the large servers while a task fits only
// there, and against another packing of them where no task needs it.
func TestLongRunningTasksLeaveWantedLargeServers(t *testing.T) {
	for _, wanted := range []bool{false, true} {
		f := newSizeFixture(t, true)
		if wanted {
			step := oneTaskStep()
			step.Need.MilliCPU = 20000
			f.submit("00000000000000f2", step)
			f.takeStarts()
		}
		step := longRunningStep(1)
		step.Need = fleet.Resources{MilliCPU: 3000, MemoryMiB: 100}
		f.submit(testJob, step)
		starts := f.takeStarts()
		if len(starts) != 1 || (starts[0].Server == "c") == wanted {
			t.Errorf("large server wanted %t: got starts %+v", wanted, starts)
		}
	}
}
