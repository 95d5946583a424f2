package cell

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// fieldOrder is the place of a step as cells computed and compared it before triage
// by cost. It is the measure of what the order may cost.
type fieldOrder struct {
	step                         *stepState
	priority, crowding, lateness int
	objectiveAt                  time.Duration
	hasOverdue                   bool
}

func (c *Cell) fieldOrderOf(s *stepState) fieldOrder {
	hasOverdue := c.hasOverdue(s)
	o := fieldOrder{
		step: s, priority: c.queueOf(s.occurrence.job).Priority, lateness: int(c.lateness(s)),
		objectiveAt: c.objectiveAt(s.occurrence), hasOverdue: hasOverdue,
	}
	if c.crowds(s, c.queueOf(s.occurrence.job).Service, hasOverdue) {
		o.crowding = 1
	}
	return o
}

func compareFields(a, b fieldOrder) int {
	return cmp.Or(
		cmp.Compare(a.priority, b.priority), cmp.Compare(a.crowding, b.crowding), cmp.Compare(a.lateness, b.lateness), cmp.Compare(a.objectiveAt, b.objectiveAt),
		strings.Compare(string(a.step.occurrence.job.job.ID), string(b.step.occurrence.job.job.ID)),
		cmp.Compare(a.step.occurrence.number, b.step.occurrence.number), cmp.Compare(a.step.index, b.step.index),
	)
}

// BenchmarkOrderOfWaitingSteps measures the places and the sort of 10,000 waiting
// steps by cost. Its metric x-fields is the time relative to the order as fields, and
// x-priority to that with the switch off; each is the least of alternating runs, as
// other processes of the machine disturb single ones.
func BenchmarkOrderOfWaitingSteps(b *testing.B) {
	const steps = 10000
	f := newBenchFixture(66)
	f.handle(QueuesChanged{Queues: []QueueSettings{{Name: "q", Service: "s", Priority: 2, SlackFactor: 2, TargetLatency: time.Second}}})
	for i := range steps {
		step := benchWaitingStep()
		step.Count, step.Estimate = 1+i*7919%40, time.Duration(1+i*104729%5)*time.Second
		id := fleet.JobID(fmt.Sprintf("%016x", 0xb00000+i))
		f.cell.Handle(f.moment(), Submitted{Token: 1, Job: job.Job{ID: id, Queue: "q", Steps: []job.Step{step}}})
	}
	batch, _ := f.cell.TakeBatch()
	f.cell.Handle(f.moment(), Committed{Batch: batch.Number})
	fields := make([]fieldOrder, 0, steps)
	orders := []func(){
		func() {
			fields = fields[:0]
			for _, s := range f.cell.ready {
				fields = append(fields, f.cell.fieldOrderOf(s))
			}
			slices.SortStableFunc(fields, compareFields)
		},
		func() {
			f.cell.settings.TriageByCost = false
			f.cell.orderSteps()
		},
		func() {
			f.cell.settings.TriageByCost = true
			f.cell.orderSteps()
		},
	}
	initial := slices.Clone(f.cell.ready)
	least := [3]time.Duration{math.MaxInt64, math.MaxInt64, math.MaxInt64}
	for b.Loop() {
		for i, order := range orders {
			copy(f.cell.ready, initial)
			began := time.Now()
			order()
			least[i] = min(least[i], time.Since(began))
		}
	}
	b.ReportMetric(float64(least[2].Nanoseconds())/steps, "ns/step")
	b.ReportMetric(float64(least[2])/float64(least[0]), "x-fields")
	b.ReportMetric(float64(least[2])/float64(least[1]), "x-priority")
}

// BenchmarkCheapestVictim measures the search for the run whose stop costs least, which
// is made as often as that of BenchmarkPreemptionVictim.
func BenchmarkCheapestVictim(b *testing.B) {
	for _, workers := range []int{66, 350, 1000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			f := newCrowdedBenchFixture(workers, 1)
			f.cell.settings.TriageByCost = true
			f.submit("000000000000b001", benchWaitingStep())
			s := f.cell.jobs["000000000000b001"].occurrences[0].steps[0]
			waiting, _ := f.cell.workOfStep(s)
			for b.Loop() {
				if victim, _ := f.cell.cheapestVictim(s.tasks[0], waiting); victim == nil {
					b.Fatal("no long-running task can be stopped")
				}
			}
		})
	}
}

// BenchmarkStart measures the start of each task of a step in a scheduling pass, with
// the order by priority and by cost. Its metric ns/start is the cost of a decision.
func BenchmarkStart(b *testing.B) {
	const tasks = 64 // fewer than maxUnansweredCalls
	for _, workers := range []int{50, 5400} {
		for _, byCost := range []bool{false, true} {
			b.Run(fmt.Sprintf("workers=%d/by-cost=%v", workers, byCost), func(b *testing.B) {
				f := newBenchFixture(workers)
				f.cell.settings.TriageByCost = byCost
				step := oneTaskStep()
				step.Count, step.Need.MilliCPU = tasks, 100
				n, spent, starts := 0, time.Duration(0), 0
				for b.Loop() {
					n++
					f.now += time.Second
					id := fleet.JobID(fmt.Sprintf("%016x", 1<<33+n))
					f.cell.Handle(f.moment(), Submitted{Token: 1, Job: job.Job{ID: id, Queue: "q", Steps: []job.Step{step}}})
					batch, _ := f.cell.TakeBatch()
					f.cell.Handle(f.moment(), Committed{Batch: batch.Number})
					began := time.Now()
					f.cell.schedule()
					spent += time.Since(began)
					for _, t := range f.cell.jobs[id].occurrences[0].steps[0].tasks {
						for _, r := range slices.Clone(t.runs) {
							starts++
							f.cell.removeRun(r)
						}
					}
					f.cell.endJob(f.cell.jobs[id])
					delete(f.cell.jobs, id)
					f.cell.actions = nil
				}
				b.ReportMetric(float64(spent.Nanoseconds())/float64(max(1, starts)), "ns/start")
				b.ReportMetric(float64(starts)/float64(n), "starts")
			})
		}
	}
}
