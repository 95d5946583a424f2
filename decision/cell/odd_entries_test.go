package cell

import (
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// recordsInOrder returns the durable records in the order of their keys.
func (f *fixture) recordsInOrder() (records []Record) {
	for _, key := range slices.Sorted(maps.Keys(f.records)) {
		if !f.records[key].Deletes() {
			records = append(records, f.records[key])
		}
	}
	return records
}

// answerHoldsOf answers the collected holds; only the given servers respond.
func (f *fixture) answerHoldsOf(servers ...fleet.BackendServerID) {
	for _, h := range takeActions[Hold](f) {
		f.handle(HoldAnswered{Server: h.Server, Number: h.Number, Sent: f.now, OK: slices.Contains(servers, h.Server), Incarnation: 1, Clock: f.now})
	}
}

// Guards against a takeover that waits for the lease of a listed server that has
// never answered (LOST). An entry of another writer may have a sound address at
// which there is no worker.
func TestTakeoverDoesNotWaitForServerThatNeverAnswered(t *testing.T) {
	list := func(f *fixture) {
		f.configureQueue()
		f.handle(ServerListed{Server: testServer("a")})
		f.handle(ServerListed{Server: testServer("odd")})
		f.handle(ServerListRead{})
		f.answerHoldsOf("a")
		f.advance(time.Second)
		f.answerHoldsOf("a")
	}
	before := newFixture(t, 1)
	list(before)
	step := oneTaskStep()
	step.Count = 2 // one waits for room
	before.submit(testJob, step)
	if starts := takeActions[Start](before); len(starts) != 1 || starts[0].Server != "a" {
		t.Fatalf("got starts %+v, want one on a", starts)
	}
	if r, ok := before.records[serverKey("a")]; !ok || r.Server == nil {
		t.Fatal("there is no record of server a, on which a task was started")
	}
	f := newFixture(t, 2, before.recordsInOrder()...)
	list(f)
	if starts := takeActions[Start](f); len(starts) == 0 || starts[0].Server != "a" {
		t.Errorf("got starts %+v within 1 s of the takeover, want one on a", starts)
	}
}

// Guards against a record that stays for a server that has left, for which each
// takeover waits: the server left while its record was being appended.
func TestRecordInFlightOfRemovedServerIsDeleted(t *testing.T) {
	f := newFixture(t, 1)
	f.configureQueue()
	f.cell.Handle(f.moment(), ServerListed{Server: testServer("a")})
	f.cell.Handle(f.moment(), ServerListRead{})
	f.actions = append(f.actions, f.cell.Actions()...)
	for _, h := range takeActions[Hold](f) {
		f.cell.Handle(f.moment(), HoldAnswered{Server: h.Server, Number: h.Number, Sent: f.now, OK: true, Incarnation: 1, Clock: f.now})
	}
	b, ok := f.cell.TakeBatch()
	if !ok || len(b.Records) != 1 || b.Records[0].Key != serverKey("a") {
		t.Fatalf("got batch %+v, want one with the record of a", b)
	}
	f.cell.Handle(f.moment(), ServerUnlisted{ID: "a"})
	f.actions = append(f.actions, f.cell.Actions()...)
	for _, h := range takeActions[Hold](f) {
		f.cell.Handle(f.moment(), HoldAnswered{Server: h.Server, Number: h.Number, Sent: f.now})
	}
	f.cell.Handle(f.moment(), Tick{})
	f.cell.Handle(f.moment(), Committed{Batch: b.Number})
	f.cell.Handle(f.moment(), Tick{})
	b, _ = f.cell.TakeBatch()
	if len(b.Records) != 1 || b.Records[0].Key != serverKey("a") || !b.Records[0].Deletes() {
		t.Errorf("got batch %+v after the server left, want one that deletes its record", b)
	}
}

// Guards against an attempt number that no holder has used: the next attempt
// overflows and every worker refuses it, so the task never runs again (LOST), or its
// record cannot be restored.
func TestOddAttemptsOfListedRuns(t *testing.T) {
	for _, attempt := range []int{math.MaxInt, 1 << 52, 0, -1, math.MinInt} {
		f := newFixture(t, 1)
		f.setUpServers(testServer("a"))
		task := job.TaskRef{Job: testJob}
		f.submit(testJob, oneTaskStep())
		start := takeActions[Start](f)[0]
		f.handle(StartAnswered{Server: "a", Task: task, Attempt: start.Attempt, Outcome: StartExpired, Sent: f.now})
		f.now += 20 * time.Millisecond // the task waits for startRetryDelay
		f.answerHolds(map[fleet.BackendServerID][]RunningRow{"a": {{Task: task, Attempt: attempt}}},
			map[fleet.BackendServerID][]FinishedRow{"a": {{Number: 1, Task: task, Attempt: attempt, End: job.EndFailed}}})
		f.advance(200 * time.Millisecond)
		f.answerHolds(nil, nil)
		f.advance(time.Second)
		starts := takeActions[Start](f)
		if len(starts) != 1 || starts[0].Attempt <= start.Attempt || starts[0].Attempt > start.Attempt+2 {
			t.Errorf("attempt %d was listed: got starts %+v, want the next attempt after %d", attempt, starts, start.Attempt)
		}
		for key, r := range f.records {
			if r.Progress == nil {
				continue
			}
			if err := r.Check(); err != nil {
				t.Errorf("attempt %d was listed: record %s cannot be restored: %v", attempt, key, err)
			}
		}
	}
}

// Guards against tasks that are started nowhere, or twice, when a listed row names a
// task that the job does not have.
func TestListedRunsOfUnknownTasks(t *testing.T) {
	for _, odd := range []job.TaskRef{
		{Job: testJob, Step: math.MaxInt}, {Job: testJob, Index: math.MaxInt}, {Job: testJob, Occurrence: math.MaxInt}, {Job: "00000000000000ff"},
	} {
		f := newFixture(t, 1)
		f.setUpServers(testServer("a"), testServer("b"))
		f.submit(testJob, oneTaskStep())
		start := takeActions[Start](f)[0]
		f.acceptStart(start)
		running := map[fleet.BackendServerID][]RunningRow{
			start.Server: {{Task: odd, Attempt: 1}, {Task: start.Task, Attempt: start.Attempt, Percent: 10}},
		}
		for range 4 {
			f.advance(50 * time.Millisecond)
			f.answerHolds(running, map[fleet.BackendServerID][]FinishedRow{"b": {{Number: 1, Task: odd, Attempt: 1, End: job.EndDone}}})
		}
		if starts := takeActions[Start](f); len(starts) != 0 {
			t.Errorf("%s was listed: got starts %+v, want none", odd, starts)
		}
		if stops := takeActions[Stop](f); len(stops) == 0 || stops[0].Task != odd {
			t.Errorf("%s was listed: got stops %+v, want one of it", odd, stops)
		}
	}
}

// Guards against capacities that hide free room: the sums over the largest servers
// that are accepted stay below the largest int64, and none is below 0.
func TestLargestCapacitiesDoNotOverflow(t *testing.T) {
	var sum int64
	for range maxServers {
		sum += maxCapacity
	}
	if sum <= 0 {
		t.Errorf("got a sum of %d, want one above 0", sum)
	}
	large := testServer("a")
	large.Address = "10.0.0.1:80"
	large.DataCentre = "z"
	large.Capacity = fleet.Resources{MilliCPU: maxCapacity, MemoryMiB: maxCapacity, Accelerators: maxCapacity}
	if err := large.Check(); err != nil {
		t.Errorf("largest capacity: got %v, want nil", err)
	}
	f := newFixture(t, 1)
	f.setUpServers(large, testServer("b"))
	step := oneTaskStep()
	step.Count = 4
	f.submit(testJob, step)
	if starts := takeActions[Start](f); len(starts) != 4 {
		t.Errorf("got %d starts beside a server of the largest capacity, want 4", len(starts))
	}
}

// Guards against calls without a pause to a worker whose entry has an incarnation
// that is higher than its own.
func TestWrongIncarnationCausesNoTightLoop(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	odd := testServer("a")
	odd.Incarnation = maxIncarnation
	f.handle(ServerListed{Server: odd})
	holds := 0
	for range 20 { // a second
		for range 50 { // the worker answers at once
			answered := takeActions[Hold](f)
			holds += len(answered)
			for _, h := range answered {
				f.handle(HoldAnswered{Server: h.Server, Number: h.Number, Sent: f.now, OK: true, Incarnation: 1, Clock: f.now})
			}
		}
		f.advance(50 * time.Millisecond)
	}
	if limit := int(time.Second/unreachableRetry) + 2; holds > limit {
		t.Errorf("got %d holds within a second, want at most %d", holds, limit)
	}
}
