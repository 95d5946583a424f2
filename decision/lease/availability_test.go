package lease

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

const (
	// settleTime is the time after which every partition of a new region is held.
	settleTime = 30 * time.Second
	// The target size: 540 partitions over 5 regions, 7 members per region.
	targetPartitions = 108
	targetMembers    = 7
)

func (sim *simulation) heldShare() float64 {
	held := 0
	for _, p := range sim.partitions {
		held += len(sim.holders(p))
	}
	return float64(held) / float64(len(sim.partitions))
}

// Guards against a takeover of a killed member that lasts 10 s or more while the
// log is up. A takeover lasts longer if promises to the member are in force, because
// they end only ListConvergence after it has left the list. In a healthy region no
// promises are in force.
func TestTakeoverOfKilledMember(t *testing.T) {
	for _, slow := range []float64{0, 0.01} {
		var times, withPromises []time.Duration
		for seed := range uint64(60) {
			took, promisesActive := takeover(t, seed, slow)
			if promisesActive {
				withPromises = append(withPromises, took)
			} else {
				times = append(times, took)
			}
		}
		slices.Sort(times)
		n := len(times)
		t.Logf("%.0f%% of messages and reads slow: %d takeovers: min %v, median %v, p90 %v, max %v; of members with promises: %v",
			100*slow, n, times[0], times[n/2], times[n*9/10], times[n-1], withPromises)
		if times[n-1] >= 10*time.Second || (slow == 0 && len(withPromises) > 0) {
			t.Errorf("longest takeover took %v, want under 10 s; %d takeovers with active promises, want 0 without slow messages", times[n-1], len(withPromises))
		}
	}
}

// takeover returns the time until the partitions of a killed member are held by
// others, and whether promises to it were active.
func takeover(t *testing.T, seed uint64, slowShare float64) (time.Duration, bool) {
	sim := newSimulation(seed, targetMembers, 16)
	sim.slowShare, sim.appendFaultShare = slowShare, slowShare
	sim.runTo(settleTime + sim.jitter(2*time.Second))
	victim := sim.nodes[0]
	for _, n := range sim.nodes {
		if len(n.member.own) > len(victim.member.own) {
			victim = n
		}
	}
	killed := sim.now
	sim.kill(victim)
	for sim.heldShare() < 1 && sim.now < killed+time.Minute {
		sim.runTo(sim.now + 20*time.Millisecond)
	}
	if sim.violation != "" {
		t.Fatal(sim.violation)
	}
	return sim.now - killed, victim.member.promisesActive
}

// Guards against leases that lapse during an hour's outage of the log, when promises
// must extend them.
func TestHourOfLogOutage(t *testing.T) {
	cases := []struct {
		name    string
		kill    time.Duration // relative to the start of the outage
		killed  bool
		atLeast float64 // minimum share of time that partitions are held
	}{
		{name: "all members alive", atLeast: 0.99},
		{name: "one killed 60 s before", killed: true, kill: -60 * time.Second, atLeast: 0.99},
		{name: "one killed 1 s before", killed: true, kill: -time.Second},
		{name: "one killed after 10 minutes", killed: true, kill: 10 * time.Minute, atLeast: 0.80},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(20261204, 5, 10)
			sim.slowShare, sim.appendFaultShare = 0.01, 0.01
			start := settleTime + time.Minute
			if c.killed {
				sim.after(start+c.kill, func() { sim.kill(sim.nodes[0]) })
			}
			sim.runTo(start)
			sim.logDown = true
			sum, samples := 0.0, 0
			for sim.now < start+time.Hour {
				sim.runTo(sim.now + 500*time.Millisecond)
				sum += sim.heldShare()
				samples++
			}
			share := sum / float64(samples)
			sim.logDown = false
			sim.runTo(sim.now + time.Minute)
			t.Logf("share of partitions held during the outage: %.4f; a minute after it: %.4f", share, sim.heldShare())
			if share < c.atLeast || sim.heldShare() < 1 || sim.violation != "" {
				t.Errorf("share held %.4f in and %.4f after the outage, want at least %.2f and 1; violation %q", share, sim.heldShare(), c.atLeast, sim.violation)
			}
		})
	}
}

func newSettledMember(b *testing.B) (*simulation, *Member) {
	return newSettledMemberWith(b, targetPartitions)
}

func newSettledMemberWith(b *testing.B, partitions int) (*simulation, *Member) {
	sim := newSimulation(1, targetMembers, partitions)
	sim.runTo(settleTime)
	if sim.heldShare() != 1 {
		b.Fatalf("share of partitions held after settleTime: %v, want 1", sim.heldShare())
	}
	return sim, sim.nodes[0].member
}

// BenchmarkFoldApply measures the application of one renewal at the target size.
func BenchmarkFoldApply(b *testing.B) {
	sim, m := newSettledMember(b)
	e := Entry{Offset: fleet.Offset(len(sim.log)), Record: Record{Kind: Renew, Member: sim.nodes[1].member.self}}
	b.ReportAllocs()
	for b.Loop() {
		e.Offset++
		m.fold.Apply(e, nil)
	}
}

// BenchmarkTick measures one tick at the target size with the log up.
func BenchmarkTick(b *testing.B) {
	sim, m := newSettledMember(b)
	now := sim.localTime(sim.nodes[0])
	b.ReportAllocs()
	for b.Loop() {
		m.Tick(now)
	}
}

// BenchmarkTickByPartitions measures one tick by the number of partitions of the
// region.
func BenchmarkTickByPartitions(b *testing.B) {
	for _, n := range []int{14, 54, 108, 216, 540} {
		b.Run(fmt.Sprintf("partitions=%d", n), func(b *testing.B) {
			sim, m := newSettledMemberWith(b, n)
			now := sim.localTime(sim.nodes[0])
			for b.Loop() {
				m.Tick(now)
			}
		})
	}
}

// BenchmarkHandleRecords measures the reading of one renewal at the target size.
func BenchmarkHandleRecords(b *testing.B) {
	sim, m := newSettledMember(b)
	now := sim.localTime(sim.nodes[0])
	entries := []Entry{{Offset: fleet.Offset(len(sim.log)), Record: Record{Kind: Renew, Member: sim.nodes[1].member.self}}}
	b.ReportAllocs()
	for b.Loop() {
		entries[0].Offset++
		m.HandleRecords(now, entries)
	}
}
