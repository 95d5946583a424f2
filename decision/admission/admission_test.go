package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/fleet"
)

var (
	start = time.Unix(1_800_000_000, 0)
	both  = [2]bool{true, true}
)

func item(class fleet.Class, team TeamIndex, arrived time.Time) Item {
	return Item{Class: class, Team: team, RunTime: 10 * time.Millisecond, Arrived: arrived, StartBy: arrived.Add(time.Minute)}
}

// Guards against counts, lists and the heap drifting apart under random
// additions, removals, changes of kind and changes of the teams.
func TestQueueStaysConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(64)
		held := map[Handle]Item{}
		now := start
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				now = now.Add(time.Millisecond)
				name := fleet.Team(fmt.Sprint("t", rapid.IntRange(0, 5).Draw(t, "team")))
				it := item(rapid.SampledFrom([]fleet.Class{0, 1, 2}).Draw(t, "class"), q.Team(name), now)
				it.Kind = Kind(rapid.IntRange(0, 1).Draw(t, "kind"))
				it.StartBy = now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
				if h, refusal := q.Push(now, it, 0); refusal.Reason == outcome.NoReason {
					held[h] = it
				}
			},
			"remove": func(t *rapid.T) {
				if h, ok := q.Next(now, both); ok {
					q.Started()
					if q.Remove(h) != held[h] {
						t.Fatalf("handle %d is not the item that was added", h)
					}
					delete(held, h)
				}
			},
			"reclassify": func(t *rapid.T) {
				if h, ok := q.Next(now, both); ok {
					q.Reclassify(h, Long)
					held[h] = q.Item(h)
				}
			},
			"teams": func(t *rapid.T) {
				q.SetTeams(someTeams(rapid.IntRange(0, 5).Draw(t, "teams")))
			},
			"": func(t *rapid.T) { checkQueue(t, q, held) },
		})
	})
}

func checkQueue(t *rapid.T, q *Queue, held map[Handle]Item) {
	var earliest time.Time
	var backlog time.Duration
	for _, it := range held {
		backlog += it.RunTime
		if earliest.IsZero() || it.StartBy.Before(earliest) {
			earliest = it.StartBy
		}
	}
	if until, _ := q.EarliestStartBy(); !until.Equal(earliest) {
		t.Fatalf("earliest is %v, want %v", until, earliest)
	}
	if q.Len() != len(held) || q.Backlog(Short)+q.Backlog(Long) != backlog {
		t.Fatalf("queue has %d items, want %d", q.Len(), len(held))
	}
	if _, ok := q.Next(start, both); ok != (len(held) > 0) {
		t.Fatalf("next found %v with %d items", ok, len(held))
	}
}

func someTeams(n int) (teams []configuration.Team) {
	for i := range n {
		teams = append(teams, configuration.Team{Name: fleet.Team(fmt.Sprint("t", i)), Share: 1 / float64(n)})
	}
	return teams
}

// Guards against batch work going before latency-critical work, and against
// either starving the other.
func TestClassesInOrderAndNothingStarves(t *testing.T) {
	q := New(4096)
	q.SetSlots(400)
	now := start
	for range 100 {
		q.insert(item(fleet.Batch, Unlisted, now))
	}
	now = now.Add(time.Minute)
	batch := 0
	for range 1000 {
		q.insert(item(fleet.Urgent, Unlisted, now))
		h, _ := q.Next(now, both)
		q.Started()
		if q.Remove(h).Class == fleet.Batch {
			batch++
		}
	}
	if batch != 1000/agedEvery {
		t.Errorf("%d of 1000 starts went to overdue batch work, want %d", batch, 1000/agedEvery)
	}
}

// Guards against one of 180 teams that floods the queue taking slots or places
// in the queue from teams below their share, and against idle share that
// nobody may borrow.
func TestTeamsBelowTheirShareAreNotStarved(t *testing.T) {
	const teams, slots = 180, 400
	q := New(4096)
	q.SetTeams(someTeams(teams))
	q.SetSlots(slots)
	flood := q.Team("t0")
	for range 4096 {
		q.Push(start, item(fleet.Urgent, flood, start), slots)
	}
	for range slots {
		h, _ := q.Next(start, both)
		q.AddRunning(q.Remove(h).Team, 1)
		q.Started()
	}
	if q.teams.list[flood].running != slots {
		t.Fatalf("only %d idle slots were borrowed", q.teams.list[flood].running)
	}
	for i := 1; i < teams; i++ {
		team := q.Team(fleet.Team(fmt.Sprint("t", i)))
		short := item(fleet.Normal, team, start)
		short.StartBy = start.Add(50 * time.Millisecond)
		if _, refusal := q.Push(start, short, slots); refusal.Reason != outcome.NoReason {
			t.Fatalf("team %d refused below its share: %v", i, refusal)
		}
	}
	for i := 1; i < teams; i++ {
		h, _ := q.Next(start, both)
		if got := q.Remove(h); got.Team == flood {
			t.Fatalf("start %d went to the flooding team", i)
		} else {
			q.AddRunning(got.Team, 1)
		}
	}
}

// Guards against accepting work that can't start in time, and against
// refusals without a time to come back.
func TestExpectedWaitBeyondDeadlineIsRefused(t *testing.T) {
	q := New(4096)
	q.SetSlots(10)
	accepted := 0
	for range 2000 {
		it := item(fleet.Urgent, Unlisted, start)
		it.StartBy = start.Add(time.Second)
		_, refusal := q.Push(start, it, 10)
		if refusal.Reason == outcome.NoReason {
			accepted++
		} else if refusal.Reason != outcome.DeadlineExceeded || refusal.RetryAfter < leastRetryAfter {
			t.Fatalf("refused as %v", refusal)
		}
	}
	if accepted < 700 || accepted > 1000 {
		t.Errorf("%d accepted; 10 slots run 1000 of them within the deadline", accepted)
	}
	if _, ok := q.Expired(start.Add(time.Second)); !ok {
		t.Error("nothing expired at the deadline")
	}
}

// Guards against long work at the front that holds back short work.
func TestShortWorkPassesLongWorkWithoutRoom(t *testing.T) {
	q := New(16)
	long := item(fleet.Urgent, Unlisted, start)
	long.Kind = Long
	q.insert(long)
	short := q.insert(item(fleet.Normal, Unlisted, start))
	if h, _ := q.Next(start, [2]bool{Short: true}); h != short {
		t.Error("short work waits behind long work that has no room")
	}
}

func BenchmarkPushNextRemove180Teams(b *testing.B) {
	q := New(4096)
	q.SetTeams(someTeams(180))
	q.SetSlots(400)
	for i := range 2000 {
		q.insert(item(fleet.Class(i%3), TeamIndex(1+i%180), start))
	}
	b.ReportAllocs()
	for i := range b.N {
		q.insert(item(fleet.Class(i%3), TeamIndex(1+i%180), start))
		h, _ := q.Next(start, both)
		q.Remove(h)
		q.Started()
	}
}
