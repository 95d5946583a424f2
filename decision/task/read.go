package task

import (
	"fmt"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// rebuild is the progress of rebuilding the fold from the log.
type rebuild struct {
	// begun is set once the position of the first record read is known.
	begun bool
	// done is set once the fold is complete up to the newest record read.
	done     bool
	caughtUp bool
	// snapshotMissingSince is when the end of the log was first reached without
	// a snapshot. stateLost is set once the state was declared lost.
	snapshotMissingSince time.Time
	stateLost            bool
	// tail holds the records read before a snapshot is restored. The log's
	// retention bounds it.
	tail []entry
}

// entry is a record read from the log, with the ID it was appended under.
type entry struct {
	at     Position
	id     string
	record Record
}

// Begin reports that the next record is the first of the stream. Records read
// before Begin or Truncated are ignored, because a restarted duty may receive
// records from the middle of the stream until the reader restarts.
func (l *Ledger) Begin() {
	if !l.rebuild.begun {
		l.rebuild.begun, l.rebuild.done = true, true
	}
}

// Truncated reports that the log no longer has the records before the next one.
// The state is rebuilt from a snapshot, and Held is appended again for the held
// partitions.
func (l *Ledger) Truncated(now time.Time) {
	l.rebuild = rebuild{begun: true}
	held := make([]Holding, 0, len(l.holdings))
	for _, h := range l.holdings {
		held = append(held, Holding{h.partition, h.epoch, h.until})
		l.dropHolding(h)
	}
	l.fold = NewFold()
	l.queues, l.teamQueues = map[fleet.JobID]*jobQueue{}, map[fleet.Team][]*jobQueue{}
	l.pending, l.queuedParts, l.snapshotDue = map[string]*pendingAppend{}, nil, false
	l.SetHoldings(now, held)
}

// Read processes the record at a position; id is the ID it was appended under. It
// returns the fold's verdict, or NotApplicable while the state is not rebuilt.
func (l *Ledger) Read(now time.Time, at Position, id string, r Record) Verdict {
	if !l.rebuild.begun {
		return NotApplicable
	}
	l.logResponded(now)
	if !l.rebuild.done {
		l.rebuild.tail = append(l.rebuild.tail, entry{at, id, r})
		if l.pending[id] != nil {
			delete(l.pending, id)
			l.nextPart(now)
		}
		return NotApplicable
	}
	return l.apply(now, entry{at, id, r})
}

// CaughtUp reports that the log has no newer record and that its next offset is
// next.
func (l *Ledger) CaughtUp(now time.Time, next fleet.Offset) {
	if !l.rebuild.begun {
		return
	}
	l.logResponded(now)
	if !l.rebuild.done {
		l.declareStateLost(now, next)
		return
	}
	if l.rebuild.caughtUp {
		return
	}
	l.rebuild.caughtUp = true
	l.event(Event{Kind: EventRebuilt, Detail: fmt.Sprintf("%d jobs", len(l.fold.jobs))})
	l.refreshEligible(now)
	l.queueAll(now)
	for _, h := range l.holdings {
		l.appendHeld(now, h)
	}
}

// stateLostAfter is the time without a snapshot after which the state is declared
// lost. It exceeds the time in which an instance that has the state writes a
// snapshot while no records arrive.
const stateLostAfter = 15 * time.Minute

// declareStateLost ends the wait for a snapshot after stateLostAfter. This happens
// when all instances were down until the log's retention dropped the last
// snapshot. The state that the remaining records give is written as a snapshot.
// Every instance restores the first complete one, its own or another's, so that
// their states stay equal.
func (l *Ledger) declareStateLost(now time.Time, next fleet.Offset) {
	if l.rebuild.snapshotMissingSince.IsZero() {
		l.rebuild.snapshotMissingSince = now
	}
	if l.rebuild.stateLost || now.Sub(l.rebuild.snapshotMissingSince) < stateLostAfter {
		return
	}
	l.rebuild.stateLost = true
	l.fold = NewFold()
	for _, e := range l.rebuild.tail {
		l.fold.Apply(e.at, e.record)
	}
	if at := (Position{Offset: next - 1}); at.After(l.fold.position) {
		l.fold.position = at
	}
	l.event(Event{Kind: EventStateLost, Detail: fmt.Sprintf("no snapshot; %d records are left", len(l.rebuild.tail))})
	l.out.Snapshot = true
}

// Restore restores the state from a snapshot whose parts were all read, and applies
// the records read since. It returns false if the state is already rebuilt or
// the snapshot does not reach the oldest record read.
func (l *Ledger) Restore(now time.Time, s Snapshot) bool {
	if l.rebuild.done {
		l.recordsSinceSnapshot, l.lastSnapshotAt, l.snapshotDue = 0, now, false
		return false
	}
	if len(l.rebuild.tail) == 0 || s.At.Offset+1 < l.rebuild.tail[0].at.Offset {
		return false
	}
	l.fold = Restore(s)
	tail := l.rebuild.tail
	l.rebuild.done, l.rebuild.tail = true, nil
	for _, e := range tail {
		l.apply(now, e)
	}
	l.recordsSinceSnapshot, l.lastSnapshotAt = len(tail), now
	return true
}

func (l *Ledger) apply(now time.Time, e entry) Verdict {
	before := l.placementOf(e.record.Task)
	verdict := l.fold.Apply(e.at, e.record)
	if verdict == AlreadyApplied {
		return verdict
	}
	l.recordsSinceSnapshot++
	p := l.pending[e.id]
	delete(l.pending, e.id)
	if l.rebuild.caughtUp {
		l.actOn(now, e, verdict, before, p)
	}
	return verdict
}

// actOn takes the actions that follow from a record that was read back. p is the
// pending append of the record, or nil; before is the task's placement before it.
func (l *Ledger) actOn(now time.Time, e entry, verdict Verdict, before placement, p *pendingAppend) {
	switch e.record.Kind {
	case JobSubmitted:
		if verdict == Accepted {
			l.event(Event{Kind: EventAccepted, Task: Ref{Job: e.record.Job.ID}})
			l.queueJob(now, e.record.Job.ID)
		}
	case Held:
		l.readHeld(now, e.record)
	case Started:
		l.readStart(now, e.record, verdict)
	case Ended, Evicted:
		l.readEnd(now, e.record, verdict, before)
	case Cancelled:
		l.readCancel(now, e.record.Task.Job)
	case SetAside:
		if verdict == Accepted {
			l.event(Event{Kind: EventSetAside, Task: e.record.Task, Detail: e.record.Reason})
		}
	case SnapshotPart:
		if p != nil {
			l.nextPart(now)
		}
	}
}

func (l *Ledger) readHeld(now time.Time, r Record) {
	h := l.holdings[r.Partition]
	if h == nil {
		return
	}
	if h.epoch < l.fold.Epoch(r.Partition) {
		l.dropHolding(h)
		return
	}
	if h.epoch == r.Epoch && !h.ready {
		l.openHolding(now, h)
	}
}

// placement is the partition and server of a running attempt. It is zero for a
// task that does not run.
type placement struct {
	partition fleet.PartitionID
	epoch     fleet.Epoch
	server    fleet.BackendServerID
	attempt   int
	running   bool
}

func (l *Ledger) placementOf(r Ref) placement {
	_, t := l.fold.find(r)
	if t == nil || t.state != running {
		return placement{}
	}
	return placement{
		partition: l.fold.partitions.names[t.partition], epoch: t.epoch,
		server: l.fold.servers.names[t.server], attempt: int(t.attempt), running: true,
	}
}
