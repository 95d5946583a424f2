package cell

import (
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

const (
	// migrationInterval is the time between two moves off evacuated data centres.
	migrationInterval = 100 * time.Millisecond
	// minMigrations is the number of tasks that may be on their way at a time. Large
	// cells have one for each workersPerMigration workers, so that the rest of the cell
	// takes a data centre of a sixth of them over in half a minute.
	minMigrations       = 4
	workersPerMigration = 25
	// stepMigrations bounds the tasks of one step that are on their way, if the step
	// does not bound its unavailable tasks more tightly.
	stepMigrations = 2
	// migrationCost is the time that a move costs a task that resumes from a checkpoint:
	// up to 0.9 s for the stop, up to 0.6 s for the restore, up to 1 s of work since the
	// checkpoint, and the wait for the next list and the next start.
	migrationCost = 3 * time.Second
	// migrationRetry is the time until a step without room elsewhere is tried again, and
	// maxMigrationSearches bounds the searches without a result at a time.
	migrationRetry       = time.Second
	maxMigrationSearches = 4
	// reservationTimeout bounds the time that a place is kept for a task whose stop is
	// not confirmed. A stop takes up to 1 s, and a second more if its answer is lost.
	reservationTimeout = 5 * time.Second
)

// reservation keeps room on a worker for a task that is being moved there, so that the
// task does not wait for room after its run has been stopped.
type reservation struct {
	task   *task
	worker *worker
	need   fleet.Resources
	madeAt time.Duration
	// claimed means that the worker has no room yet and the run of the task goes on.
	claimed bool
}

func (c *Cell) reserve(t *task, w *worker) {
	r := &reservation{task: t, worker: w, need: countedNeed(t.step.spec), madeAt: c.now.Steady}
	t.reservation = r
	w.reserved, w.reservations = w.reserved.Add(r.need), append(w.reservations, r)
	c.evacuations.reservations = append(c.evacuations.reservations, r)
	c.starts++ // what is known about the room is out of date
}

func (c *Cell) release(r *reservation) {
	other := func(o *reservation) bool { return o == r }
	r.task.reservation = nil
	r.worker.reserved, r.worker.reservations = r.worker.reserved.Sub(r.need), slices.DeleteFunc(r.worker.reservations, other)
	c.evacuations.reservations = slices.DeleteFunc(c.evacuations.reservations, other)
	c.forgetRoom()
}

// releaseUnused drops the reservations that serve no task any more.
func (c *Cell) releaseUnused() {
	for _, r := range slices.Clone(c.evacuations.reservations) {
		if r.task.done || r.task.step.occurrence.job.ended || !r.worker.usable() || r.worker.dataCentre.evacuated ||
			c.now.Steady-r.madeAt >= reservationTimeout || r.claimed && !c.stillMoves(r.task) {
			r.task.step.nextMigration = c.now.Steady + migrationRetry
			c.release(r)
		}
	}
}

// stillMoves reports whether a task runs in an evacuated data centre.
func (c *Cell) stillMoves(t *task) bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool { return r.worker.dataCentre.evacuated })
}

// startReserved starts the waiting tasks of a step for which room is reserved.
func (c *Cell) startReserved(s *stepState) {
	if len(c.evacuations.reservations) == 0 {
		return
	}
	queue := c.queueOf(s.occurrence.job)
	for _, index := range slices.Clone(s.waiting) {
		t := s.tasks[index]
		if t.reservation == nil || c.now.Steady < t.startsFrom() || c.startsExhausted() {
			continue
		}
		w := t.reservation.worker
		c.release(t.reservation)
		if c.canRunFrom(queue, w, t) {
			s.waiting = slices.DeleteFunc(s.waiting, func(i int) bool { return i == index })
			c.startRun(t, w)
		}
	}
}

// takeReserved releases the reservations of a gang and returns their workers, or nil if
// the gang has to be placed anew.
func (c *Cell) takeReserved(s *stepState) []*worker {
	if slices.ContainsFunc(s.tasks, func(t *task) bool { return t.reservation == nil }) {
		return nil
	}
	queue := c.queueOf(s.occurrence.job)
	placed, usable := make([]*worker, 0, len(s.tasks)), true
	for _, t := range s.tasks {
		w := t.reservation.worker
		c.release(t.reservation)
		usable = usable && c.canRunFrom(queue, w, t)
		placed = append(placed, w)
	}
	if !usable {
		return nil
	}
	return placed
}

// migrate moves at most one task or gang off an evacuated data centre: long-running
// tasks first, because they don't end there, then tasks that resume from a checkpoint.
// All others end there.
func (c *Cell) migrate() {
	e := &c.evacuations
	c.releaseUnused()
	if len(e.dataCentres) == 0 || !c.authority || c.blocked || !c.serverListRead || !c.evacuationsCurrent() {
		return
	}
	c.useClaims()
	c.reportEvacuations()
	if c.now.Steady-e.migratedAt < migrationInterval || len(e.reservations) >= c.maxMigrations() {
		return
	}
	e.migratedAt = c.now.Steady
	searches := 0
	for _, longRunning := range []bool{true, false} {
		for _, w := range c.sortedWorkers {
			if !w.dataCentre.evacuated {
				continue
			}
			for _, r := range w.runsInOrder {
				if r.task.step.spec.LongRunning != longRunning || c.stays(r) != staysNot {
					continue
				}
				if c.move(r) {
					return
				}
				r.task.step.nextMigration = c.now.Steady + migrationRetry
				if searches++; searches == maxMigrationSearches {
					return
				}
			}
		}
	}
}

func (c *Cell) maxMigrations() int {
	return max(minMigrations, len(c.sortedWorkers)/workersPerMigration)
}

// staying is the reason why a run in an evacuated data centre is not moved now.
type staying int

const (
	staysNot         staying = iota
	staysMoving              // it is being stopped, or its start is not confirmed
	staysUnreachable         // its worker does not answer
	staysEnding              // it ends by itself before a move would pay
	staysBound               // its step allows no further unavailable task
	staysClaim               // its next place becomes free soon
	staysRoom                // there was no room for it elsewhere lately
	staysCrowded             // its users lose less while it stays than in the crowd elsewhere
	stayingCount
)

var stayingNames = [stayingCount]string{"to_move", "moving", "unreachable", "ending", "unavailable_bound", "place_claimed", "no_room", "crowded"}

// stays returns why a run in an evacuated data centre is not moved now.
func (c *Cell) stays(r *run) staying {
	t, s := r.task, r.task.step
	switch {
	case t.reservation != nil && t.reservation.claimed:
		return staysClaim
	case r.state != runConfirmed || t.reservation != nil:
		return staysMoving
	case r.worker.unreachable:
		return staysUnreachable
	case !s.spec.LongRunning && (!s.spec.Checkpoints || r.remaining() <= migrationCost):
		return staysEnding
	case s.spec.LongRunning && s.spec.Gang && s.spec.MaxUnavailable > 0 && s.spec.MaxUnavailable < len(s.tasks):
		return staysBound
	case s.spec.LongRunning && !s.spec.Gang && (!c.mayDisrupt(t) || s.moving() >= stepMigrations):
		return staysBound
	case c.now.Steady < s.nextMigration:
		return staysRoom
	case c.settings.TriageByCost && r.serves() && c.crowdedElsewhere(c.queueOf(s.occurrence.job).Service):
		return staysCrowded
	default:
		return staysNot
	}
}

// crowdedElsewhere reports whether the data centres that are not evacuated have so little
// free capacity that a further serving task there and its neighbours disturb each other.
func (c *Cell) crowdedElsewhere(service fleet.Service) bool {
	return c.maxInterferenceWait(service) == highUtilizationWait
}

// moving returns the number of tasks of the step that are on their way.
func (s *stepState) moving() int {
	count := 0
	for _, t := range s.tasks {
		if t.reservation != nil {
			count++
		}
	}
	return count
}

// move reserves room for the task of a run, or for its gang, and stops it. It reports
// false if there is no room elsewhere.
func (c *Cell) move(r *run) bool {
	s := r.task.step
	if !s.spec.Gang {
		target := c.migrationTarget(r.task)
		if target == nil {
			return c.claim(r.task)
		}
		c.reserve(r.task, target)
		c.stopForMigration(r)
		return true
	}
	before := make([][]*run, len(s.tasks))
	for i, t := range s.tasks {
		before[i], t.runs = t.runs, nil // they attract each other to where they are
	}
	placed := c.placeGang(s)
	for i, t := range s.tasks {
		t.runs = before[i]
	}
	if placed == nil {
		return false
	}
	for i, t := range s.tasks {
		c.reserve(t, placed[i])
		for _, r := range slices.Clone(t.runs) {
			c.stopForMigration(r)
		}
	}
	return true
}

func (c *Cell) stopForMigration(r *run) {
	r.task.disruptedAt = c.now.Steady
	c.stopRun(r, ReasonEvacuation)
}

// ReasonEvacuation is the reason in the log for a stop by a move.
const ReasonEvacuation = "evacuation"

// migrationTarget returns the worker with the lowest cost for a task that is to be
// moved, or nil. The advisor of the queue, if any, is asked once the task waits.
func (c *Cell) migrationTarget(t *task) (best *worker) {
	if c.exceedsRoom(t.step) {
		return nil
	}
	service, bestCost := c.queueOf(t.step.occurrence.job).Service, 0.0
	for _, i := range c.openWorkers(service, t.step.spec.BestEffort) {
		w := c.sortedWorkers[i]
		if c.obstacleOnOpen(w, t) != obstacleNone {
			continue
		}
		if cost := c.cost(w, t); best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	switch {
	case best == nil:
		c.searchFailed(c.roomKeyOf(t.step))
	case t.step.spec.BestEffort && bestCost >= costInterferes:
		return nil
	}
	return best
}
