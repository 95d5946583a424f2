package cell

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// coldTime is how long the servers of coldLoad are cold.
const coldTime = 10 * time.Second

// coldLoad is a load of 20 servers, of which the first half starts again 5 s after the
// beginning. A cold server is as fast as the share of it that is warm.
func coldLoad(share float64) unevenLoad {
	const count, cores = 10, 2.0
	servers := unevenServers(5, 4)
	coldAt := time.Duration(math.MaxInt64)
	return unevenLoad{
		servers:       servers,
		queue:         QueueSettings{Name: "q", Service: "s", MaxAttempts: 3, SlackFactor: 1.2, TargetLatency: 400 * time.Millisecond},
		jobsPerSecond: share * float64(len(servers)) * 16 / (count * cores),
		steps: func(*rand.Rand) []job.Step {
			return []job.Step{{Count: count, Need: fleet.Resources{MilliCPU: cores * milliCPUPerCore, MemoryMiB: 1000}, Estimate: time.Second}}
		},
		taskTime: func(_ *job.Step, random *rand.Rand) time.Duration {
			return time.Duration((0.9 + 0.2*random.Float64()) * float64(time.Second))
		},
		slowdown: func(s Server, now time.Duration, runs int) float64 {
			if s.Draining || s.ID >= "server-010" || now < coldAt || now >= coldAt+coldTime {
				return 1
			}
			warm := float64(now-coldAt) / float64(coldTime)
			used := float64(runs+1) * cores * milliCPUPerCore / float64(s.Capacity.MilliCPU)
			return min(5, max(1, used/max(warm, cores*milliCPUPerCore/float64(s.Capacity.MilliCPU))))
		},
		during: func(s *unevenService) {
			if coldAt < math.MaxInt64 || s.now-s.began < 5*time.Second {
				return
			}
			coldAt = s.now
			for _, server := range s.load.servers[:10] {
				s.restart(server.ID, coldTime)
			}
		},
	}
}

// Guards against servers that get a full load, and are slow, right after they have
// started, while warm ones have room.
func TestColdServersTakeGrowingShare(t *testing.T) {
	const seeds = 3
	for _, share := range []float64{0.3, 0.45, 0.6} {
		var off, on unevenResult
		for seed := range uint64(seeds) {
			a, _ := playUneven(t, coldLoad(share), false, seed, 16*time.Second)
			b, _ := playUneven(t, coldLoad(share), true, seed, 16*time.Second)
			t.Logf("share %.2f, seed %d: off %v; on %v", share, seed, a, b)
			if a.Complete < a.Jobs || b.Complete < b.Jobs {
				t.Errorf("share %.2f, seed %d: jobs are not complete: off %v; on %v", share, seed, a, b)
			}
			off.Worth, on.Worth = off.Worth+a.Worth/seeds, on.Worth+b.Worth/seeds
			off.Mean, on.Mean = off.Mean+a.Mean/seeds, on.Mean+b.Mean/seeds
		}
		t.Logf("share %.2f: worth %.3f off, %.3f on, mean %v and %v", share, off.Worth, on.Worth, off.Mean, on.Mean)
		if on.Worth <= off.Worth || on.Mean >= off.Mean {
			t.Errorf("share %.2f: got worth %.3f at a mean of %v, want more than %.3f in less than %v", share, on.Worth, on.Mean, off.Worth, off.Mean)
		}
	}
}

// Guards against a cold server that keeps a task waiting which fits nowhere else.
func TestColdServersTakeWhatFitsNowhereElse(t *testing.T) {
	f := newFixture(t, 1)
	f.cell.settings.UnevenDemand = true
	cold := testServer("a")
	cold.ColdRemaining = time.Minute
	f.setUpServers(cold)
	step := oneTaskStep()
	step.Count, step.Need.MilliCPU = 4, 4000
	f.submit(testJob, step)
	if starts := f.takeStarts(); len(starts) != 4 {
		t.Errorf("got %d starts on the only server, want 4", len(starts))
	}
}

// Guards against a share that shrinks, exceeds the server, or stays small for ever.
func TestColdShareGrows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(DefaultSettings(), 1)
		c.now = Moment{Steady: time.Minute, Wall: time.Unix(1000, 0)}
		start := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "start"))
		remaining := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "remaining"))
		age := time.Duration(rapid.Int64Range(-int64(time.Hour), int64(2*time.Hour)).Draw(t, "age"))
		c.setCold([]QueueSettings{{Service: "s", Cold: ColdSettings{Start: start}}})
		s := testServer("a")
		s.ColdRemaining, s.Incarnation = remaining, c.now.Wall.Add(-age).UnixMilli()
		w := c.addWorker(s)
		c.listCold(w, s)
		last := -1.0
		for at := time.Minute; at <= time.Minute+time.Hour; at += time.Minute {
			share := w.cold.share(at)
			if share < last || share < 0 || share > 1 {
				t.Fatalf("share of %v at %v after %v", share, at, last)
			}
			last = share
		}
		if last < 1 {
			t.Fatalf("share of %v after an hour, want 1", last)
		}
	})
}

// Guards against a server that stays cold because its entry is listed again, and against
// a restarted one that counts as warm.
func TestColdTimeCountsFromItsFirstListing(t *testing.T) {
	f := newFixture(t, 1)
	f.cell.settings.UnevenDemand = true
	cold := testServer("a")
	cold.ColdRemaining = 4 * time.Second
	f.setUpServers(cold)
	w := f.cell.workers["a"]
	until := w.cold.until
	f.advance(2 * time.Second)
	cold.Labels = []string{"b", "r1"}
	f.handle(ServerListed{Server: cold})
	if w.cold.until != until {
		t.Errorf("cold until %v after the entry is listed again, want %v", w.cold.until, until)
	}
	f.advance(3 * time.Second)
	if share := w.cold.share(f.now); share != 1 {
		t.Errorf("share of %v after its time, want 1", share)
	}
	cold.Incarnation = 2
	f.handle(ServerListed{Server: cold})
	if share := w.cold.share(f.now); share != 0 {
		t.Errorf("share of %v after a restart, want 0", share)
	}
	f.advance(5 * time.Second)
	f.handle(QueuesChanged{Queues: []QueueSettings{{Name: "q", Service: "s", Cold: ColdSettings{Start: 2 * time.Second}}}})
	cold.Incarnation = f.moment().Wall.Add(time.Hour).UnixMilli() // by a clock that is ahead
	for range 10 {
		f.handle(ServerListed{Server: cold})
		f.advance(time.Second)
	}
	if share := w.cold.share(f.now); share != 1 {
		t.Errorf("share of %v of a server whose clock is ahead, want 1", share)
	}
}

// Guards against a takeover that counts all servers of a service as just started.
func TestTakeoverKeepsWarmServersWarm(t *testing.T) {
	f := newFixture(t, 2)
	f.cell.settings.UnevenDemand = true
	f.handle(QueuesChanged{Queues: []QueueSettings{{Name: "q", Service: "s", Cold: ColdSettings{Start: 10 * time.Second}}}})
	for id, age := range map[fleet.BackendServerID]time.Duration{"a": time.Hour, "b": 4 * time.Second} {
		s := testServer(id)
		s.Incarnation = f.moment().Wall.Add(-age).UnixMilli()
		f.handle(ServerListed{Server: s})
	}
	f.handle(ServerListRead{})
	if share := f.cell.workers["a"].cold.share(f.now); share != 1 {
		t.Errorf("share of %v of a server that started an hour ago, want 1", share)
	}
	if share := f.cell.workers["b"].cold.share(f.now); math.Abs(share-0.4) > 0.01 {
		t.Errorf("share of %v of a server that started 4 s ago, want 0.4", share)
	}
}
