package cell

import (
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// Guards against a silent worker whose lease moves on with every unanswered
// call, so that its tasks never start again (LOST, asante-sockyard scale-2).
func TestUnresponsiveWorkerLeaseExpires(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"), testServer("b"))
	f.submit(testJob, oneTaskStep())
	start := takeActions[Start](f)[0]
	f.acceptStart(start)
	for range 60 { // 15 s of holds without an answer
		f.advance(250 * time.Millisecond)
		for _, h := range takeActions[Hold](f) {
			f.handle(HoldAnswered{Server: h.Server, Number: h.Number, Sent: f.now, OK: h.Server != start.Server, Incarnation: 1, Clock: f.now})
		}
	}
	again := takeActions[Start](f)
	if len(again) == 0 || again[0].Server == start.Server || again[0].Attempt <= start.Attempt {
		t.Fatalf("the task of a lapsed worker was started %+v", again)
	}
}

// Guards against two runs of a task: while the lease may still hold, the task of
// a silent worker must not start again.
func TestUnresponsiveWorkerKeepsTaskDuringLease(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"), testServer("b"))
	f.submit(testJob, oneTaskStep())
	start := takeActions[Start](f)[0]
	f.acceptStart(start)
	f.advance(DefaultSettings().Lease - 500*time.Millisecond)
	for _, h := range takeActions[Hold](f) {
		f.handle(HoldAnswered{Server: h.Server, Number: h.Number, Sent: f.now, OK: h.Server != start.Server, Incarnation: 1, Clock: f.now})
	}
	if again := takeActions[Start](f); len(again) != 0 {
		t.Fatalf("started again before the lease has lapsed: %+v", again)
	}
}

// Guards against a start without an answer that is ordered elsewhere before its
// worker has confirmed that it will never run.
func TestUnansweredStartIsStoppedBeforeRestart(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"), testServer("b"))
	f.submit(testJob, oneTaskStep())
	start := takeActions[Start](f)[0]
	f.handle(StartAnswered{Server: start.Server, Task: start.Task, Attempt: start.Attempt, Outcome: StartUnknown, Sent: f.now})
	stop := takeActions[Stop](f)
	if len(stop) != 1 || stop[0].Attempt != start.Attempt {
		t.Fatalf("stops: %+v", stop)
	}
	if again := takeActions[Start](f); len(again) != 0 {
		t.Fatalf("started again before it was settled: %+v", again)
	}
	f.handle(StopAnswered{Server: start.Server, Task: start.Task, Attempt: start.Attempt, OK: true})
	f.now += time.Millisecond
	f.advance(50 * time.Millisecond)
	f.answerHolds(nil, nil)
	f.advance(100 * time.Millisecond)
	f.answerHolds(nil, nil)
	if again := takeActions[Start](f); len(again) != 1 || again[0].Attempt <= start.Attempt {
		t.Fatalf("after it was settled: %+v", again)
	}
}

// restoredRecords returns the records of a job that an earlier holder accepted, with
// the servers that it knew.
func restoredRecords(step job.Step, servers ...Server) []Record {
	records := []Record{{Key: jobKey(testJob), Job: &JobRecord{Job: job.Job{ID: testJob, Queue: "q", Steps: []job.Step{step}}, Accepted: time.Unix(1000, 0)}}}
	for _, s := range servers {
		records = append(records, Record{Key: serverKey(s.ID), Server: &s})
	}
	return records
}

// Guards against a task that starts after a takeover while a worker that may
// run it has not been fenced, also where copies are allowed (TWICE,
// asante-sockyard trouble-1).
func TestTakeoverWaitsForEveryWorker(t *testing.T) {
	step := oneTaskStep()
	step.Speculative = true
	f := newFixture(t, 2, restoredRecords(step, testServer("a"), testServer("b"))...)
	f.configureQueue()
	f.handle(ServerListed{Server: testServer("a")})
	f.handle(ServerListed{Server: testServer("b")})
	f.handle(ServerListRead{})
	for _, h := range takeActions[Hold](f) {
		f.handle(HoldAnswered{Server: h.Server, Number: h.Number, Sent: f.now, OK: h.Server == "a", Incarnation: 1, Clock: f.now})
	}
	f.advance(time.Second)
	if early := takeActions[Start](f); len(early) != 0 {
		t.Fatalf("started before b was fenced: %+v", early)
	}
	f.answerHolds(nil, nil)
	f.advance(100 * time.Millisecond)
	if starts := takeActions[Start](f); len(starts) != 1 || starts[0].Attempt <= attemptsPerRound {
		t.Fatalf("after both were fenced: %+v", starts)
	}
}

// Guards against a takeover that waits for the lease of a worker whose address
// another one has taken (asante-sockyard scale-2: 12.7 s).
func TestReplacedWorkerDoesNotBlockTakeover(t *testing.T) {
	f := newFixture(t, 2, restoredRecords(oneTaskStep(), testServer("a"), testServer("b"))...)
	f.configureQueue()
	f.handle(ServerListed{Server: testServer("a")})
	f.handle(ServerListRead{})
	f.advance(50 * time.Millisecond)
	for _, h := range takeActions[Hold](f) {
		f.handle(HoldAnswered{Server: h.Server, Number: h.Number, Sent: f.now, OK: h.Server == "a", OtherIncarnation: h.Server == "b", Incarnation: 1, Clock: f.now})
	}
	f.advance(100 * time.Millisecond)
	if starts := takeActions[Start](f); len(starts) != 1 {
		t.Fatalf("starts: %+v", starts)
	}
}

// Guards against room that is given away while a run that belongs to no task is
// still being stopped (LIMIT after a takeover).
func TestOrphanedRunUsesCapacity(t *testing.T) {
	const ended fleet.JobID = "00000000000000bb"
	records := restoredRecords(oneTaskStep(), testServer("a"))
	records = append(records,
		Record{Key: jobKey(ended), Job: &JobRecord{Job: job.Job{ID: ended, Queue: "q", Steps: []job.Step{oneTaskStep()}}, Accepted: time.Unix(1000, 0)}},
		Record{Key: progressKey(ended), Progress: &ProgressRecord{Cancelled: true}})
	f := newFixture(t, 2, records...)
	f.configureQueue()
	f.handle(ServerListed{Server: testServer("a")})
	f.handle(ServerListRead{})
	running := map[fleet.BackendServerID][]RunningRow{"a": {{Task: job.TaskRef{Job: ended}, Attempt: 1, Percent: 10}}}
	f.answerHolds(running, nil)
	f.advance(100 * time.Millisecond)
	if stops := takeActions[Stop](f); len(stops) == 0 || stops[0].Task.Job != ended {
		t.Fatalf("stops: %+v", stops)
	}
	if starts := takeActions[Start](f); len(starts) != 0 {
		t.Fatalf("18 of 16 cores are taken by %+v", starts)
	}
	f.answerHolds(nil, nil)
	f.advance(100 * time.Millisecond)
	if starts := takeActions[Start](f); len(starts) != 1 {
		t.Fatalf("the room stays taken: %+v", starts)
	}
}

// Guards against failed attempts that are not counted because their ends come
// from several workers in another order (BUDGET, cafaf-turnos trouble-1).
func TestFailuresCountInAnyOrder(t *testing.T) {
	f := newFixture(t, 2, restoredRecords(oneTaskStep(), testServer("a"), testServer("b"))...)
	f.configureQueue()
	f.handle(ServerListed{Server: testServer("a")})
	f.handle(ServerListed{Server: testServer("b")})
	f.handle(ServerListRead{})
	ref := job.TaskRef{Job: testJob}
	finished := map[fleet.BackendServerID][]FinishedRow{
		"a": {{Number: 1, Task: ref, Attempt: 2, End: job.EndFailed}},
		"b": {{Number: 1, Task: ref, Attempt: 1, End: job.EndFailed}},
	}
	f.answerHolds(nil, finished)
	f.advance(100 * time.Millisecond)
	if starts := takeActions[Start](f); len(starts) != 0 {
		t.Fatalf("started after two failures of two: %+v", starts)
	}
	f.handle(StateRequested{Token: 9, ID: testJob})
	if replies := takeActions[Reply](f); len(replies) != 1 || replies[0].Reply.State != job.Failed {
		t.Fatalf("replies: %+v", replies)
	}
}

// Guards against a task that starts because its failures were learnt before the
// configuration that limits them (BUDGET, cafaf-turnos trouble-2).
func TestFailuresBeforeConfiguration(t *testing.T) {
	records := restoredRecords(oneTaskStep(), testServer("a"))
	records = append(records, Record{Key: progressKey(testJob), Progress: &ProgressRecord{
		Started: true, Occurrences: []OccurrenceProgress{{Tasks: []TaskProgress{{Failed: []int{1, 2}}}}},
	}})
	f := newFixture(t, 2, records...)
	f.handle(ServerListed{Server: testServer("a")})
	f.handle(ServerListRead{})
	f.answerHolds(nil, nil)
	f.configureQueue()
	f.advance(100 * time.Millisecond)
	if starts := takeActions[Start](f); len(starts) != 0 {
		t.Fatalf("started after two failures of two: %+v", starts)
	}
}

// Guards against an end that is acknowledged before its record is durable.
func TestEndIsDurableBeforeAcknowledgement(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	f.submit(testJob, oneTaskStep())
	start := takeActions[Start](f)[0]
	f.acceptStart(start)
	f.advance(50 * time.Millisecond)
	holds := takeActions[Hold](f)
	for _, h := range holds {
		f.cell.Handle(f.moment(), HoldAnswered{
			Server: h.Server, Number: h.Number, Sent: f.now, OK: true, Incarnation: 1, Clock: f.now,
			Finished: []FinishedRow{{Number: 1, Task: start.Task, Attempt: start.Attempt, End: job.EndDone}},
		})
	}
	if len(holds) == 0 {
		t.Fatal("no hold was sent")
	}
	for range 10 { // half a second without an answer of the store
		f.now += 50 * time.Millisecond
		f.cell.Handle(f.moment(), Tick{})
	}
	f.actions = append(f.actions, f.cell.Actions()...)
	waiting := takeActions[Hold](f)
	for _, h := range waiting {
		if h.Ack != 0 {
			t.Fatalf("acknowledged up to %d before the record", h.Ack)
		}
	}
	f.handle(Tick{}) // the store answers
	for _, h := range waiting {
		f.handle(HoldAnswered{Server: h.Server, Number: h.Number, Sent: f.now, OK: true, Incarnation: 1, Clock: f.now})
	}
	if holds := takeActions[Hold](f); len(holds) == 0 || holds[0].Ack != 1 {
		t.Fatalf("after the record: %+v", holds)
	}
}

// Guards against a job that is turned away with servers free, and against one
// that is answered as stored while the store is silent.
func TestUnresponsiveStoreRejectsJobs(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	takeActions[Reply](f)
	f.handle(StoreHealth{Waiting: storeSlow + time.Millisecond})
	f.submit(testJob, oneTaskStep())
	replies := takeActions[Reply](f)
	if len(replies) != 1 || replies[0].Reply.Verdict != NotStored || replies[0].Reply.RetryAfter <= 0 {
		t.Fatalf("replies: %+v", replies)
	}
	if starts := takeActions[Start](f); len(starts) != 0 {
		t.Fatalf("a rejected job was started: %+v", starts)
	}
	f.handle(StoreHealth{})
	f.submit(testJob, oneTaskStep())
	if starts := takeActions[Start](f); len(starts) != 1 {
		t.Fatalf("starts: %+v", starts)
	}
}

// Guards against starts that are ordered faster than they can be sent: behind a
// thousand of them the most pressing work waits for seconds (LOST,
// asante-sockyard-grown trouble-1).
func TestUnansweredStartsAreBounded(t *testing.T) {
	f := newFixture(t, 1)
	servers := make([]Server, 40)
	for i := range servers {
		servers[i] = testServer(fleet.BackendServerID("s" + string(rune('A'+i))))
	}
	f.setUpServers(servers...)
	many := oneTaskStep()
	many.Count, many.Need = 3*maxOrdered, fleet.Resources{MilliCPU: 100, MemoryMiB: 10}
	f.submit(testJob, many)
	starts := takeActions[Start](f)
	if len(starts) != maxOrdered {
		t.Fatalf("%d starts are without an answer, want %d", len(starts), maxOrdered)
	}
	f.acceptStart(starts[0])
	if next := takeActions[Start](f); len(next) != 1 {
		t.Fatalf("one answer was followed by %d starts", len(next))
	}
}

// Guards against callers who wait for their deadline and may not come again
// although their job was surely not stored: it had gathered behind an append
// without an answer, or the store has turned its append away.
func TestUnstoredJobsAreRejected(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	takeActions[Reply](f)
	submit := func(id fleet.JobID, token Token) {
		f.cell.Handle(f.moment(), Submitted{Token: token, Job: job.Job{ID: id, Queue: "q", Steps: []job.Step{oneTaskStep()}}})
	}
	submit("00000000000000d1", 11)
	b, ok := f.cell.TakeBatch() // on its way to a store that does not answer
	if !ok {
		t.Fatal("no batch")
	}
	submit("00000000000000d2", 12)
	f.cell.Handle(f.moment(), StoreHealth{Waiting: storeSlow + time.Millisecond})
	f.actions = append(f.actions, f.cell.Actions()...)
	replies := takeActions[Reply](f)
	if len(replies) != 1 || replies[0].Token != 12 || replies[0].Reply.Verdict != NotStored {
		t.Fatalf("behind the append: %+v", replies)
	}
	f.cell.Handle(f.moment(), BatchRefused{Batch: b.Number})
	f.actions = append(f.actions, f.cell.Actions()...)
	replies = takeActions[Reply](f)
	if len(replies) != 1 || replies[0].Token != 11 || replies[0].Reply.Verdict != NotStored {
		t.Fatalf("in the refused append: %+v", replies)
	}
	f.handle(StoreHealth{})
	if starts := takeActions[Start](f); len(starts) != 0 {
		t.Fatalf("a job that was turned away was started: %+v", starts)
	}
	f.submit("00000000000000d1", oneTaskStep()) // the caller comes again
	if starts := takeActions[Start](f); len(starts) != 1 {
		t.Fatalf("starts: %+v", starts)
	}
}

// Guards against a worker that was set aside and stays closed behind a lasting
// task: such a task never ends done, so that the rest of the room is never used
// again (suspected cause of LOST, asante-sockyard scale-2, hunt seed 629891876796).
func TestLongRunningTaskReopensWorker(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	w := f.cell.workers["a"]
	w.health.setAside(f.now)
	f.advance(firstAside + 100*time.Millisecond)
	f.submit("00000000000000f1", servingStep(1))
	starts := takeActions[Start](f)
	if len(starts) != 1 {
		t.Fatalf("the first task after the time aside: %+v", starts)
	}
	f.acceptStart(starts[0])
	running := map[fleet.BackendServerID][]RunningRow{"a": {{Task: starts[0].Task, Attempt: starts[0].Attempt, Percent: 100, Measurement: 5}}}
	for range 50 {
		f.advance(100 * time.Millisecond)
		f.answerHolds(running, nil)
	}
	f.submit("00000000000000f2", servingStep(1))
	if starts := takeActions[Start](f); len(starts) != 1 {
		t.Errorf("after five seconds of sound work the worker gets nothing: %+v", starts)
	}
}

// Guards against a takeover that waits for the lease of servers that had left
// before it: replaced one after the other they are many, and lasting tasks waited
// for 10.7 s (LOST, cafaf-turnos mix, seed 624077553595).
func TestRemovedServerRecordIsDropped(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"), testServer("b"))
	f.submit(testJob, oneTaskStep())
	start := takeActions[Start](f)[0]
	f.acceptStart(start)
	f.advance(50 * time.Millisecond)
	f.answerHolds(nil, map[fleet.BackendServerID][]FinishedRow{
		start.Server: {{Number: 1, Task: start.Task, Attempt: start.Attempt, End: job.EndDone}},
	})
	f.handle(ServerUnlisted{ID: start.Server})
	f.advance(100 * time.Millisecond)
	if r := f.records[serverKey(start.Server)]; r.Dropped() {
		t.Fatal("a server that still answers was forgotten")
	}
	for _, h := range takeActions[Hold](f) {
		f.handle(HoldAnswered{Server: h.Server, Number: h.Number, Sent: f.now, OK: h.Server != start.Server, Incarnation: 1, Clock: f.now})
	}
	f.advance(100 * time.Millisecond)
	if r, ok := f.records[serverKey(start.Server)]; !ok || !r.Dropped() {
		t.Error("the record of a server that has left and runs nothing was not dropped")
	}
}

// Guards against a start that is carried out by the next life of its worker while
// the task runs elsewhere: the order had no answer, the worker restarted under its
// identifier and fell silent, and having no lease yet it counted as lapsed (TWICE,
// soak seed 1007: late_orders, restart_worker).
func TestDelayedStartOutlivesWorkerRestart(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"), testServer("b"))
	f.submit(testJob, oneTaskStep())
	start := takeActions[Start](f)[0]
	f.handle(StartAnswered{Server: start.Server, Task: start.Task, Attempt: start.Attempt, Outcome: StartUnknown, Sent: f.now})
	begun, silent := f.now, false
	for f.now-begun < 20*time.Second {
		f.advance(250 * time.Millisecond)
		for _, h := range takeActions[Hold](f) {
			f.handle(HoldAnswered{Server: h.Server, Number: h.Number, Sent: f.now, OK: h.Server != start.Server || !silent, Incarnation: 2, Clock: f.now})
		}
		silent = true // after the first list of the next life
		if again := takeActions[Start](f); len(again) != 0 {
			t.Fatalf("started again %v after an order that may still be carried out: %+v", f.now-begun, again)
		}
	}
	f.advance(5 * time.Second)
	if again := takeActions[Start](f); len(again) == 0 {
		t.Error("the task was not started again once the order had surely lapsed")
	}
}
