package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// sites simulates workers in data centres whose evacuation operators request. It fails
// the test at a start in an evacuated data centre.
type sites struct {
	*fixture
	requested []fleet.DataCentre
	known     []fleet.DataCentre // requested at the last read
	runs      map[fleet.BackendServerID][]*siteRun
	ends      map[fleet.BackendServerID][]FinishedRow
	count     int64
	stops     map[string]int // ordered stops of a task by moves
	started   map[fleet.DataCentre]int
	notes     []Note
}

type siteRun struct {
	RunningRow
	spec           *job.Step
	began, stopped time.Duration // stopped is 0 while no stop is ordered
}

const (
	siteStopTime  = 900 * time.Millisecond
	siteStartTime = 200 * time.Millisecond // until full speed
	testMaxAge    = 3 * time.Second
)

// newSites returns data centres by name with the given number of servers.
func newSites(t *testing.T, round int, servers map[fleet.DataCentre]int, records ...Record) *sites {
	s := &sites{
		fixture: newFixture(t, round, records...), runs: map[fleet.BackendServerID][]*siteRun{}, ends: map[fleet.BackendServerID][]FinishedRow{},
		stops: map[string]int{}, started: map[fleet.DataCentre]int{},
	}
	s.cell.settings.MaxEvacuationAge = testMaxAge
	s.configureQueue()
	for name, count := range servers {
		for i := range count {
			s.list(name, i)
		}
	}
	s.handle(ServerListRead{})
	return s
}

func (s *sites) list(name fleet.DataCentre, i int) {
	server := testServer(fleet.BackendServerID(fmt.Sprintf("%s-%d", name, i)))
	server.DataCentre = name
	s.handle(ServerListed{Server: server})
}

// play lets time pass in ticks, with the answers of the workers and reads of the
// requests twice a second.
func (s *sites) play(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += 50 * time.Millisecond
		if s.now%(500*time.Millisecond) == 0 {
			s.known = s.requested
			s.handle(EvacuationsChanged{DataCentres: s.requested, ReadAt: s.now})
		}
		s.handle(Tick{})
		s.handle(PassTime{})
		s.answerOrders()
	}
}

func (s *sites) answerOrders() {
	for _, start := range takeActions[Start](s.fixture) {
		name := s.cell.workers[start.Server].server.DataCentre
		if slices.Contains(s.known, name) {
			s.t.Errorf("task %s started on %s in evacuated %s", start.Task, start.Server, name)
		}
		s.started[name]++
		s.runs[start.Server] = append(s.runs[start.Server], &siteRun{RunningRow: RunningRow{Task: start.Task, Attempt: start.Attempt}, spec: s.cell.lookup(start.Task).step.spec, began: s.now})
		s.acceptStart(start)
	}
	for _, stop := range takeActions[Stop](s.fixture) {
		for _, r := range s.runs[stop.Server] {
			if r.Task == stop.Task && r.Attempt == stop.Attempt && r.stopped == 0 {
				r.stopped = s.now
				s.stops[stop.Task.String()]++
			}
		}
		s.handle(StopAnswered{Server: stop.Server, Task: stop.Task, Attempt: stop.Attempt, OK: true})
	}
	for _, h := range takeActions[Hold](s.fixture) {
		rows := s.rows(h.Server)
		s.handle(HoldAnswered{Server: h.Server, Number: h.Number, Sent: s.now, OK: true, Incarnation: 1, Clock: s.now, Running: rows, Finished: s.ends[h.Server]})
	}
	s.notes = append(s.notes, takeActions[Note](s.fixture)...)
}

// rows ends the runs that are over and returns the others.
func (s *sites) rows(id fleet.BackendServerID) (rows []RunningRow) {
	s.runs[id] = slices.DeleteFunc(s.runs[id], func(r *siteRun) bool {
		spec, age, end := r.spec, s.now-r.began, job.EndDone
		switch {
		case r.stopped > 0 && s.now-r.stopped >= siteStopTime:
			end = job.EndStopped
		case spec.LongRunning || age < spec.Estimate:
			if r.Percent = int(100 * age / max(1, spec.Estimate)); spec.LongRunning {
				r.Percent = min(100, int(100*age/siteStartTime))
			}
			rows = append(rows, r.RunningRow)
			return false
		}
		s.count++
		row := FinishedRow{Number: s.count, Task: r.Task, Attempt: r.Attempt, End: end}
		if spec.Checkpoints && end == job.EndStopped {
			row.Checkpoint = "k"
		}
		s.ends[id] = append(s.ends[id], row)
		return true
	})
	return rows
}

// running returns the number of runs in a data centre.
func (s *sites) running(name fleet.DataCentre) (count int) {
	for id, runs := range s.runs {
		if s.cell.workers[id].server.DataCentre == name {
			count += len(runs)
		}
	}
	return count
}

// available returns the number of tasks at full speed that no stop has reached.
func (s *sites) available() (count int) {
	for _, runs := range s.runs {
		for _, r := range runs {
			if r.stopped == 0 && s.now-r.began >= siteStartTime {
				count++
			}
		}
	}
	return count
}

func (s *sites) noted(event NoteEvent) (found []Note) {
	for _, n := range s.notes {
		if n.Event == event {
			found = append(found, n)
		}
	}
	return found
}
