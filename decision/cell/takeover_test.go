package cell

import (
	"maps"
	"slices"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// Guards against a takeover in which restored tasks wait for the full lease of a
// server that had drained and left before (LOST).
func TestTakeoverDoesNotWaitForServerThatHasLeft(t *testing.T) {
	before := newFixture(t, 1)
	before.setUpServers(testServer("a"), testServer("b"))
	before.submit(testJob, longRunningStep(1))
	start := takeActions[Start](before)[0]
	before.acceptStart(start)
	leaving := testServer(start.Server)
	leaving.Draining = true
	before.handle(ServerListed{Server: leaving})
	running := map[fleet.BackendServerID][]RunningRow{start.Server: {{Task: start.Task, Attempt: start.Attempt, Percent: fullSpeed}}}
	for range 40 { // longer than any lease from before it drained
		before.advance(250 * time.Millisecond)
		before.answerHolds(running, nil)
	}
	before.handle(ServerUnlisted{ID: start.Server})

	var records []Record
	for _, key := range slices.Sorted(maps.Keys(before.records)) {
		records = append(records, before.records[key])
	}
	f := newFixture(t, 2, records...)
	f.configureQueue()
	for _, id := range []fleet.BackendServerID{"a", "b"} {
		if id != start.Server {
			f.handle(ServerListed{Server: testServer(id)})
		}
	}
	f.handle(ServerListRead{})
	for claimed := f.now; f.now-claimed < 6*time.Second; f.advance(250 * time.Millisecond) {
		for _, h := range takeActions[Hold](f) {
			f.handle(HoldAnswered{Server: h.Server, Number: h.Number, Sent: f.now, OK: h.Server != start.Server, Incarnation: 1, Clock: f.now})
		}
		if starts := takeActions[Start](f); len(starts) > 0 {
			return
		}
	}
	t.Error("the task did not start again within 6 s of the takeover")
}
