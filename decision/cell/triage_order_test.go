package cell

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// checkWorkDone compares the work done of each occurrence with its tasks that are done.
func (h *history) checkWorkDone() {
	for id, j := range h.cell.jobs {
		for _, o := range j.occurrences {
			work := 0.0
			for _, s := range o.steps {
				work += float64(s.done) * taskWork(s.spec)
			}
			if math.Abs(work-o.doneWork) > 1e-6 {
				h.t.Errorf("job %s: %v core-seconds are done, want %v", id, o.doneWork, work)
			}
		}
	}
}

// checkOrder compares the order of the waiting steps without triage by cost with the
// former comparison of the fields.
func (h *history) checkOrder() {
	c := h.cell
	if c.settings.TriageByCost {
		return
	}
	want := slices.Clone(c.ready)
	c.crowdingMeasured = false
	slices.SortStableFunc(want, c.referenceOrder)
	h.reordered += len(want)
	c.orderSteps()
	if !slices.Equal(c.ready, want) {
		h.t.Errorf("at %v: %d steps are not in the former order", h.now, len(want))
	}
}

// overloads are shares of the capacity that short and batch jobs need together, before
// and during a burst.
var overloads = []struct{ short, batch, burst float64 }{{0.2, 1.5, 1.5}, {0.8, 0.4, 1}}

// Guards against an order that serves callers worse than the one by priority when there
// is too little room: in worth, in urgent jobs, or in the largest jobs (SHORT).
func TestOrderByCostServesMoreUnderOverload(t *testing.T) {
	for _, load := range overloads {
		worthOff, worthOn, inTimeOff, inTimeOn := 0.0, 0.0, 0, 0
		var batch []*crowdedJob
		for seed := range uint64(2) {
			off, on := playBoth(t, seed, func(l *triageLoad) {
				l.play(8*time.Second, load.short, load.batch)
				l.play(5*time.Second, load.short, load.burst)
				l.play(12*time.Second, load.short, load.batch)
				l.run(30 * time.Second)
			})
			offResults, worth := off.results()
			worthOff += worth
			onResults, worth := on.results()
			worthOn += worth
			if offResults[0].inTime-onResults[0].inTime > offResults[0].jobs/50 {
				t.Errorf("%+v: %d urgent jobs in time by cost, %d by priority, want no fewer but one in 50", load, onResults[0].inTime, offResults[0].inTime)
			}
			inTimeOff, inTimeOn = inTimeOff+offResults[2].inTime, inTimeOn+onResults[2].inTime
			for _, j := range on.all {
				if j.kind.priority > 0 {
					batch = append(batch, j.crowdedJob)
				}
			}
		}
		if worthOn < worthOff || inTimeOn < inTimeOff {
			t.Errorf("%+v: worth %.1f and %d batch jobs in time by cost, %.1f and %d by priority, want no less", load, worthOn, inTimeOn, worthOff, inTimeOff)
		}
		slices.SortFunc(batch, func(a, b *crowdedJob) int { return cmp.Compare(a.work, b.work) })
		checkLargeJobsAreServed(t, batch)
	}
}

// Guards against triage by cost that serves the largest urgent jobs less than half as
// often as all (SHORT), beside long-running tasks and under overload.
func TestLargeUrgentJobsAreServedByCost(t *testing.T) {
	checkLargeJobsAreServed(t, playCrowdedServices(t, 8, 1.05, 0.04, true))
	checkLargeJobsAreServed(t, playCrowdedServices(t, 1, 0, 1.7, true))
}

// starvingFixture has one server, which a stream of jobs in time takes, and a job that
// has been of no use since it was accepted.
type starvingFixture struct {
	*fixture
	running map[fleet.BackendServerID]Start
	jobs    int
	ends    int64
}

func newStarvingFixture(t *testing.T, byCost bool) *starvingFixture {
	f := &starvingFixture{fixture: newFixture(t, 1)}
	f.cell.settings.TriageByCost = byCost
	f.setUpServers(testServer("a"))
	f.next()
	return f
}

// next ends the running job, submits two others and returns the job that starts.
func (f *starvingFixture) next() fleet.JobID {
	for range 2 {
		f.jobs++
		f.submit(fleet.JobID(fmt.Sprintf("%016x", 0xb00+f.jobs)), oneTaskStep())
	}
	var ends []FinishedRow
	if last, runs := f.running["a"]; runs {
		f.ends++
		ends = []FinishedRow{{Number: f.ends, Task: last.Task, Attempt: last.Attempt, End: job.EndDone}}
	}
	f.answerHolds(nil, map[fleet.BackendServerID][]FinishedRow{"a": ends})
	starts := f.takeStarts()
	if len(starts) != 1 {
		return ""
	}
	f.acceptStart(starts[0])
	f.running = map[fleet.BackendServerID]Start{"a": starts[0]}
	return starts[0].Task.Job
}

// Guards against work of no use that never starts while there is too little room.
func TestStarvingWorkTakesItsTurn(t *testing.T) {
	// The job of no use expires 9 s after its submission.
	const bound = 9*time.Second + starveAfter + 5*time.Second
	for _, byCost := range []bool{true, false} {
		f := newStarvingFixture(t, byCost)
		f.submit(testJob, oneTaskStep())
		f.advance(10 * time.Second) // until it has expired
		startedAt, turns := time.Duration(0), 0
		for f.now < 2*bound {
			f.advance(time.Second)
			id := f.next()
			if id == testJob {
				startedAt = f.now
			}
			if j := f.cell.jobs[id]; j != nil && f.now-j.acceptedAt > 10*time.Second {
				turns++
			}
		}
		if byCost && (startedAt == 0 || startedAt > bound) {
			t.Errorf("the job that has expired started at %v, want a start before %v", startedAt, bound)
		}
		if !byCost && startedAt > 0 {
			t.Errorf("the job that has expired started at %v with the order by priority, which has no turns: the test shows nothing", startedAt)
		}
		// A task of 9 core-seconds is starvingShare of the 16 cores for 28 s.
		if most := 1 + int(2*bound/(28*time.Second)); turns > most {
			t.Errorf("%d of %d starts went to jobs that had expired, want at most %d", turns, f.jobs/2, most)
		}
	}
}

// Guards against a new holder that lets work of no use wait anew, so that takeovers in a
// series keep it waiting, and against one that forgets which jobs are nearly complete.
func TestOrderByCostAfterTakeover(t *testing.T) {
	const fresh, begun, expired fleet.JobID = "00000000000000a1", "00000000000000a2", "00000000000000a3"
	step := job.Step{Count: 8, Need: fleet.Resources{MilliCPU: 9000, MemoryMiB: 100}, Estimate: time.Second}
	accepted := time.Unix(1000, 0)
	records := []Record{
		{Key: jobKey(expired), Job: &JobRecord{Job: job.Job{ID: expired, Queue: "q", Steps: []job.Step{oneTaskStep()}}, Accepted: accepted.Add(-time.Minute)}},
		{Key: jobKey(fresh), Job: &JobRecord{Job: job.Job{ID: fresh, Queue: "q", Steps: []job.Step{step}}, Accepted: accepted}},
		{Key: jobKey(begun), Job: &JobRecord{Job: job.Job{ID: begun, Queue: "q", Steps: []job.Step{step}}, Accepted: accepted.Add(time.Second)}},
	}
	progress := ProgressRecord{Started: true, Occurrences: []OccurrenceProgress{{}}}
	for i := range 6 {
		progress.Occurrences[0].Tasks = append(progress.Occurrences[0].Tasks, TaskProgress{Index: i, Done: true})
	}
	records = append(records, Record{Key: progressKey(begun), Progress: &progress})
	for _, id := range []fleet.BackendServerID{"a", "b"} {
		server := testServer(id)
		records = append(records, Record{Key: serverKey(id), Server: &server})
	}
	f := newFixture(t, 2, records...)
	f.cell.settings.TriageByCost = true
	f.handle(QueuesChanged{Queues: []QueueSettings{{Name: "q", Service: "s", Priority: 2, SlackFactor: 2, TargetLatency: time.Second}}})
	f.handle(ServerListed{Server: testServer("a")})
	f.handle(ServerListed{Server: testServer("b")})
	f.handle(ServerListRead{})
	f.answerHolds(nil, nil)
	f.handle(Tick{})
	var started []fleet.JobID
	for _, s := range f.takeStarts() {
		started = append(started, s.Task.Job)
	}
	if want := []fleet.JobID{expired, begun}; !slices.Equal(started, want) {
		t.Errorf("got starts of %v after the takeover, want %v: one that has starved, then one that is nearly complete", started, want)
	}
}

// Guards against a lost run of a nearly complete job that waits behind jobs that have
// just begun: its caller would lose the work of all its other tasks.
func TestLostRunOfNearlyCompleteJobRestartsFirst(t *testing.T) {
	const nearly, fresh fleet.JobID = "00000000000000b2", "00000000000000a1"
	for _, byCost := range []bool{false, true} {
		f := newFixture(t, 1)
		f.cell.settings.TriageByCost = byCost
		f.setUpServers(testServer("a"))
		f.handle(QueuesChanged{Queues: []QueueSettings{{Name: "q", Service: "s", Priority: 2, SlackFactor: 2, TargetLatency: time.Second}}})
		step := oneTaskStep()
		step.Count = 8
		f.submit(nearly, step)
		var last Start
		for n := int64(1); n <= 8; n++ {
			starts := f.takeStarts()
			if len(starts) != 1 {
				t.Fatalf("got starts %+v, want one", starts)
			}
			last = starts[0]
			f.acceptStart(last)
			end := job.EndDone
			if n == 8 { // the last run fails
				end = job.EndFailed
				f.submit(fresh, step)
				f.cell.jobs[fresh].occurrences[0].dueAt -= time.Second // its objective is earlier
			}
			f.answerHolds(nil, map[fleet.BackendServerID][]FinishedRow{"a": {{Number: n, Task: last.Task, Attempt: last.Attempt, End: end}}})
		}
		if starts := f.takeStarts(); len(starts) != 1 || (starts[0].Task == last.Task) != byCost {
			t.Errorf("by cost %v: got starts %+v after the loss of %v", byCost, starts, last.Task)
		}
	}
}
