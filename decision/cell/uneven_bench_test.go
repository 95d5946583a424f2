package cell

import (
	"fmt"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// newUnevenBenchFixture returns a fixture with UnevenDemand and servers of two sizes, of
// which some are cold, in racks of eight. Tasks of benchRackTime fill rack 1.
func newUnevenBenchFixture(workers int) *fixture {
	f := &fixture{cell: New(DefaultSettings(), 1), now: time.Second, records: map[Key]Record{}}
	f.cell.settings.UnevenDemand = true
	f.configureQueue()
	for i := range workers {
		s := testServer(fleet.BackendServerID(fmt.Sprintf("s-%04d", i)))
		s.Labels = []string{"a", fmt.Sprintf("rack-%d", i/8)}
		if i%3 == 2 {
			s.Capacity.MilliCPU = 24000
		}
		if i%5 == 4 {
			s.ColdRemaining = time.Hour
		}
		f.handle(ServerListed{Server: s})
	}
	f.handle(ServerListRead{})
	f.answerHolds(nil, nil)
	f.handle(Tick{})
	fill := job.Step{Count: 300, Need: fleet.Resources{MilliCPU: 1000, MemoryMiB: 10}, Estimate: benchRackTime, DataRack: "rack-1", Speculative: true}
	f.submit("000000000000c001", fill)
	f.acceptAllStarts()
	for _, w := range f.cell.sortedWorkers {
		for _, r := range w.runsInOrder {
			r.percent = 0
		}
	}
	f.actions = nil
	return f
}

// benchRackTime leaves room in the rack in time for tasks of the same length.
const benchRackTime = time.Second

// BenchmarkUnevenStartsOfStep is BenchmarkStartsOfStep on servers of two sizes, some of
// them cold, without and with UnevenDemand, and with the data in a rack that has room.
func BenchmarkUnevenStartsOfStep(b *testing.B) {
	const tasks = 20
	for _, workers := range []int{50, 500, 5400} {
		f := newUnevenBenchFixture(workers)
		for _, v := range []struct {
			uneven bool
			rack   string
		}{{false, ""}, {true, ""}, {true, "rack-2"}} {
			b.Run(fmt.Sprintf("workers=%d/uneven=%t/rack=%s", workers, v.uneven, v.rack), func(b *testing.B) {
				f.cell.settings.UnevenDemand = v.uneven
				step := job.Step{Count: tasks, Need: fleet.Resources{MilliCPU: 100, MemoryMiB: 10}, Estimate: time.Second, DataRack: v.rack}
				j := &jobState{job: job.Job{ID: "000000000000d001", Queue: "q", Steps: []job.Step{step}}, stored: true, completed: map[int]bool{}, occurrences: map[int]*occurrence{}}
				s := f.cell.newOccurrence(j, 0).steps[0]
				for b.Loop() {
					for n := range s.tasks {
						s.waiting = append(s.waiting, n)
					}
					f.cell.startTasks(s)
					if len(s.waiting) > 0 {
						b.Fatalf("got %d tasks without a worker, want none", len(s.waiting))
					}
					for _, t := range s.tasks {
						f.cell.removeRun(t.runs[0])
					}
					f.cell.actions = f.cell.actions[:0]
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tasks), "ns/start")
			})
		}
	}
}

// BenchmarkTasksThatAwaitRack measures a scheduling pass in which 500 tasks want a full
// rack, and the tick that searches for runs that are worth a copy.
func BenchmarkTasksThatAwaitRack(b *testing.B) {
	for _, workers := range []int{350, 5400} {
		f := newUnevenBenchFixture(workers)
		f.cell.settings.RemoteFactor = 11
		for i := range 50 {
			step := job.Step{Count: 10, Need: fleet.Resources{MilliCPU: 2000, MemoryMiB: 10}, Estimate: 200 * time.Millisecond, DataRack: "rack-1"}
			f.submit(fleet.JobID(fmt.Sprintf("000000000000b%03d", i)), step)
		}
		f.acceptAllStarts()
		b.Run(fmt.Sprintf("workers=%d/pass", workers), func(b *testing.B) {
			for b.Loop() {
				f.cell.schedule()
				f.cell.actions = f.cell.actions[:0]
			}
			b.ReportMetric(float64(f.cell.racks.waiting), "tasks")
		})
		b.Run(fmt.Sprintf("workers=%d/copies", workers), func(b *testing.B) {
			for b.Loop() {
				f.cell.copiesSearchedAt = 0
				f.cell.startCopies()
				f.cell.actions = f.cell.actions[:0]
			}
		})
	}
}
