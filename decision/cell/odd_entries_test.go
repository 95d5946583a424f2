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
