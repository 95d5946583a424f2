package cell

import (
	"fmt"
	"math"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// Guards against a rejection while bursts of a well-loaded cell pass, and against one
// with room free.
func TestBurstIsNotRejected(t *testing.T) {
	for seed := range uint64(3) {
		l := newTriageLoad(t, seed, true)
		l.play(8*time.Second, 0.1, 0.6)
		l.play(5*time.Second, 0.1, 2.6*0.6)
		l.play(12*time.Second, 0.1, 0.6)
		l.run(20 * time.Second)
		results, worth := l.results()
		t.Logf("seed %d: worth %.1f; priority 0 %v; priority 2 %v", seed, worth, results[0], results[2])
		if rejected := results[0].rejected + results[2].rejected; rejected > 0 {
			t.Errorf("seed %d: %d jobs were rejected in a burst of 2.6 times the batch load for 5 s at 0.7 of the capacity", seed, rejected)
		}
	}
}

// Guards against the rejection of jobs that would have completed in time, and against a
// cell that accepts everything under a flood.
func TestFloodRejectsOnlyWhatCannotBeServed(t *testing.T) {
	flood := func(l *triageLoad) {
		l.play(20*time.Second, 0.3, 9)
		l.run(40 * time.Second)
	}
	accepting := newTriageLoad(t, 1, true)
	accepting.cell.admission.measuredAt = math.MaxInt64 // no backlog is known
	flood(accepting)
	l := newTriageLoad(t, 1, true)
	flood(l)
	byPriority, worth := l.results()
	_, worthAccepting := accepting.results()
	t.Logf("worth %.1f, %.1f without rejections; priority 0 %v; priority 2 %v", worth, worthAccepting, byPriority[0], byPriority[2])
	wrong := 0
	for i, j := range l.all {
		if j.rejections > 0 && accepting.all[i].inTime() {
			wrong++
		}
	}
	if byPriority[2].rejected == 0 || byPriority[0].rejected > 0 {
		t.Errorf("%d batch and %d short jobs were rejected, want some batch jobs", byPriority[2].rejected, byPriority[0].rejected)
	}
	if wrong > 0 {
		t.Errorf("%d of %d jobs that were rejected complete in time when all are accepted", wrong, byPriority[2].rejected)
	}
}

// overloadedFixture has one server that a batch job takes, and a backlog of others.
func overloadedFixture(t *testing.T) *fixture {
	f := newFixture(t, 1)
	f.cell.settings.TriageByCost = true
	f.handle(QueuesChanged{Queues: []QueueSettings{
		{Name: "q", Service: "s", Priority: 2, SlackFactor: 2, TargetLatency: time.Second},
		{Name: "urgent", Service: "s", SlackFactor: 2, TargetLatency: time.Second},
	}})
	f.handle(ServerListed{Server: testServer("a")})
	f.handle(ServerListRead{})
	f.answerHolds(nil, nil)
	f.handle(Tick{})
	f.submit("0000000000000001", oneTaskStep())
	for _, s := range f.takeStarts() {
		f.acceptStart(s)
	}
	for end := f.now + minBacklog + time.Second; f.now < end; {
		f.backlog(6)
		f.advance(50 * time.Millisecond)
		f.answerHolds(map[fleet.BackendServerID][]RunningRow{"a": {{Task: job.TaskRef{Job: "0000000000000001"}, Attempt: 1, Percent: 50}}}, nil)
	}
	f.actions = nil
	return f
}

// backlog submits small jobs.
func (f *fixture) backlog(jobs int) {
	for range jobs {
		step := oneTaskStep()
		f.submit(fleet.JobID(fmt.Sprintf("%016x", 0xb0000000+f.cell.events)), step)
	}
}

// submitOverload submits a job that is larger than the others and returns the reply.
func (f *fixture) submitOverload(id fleet.JobID, queue job.Queue, longRunning bool) JobReply {
	f.actions = nil
	step := oneTaskStep()
	step.Count, step.LongRunning = 8, longRunning
	f.handle(Submitted{Token: 7, Job: job.Job{ID: id, Queue: queue, Steps: []job.Step{step}}})
	for _, r := range takeActions[Reply](f) {
		if r.Token == 7 {
			return r.Reply
		}
	}
	return JobReply{Verdict: Undetermined}
}

// Guards against an overload that rejects urgent or long-running jobs, jobs that were
// accepted before, or any job although a worker has room.
func TestOverloadRejectsNeitherUrgentNorLongRunningJobs(t *testing.T) {
	f := overloadedFixture(t)
	rejected := f.submitOverload("00000000000000c1", "q", false)
	if rejected.Verdict != NotStored || rejected.Reason != overloadReason || rejected.RetryAfter < time.Second || rejected.RetryAfter%time.Second != 0 {
		t.Fatalf("got %+v with a backlog of a hundred jobs, want a rejection with whole seconds", rejected)
	}
	if r := f.submitOverload("00000000000000c2", "urgent", false); r.Verdict != Accepted {
		t.Errorf("got %+v for an urgent job, want it accepted: a job of a lower priority runs", r)
	}
	if r := f.submitOverload("00000000000000c3", "q", true); r.Verdict != Accepted {
		t.Errorf("got %+v for a long-running job, want it accepted", r)
	}
	if r := f.submitOverload("0000000000000001", "q", false); r.Verdict != Accepted {
		t.Errorf("got %+v for a job that was accepted before, want it accepted", r)
	}
	f.handle(ServerListed{Server: testServer("b")})
	f.answerHolds(nil, nil)
	f.actions = nil
	f.cell.nextPass = math.MaxInt64 // so that the new server stays free
	if r := f.submitOverload("00000000000000c4", "q", false); r.Verdict != Accepted {
		t.Errorf("got %+v with a free server, want it accepted", r)
	}
}

// Guards against a caller that comes again when it was told to and waits behind callers
// that came later.
func TestReturningJobComesBeforeNewerOnes(t *testing.T) {
	f := newFixture(t, 1)
	f.cell.settings.TriageByCost = true
	f.setUpServers()
	f.handle(StoreHealth{Waiting: time.Second})
	const returning, newer fleet.JobID = "00000000000000c1", "00000000000000a1"
	reply := f.submitOverload(returning, "q", false)
	f.handle(StoreHealth{})
	f.now += reply.RetryAfter / 2
	f.submitOverload(newer, "q", false)
	f.now += reply.RetryAfter / 2
	f.submitOverload(returning, "q", false)
	f.handle(ServerListed{Server: testServer("a")})
	f.answerHolds(nil, nil)
	f.handle(Tick{})
	if starts := f.takeStarts(); len(starts) != 1 || starts[0].Task.Job != returning {
		t.Errorf("got starts %+v, want one of the job that was rejected and came again", starts)
	}
}

// Guards against a store that does not answer and makes a cell with a backlog forget or
// reject accepted jobs, or tell all callers the same time.
func TestSilentStoreWithBacklog(t *testing.T) {
	f := overloadedFixture(t)
	waiting := f.cell.Stats().WaitingTasks
	f.handle(StoreHealth{Waiting: time.Second})
	times := map[time.Duration]bool{}
	for i := range 1000 {
		r := f.submitOverload(fleet.JobID(fmt.Sprintf("%016x", 0xd0000+i)), "q", false)
		if r.Verdict != NotStored || r.Reason != "store_silent" {
			t.Fatalf("got %+v while the store is silent", r)
		}
		times[r.RetryAfter] = true
	}
	if len(times) < 3 {
		t.Errorf("1,000 callers were told only %v", times)
	}
	if got := f.cell.Stats().WaitingTasks; got != waiting {
		t.Errorf("%d tasks wait, want the %d from before the outage", got, waiting)
	}
}

// Guards against a new holder that rejects jobs for a backlog that it has just read: it
// does not know yet what its workers run.
func TestTakeoverWithBacklogRejectsNothingAtFirst(t *testing.T) {
	f := overloadedFixture(t)
	var records []Record
	for _, r := range f.records {
		records = append(records, r)
	}
	next := newFixture(t, 2, records...)
	next.cell.settings.TriageByCost = true
	next.handle(QueuesChanged{Queues: []QueueSettings{{Name: "q", Service: "s", Priority: 2, SlackFactor: 2, TargetLatency: time.Second}}})
	next.handle(ServerListRead{})
	if got, want := len(next.cell.jobs), len(f.cell.jobs); got != want {
		t.Errorf("the next holder has %d jobs, want %d", got, want)
	}
	for i := range 20 {
		next.advance(100 * time.Millisecond)
		if r := next.submitOverload(fleet.JobID(fmt.Sprintf("%016x", 0xd0000+i)), "q", false); r.Verdict != Accepted {
			t.Fatalf("got %+v %v after the takeover", r, next.now-time.Second)
		}
	}
}
