package cell

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// small returns a step of finite tasks of which a test server has room for four.
func small(count int) job.Step {
	return job.Step{Count: count, Need: fleet.Resources{MilliCPU: 4000, MemoryMiB: 1000}, Estimate: time.Second}
}

// withStep returns a changed copy of a step.
func withStep(s job.Step, change func(*job.Step)) job.Step {
	change(&s)
	return s
}

// Guards against starts in an evacuated data centre, of any kind of task, and against
// evacuations that last after their withdrawal.
func TestEvacuatedDataCentreGetsNoStart(t *testing.T) {
	gang := withStep(small(6), func(s *job.Step) { s.Gang = true })
	bestEffort := withStep(small(12), func(s *job.Step) { s.BestEffort = true })
	for _, c := range []struct {
		name      string
		step      job.Step
		evacuated []fleet.DataCentre
		started   int // while evacuated
	}{
		{"finite", small(12), []fleet.DataCentre{"east"}, 12},
		{"two data centres", small(12), []fleet.DataCentre{"east", "north"}, 12},
		{"long-running", longRunningStep(6), []fleet.DataCentre{"east"}, 6},
		{"gang", gang, []fleet.DataCentre{"east"}, 6},
		{"best effort", bestEffort, []fleet.DataCentre{"east"}, 12},
		{"gang without room elsewhere", withStep(gang, func(s *job.Step) { s.Count = 13 }), []fleet.DataCentre{"east", "north"}, 0},
		{"everywhere", small(2), []fleet.DataCentre{"east", "north", "west"}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSites(t, 1, map[fleet.DataCentre]int{"east": 3, "north": 3, "west": 3})
			s.requested = c.evacuated
			s.play(time.Second)
			s.submit(testJob, c.step)
			s.play(6 * time.Second)
			if started := s.started["west"] + s.started["north"]; started != c.started {
				t.Errorf("got %d starts while %v are evacuated, want %d", started, c.evacuated, c.started)
			}
			s.requested = nil
			s.play(time.Second)
			s.submit("00000000000000ab", small(30))
			s.play(5 * time.Second)
			if s.started["east"] == 0 {
				t.Error("got no start in the reopened data centre, want some")
			}
		})
	}
}

// Guards against a move that costs callers more than it has to: more tasks of a step
// unavailable than it allows, a task that waits for room after its stop, short tasks that
// are stopped, and tasks that lose their work.
func TestEvacuationMovesRunningWork(t *testing.T) {
	bounded := withStep(longRunningStep(6), func(s *job.Step) { s.MaxUnavailable = 1 })
	long := withStep(small(12), func(s *job.Step) { s.Estimate = 20 * time.Second })
	checkpointing := withStep(long, func(s *job.Step) { s.Checkpoints = true })
	for _, c := range []struct {
		name           string
		step           job.Step
		elsewhere      int // servers in the other data centre
		left           int // runs in the evacuated one after 15 s
		stops          int // in all
		minAvailable   int
		maxUnavailable int
	}{
		{"long-running", longRunningStep(6), 3, 0, 6, 0, 2 * stepMigrations},
		{"long-running with a bound", bounded, 3, 0, 6, 0, 1},
		{"no room", longRunningStep(6), 0, 6, 0, 0, 0},
		{"room for four", longRunningStep(6), 2, 2, 4, 0, 2 * stepMigrations},
		{"short", withStep(small(12), func(s *job.Step) { s.Checkpoints, s.Estimate = true, 2*time.Second }), 3, 0, 0, 0, 12},
		{"long without checkpoints", long, 3, 12, 0, 0, 0},
		{"long with checkpoints", checkpointing, 3, 0, 12, 0, 12},
		{"gang with checkpoints", withStep(checkpointing, func(s *job.Step) { s.Gang = true }), 3, 0, 12, 0, 12},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSites(t, 1, map[fleet.DataCentre]int{"east": 3})
			s.play(time.Second)
			s.submit(testJob, c.step)
			s.play(time.Second)
			if s.running("east") != c.step.Count {
				t.Fatalf("got %d runs, want %d", s.running("east"), c.step.Count)
			}
			for i := range c.elsewhere {
				s.list("west", i)
			}
			s.requested = []fleet.DataCentre{"east"}
			unavailable := 0
			for range 300 {
				s.play(50 * time.Millisecond)
				if c.step.LongRunning {
					unavailable = max(unavailable, c.step.Count-s.available())
				}
			}
			stops := 0
			for _, n := range s.stops {
				stops += n
			}
			if s.running("east") != c.left || stops != c.stops || unavailable > c.maxUnavailable {
				t.Errorf("got %d runs left, %d stops and up to %d unavailable tasks, want %d, %d and at most %d",
					s.running("east"), stops, unavailable, c.left, c.stops, c.maxUnavailable)
			}
			if c.left > 0 && len(s.noted(NoteEvacuationProgress)) == 0 {
				t.Error("the log does not show what runs in the evacuated data centre")
			}
			if len(s.cell.evacuations.reservations) > 0 {
				t.Errorf("got %d reservations at the end, want none", len(s.cell.evacuations.reservations))
			}
		})
	}
}

// Guards against serving tasks that are moved into a crowd, where they and their neighbours
// disturb each other.
func TestServingTasksStayWhileItIsCrowdedElsewhere(t *testing.T) {
	serving := withStep(longRunningStep(6), func(s *job.Step) { s.LatencyTarget = 100 * time.Millisecond })
	for _, c := range []struct {
		name      string
		elsewhere int
		moved     bool
	}{{"free elsewhere", 12, true}, {"crowded elsewhere", 3, false}} {
		t.Run(c.name, func(t *testing.T) {
			s := newSites(t, 1, map[fleet.DataCentre]int{"east": 3})
			s.cell.settings.TriageByCost = true
			s.play(time.Second)
			s.submit(testJob, serving)
			s.play(time.Second)
			for i := range c.elsewhere {
				s.list("west", i)
			}
			if !c.moved {
				s.play(time.Second)
				s.submit("00000000000000ab", withStep(longRunningStep(6), func(s *job.Step) { s.Need.MilliCPU = 5000 }))
				s.play(time.Second)
			}
			s.requested = []fleet.DataCentre{"east"}
			s.play(15 * time.Second)
			if got := len(s.stops) > 0; got != c.moved {
				t.Errorf("got stops %v, want moved %t", s.stops, c.moved)
			}
		})
	}
}

// Guards against a task that has been stopped for a move and then waits because others
// have taken the room.
func TestMovedTaskKeepsItsPlace(t *testing.T) {
	s := newSites(t, 1, map[fleet.DataCentre]int{"east": 1})
	s.play(time.Second)
	s.submit(testJob, longRunningStep(2))
	s.play(time.Second)
	s.list("west", 0)
	s.requested = []fleet.DataCentre{"east"}
	s.play(700 * time.Millisecond) // both moves have begun, and neither stop has ended
	s.submit("00000000000000ab", withStep(small(40), func(s *job.Step) { s.Estimate = 30 * time.Second }))
	s.play(5 * time.Second)
	if s.running("east") != 0 || s.available() != 2 || s.started["west"] != 2 {
		t.Errorf("got %d runs left, %d starts elsewhere, want 0 and those of the two moved tasks", s.running("east"), s.started["west"])
	}
}

// Guards against a migration that never finds room because short tasks take whatever
// others return.
func TestMigrationFindsRoomBesideCrowd(t *testing.T) {
	for _, need := range []int64{4000, 8000} { // a short task needs 4,000
		s := newSites(t, 1, map[fleet.DataCentre]int{"east": 1})
		s.play(time.Second)
		s.submit(testJob, withStep(longRunningStep(2), func(s *job.Step) { s.Need.MilliCPU = need }))
		s.play(time.Second)
		for i := range 2 {
			s.list("west", i)
		}
		crowd := func(d time.Duration) {
			for end := s.now + d; s.now < end; s.play(250 * time.Millisecond) {
				s.submit(fleet.JobID(fmt.Sprintf("%016x", 1<<20+int64(s.now))), small(4)) // twice the capacity
			}
		}
		crowd(2 * time.Second)
		s.requested = []fleet.DataCentre{"east"}
		crowd(10 * time.Second)
		if left := s.running("east"); left != 0 {
			t.Errorf("need %d: got %d long-running tasks in the evacuated data centre after 10 s, want none", need, left)
		}
	}
}

// Guards against a withdrawal that does not end the migration, or that leaves tasks
// without a run.
func TestWithdrawalDuringMigration(t *testing.T) {
	s := newSites(t, 1, map[fleet.DataCentre]int{"east": 5, "west": 0})
	s.play(time.Second)
	s.submit(testJob, withStep(longRunningStep(10), func(s *job.Step) { s.MaxUnavailable = 1 }))
	s.play(time.Second)
	for i := range 5 {
		s.list("west", i)
	}
	s.requested = []fleet.DataCentre{"east"}
	s.play(3 * time.Second)
	s.requested = nil
	s.play(500 * time.Millisecond)
	before := len(s.stops)
	s.play(5 * time.Second)
	if len(s.stops) != before || before == 0 || before == 10 || s.available() != 10 {
		t.Errorf("got %d stopped tasks at the withdrawal, %d later and %d available, want some, as many, and all", before, len(s.stops), s.available())
	}
}

// Guards against starts by a holder that does not know the requests: after a takeover,
// after it has stood still, and while it cannot read them (first start later than 5 s
// after the request).
func TestNoStartWithoutCurrentRequests(t *testing.T) {
	before := newSites(t, 1, map[fleet.DataCentre]int{"east": 1, "west": 1})
	before.requested = []fleet.DataCentre{"east"}
	before.play(time.Second)
	records := slices.Collect(maps.Values(before.records))
	read := func(evacuated ...fleet.DataCentre) func(*sites) {
		return func(s *sites) { s.handle(EvacuationsChanged{DataCentres: evacuated, ReadAt: s.now}) }
	}
	unavailable := func(s *sites) { s.handle(EvacuationsChanged{ReadAt: s.now, Unavailable: true}) }
	stale := func(s *sites) {
		s.handle(EvacuationsChanged{ReadAt: s.now - testMaxAge - time.Millisecond, Unavailable: true})
	}
	lostAuthority := func(s *sites) {
		s.handle(AuthorityChanged{})
		s.now += time.Millisecond
		s.handle(EvacuationsChanged{ReadAt: s.now - 2*time.Millisecond}) // by a read from before
		s.handle(AuthorityChanged{Held: true})
	}
	freeze := func(s *sites) { s.now += 10 * time.Second }
	for _, c := range []struct {
		name    string
		records []Record
		events  []func(*sites)
		starts  []fleet.DataCentre // data centres in which tasks start
	}{
		{"new holder, not read", records, nil, nil},
		{"new holder, read", records, []func(*sites){read("west")}, []fleet.DataCentre{"east"}},
		{"new holder, withdrawn since", records, []func(*sites){read()}, []fleet.DataCentre{"east", "west"}},
		{"new holder, store silent", records, []func(*sites){unavailable}, []fleet.DataCentre{"west"}},
		{"new holder, report of an earlier role", records, []func(*sites){stale}, nil},
		{"no earlier record", nil, []func(*sites){unavailable}, []fleet.DataCentre{"east", "west"}},
		{"frozen", nil, []func(*sites){read(), freeze}, nil},
		{"frozen while the store was silent", nil, []func(*sites){read(), unavailable, freeze}, nil},
		{"suspended, steady clock stood still", nil, []func(*sites){read(), lostAuthority}, nil},
		{"suspended, read again", nil, []func(*sites){read(), lostAuthority, read("east")}, []fleet.DataCentre{"west"}},
		{"frozen, read again", nil, []func(*sites){read(), freeze, read("east")}, []fleet.DataCentre{"west"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSites(t, 2, map[fleet.DataCentre]int{"east": 1, "west": 1}, c.records...)
			s.answerOrders()
			for _, event := range c.events {
				event(s)
			}
			s.submit(testJob, small(8))
			s.handle(Tick{})
			s.handle(PassTime{})
			s.answerOrders()
			if started := slices.Sorted(maps.Keys(s.started)); !slices.Equal(started, c.starts) {
				t.Errorf("got starts in %v, want in %v", started, c.starts)
			}
		})
	}
}

// Guards against a typing error in a request that goes unnoticed, and against starts on a
// server that joins the evacuated data centre later.
func TestUnknownDataCentreIsLoggedOnce(t *testing.T) {
	s := newSites(t, 1, map[fleet.DataCentre]int{"west": 1})
	s.requested = []fleet.DataCentre{"east"}
	s.play(5 * time.Second)
	if n := s.noted(NoteEvacuationUnknown); len(n) != 1 || n[0].Detail["data_centre"] != fleet.DataCentre("east") {
		t.Errorf("got lines %v on the unknown data centre, want one", n)
	}
	s.list("east", 0)
	s.submit(testJob, small(8))
	s.play(3 * time.Second)
	if s.started["east"] != 0 || s.started["west"] != 8 {
		t.Errorf("got starts %v, want 8 in west", s.started)
	}
}

// Guards against a wait because of an evacuation that the log blames on something else.
func TestWaitBecauseOfEvacuationIsExplained(t *testing.T) {
	for _, c := range []struct {
		name    string
		need    int64
		servers int
		reason  string
	}{
		{"room only there", 4000, 2, "evacuated"},
		{"no room anywhere", 17000, 2, "no_processor"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSites(t, 1, map[fleet.DataCentre]int{"east": c.servers})
			s.requested = []fleet.DataCentre{"east"}
			s.play(time.Second)
			s.submit(testJob, job.Step{Count: 1, Need: fleet.Resources{MilliCPU: c.need}, Estimate: time.Second})
			s.play(2 * time.Second)
			lines := s.noted(NoteTaskWaits)
			if len(lines) == 0 || lines[0].Detail["reason"] != c.reason || lines[0].Detail["workers_"+c.reason] != c.servers {
				t.Errorf("got lines %v, want reason %q for %d workers", lines, c.reason, c.servers)
			}
		})
	}
}

// Guards against a reopened data centre whose cold servers get their full share at once,
// and against tasks that wait until they are warm.
func TestReopenedColdServersTakeGrowingShare(t *testing.T) {
	for _, c := range []struct {
		name     string
		cold     time.Duration
		takeover bool
		used     [2]int64 // at once, by tasks that begin to wait at the reopening and after half of the time
	}{
		{"cold", 20 * time.Second, false, [2]int64{4000, 8000}},
		{"cold, with a takeover", 20 * time.Second, true, [2]int64{4000, 8000}},
		{"warm", 0, false, [2]int64{16000, 16000}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSites(t, 1, map[fleet.DataCentre]int{"east": 1})
			s.requested = []fleet.DataCentre{"east"}
			s.play(time.Second)
			server := s.cell.workers["east-0"].server
			server.ColdRemaining = c.cold
			s.requested = nil
			s.play(500 * time.Millisecond)
			if c.takeover {
				s = newSites(t, 2, map[fleet.DataCentre]int{"east": 1}, slices.Collect(maps.Values(s.records))...)
			}
			s.handle(ServerListed{Server: server})
			s.play(500 * time.Millisecond)
			for i, want := range c.used {
				s.submit(fleet.JobID(fmt.Sprintf("%016x", 1+i)), withStep(small(4), func(s *job.Step) { s.Estimate = 2 * time.Second }))
				s.play(200 * time.Millisecond)
				if used := s.cell.workers["east-0"].used.MilliCPU; used != want {
					t.Errorf("got %d mCPU in use at step %d, want %d", used, i, want)
				}
				s.play(coldWait)
				if used := s.cell.workers["east-0"].used.MilliCPU; used != 16000 {
					t.Errorf("got %d mCPU in use after a wait of %v at step %d, want 16000", used, coldWait, i)
				}
				s.play(8 * time.Second)
			}
		})
	}
}
