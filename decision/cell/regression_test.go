package cell

import (
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// The comments of the tests name the violated guarantee by its code (see
// model.reportf), and the site and the run on which it was found.

// Guards against extending the lease of an unresponsive worker with every unanswered
// call, so that its tasks are never restarted (LOST, asante-sockyard scale-2).
func TestUnresponsiveWorkerLeaseExpires(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"), testServer("b"))
	f.submit(testJob, oneTaskStep())
	start := takeActions[Start](f)[0]
	f.acceptStart(start)
	for range 60 { // 15 s of unanswered holds
		f.advance(250 * time.Millisecond)
		for _, h := range takeActions[Hold](f) {
			f.handle(HoldAnswered{Server: h.Server, Number: h.Number, Sent: f.now, OK: h.Server != start.Server, Incarnation: 1, Clock: f.now})
		}
	}
	again := takeActions[Start](f)
	if len(again) == 0 || again[0].Server == start.Server || again[0].Attempt <= start.Attempt {
		t.Fatalf("got starts %+v, want a later attempt on another server after the lease expired", again)
	}
}

// Guards against two concurrent runs of a task: a task of an unresponsive worker must
// not be restarted while the lease of the worker may still be valid.
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
		t.Fatalf("got starts %+v before the lease expired, want none", again)
	}
}

// Guards against restarting a task after an unanswered start, before the worker has
// confirmed that it refuses the first attempt and the next incarnation can no longer carry
// it out.
func TestUnansweredStartIsStoppedBeforeRestart(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"), testServer("b"))
	f.submit(testJob, oneTaskStep())
	start := takeActions[Start](f)[0]
	f.handle(StartAnswered{Server: start.Server, Task: start.Task, Attempt: start.Attempt, Outcome: StartUnknown, Sent: f.now})
	stop := takeActions[Stop](f)
	if len(stop) != 1 || stop[0].Attempt != start.Attempt {
		t.Fatalf("got stops %+v, want one of the unanswered attempt", stop)
	}
	if again := takeActions[Start](f); len(again) != 0 {
		t.Fatalf("got starts %+v before the stop was confirmed, want none", again)
	}
	f.handle(StopAnswered{Server: start.Server, Task: start.Task, Attempt: start.Attempt, OK: true, Sent: f.now})
	again := f.expectStartAfter(f.now+maxOrderDelay, func() { f.answerHolds(nil, nil) })
	if again.Attempt <= start.Attempt {
		t.Fatalf("got start %+v after the stop was confirmed, want one of a later attempt", again)
	}
}

// restoredRecords returns the records that an earlier holder wrote for an accepted
// job and the given servers.
func restoredRecords(step job.Step, servers ...Server) []Record {
	records := []Record{{Key: jobKey(testJob), Job: &JobRecord{Job: job.Job{ID: testJob, Queue: "q", Steps: []job.Step{step}}, Accepted: time.Unix(1000, 0)}}}
	for _, s := range servers {
		records = append(records, Record{Key: serverKey(s.ID), Server: &s})
	}
	return records
}

// Guards against starting a task after a takeover before every worker that may be
// running it is fenced, even for a speculative step, which allows concurrent copies
// (TWICE, asante-sockyard trouble-1).
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
		t.Fatalf("got starts %+v before b was fenced, want none", early)
	}
	f.answerHolds(nil, nil)
	f.advance(100 * time.Millisecond)
	if starts := takeActions[Start](f); len(starts) != 1 || starts[0].Attempt <= attemptsPerRound {
		t.Fatalf("got starts %+v after both workers were fenced, want one with an attempt of the new round", starts)
	}
}

// Guards against a takeover that waits for the lease of a worker whose address
// another worker has taken over (asante-sockyard scale-2: 12.7 s).
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
		t.Fatalf("got starts %+v, want one although b was replaced", starts)
	}
}

// Guards against starting a task on capacity that an orphaned run still uses (LIMIT
// after a takeover).
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
		t.Fatalf("got stops %+v, want one of the orphaned run", stops)
	}
	if starts := takeActions[Start](f); len(starts) != 0 {
		t.Fatalf("got starts %+v, which bring the cores in use to 18 of 16, want none", starts)
	}
	f.answerHolds(nil, nil)
	f.advance(100 * time.Millisecond)
	if starts := takeActions[Start](f); len(starts) != 1 {
		t.Fatalf("got starts %+v after the orphaned run ended, want one", starts)
	}
}

// Guards against failed attempts that are not counted because several workers report
// them out of order (BUDGET, cafaf-turnos trouble-1).
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
		t.Fatalf("got starts %+v after two failures, want none: the queue allows two attempts", starts)
	}
	f.handle(StateRequested{Token: 9, ID: testJob})
	if replies := takeActions[Reply](f); len(replies) != 1 || replies[0].Reply.State != job.Failed {
		t.Fatalf("got replies %+v, want one with state failed", replies)
	}
}

// Guards against starting a task that has used up its attempts because its failures
// were restored before the configuration with the attempt limit was read (BUDGET,
// cafaf-turnos trouble-2).
func TestRestoredFailuresCountAgainstAttemptLimit(t *testing.T) {
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
		t.Fatalf("got starts %+v after two failures, want none: the queue allows two attempts", starts)
	}
}

// Guards against acknowledging an end to the worker before its record is durable.
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
		t.Fatal("got no holds, want at least one")
	}
	for range 10 { // the store does not answer for half a second
		f.now += 50 * time.Millisecond
		f.cell.Handle(f.moment(), Tick{})
	}
	f.actions = append(f.actions, f.cell.Actions()...)
	unacknowledged := takeActions[Hold](f)
	for _, h := range unacknowledged {
		if h.Ack != 0 {
			t.Fatalf("acknowledged ends up to %d before the record was durable, want 0", h.Ack)
		}
	}
	f.handle(Tick{}) // the store answers
	for _, h := range unacknowledged {
		f.handle(HoldAnswered{Server: h.Server, Number: h.Number, Sent: f.now, OK: true, Incarnation: 1, Clock: f.now})
	}
	if holds := takeActions[Hold](f); len(holds) == 0 || holds[0].Ack != 1 {
		t.Fatalf("got holds %+v after the record was durable, want one that acknowledges end 1", holds)
	}
}

// Guards against accepting a job while the store is unresponsive, and against
// rejecting one when the store has recovered and servers are free.
func TestUnresponsiveStoreRejectsJobs(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	takeActions[Reply](f)
	f.handle(StoreHealth{Waiting: maxStoreWait + time.Millisecond})
	f.submit(testJob, oneTaskStep())
	replies := takeActions[Reply](f)
	if len(replies) != 1 || replies[0].Reply.Verdict != NotStored || replies[0].Reply.RetryAfter <= 0 {
		t.Fatalf("got replies %+v, want one with verdict not stored and a time to retry after", replies)
	}
	if starts := takeActions[Start](f); len(starts) != 0 {
		t.Fatalf("got starts %+v of a rejected job, want none", starts)
	}
	f.handle(StoreHealth{})
	f.submit(testJob, oneTaskStep())
	if starts := takeActions[Start](f); len(starts) != 1 {
		t.Fatalf("got starts %+v after the store recovered, want one", starts)
	}
}

// Guards against callers that wait until their deadline, and may not retry,
// although their job was certainly not stored: either it was queued behind an
// unanswered append, or the store refused its append.
func TestUnstoredJobsAreRejected(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	takeActions[Reply](f)
	submit := func(id fleet.JobID, token Token) {
		f.cell.Handle(f.moment(), Submitted{Token: token, Job: job.Job{ID: id, Queue: "q", Steps: []job.Step{oneTaskStep()}}})
	}
	submit("00000000000000d1", 11)
	b, ok := f.cell.TakeBatch() // its append is in flight to a store that does not answer
	if !ok {
		t.Fatal("got no batch, want one with the submitted job")
	}
	submit("00000000000000d2", 12)
	f.cell.Handle(f.moment(), StoreHealth{Waiting: maxStoreWait + time.Millisecond})
	f.actions = append(f.actions, f.cell.Actions()...)
	replies := takeActions[Reply](f)
	if len(replies) != 1 || replies[0].Token != 12 || replies[0].Reply.Verdict != NotStored {
		t.Fatalf("got replies %+v, want one with verdict not stored for the job behind the append", replies)
	}
	f.cell.Handle(f.moment(), BatchRefused{Batch: b.Number})
	f.actions = append(f.actions, f.cell.Actions()...)
	replies = takeActions[Reply](f)
	if len(replies) != 1 || replies[0].Token != 11 || replies[0].Reply.Verdict != NotStored {
		t.Fatalf("got replies %+v, want one with verdict not stored for the job of the refused append", replies)
	}
	f.handle(StoreHealth{})
	if starts := takeActions[Start](f); len(starts) != 0 {
		t.Fatalf("got starts %+v of rejected jobs, want none", starts)
	}
	f.submit("00000000000000d1", oneTaskStep()) // the caller retries
	if starts := takeActions[Start](f); len(starts) != 1 {
		t.Fatalf("got starts %+v after the caller retried, want one", starts)
	}
}

// Guards against a worker that gets no further task after its quarantine because the
// first one is long-running: such a task never ends as done, so the remaining capacity
// would never be used again (suspected cause of LOST, asante-sockyard scale-2, hunt
// seed 629891876796).
func TestLongRunningTaskReopensWorker(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	w := f.cell.workers["a"]
	w.health.quarantine(f.now)
	f.advance(minQuarantine + 100*time.Millisecond)
	f.submit("00000000000000f1", servingStep(1))
	starts := takeActions[Start](f)
	if len(starts) != 1 {
		t.Fatalf("got starts %+v after the quarantine, want one", starts)
	}
	f.acceptStart(starts[0])
	running := map[fleet.BackendServerID][]RunningRow{"a": {{Task: starts[0].Task, Attempt: starts[0].Attempt, Percent: 100, Measurement: 5}}}
	for range 50 {
		f.advance(100 * time.Millisecond)
		f.answerHolds(running, nil)
	}
	f.submit("00000000000000f2", servingStep(1))
	if starts := takeActions[Start](f); len(starts) != 1 {
		t.Errorf("got starts %+v after the worker ran a task for five seconds without failure, want one", starts)
	}
}

// Guards against a takeover that waits for the leases of servers that left the list
// before it. After servers were replaced one by one there are many of them, and
// long-running tasks waited for 10.7 s (LOST, cafaf-turnos mix, seed 624077553595).
func TestRemovedServerRecordIsDeleted(t *testing.T) {
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
	if r := f.records[serverKey(start.Server)]; r.Deletes() {
		t.Fatal("the record of a server that still answers was deleted, want it kept")
	}
	for _, h := range takeActions[Hold](f) {
		f.handle(HoldAnswered{Server: h.Server, Number: h.Number, Sent: f.now, OK: h.Server != start.Server, Incarnation: 1, Clock: f.now})
	}
	f.advance(100 * time.Millisecond)
	if r, ok := f.records[serverKey(start.Server)]; !ok || !r.Deletes() {
		t.Error("the record was kept of a server that is not listed, does not answer and runs nothing, want it deleted")
	}
}

// Guards against restarting a task elsewhere while the next incarnation of its worker
// may still execute a delayed start. The start was unanswered, then the worker
// restarted under the same identifier and became unresponsive. As it had no lease
// yet, its lease counted as expired (TWICE, soak seed 1007: late_orders,
// restart_worker).
func TestDelayedStartMayRunAfterWorkerRestart(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"), testServer("b"))
	f.submit(testJob, oneTaskStep())
	start := takeActions[Start](f)[0]
	f.handle(StartAnswered{Server: start.Server, Task: start.Task, Attempt: start.Attempt, Outcome: StartUnknown, Sent: f.now})
	started, unresponsive := f.now, false
	for f.now-started < 20*time.Second {
		f.advance(250 * time.Millisecond)
		for _, h := range takeActions[Hold](f) {
			f.handle(HoldAnswered{Server: h.Server, Number: h.Number, Sent: f.now, OK: h.Server != start.Server || !unresponsive, Incarnation: 2, Clock: f.now})
		}
		unresponsive = true // after the first report of the next incarnation
		if again := takeActions[Start](f); len(again) != 0 {
			t.Fatalf("%v after a start that may still be executed: got starts %+v, want none", f.now-started, again)
		}
	}
	f.advance(5 * time.Second)
	if again := takeActions[Start](f); len(again) == 0 {
		t.Error("got no starts after the delayed start had expired, want the task restarted")
	}
}
