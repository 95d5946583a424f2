package cell

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// hotRackLoad is a load of which most tasks have their data in one of five racks. All
// tasks would use a share of the capacity if they ran in the rack of their data.
func hotRackLoad(share float64) unevenLoad {
	const count, cores, estimate = 10, 4.0, time.Second
	servers := unevenServers(5, 4)
	return unevenLoad{
		remoteFactor: 3, servers: servers,
		queue:         QueueSettings{Name: "q", Service: "s", MaxAttempts: 3, SlackFactor: 1.2, TargetLatency: 400 * time.Millisecond},
		jobsPerSecond: share * float64(len(servers)) * 16 / (count * cores * estimate.Seconds()),
		steps: func(random *rand.Rand) []job.Step {
			s := job.Step{Count: count, Need: fleet.Resources{MilliCPU: cores * milliCPUPerCore, MemoryMiB: 1000}, Estimate: estimate}
			if random.Float64() < 0.6 {
				s.DataRack = "rack-0"
			} else if random.Float64() < 0.5 {
				s.DataRack = fmt.Sprintf("rack-%d", 1+random.IntN(4))
			}
			return []job.Step{s}
		},
		taskTime: func(step *job.Step, random *rand.Rand) time.Duration {
			return time.Duration(float64(step.Estimate) * (0.7 + 0.6*random.Float64()))
		},
	}
}

// Guards against tasks that all run outside a rack with much data as soon as it is
// full, although runs there end before they could, and against tasks that queue there
// beside free capacity.
func TestHotRackIsUsedWithoutQueueing(t *testing.T) {
	const seeds = 3
	for _, share := range []float64{0.15, 0.25, 0.4, 0.55} {
		var off, on unevenResult
		for seed := range uint64(seeds) {
			a, _ := playUneven(t, hotRackLoad(share), false, seed, 20*time.Second)
			b, _ := playUneven(t, hotRackLoad(share), true, seed, 20*time.Second)
			t.Logf("share %.2f, seed %d: off %v; on %v", share, seed, a, b)
			if a.Complete < a.Jobs || b.Complete < b.Jobs {
				t.Errorf("share %.2f, seed %d: jobs are not complete: off %v; on %v", share, seed, a, b)
			}
			off.Worth, on.Worth = off.Worth+a.Worth/seeds, on.Worth+b.Worth/seeds
			off.CoreSeconds, on.CoreSeconds = off.CoreSeconds+a.CoreSeconds, on.CoreSeconds+b.CoreSeconds
			if share < 0.2 && b.LongestWait > lowUtilizationWait+100*time.Millisecond {
				t.Errorf("share %.2f, seed %d: a task waited %v beside free capacity, want at most %v", share, seed, b.LongestWait, lowUtilizationWait)
			}
		}
		t.Logf("share %.2f: worth %.3f off, %.3f on", share, off.Worth, on.Worth)
		if on.Worth <= off.Worth || on.CoreSeconds >= off.CoreSeconds {
			t.Errorf("share %.2f: got worth %.3f for %.0f core-seconds, want more than %.3f for less than %.0f", share, on.Worth, on.CoreSeconds, off.Worth, off.CoreSeconds)
		}
	}
}

// Guards against tasks that wait for a rack whose servers are lost.
func TestTasksDoNotWaitForLostRack(t *testing.T) {
	load := hotRackLoad(0.25)
	load.during = func(s *unevenService) {
		if s.now-s.began > 10*time.Second {
			for _, server := range s.load.servers[:4] {
				s.lost[server.ID] = true
				s.workers[server.ID].runs = nil
			}
		}
	}
	off, _ := playUneven(t, load, false, 1, 20*time.Second)
	on, s := playUneven(t, load, true, 1, 20*time.Second)
	t.Logf("off %v; on %v", off, on)
	if on.Complete < on.Jobs {
		t.Errorf("%d of %d jobs are complete", on.Complete, on.Jobs)
	}
	if on.Worth < off.Worth {
		t.Errorf("got worth %.3f after the loss, want at least %.3f as without UnevenDemand", on.Worth, off.Worth)
	}
	if s.cell.racks.waiting > 0 {
		t.Errorf("%d tasks wait for the lost rack", s.cell.racks.waiting)
	}
}

// Guards against tasks that wait for a rack when a takeover comes, and of which the
// next holder starts none or some twice.
func TestTasksThatAwaitRackSurviveTakeover(t *testing.T) {
	load := hotRackLoad(0.25)
	rounds := 1
	load.during = func(s *unevenService) {
		if s.now-s.began > time.Duration(rounds)*4*time.Second && s.cell.racks.waiting > 0 {
			rounds++
			s.takeOver()
		}
	}
	on, _ := playUneven(t, load, true, 2, 20*time.Second)
	t.Logf("%d holders: %v", rounds, on)
	if rounds < 3 {
		t.Fatalf("%d takeovers with a task that waits for a rack, want at least 2", rounds-1)
	}
	if on.Complete < on.Jobs {
		t.Errorf("%d of %d jobs are complete", on.Complete, on.Jobs)
	}
}

// Guards against two tasks that count on the room of the same end.
func TestClaimedRoomIsNotPromisedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		resources := func(name string) fleet.Resources {
			return fleet.Resources{MilliCPU: rapid.Int64Range(1, 4000).Draw(t, name), MemoryMiB: rapid.Int64Range(1, 4000).Draw(t, name+" memory")}
		}
		p := plannedWorker{}
		var total fleet.Resources
		for range rapid.IntRange(1, 6).Draw(t, "returns") {
			r := plannedReturn{time.Duration(rapid.IntRange(0, 1000).Draw(t, "in")), resources("returned")}
			p.returns, total = append(p.returns, r), total.Add(r.need)
		}
		slices.SortStableFunc(p.returns, compareReturns)
		var claimed []plannedReturn
		for range rapid.IntRange(1, 6).Draw(t, "claims") {
			need := resources("need")
			wait, ok := p.roomIn(need)
			if !ok {
				continue
			}
			const runTime = 100
			p.claim(need, wait+runTime)
			claimed = append(claimed, plannedReturn{wait, need})
			for _, at := range claimed {
				used, returned := fleet.Resources{}, fleet.Resources{}
				for _, other := range claimed {
					if other.in <= at.in && at.in < other.in+runTime {
						used = used.Add(other.need)
					}
				}
				for _, r := range p.returns {
					if r.in <= at.in {
						returned = returned.Add(r.need)
					}
				}
				for _, other := range claimed {
					if other.in+runTime <= at.in {
						returned = returned.Sub(other.need)
					}
				}
				if !used.Fits(returned) {
					t.Fatalf("tasks that use %+v are promised room at %d, when %+v has been returned", used, at.in, returned)
				}
			}
		}
	})
}

// Guards against a best-effort task that waits as if it interfered with serving tasks,
// because the cost of the distance to its data alone exceeds that of an interference.
func TestRemoteBestEffortTaskDoesNotWait(t *testing.T) {
	for _, uneven := range []bool{false, true} {
		f := newFixture(t, 1)
		f.cell.settings.UnevenDemand, f.cell.settings.RemoteFactor = uneven, 3
		other := testServer("b")
		other.Labels = []string{"a", "r2"}
		f.setUpServers(testServer("a"), other)
		fill := job.Step{Count: 1, Need: fleet.Resources{MilliCPU: 100, MemoryMiB: 64000}, Estimate: time.Minute, BestEffort: true, DataRack: "r1"}
		f.submit(testJob, fill)
		f.acceptAllStarts()
		f.submit("00000000000000ab", fill)
		if starts := len(f.takeStarts()); uneven && starts != 1 || !uneven && starts != 0 {
			t.Errorf("uneven %t: got %d starts outside the rack", uneven, starts)
		}
	}
}

// Guards against best-effort tasks that share the idle processor time of one rack,
// although they would take less time outside it.
func TestBestEffortTasksDoNotCrowdRack(t *testing.T) {
	const seeds = 3
	for _, share := range []float64{0.2, 0.35, 0.5} {
		load := hotRackLoad(share)
		load.remoteFactor = 2
		steps := load.steps
		load.steps = func(random *rand.Rand) []job.Step {
			s := steps(random)
			s[0].BestEffort = true
			return s
		}
		load.slowdown = func(s Server, _ time.Duration, runs int) float64 {
			return max(1, float64(runs+1)*4*milliCPUPerCore/float64(s.Capacity.MilliCPU))
		}
		var off, on unevenResult
		for seed := range uint64(seeds) {
			a, _ := playUneven(t, load, false, seed, 20*time.Second)
			b, _ := playUneven(t, load, true, seed, 20*time.Second)
			t.Logf("share %.2f, seed %d: off %v; on %v", share, seed, a, b)
			if a.Complete < a.Jobs || b.Complete < b.Jobs {
				t.Errorf("share %.2f, seed %d: jobs are not complete: off %v; on %v", share, seed, a, b)
			}
			off.Worth, on.Worth = off.Worth+a.Worth/seeds, on.Worth+b.Worth/seeds
			off.Mean, on.Mean = off.Mean+a.Mean/seeds, on.Mean+b.Mean/seeds
		}
		t.Logf("share %.2f: worth %.3f off, %.3f on, mean %v and %v", share, off.Worth, on.Worth, off.Mean, on.Mean)
		if crowded := share > 0.2; on.Worth < off.Worth || crowded && on.Worth == off.Worth {
			t.Errorf("share %.2f: got worth %.3f, want at least %.3f, and more where the rack is crowded", share, on.Worth, off.Worth)
		}
	}
}
