package cell

import (
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// A task may crash each server that starts it. The tasks started last before a crash
// are suspects until they have outlived a start. Suspects are started apart from each
// other, so that the next crash tells which of them is at fault, and the job of that
// task is given up.
const (
	// suspectAge is the age of a run up to which a crash of its server counts
	// against its task.
	suspectAge = 5 * time.Second
	// lastStarts is the time before the last start on a server within which a task
	// may have been the one that crashed it. Nothing else is started on a server for
	// as long after the start of a suspect.
	lastStarts = 500 * time.Millisecond
	// probation is the least time that a suspect has to run without a crash to be
	// cleared, and probationMargin the time by which it has to outlive the oldest
	// of its crashed runs.
	probation       = 2 * time.Second
	probationMargin = time.Second
	// crashesAlone is the number of crashes after which a job is given up if only
	// its tasks can have caused the last one. The platform allows it from two on.
	crashesAlone = 2
	// crashesBesideOthers is the same if other tasks had been started just before,
	// none of which was under suspicion as often.
	crashesBesideOthers = 3
	// crashesWithoutDoubt is the number of crashes after which a task is given up
	// whatever else may explain them. The platform allows two starts after three.
	crashesWithoutDoubt = 5
	// commonCauseServers is the number of servers lost at the same moment that
	// suggests a common cause, such as the loss of a rack. sameMoment is how much
	// later some connections to them may break than others.
	commonCauseServers = 3
	sameMoment         = 300 * time.Millisecond
	// faultyServerTime is how long after an unexplained crash of a server another
	// one counts against the server and not against other tasks.
	faultyServerTime = 20 * time.Second
)

// crash is the end of one lifetime of a server.
type crash struct {
	server fleet.BackendServerID
	lost   interval
	runs   []crashedRun
	// withOthers means that other servers were lost at the same moment.
	withOthers bool
	// explained means that the server or a common cause is at fault: the crash does
	// not count against the tasks.
	explained bool
}

// interval is the time within which a server was lost.
type interval struct{ from, to time.Duration }

func (i interval) overlaps(other interval) bool { return i.from <= other.to && other.from <= i.to }

// crashedRun is one of the last runs to be started on a server before it crashed.
type crashedRun struct {
	task *task
	age  time.Duration // from the order to the crash, at most
	soon bool          // the server may have crashed within lastStarts of the order
}

// suspicion is the evidence that a task crashes servers.
type suspicion struct {
	crashes []crashUnderTask
	// earlierCounted and earlierCrashes are the crashes that earlier holders have
	// recorded: those that count against the task, and all.
	earlierCounted int
	earlierCrashes int
	maxAge         time.Duration // of its runs that crashed
}

func (r crashedRun) job() *jobState { return r.task.step.occurrence.job }

// crashUnderTask is a crash of a server that had just started the task. It counts if
// the server may have crashed within lastStarts of the start, unless it had crashed
// shortly before without the task.
type crashUnderTask struct {
	*crash
	counts bool
}

// total returns the number of all crashes.
func (s *suspicion) total() int { return len(s.crashes) + s.earlierCrashes }

// counted returns the number of crashes that nothing else explains.
func (s *suspicion) counted() int {
	n := s.earlierCounted
	for _, c := range s.crashes {
		if c.counts && !c.explained {
			n++
		}
	}
	return n
}

// anyWithOthers reports whether other servers were lost at the moment of a crash that
// counts against the task.
func (s *suspicion) anyWithOthers() bool {
	return slices.ContainsFunc(s.crashes, func(c crashUnderTask) bool { return c.counts && !c.explained && c.withOthers })
}

// onOneServer reports whether all observed crashes are of one server.
func (s *suspicion) onOneServer() bool {
	return len(s.crashes) > 1 && !slices.ContainsFunc(s.crashes, func(c crashUnderTask) bool { return c.server != s.crashes[0].server })
}

// lastRuns returns the runs on a worker that were the last to be ordered before it
// was lost.
func (w *worker) lastRuns(lost interval) []crashedRun {
	lastOrder := time.Duration(0)
	for _, r := range w.runsInOrder {
		if r.orderedAt <= lost.to {
			lastOrder = max(lastOrder, r.orderedAt)
		}
	}
	// An order within the interval may have come too late to be carried out.
	lastOrder = min(lastOrder, lost.from)
	var last []crashedRun
	for _, r := range w.runsInOrder {
		age := lost.to - r.orderedAt
		if r.orderedAt < w.replacedAt || r.generation < w.generation {
			continue // counted with the end of an earlier incarnation, or not carried out
		}
		if age >= 0 && age <= suspectAge && r.orderedAt >= lastOrder-lastStarts && !r.task.done && !r.task.step.occurrence.job.ended {
			last = append(last, crashedRun{task: r.task, age: age, soon: lost.from-r.orderedAt <= lastStarts})
		}
	}
	return last
}

// serverCrashed applies the end of the incarnation of a worker to the evidence
// against the tasks that it had started. It is called while the runs of the ended
// incarnation are still tracked.
func (c *Cell) serverCrashed(w *worker) {
	crashed := &crash{server: w.server.ID, lost: w.lostAt(c.now.Steady)}
	crashed.runs = append(w.lastRuns(crashed.lost), w.lapsedRuns...)
	w.lapsedRuns = nil
	previous := w.lastCrash
	w.lastCrash = crashed
	if len(crashed.runs) == 0 {
		return
	}
	c.explainByCommonCause(crashed)
	faulty := previous != nil && !previous.explained && crashed.lost.to-previous.lost.to < faultyServerTime
	for _, r := range crashed.runs {
		c.suspect(r, crashUnderTask{crash: crashed, counts: r.soon && (!faulty || previous.involves(r.task))})
	}
	c.giveUpCrashing(crashed)
}

// lostAt returns the time within which the present incarnation has ended, as far as
// the holder knows.
func (w *worker) lostAt(now time.Duration) interval {
	lost := interval{from: w.lastAnswerAt, to: now}
	if w.unreachable {
		lost.to = w.unreachableSince
	}
	if w.unreachableSince < w.replacedAt {
		lost = interval{from: max(lost.from, w.replacedAt), to: now}
	}
	for _, r := range w.runsInOrder {
		if r.confirmedAt <= lost.to {
			lost.from = max(lost.from, r.confirmedAt) // its start was answered then
		}
	}
	if w.unreachable && w.connectionBroke {
		lost.from = max(lost.from, lost.to-sameMoment)
	}
	return lost
}

func (c *crash) involves(t *task) bool {
	return slices.ContainsFunc(c.runs, func(r crashedRun) bool { return r.task == t })
}

// onlySuspects reports whether the server may have crashed as soon as suspects of one
// job had been started, and nothing else had been.
func (c *crash) onlySuspects() bool {
	return !slices.ContainsFunc(c.runs, func(r crashedRun) bool {
		return !r.soon || !r.task.isSuspect() || r.job() != c.runs[0].job()
	})
}

// explainByCommonCause marks a crash as explained, and the earlier ones at the same
// moment, if enough servers were lost then. Lost servers are found one after the
// other, so the first crashes are explained by the later ones.
func (c *Cell) explainByCommonCause(crashed *crash) {
	lost, together := 0, []*crash{crashed}
	for _, w := range c.sortedWorkers {
		isCrash := w.lastCrash != nil && w.lastCrash.lost.overlaps(crashed.lost)
		if isCrash || w.unreachable && w.lostAt(c.now.Steady).overlaps(crashed.lost) {
			lost++
		}
		if isCrash && w.lastCrash != crashed {
			together = append(together, w.lastCrash)
		}
	}
	if lost < commonCauseServers {
		return
	}
	for _, other := range together {
		other.withOthers = true
		if other.explained || other.onlySuspects() {
			continue
		}
		other.explained = true
		for _, r := range other.runs {
			r.task.markRuns()
		}
	}
}

// suspect counts a crash against a task. The count has to be recorded before the
// next start of the task: a later holder could not know of it otherwise.
func (c *Cell) suspect(r crashedRun, crashed crashUnderTask) {
	t := r.task
	t.suspicion.crashes = append(t.suspicion.crashes, crashed)
	t.suspicion.maxAge = max(t.suspicion.maxAge, r.age)
	t.markRuns()
	j := t.step.occurrence.job
	c.recordCrash(j)
	c.emit(Note{Event: NoteTaskSuspected, Job: j.job.ID, Task: t.ref().String(), Server: crashed.server, Detail: map[string]any{
		"age_ms": r.age.Milliseconds(), "crashes": t.suspicion.total(), "counted": t.suspicion.counted(), "suspects": len(crashed.runs),
	}})
}

// presumeCrashes counts a crash against each restored suspect that no worker lists
// once all have been fenced: the earlier holder started it after it had recorded the
// suspicion, and nothing observed how that run ended.
func (c *Cell) presumeCrashes() {
	for _, s := range c.ready {
		j := s.occurrence.job
		if !j.restored || j.ended {
			continue
		}
		for _, index := range s.waiting {
			if t := s.tasks[index]; t.isSuspect() {
				t.suspicion.earlierCrashes++
				t.suspicion.earlierCounted++
				c.recordCrash(j)
			}
		}
	}
}

// recordCrash records the crashes under the tasks of a job before the next of them
// starts.
func (c *Cell) recordCrash(j *jobState) {
	c.markDirty(j)
	j.crashBatch = c.nextBatch.number
}

// isSuspect reports whether a crash counts against the task.
func (t *task) isSuspect() bool { return t.suspicion.counted() > 0 }

// markRuns brings the counts of suspect runs of the workers up to date after a
// change of the suspicion.
func (t *task) markRuns() {
	for _, r := range t.runs {
		r.setSuspect(t.isSuspect())
	}
}

// setSuspect counts the run among the suspect ones of its worker, or no longer.
func (r *run) setSuspect(suspect bool) {
	switch {
	case suspect && !r.suspect:
		r.worker.suspectRuns++
	case !suspect && r.suspect:
		r.worker.suspectRuns--
	}
	r.suspect = suspect
}

// giveUpCrashing gives up the job of the task that is at fault for a crash, if the
// evidence tells which one it is.
func (c *Cell) giveUpCrashing(crashed *crash) {
	enough := crashesAlone
	if slices.ContainsFunc(crashed.runs, func(r crashedRun) bool { return r.job() != crashed.runs[0].job() }) {
		enough = crashesBesideOthers
	}
	var accused []*task
	for _, r := range crashed.runs {
		if s := &r.task.suspicion; s.anyWithOthers() || s.onOneServer() {
			enough = crashesBesideOthers // a common cause, or the server, may explain one of them
		}
	}
	for _, r := range crashed.runs {
		if r.task.suspicion.counted() >= enough {
			accused = append(accused, r.task)
		}
		if r.task.suspicion.total() >= crashesWithoutDoubt {
			c.giveUp(r.task)
		}
	}
	for _, t := range accused {
		if t.step.occurrence.job != accused[0].step.occurrence.job {
			return
		}
	}
	if len(accused) > 0 {
		c.giveUp(accused[0])
	}
}

// giveUp ends the job of a task that crashes servers. The crashes under the tasks of
// the job no longer count against other tasks or against the servers.
func (c *Cell) giveUp(t *task) {
	j := t.step.occurrence.job
	if j.ended {
		return
	}
	var servers []fleet.BackendServerID
	for _, crashed := range t.suspicion.crashes {
		servers = append(servers, crashed.server)
	}
	c.emit(Note{Event: NoteTaskGivenUp, Job: j.job.ID, Task: t.ref().String(), Detail: map[string]any{
		"reason": "crashes_servers", "crashes": t.suspicion.total(), "servers": servers,
	}})
	for _, crashed := range t.suspicion.crashes {
		crashed.explained = true
		for _, r := range crashed.runs {
			r.task.markRuns()
		}
	}
	c.failJob(j)
}

// clearSuspicion ends the suspicion against a task that has outlived a start.
func (t *task) clearSuspicion() {
	if t.suspicion.total() > 0 {
		t.suspicion = suspicion{}
		t.markRuns()
	}
}

// clearIfOutlived ends the suspicion against the task of a run that has run for long
// enough without a crash.
func (c *Cell) clearIfOutlived(r *run) {
	if r.task.suspicion.total() > 0 && c.now.Steady-r.confirmedAt >= max(probation, r.task.suspicion.maxAge+probationMargin) {
		r.task.clearSuspicion()
	}
}

// crashUnrecorded reports whether a crash under a task of the job still has to be
// recorded. While the store does not answer, the work goes on without the record.
func (c *Cell) crashUnrecorded(j *jobState) bool {
	return j.crashBatch > 0 && c.storeWait <= maxStoreWait
}

// besideSuspect reports whether a task has to stay off a worker because of a suspect:
// two suspects stay apart until one of them is cleared, and nothing else is started
// within lastStarts of a suspect. The members of a gang run together or not at all.
func (c *Cell) besideSuspect(w *worker, t *task) bool {
	suspect := t.isSuspect()
	if !suspect && w.suspectRuns == 0 {
		return false
	}
	return slices.ContainsFunc(w.runsInOrder, func(r *run) bool {
		sameGang := r.task.step == t.step && t.step.spec.Gang
		justStarted := c.now.Steady-r.orderedAt < lastStarts
		return r.task != t && !sameGang && (suspect && r.suspect || (suspect || r.suspect) && justStarted)
	})
}

const (
	// costBesideSuspect is the cost of a server that a suspect may crash soon.
	costBesideSuspect = costSuspected
	// costEndangered is the cost of each run that a suspect endangers on a server.
	costEndangered = 100.0
)

// crashCost returns the cost of a worker for a task by the evidence of crashes.
func (c *Cell) crashCost(w *worker, t *task) float64 {
	if !t.isSuspect() {
		if w.suspectRuns > 0 {
			return costBesideSuspect
		}
		return 0
	}
	cost := costEndangered * float64(len(w.runs))
	if w.lastCrash != nil && !w.lastCrash.explained && c.now.Steady-w.lastCrash.lost.to < faultyServerTime {
		cost += costSuspected
	}
	return cost
}

// outlived reports whether the end of a run shows that its task does not crash
// servers.
func outlived(end job.End) bool { return end == job.EndDone || end == job.EndFailed }
