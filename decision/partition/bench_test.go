package partition

import (
	"fmt"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// steadyLoad drives partitions in a steadyLoad state: each step submits one request
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
func newSteadyLoad(parts, servers int, full bool) *steadyLoad {
	p := &steadyLoad{now: start}
	slots := servers * slotsPerServer
	inFlight := slots / 2
	if full {
		inFlight = slots + 100
	}
	for part := range parts {
		var list []fleet.BackendServer
		for i := range servers {
			list = append(list, fleet.BackendServer{
				ID:       fleet.BackendServerID(fmt.Sprint(part, "-", i)),
				Capacity: fleet.Resources{Slots: slotsPerServer, MilliCPU: 64_000, MemoryMiB: 250_000},
			})
		}
		s := New(p.now, list, misdeclaredConfiguration)
		for _, b := range list {
			s.Report(p.now.Add(1), Usage{Server: b.ID, SampledAt: p.now.Add(1)}, nil)
		}
		p.partitions = append(p.partitions, steadyPartition{state: s, ring: make([]Completion, slots+1)})
	}
	for i := range 4 * inFlight * parts {
		p.work = append(p.work, Work{
			ID: fleet.RequestID(fmt.Sprint("request-", i)), Service: "planner", Operation: "short", Class: fleet.Urgent,
		})
	}
	for range inFlight * parts {
		p.submit()
	}
	for range 8 * inFlight * parts {
		p.step()
	}
	return p
}

func (p *steadyLoad) submit() *steadyPartition {
	w := p.work[p.submitted%len(p.work)]
	w.Deadline = p.now.Add(30 * time.Second)
	part := &p.partitions[p.submitted%len(p.partitions)]
	p.submitted++
	part.recordRuns(part.state.Submit(p.now, w, p.out[:0]))
	return part
}

func (p *steadyLoad) step() {
	p.now = p.now.Add(100 * time.Microsecond)
	part := p.submit()
	c := part.ring[part.head]
	part.head = (part.head + 1) % len(part.ring)
	part.count--
	part.recordRuns(part.state.Complete(p.now, c, p.out[:0]))
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

// Guards against allocation for each decision in the steady state.
func TestTargetNoAllocationInTheSteadyState(t *testing.T) {
	for _, full := range []bool{false, true} {
		p := newSteadyLoad(1, 65, full)
		p.out = make([]Action, 0, 16)
		if n := testing.AllocsPerRun(10_000, p.step); n != 0 {
			t.Errorf("full %v: %v allocations for a submission and a completion", full, n)
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

// BenchmarkDecisionByShare measures the cost up to a holder's share of all
// 5,400 servers: as racks of 10, as they are held, and as one partition.
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

func benchmarkDecisions(b *testing.B, p *steadyLoad) {
	p.out = make([]Action, 0, 16)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		p.step()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(2*b.N), "ns/decision")
}
