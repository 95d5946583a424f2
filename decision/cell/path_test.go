package cell

import (
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// Guards against issuing starts faster than they can be sent: behind a thousand of
// them, the most urgent work waits for seconds (LOST, asante-sockyard-grown
// trouble-1).
func TestUnansweredStartsAreBounded(t *testing.T) {
	f := newFixture(t, 1)
	servers := make([]Server, 40)
	for i := range servers {
		servers[i] = testServer(fleet.BackendServerID("s" + string(rune('A'+i))))
		servers[i].DataCentre = fleet.DataCentre(string(rune('a' + i%4))) // the path to each carries fewer
	}
	f.setUpServers(servers...)
	many := oneTaskStep()
	many.Count, many.Need = 3*maxUnansweredCalls, fleet.Resources{MilliCPU: 100, MemoryMiB: 10}
	f.submit(testJob, many)
	starts := takeActions[Start](f)
	if len(starts) != maxUnansweredCalls {
		t.Fatalf("got %d unanswered starts, want %d", len(starts), maxUnansweredCalls)
	}
	f.acceptStart(starts[0])
	if next := takeActions[Start](f); len(next) != 1 {
		t.Fatalf("got %d starts after one answer, want 1", len(next))
	}
}

// Guards against starts that are sent into a link that carries no more, where it is not
// known whether they have run, and against a gang that is held back in part.
func TestNarrowPathHoldsStartsBack(t *testing.T) {
	f := newFixture(t, 1)
	servers := make([]Server, 20)
	for i := range servers {
		servers[i] = testServer(fleet.BackendServerID(rune('a' + i)))
		servers[i].DataCentre = "narrow"
	}
	f.setUpServers(servers...)
	path := f.cell.dataCentres["narrow"].path
	for range 20 {
		f.now += time.Second
		path.Answered(f.now, f.now-10*time.Millisecond) // the path without a queue
		path.Lost(f.now, f.now)
	}
	step := job.Step{Count: 100, Need: fleet.Resources{MilliCPU: 1000, MemoryMiB: 100}, Estimate: time.Second}
	f.submit(testJob, step)
	starts := takeActions[Start](f)
	if len(starts) != path.Limit() || path.Limit() >= 48 {
		t.Fatalf("got %d starts on a path with a limit of %d, want as many, and fewer than on a new path", len(starts), path.Limit())
	}
	if waiting := f.cell.Stats().WaitingTasks; waiting != step.Count-len(starts) {
		t.Errorf("got %d waiting tasks, want %d", waiting, step.Count-len(starts))
	}
	gang := job.Step{Count: 12, Gang: true, Need: step.Need, Estimate: time.Second}
	f.submit("00000000000000bb", gang)
	if members := takeActions[Start](f); len(members) != gang.Count {
		t.Errorf("got starts of %d members of a gang, want all %d", len(members), gang.Count)
	}
}

// Guards against sound workers that get no start because hundreds of others are silent.
func TestSilentWorkersLeaveStartsToSoundOnes(t *testing.T) {
	f := newUnresponsiveRegion(t, 0, 200)
	f.run(2 * time.Second)
	for _, w := range f.cell.sortedWorkers {
		if f.far(w.server.ID) {
			w.answers.missing = true
			w.answers.stopSent(f.now)
		}
	}
	f.silent = true
	f.submit(testJob, smallTasks(10))
	f.run(100 * time.Millisecond)
	if len(f.accepted) != 10 {
		t.Errorf("got %d tasks started beside 200 silent workers after 100ms, want 10", len(f.accepted))
	}
}
