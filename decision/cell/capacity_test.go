package cell

import (
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// resize lists a server with a changed capacity.
func (f *fixture) resize(id fleet.BackendServerID, milliCPU, memoryMiB int64) {
	s := testServer(id)
	s.Capacity = fleet.Resources{MilliCPU: milliCPU, MemoryMiB: memoryMiB}
	f.handle(ServerListed{Server: s})
}

// Guards against a start on a server whose capacity has shrunk below what it would
// then run (LIMIT).
func TestShrunkCapacityAcceptsNoStart(t *testing.T) {
	small := fleet.Resources{MilliCPU: 4000, MemoryMiB: 1000}
	for _, c := range []struct {
		name      string
		milliCPU  int64 // of the server after it has shrunk
		memoryMiB int64
		change    func(f *fixture, running Start) // before the server shrinks
		step      job.Step
	}{
		{"the running task counts", 12000, 64000, nil, job.Step{Count: 1, Need: small}},
		{"the running task exceeds it", 5000, 64000, nil, job.Step{Count: 1, Need: fleet.Resources{MilliCPU: 1, MemoryMiB: 1}}},
		{"nothing is left", 0, 0, nil, job.Step{Count: 1, Need: fleet.Resources{MilliCPU: 1, MemoryMiB: 1}}},
		{"memory", 16000, 1500, nil, job.Step{Count: 1, Need: small}},
		{"memory for best-effort tasks", 16000, 1500, nil, bestEffortStep("image", 4000)},
		{"the stopping task counts", 12000, 64000, func(f *fixture, _ Start) { f.handle(CancelRequested{Token: 2, Queue: "q", ID: testJob}) }, job.Step{Count: 1, Need: small}},
		{"the start without an answer counts", 12000, 64000, func(f *fixture, _ Start) {
			f.submit("00000000000000b8", job.Step{Count: 1, Need: fleet.Resources{MilliCPU: 3000, MemoryMiB: 100}})
			s := takeActions[Start](f)[0]
			f.handle(StartAnswered{Server: s.Server, Task: s.Task, Attempt: s.Attempt, Outcome: StartUnknown, Sent: f.now})
		}, job.Step{Count: 1, Need: fleet.Resources{MilliCPU: 1000, MemoryMiB: 100}}},
		{"gang", 14000, 64000, nil, job.Step{Count: 2, Need: fleet.Resources{MilliCPU: 3000, MemoryMiB: 100}, Gang: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.setUpServers(testServer("a"))
			f.submit(testJob, oneTaskStep())
			start := takeActions[Start](f)[0]
			f.acceptStart(start)
			running := map[fleet.BackendServerID][]RunningRow{"a": {{Task: start.Task, Attempt: start.Attempt, Percent: 10}}}
			if c.change != nil {
				c.change(f, start)
			}
			f.resize("a", c.milliCPU, c.memoryMiB)
			f.submit("00000000000000b9", c.step)
			for range 10 {
				f.answerHolds(running, nil)
				f.advance(100 * time.Millisecond)
			}
			if starts := takeActions[Start](f); len(starts) != 0 {
				t.Errorf("got starts %+v beside a task of 9 cores and 1000 MiB on a server that has shrunk to %d milli-CPU and %d MiB, want none", starts, c.milliCPU, c.memoryMiB)
			}
		})
	}
}

// Guards against capacity that stays unused after a server has grown again.
func TestGrownCapacityIsUsedAtOnce(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	f.resize("a", 2000, 64000)
	f.submit(testJob, oneTaskStep())
	f.advance(10 * time.Second)
	f.answerHolds(nil, nil)
	if starts := takeActions[Start](f); len(starts) != 0 {
		t.Fatalf("got starts %+v on a server that has shrunk to 2 cores, want none", starts)
	}
	f.resize("a", 16000, 64000)
	if starts := takeActions[Start](f); len(starts) != 1 {
		t.Errorf("got starts %+v when the server has grown again, want one", starts)
	}
}

// Guards against preemptions that free no room on a server that has shrunk, and
// against more of them than needed because such a server counts against the room on
// others.
func TestShrunkCapacityIsNeverCountedAsRoom(t *testing.T) {
	const leaving fleet.JobID = "00000000000000c9"
	for _, c := range []struct {
		name     string
		count    int // of waiting tasks of 4 cores
		milliCPU int64
		shrunk   int // number of servers that shrink
		stops    int
	}{
		{"no server has room after one stop", 1, 8000, 20, 0},
		{"every server has room after one stop", 1, 12000, 20, 1},
		{"one server is far over its capacity", 2, 0, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 1)
			ids := serverIDs(20)
			var servers []Server
			for _, id := range ids {
				servers = append(servers, testServer(id))
			}
			f.setUpServers(servers...)
			f.submit(leaving, longRunningStep(1))
			first := takeActions[Start](f)[0]
			f.acceptStart(first)
			running := f.fillWithLongRunning(longRunningStep(39))
			running[first.Server] = append(running[first.Server], RunningRow{Task: first.Task, Attempt: first.Attempt, Percent: fullSpeed})
			f.advance(100 * time.Millisecond)
			f.answerHolds(running, nil)
			f.resize(first.Server, c.milliCPU, 64000)
			for _, id := range ids {
				if id != first.Server && c.shrunk == len(ids) {
					f.resize(id, c.milliCPU, 64000)
				}
			}
			if c.shrunk == 1 { // a task is being stopped there
				f.handle(CancelRequested{Token: 2, Queue: "q", ID: leaving})
			}
			f.submit("00000000000000b1", job.Step{Count: c.count, Need: fleet.Resources{MilliCPU: 4000, MemoryMiB: 1000}, Estimate: time.Second})
			f.advance(preemptAfter + preemptRetry + 4*preemptInterval)
			stopped := map[job.TaskRef]bool{} // stops without an answer are repeated
			for _, s := range takeActions[Stop](f) {
				if c.shrunk != 1 || s.Task.Job != leaving {
					stopped[s.Task] = true
				}
			}
			if len(stopped) != c.stops {
				t.Errorf("got stops of %v, want %d", stopped, c.stops)
			}
		})
	}
}

// Guards against starts by the recorded capacity of a server that has shrunk since an
// earlier holder recorded it (LIMIT).
func TestTakeoverUsesListedCapacity(t *testing.T) {
	f := newFixture(t, 2, restoredRecords(oneTaskStep(), testServer("a"))...)
	f.configureQueue()
	f.handle(ServerListRead{})
	f.answerHolds(nil, nil)
	f.advance(100 * time.Millisecond)
	f.resize("a", 8000, 64000)
	f.answerHolds(nil, nil)
	f.advance(time.Second)
	if starts := takeActions[Start](f); len(starts) != 0 {
		t.Errorf("got starts %+v on a server that is listed with 8 cores, want none", starts)
	}
}

// Guards against estimates without bound, and orders of speeds outside 0 to 100 %,
// when a server with serving and best-effort tasks has no capacity for a while.
func TestShrunkCapacityKeepsEstimatesBounded(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	f.submit("00000000000000b1", servingStep(1))
	serving := takeActions[Start](f)[0]
	f.acceptStart(serving)
	f.submit("00000000000000b2", bestEffortStep("unknown", 3000))
	bestEffort := takeActions[Start](f)[0]
	f.acceptStart(bestEffort)
	for n, milliCPU := range []int64{16000, 4000, 0, 1, 16000, 0, 16000} {
		f.resize("a", milliCPU, 64000)
		for i := range 20 {
			f.advance(100 * time.Millisecond)
			f.answerHolds(map[fleet.BackendServerID][]RunningRow{"a": {
				{Task: serving.Task, Attempt: serving.Attempt, Percent: fullSpeed, Measurement: 5 + (n+i)%30},
				{Task: bestEffort.Task, Attempt: bestEffort.Attempt, Percent: (20*n + i) % 100, Measurement: 3000},
			}}, nil)
			for _, a := range takeActions[Throttle](f) {
				if a.Percent < 0 || a.Percent > fullSpeed {
					t.Fatalf("got speed %d %% at %d milli-CPU, want 0 to 100", a.Percent, milliCPU)
				}
				f.handle(ThrottleAnswered{Server: a.Server, Task: a.Task, Attempt: a.Attempt, Percent: a.Percent, OK: true})
			}
		}
		m := f.cell.interference
		if got := m.pressure(m.id("serving"), m.id("unknown")); !(got >= 0 && got <= maxPressure) {
			t.Fatalf("got pressure %v at %d milli-CPU, want 0 to %v", got, milliCPU, maxPressure)
		}
	}
}
