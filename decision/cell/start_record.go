package cell

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// A new holder does not know which starts of the earlier one had no answer. The start
// record names those that may still be carried out by an incarnation that neither of them
// has reached, so that it starts their tasks no sooner than the earlier holder would have.

const (
	startsKey = Key("starts")
	// maxStartRows bounds the record to 240,000 bytes with the longest identifiers. The
	// newest starts get the rows; OthersLeftMs bounds the rest.
	maxStartRows = 600
)

// StartRecord names the starts without an answer. It is valid for every later holder.
type StartRecord struct {
	Starts []UnansweredStart `json:"starts,omitempty"`
	// OthersLeftMs is the LeftMs of the starts without a row; 0 if there are none.
	OthersLeftMs int64 `json:"others_left_ms,omitempty"`
}

// UnansweredStart is a start without an answer. LeftMs milliseconds after the record was
// written at the latest, a run that it may have begun has ended.
type UnansweredStart struct {
	Server  fleet.BackendServerID `json:"id"`
	Task    string                `json:"task"`
	Attempt int                   `json:"attempt"`
	LeftMs  int64                 `json:"left_ms"`
}

// recordStartsIfDue adds a start record to the next batch once the last one names only
// starts that can no longer be carried out.
func (c *Cell) recordStartsIfDue() {
	if c.startsRecorded && !c.nextBatch.starts && !slices.ContainsFunc(c.sortedWorkers, func(w *worker) bool {
		return c.now.Steady < c.latestLeaseEnd(w.newestUnanswered())
	}) {
		c.nextBatch.starts = true
	}
}

// startRecord returns the record for a batch that is being taken. A start whose answer is
// not due yet is included only if its worker does not answer.
func (c *Cell) startRecord() *StartRecord {
	record := &StartRecord{}
	add := func(w *worker, t *task, attempt int, end time.Duration) {
		if left := end - c.now.Steady; left > 0 && !t.step.spec.Speculative {
			record.Starts = append(record.Starts, UnansweredStart{
				Server: w.server.ID, Task: t.ref().String(), Attempt: attempt, LeftMs: left.Milliseconds() + 1,
			})
		}
	}
	for _, w := range c.sortedWorkers {
		for _, r := range w.runsInOrder {
			if !r.heldByLease() && !r.refused && (r.state != runOrdered || w.unreachable) {
				add(w, r.task, r.key.attempt, w.endOf(r))
			}
		}
		for _, s := range w.settledStarts {
			if !w.leavesAsPlanned(s.task) {
				add(w, s.task, s.attempt, c.latestLeaseEnd(s.orderedAt))
			}
		}
	}
	if len(record.Starts) > maxStartRows {
		slices.SortStableFunc(record.Starts, func(a, b UnansweredStart) int { return cmp.Compare(b.LeftMs, a.LeftMs) })
		record.OthersLeftMs = record.Starts[maxStartRows].LeftMs
		record.Starts = record.Starts[:maxStartRows]
	}
	c.startsRecorded = len(record.Starts) > 0
	return record
}

// restoreStarts tracks the starts of earlier holders that may still be carried out as
// uncertain runs, until their workers are fenced.
func (c *Cell) restoreStarts(r *StartRecord) {
	c.startsRecorded = len(r.Starts) > 0
	c.startsUntil = c.now.Steady + time.Duration(r.OthersLeftMs)*time.Millisecond
	for _, s := range r.Starts {
		ref, valid := job.ParseTaskRef(s.Task)
		w, t := c.workers[s.Server], c.lookup(ref)
		if !valid || w == nil || t == nil || t.done || !t.step.opened {
			continue
		}
		end := c.now.Steady + time.Duration(s.LeftMs)*time.Millisecond
		c.trackUnanswered(w, t, s.Attempt, end-c.latestLeaseEnd(0))
	}
}

func (r *StartRecord) check(report func(key, problem, expected string)) {
	checkMs := func(key string, ms int64) {
		if ms < 0 || ms > maxLeaseMs {
			report(key, fmt.Sprintf("is %d", ms), fmt.Sprintf("0 to %d", maxLeaseMs))
		}
	}
	checkMs("others_left_ms", r.OthersLeftMs)
	for _, s := range r.Starts {
		checkMs("starts.left_ms", s.LeftMs)
		if _, valid := job.ParseTaskRef(s.Task); !valid {
			report("starts.task", fmt.Sprintf("is %.*q", quotedBytes, s.Task), "job.occurrence.step.index")
		}
		if !validAttempt(s.Attempt) {
			report("starts.attempt", fmt.Sprintf("is %d", s.Attempt), fmt.Sprintf("1 to %d", maxAttempt))
		}
	}
}
