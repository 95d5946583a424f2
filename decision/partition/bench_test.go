package partition

import (
	"fmt"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// steadyLoad drives partitions in a steady state: each step submits one request
// and completes the oldest running one of the same partition.
type steadyLoad struct {
	partitions []steadyPartition
	work       []Work
	out        []Action
	now        time.Time
	submitted  int
}

type steadyPartition struct {
	state *State
	// ring holds the running requests, oldest at head.
	ring        []Completion
	head, count int
}

// newSteadyLoad builds partitions with half of the slots in use, or all of them
// with 100 waiting requests.
func newSteadyLoad(partitions, servers int, full bool) *steadyLoad {
	l := &steadyLoad{now: start}
	slots := servers * slotsPerServer
	inFlight := slots / 2
	if full {
		inFlight = slots + 100
	}
	for partition := range partitions {
		var list []fleet.BackendServer
		for i := range servers {
			list = append(list, fleet.BackendServer{
				ID:       fleet.BackendServerID(fmt.Sprint(partition, "-", i)),
				Capacity: fleet.Resources{Slots: slotsPerServer, MilliCPU: 64_000, MemoryMiB: 250_000},
			})
		}
		s := New(l.now, list, misdeclaredConfiguration)
		for _, b := range list {
			s.Report(l.now.Add(1), Usage{Server: b.ID, SampledAt: l.now.Add(1)}, nil)
		}
		l.partitions = append(l.partitions, steadyPartition{state: s, ring: make([]Completion, slots+1)})
	}
	for i := range 4 * inFlight * partitions {
		l.work = append(l.work, Work{
			ID: fleet.RequestID(fmt.Sprint("request-", i)), Service: "planner", Operation: "short", Class: fleet.Urgent,
		})
	}
	for range inFlight * partitions {
		l.submit()
	}
	for range 8 * inFlight * partitions {
		l.step()
	}
	return l
}

func (l *steadyLoad) submit() *steadyPartition {
	w := l.work[l.submitted%len(l.work)]
	w.Deadline = l.now.Add(30 * time.Second)
	partition := &l.partitions[l.submitted%len(l.partitions)]
	l.submitted++
	partition.recordRuns(partition.state.Submit(l.now, w, l.out[:0]))
	return partition
}

func (l *steadyLoad) step() {
	l.now = l.now.Add(100 * time.Microsecond)
	partition := l.submit()
	c := partition.ring[partition.head]
	partition.head = (partition.head + 1) % len(partition.ring)
	partition.count--
	partition.recordRuns(partition.state.Complete(l.now, c, l.out[:0]))
}

func (p *steadyPartition) recordRuns(out []Action) {
	for _, a := range out {
		if a.Kind == Run {
			p.ring[(p.head+p.count)%len(p.ring)] = Completion{
				ID: a.ID, Server: a.Server, Attempt: a.Attempt, Result: Succeeded, Duration: 50 * time.Millisecond, SlotReleased: true,
			}
			p.count++
		}
	}
}

// Guards against decisions that allocate memory in the steady state.
func TestTargetNoAllocationInTheSteadyState(t *testing.T) {
	for _, full := range []bool{false, true} {
		l := newSteadyLoad(1, 65, full)
		l.out = make([]Action, 0, 16)
		if n := testing.AllocsPerRun(10_000, l.step); n != 0 {
			t.Errorf("full %v: %v allocations for a submission and a completion, want none", full, n)
		}
	}
}

// BenchmarkDecision65 measures one decision (a submission or a completion) of
// a partition of 65 servers.
func BenchmarkDecision65(b *testing.B) {
	for _, full := range []bool{false, true} {
		b.Run(fmt.Sprintf("full=%v", full), func(b *testing.B) { benchmarkDecisions(b, newSteadyLoad(1, 65, full)) })
	}
}

// BenchmarkDecisionByShare measures the cost of one decision for up to all 5,400
// servers, both in partitions of 10 servers, as a holder has them, and in a
// single partition.
func BenchmarkDecisionByShare(b *testing.B) {
	for _, servers := range []int{10, 50, 160, 780, 5400} {
		b.Run(fmt.Sprintf("racks-of-10/servers=%d", servers), func(b *testing.B) {
			benchmarkDecisions(b, newSteadyLoad(servers/10, 10, false))
		})
	}
	for _, servers := range []int{10, 50, 160, 780, 5400} {
		b.Run(fmt.Sprintf("one-partition/servers=%d", servers), func(b *testing.B) {
			benchmarkDecisions(b, newSteadyLoad(1, servers, false))
		})
	}
}

func benchmarkDecisions(b *testing.B, l *steadyLoad) {
	l.out = make([]Action, 0, 16)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		l.step()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(2*b.N), "ns/decision")
}
