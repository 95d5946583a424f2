package cell

import (
	"cmp"
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

const (
	// copyInterval is the time between two searches for runs that are worth a copy.
	copyInterval = 100 * time.Millisecond
	// copyStartTime is the time from the decision until a copy runs: the order, the
	// answer and the start of its program.
	copyStartTime = 100 * time.Millisecond
	// copyGain is the factor by which the expected rest of a run has to exceed the
	// time of its copy. When the service is highly utilized it is busyCopyGain: from
	// twice that time on, the copy occupies no more processor time than it spares,
	// because the old run is stopped when the copy is done.
	copyGain     = 1.3
	busyCopyGain = 2.0
	// maxCopyShare bounds the copies relative to the finite runs of the cell, and
	// minCopies is the number that is always allowed.
	maxCopyShare = 0.05
	minCopies    = 2
	// maxCopiesPerTask bounds the copies of one task: where two were no faster, the
	// task itself is long.
	maxCopiesPerTask = 2
	// copyTrials is the number of ended copies of a kind from which on it gets further
	// ones only if at least a copyWinShare of them were done first.
	copyTrials   = 8
	copyWinShare = 0.25
	// maxCopySearches bounds the searches for a server at a time: each rates every
	// worker.
	maxCopySearches = 4
)

// copyCandidate is a run that may be worth a copy, with its expected rest.
type copyCandidate struct {
	run  *run
	rest time.Duration
}

// startCopies starts second runs of speculative tasks whose run is expected to take
// longer than another one from its start. Copies use free room only: none starts while
// a task waits for room.
func (c *Cell) startCopies() {
	if !c.settings.UnevenDemand || !c.authority || c.blocked || c.behind || c.now.Steady-c.copiesSearchedAt < copyInterval {
		return
	}
	c.copiesSearchedAt = c.now.Steady
	candidates, allowed := c.copyCandidates()
	if len(candidates) == 0 || allowed <= 0 {
		return
	}
	short := c.servicesShortOfRoom()
	searches := min(allowed, maxCopySearches)
	for _, candidate := range candidates {
		if searches <= 0 || c.startsExhausted() {
			return
		}
		if !short[candidate.run.worker.server.Service] {
			searches--
			c.startCopy(candidate)
		}
	}
}

// copyCandidates returns the runs that may be worth a copy, those with the longest rest
// first, and the number of copies that may be started.
func (c *Cell) copyCandidates() (candidates []copyCandidate, allowed int) {
	finite, copies := 0, 0
	for _, w := range c.sortedWorkers {
		for _, r := range w.runsInOrder {
			if r.task.step.spec.LongRunning {
				continue
			}
			finite++
			if r.copy {
				copies++
			}
			if !c.mayCopy(r) {
				continue
			}
			rest, ends := c.expectedRemaining(r)
			if best := c.expectedAnywhere(r.task); ends && worthCopy(rest, best, copyGain) {
				candidates = append(candidates, copyCandidate{r, rest})
			}
		}
	}
	slices.SortStableFunc(candidates, func(a, b copyCandidate) int { return cmp.Compare(b.rest, a.rest) })
	return candidates, max(minCopies, int(maxCopyShare*float64(finite))) - copies
}

// mayCopy reports whether the task of a run may have a second one. A task that has
// failed or lost a run, or that may crash its server, gets none, nor does a job while a
// crash under it is being recorded: a task that crashes servers would take two at a time.
func (c *Cell) mayCopy(r *run) bool {
	t := r.task
	s := t.step
	if !s.spec.Speculative || s.spec.Gang || s.spec.Estimate <= 0 || r.state != runConfirmed || len(t.runs) != 1 || t.done ||
		s.occurrence.job.ended || len(t.failed) > 0 || t.requeuedAt > 0 || t.isSuspect() || c.crashUnrecorded(s.occurrence.job) || t.copies >= maxCopiesPerTask {
		return false
	}
	times := c.runTimes[c.kindOf(s)]
	return times == nil || times.copies < copyTrials || float64(times.wins) >= copyWinShare*float64(times.copies)
}

// expectedAnywhere returns the expected time of a run on the best worker.
func (c *Cell) expectedAnywhere(t *task) time.Duration {
	base := t.step.spec.Estimate
	if ratios := c.ratiosOf(t.step); ratios != nil {
		return scaled(base, ratios, 0.5)
	}
	return base
}

// worthCopy compares the rest of a run with the time of its copy.
func worthCopy(rest, copyTime time.Duration, gain float64) bool {
	return float64(rest) > gain*float64(copyTime)+float64(copyStartTime)
}

// servicesShortOfRoom returns the services of which a task waits for room.
func (c *Cell) servicesShortOfRoom() map[fleet.Service]bool {
	short := map[fleet.Service]bool{}
	for _, s := range c.ready {
		for _, i := range s.waiting {
			if t := s.tasks[i]; !t.awaitsRack && c.now.Steady >= t.startsFrom() && !s.occurrence.job.ended {
				short[c.queueOf(s.occurrence.job).Service] = true
				break
			}
		}
	}
	return short
}

// startCopy starts a second run of a task on another server if it is worth its time
// there.
func (c *Cell) startCopy(candidate copyCandidate) {
	old, t := candidate.run, candidate.run.task
	avoided := t.avoid
	t.avoid = append(slices.Clone(avoided), old.worker.server.ID)
	w, cost := c.choose(t)
	t.avoid = avoided
	if w == nil || w == old.worker || t.step.spec.BestEffort && c.interferes(w, t, cost) {
		return
	}
	gain := copyGain
	if c.highlyUtilized(w.server.Service) {
		gain = busyCopyGain
	}
	if !worthCopy(candidate.rest, c.expectedRunTime(w, t), gain) {
		return
	}
	t.copies++
	c.uneven.Copies++
	c.startRun(t, w)
}

// copyEnded counts a task of which a copy was started by the run that was done first.
func (c *Cell) copyEnded(r *run) {
	t := r.task
	if t.copies == 0 || t.done {
		return
	}
	times := c.runTimes[c.kindOf(t.step)]
	if times == nil {
		return
	}
	times.copies++
	if r.copy {
		times.wins++
		c.uneven.CopyWins++
	}
	if times.copies >= 4*copyTrials {
		times.copies, times.wins = times.copies/2, times.wins/2 // so that a change shows
	}
}
