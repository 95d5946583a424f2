package cell

import (
	"maps"
	"slices"
	"testing"
	"time"

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
