package cell

import (
	"math/rand/v2"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// gangLoad is a load of single tasks, and of gangs of six whose members are slow unless
// all of them run in one rack.
func gangLoad(share float64) unevenLoad {
	servers := unevenServers(5, 4)
	return unevenLoad{
		remoteFactor: 3, servers: servers,
		queue:         QueueSettings{Name: "q", Service: "s", MaxAttempts: 3, SlackFactor: 1.2, TargetLatency: 400 * time.Millisecond},
		jobsPerSecond: share * float64(len(servers)) * 16 / (0.3*6*6 + 0.7*10*2),
		steps: func(random *rand.Rand) []job.Step {
			if random.Float64() < 0.3 {
				return []job.Step{{Count: 6, Need: fleet.Resources{MilliCPU: 6000, MemoryMiB: 1000}, Estimate: time.Second, Gang: true, SameRack: true}}
			}
			return []job.Step{{Count: 10, Need: fleet.Resources{MilliCPU: 2000, MemoryMiB: 1000}, Estimate: time.Second}}
		},
		taskTime: func(_ *job.Step, random *rand.Rand) time.Duration {
			return time.Duration((0.8 + 0.4*random.Float64()) * float64(time.Second))
		},
	}
}

// Guards against gangs that are spread over racks, and slow, although one rack has room
// for all members or will soon.
func TestGangsStayInOneRack(t *testing.T) {
	const seeds = 3
	for _, share := range []float64{0.3, 0.5, 0.7} {
		var off, on unevenResult
		for seed := range uint64(seeds) {
			a, _ := playUneven(t, gangLoad(share), false, seed, 20*time.Second)
			b, _ := playUneven(t, gangLoad(share), true, seed, 20*time.Second)
			t.Logf("share %.2f, seed %d: off %v; on %v", share, seed, a, b)
			if a.Complete < a.Jobs || b.Complete < b.Jobs {
				t.Errorf("share %.2f, seed %d: jobs are not complete: off %v; on %v", share, seed, a, b)
			}
			off.Worth, on.Worth = off.Worth+a.Worth/seeds, on.Worth+b.Worth/seeds
			off.CoreSeconds, on.CoreSeconds = off.CoreSeconds+a.CoreSeconds, on.CoreSeconds+b.CoreSeconds
			off.Remote, on.Remote = off.Remote+a.Remote, on.Remote+b.Remote
		}
		t.Logf("share %.2f: worth %.3f off, %.3f on, %d and %d members outside the rack of the first", share, off.Worth, on.Worth, off.Remote, on.Remote)
		if on.Worth < off.Worth || on.CoreSeconds > off.CoreSeconds {
			t.Errorf("share %.2f: got worth %.3f for %.0f core-seconds, want at least %.3f for at most %.0f", share, on.Worth, on.CoreSeconds, off.Worth, off.CoreSeconds)
		}
	}
}
