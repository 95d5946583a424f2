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
	start    = time.Unix(1_800_000_000, 0)
	allKinds = [2]bool{true, true}
)

func item(class fleet.Class, team TeamIndex, arrived time.Time) Item {
	return Item{Class: class, Team: team, RunTime: 10 * time.Millisecond, Arrived: arrived, StartBy: arrived.Add(time.Minute)}
}

// Guards against counts, lists and the heap becoming inconsistent under random
// pushes, removals, changes of kind and changes of the teams.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(64)
		queued := map[Handle]Item{}
		now := start
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				now = now.Add(time.Millisecond)
				name := fleet.Team(fmt.Sprint("t", rapid.IntRange(0, 5).Draw(t, "team")))
				it := item(rapid.SampledFrom([]fleet.Class{0, 1, 2}).Draw(t, "class"), q.Team(name), now)
				it.Kind = Kind(rapid.IntRange(0, 1).Draw(t, "kind"))
				it.StartBy = now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
				if h, refusal := q.Push(now, it, 0); refusal.Reason == outcome.NoReason {
					queued[h] = it
				}
			},
			"remove": func(t *rapid.T) {
				if h, ok := q.Next(now, allKinds); ok {
					q.Started()
					if q.Remove(h) != queued[h] {
						t.Fatalf("handle %d: the removed item differs from the item added", h)
					}
					delete(queued, h)
				}
			},
			"reclassify": func(t *rapid.T) {
				if h, ok := q.Next(now, allKinds); ok {
					q.Reclassify(h, Long)
					queued[h] = q.Item(h)
				}
			},
			"teams": func(t *rapid.T) {
				q.SetTeams(equalTeams(rapid.IntRange(0, 5).Draw(t, "teams")))
			},
			"": func(t *rapid.T) { checkQueue(t, q, queued) },
		})
	})
}

func checkQueue(t *rapid.T, q *Queue, queued map[Handle]Item) {
	var earliest time.Time
	var backlog time.Duration
	for _, it := range queued {
		backlog += it.RunTime
		if earliest.IsZero() || it.StartBy.Before(earliest) {
			earliest = it.StartBy
		}
	}
	if got, _ := q.EarliestStartBy(); !got.Equal(earliest) {
		t.Fatalf("earliest StartBy is %v, want %v", got, earliest)
	}
	if q.Len() != len(queued) || q.Backlog(Short)+q.Backlog(Long) != backlog {
		t.Fatalf("got %d items with a backlog of %v, want %d with %v", q.Len(), q.Backlog(Short)+q.Backlog(Long), len(queued), backlog)
	}
	if _, ok := q.Next(start, allKinds); ok != (len(queued) > 0) {
		t.Fatalf("Next found an item: %v, want %v with %d items", ok, len(queued) > 0, len(queued))
	}
}

func equalTeams(n int) (teams []configuration.Team) {
	for i := range n {
		teams = append(teams, configuration.Team{Name: fleet.Team(fmt.Sprint("t", i)), Share: 1 / float64(n)})
	}
	return teams
}

// Guards against batch work going before latency-critical work, and against
// starvation of either.
func TestClassOrderAndAging(t *testing.T) {
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
		h, _ := q.Next(now, allKinds)
		q.Started()
		if q.Remove(h).Class == fleet.Batch {
			batch++
		}
	}
	if batch != 1000/agedStartInterval {
		t.Errorf("%d of 1000 starts went to overdue batch work, want %d", batch, 1000/agedStartInterval)
	}
}

// Guards against a team that floods the queue and takes slots or queue space
// from 179 teams below their share, and against idle share that can't be
// borrowed.
func TestTeamsBelowShareAreServedDuringFlood(t *testing.T) {
	const teams, slots = 180, 400
	q := New(4096)
	q.SetTeams(equalTeams(teams))
	q.SetSlots(slots)
	flood := q.Team("t0")
	for range 4096 {
		q.Push(start, item(fleet.Urgent, flood, start), slots)
	}
	for range slots {
		h, _ := q.Next(start, allKinds)
		q.AddRunning(q.Remove(h).Team, 1)
		q.Started()
	}
	if q.teams.entries[flood].running != slots {
		t.Fatalf("the flooding team uses %d slots, want all %d", q.teams.entries[flood].running, slots)
	}
	for i := 1; i < teams; i++ {
		team := q.Team(fleet.Team(fmt.Sprint("t", i)))
		short := item(fleet.Normal, team, start)
		short.StartBy = start.Add(50 * time.Millisecond)
		if _, refusal := q.Push(start, short, slots); refusal.Reason != outcome.NoReason {
			t.Fatalf("team %d is below its share and was refused: %v", i, refusal)
		}
	}
	for i := 1; i < teams; i++ {
		h, _ := q.Next(start, allKinds)
		if got := q.Remove(h); got.Team == flood {
			t.Fatalf("start %d went to the flooding team, want a team below its share", i)
		} else {
			q.AddRunning(got.Team, 1)
		}
	}
}

// Guards against accepting work that can't start in time, and against refusals
// without a retry delay.
func TestPushRefusesWaitBeyondDeadline(t *testing.T) {
	q := New(4096)
	q.SetSlots(10)
	accepted := 0
	for range 2000 {
		it := item(fleet.Urgent, Unlisted, start)
		it.StartBy = start.Add(time.Second)
		_, refusal := q.Push(start, it, 10)
		if refusal.Reason == outcome.NoReason {
			accepted++
		} else if refusal.Reason != outcome.DeadlineExceeded || refusal.RetryAfter < minRetryAfter {
			t.Fatalf("got refusal %v, want %v with a delay of at least %v", refusal, outcome.DeadlineExceeded, minRetryAfter)
		}
	}
	if accepted < 700 || accepted > 1000 {
		t.Errorf("%d accepted, want 700 to 1000: 10 slots run 1000 within the deadline", accepted)
	}
	if _, ok := q.Expired(start.Add(time.Second)); !ok {
		t.Error("no item expired at the deadline")
	}
}

// Guards against long work at the head of the queue that blocks short work.
func TestShortWorkPassesBlockedLongWork(t *testing.T) {
	q := New(16)
	long := item(fleet.Urgent, Unlisted, start)
	long.Kind = Long
	q.insert(long)
	short := q.insert(item(fleet.Normal, Unlisted, start))
	if h, _ := q.Next(start, [2]bool{Short: true}); h != short {
		t.Errorf("Next returned item %d, want the short item %d: there is no room for long work", h, short)
	}
}

func BenchmarkPushNextRemove180Teams(b *testing.B) {
	q := New(4096)
	q.SetTeams(equalTeams(180))
	q.SetSlots(400)
	for i := range 2000 {
		q.insert(item(fleet.Class(i%3), TeamIndex(1+i%180), start))
	}
	b.ReportAllocs()
	for i := range b.N {
		q.insert(item(fleet.Class(i%3), TeamIndex(1+i%180), start))
		h, _ := q.Next(start, allKinds)
		q.Remove(h)
		q.Started()
	}
}
