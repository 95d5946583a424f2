package task

import (
	"fmt"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// rebuild is the state of a fold that started empty or lost records.
type rebuild struct {
	// begun is set once it is known where the records read begin.
	begun bool
	// done is set once the fold is complete up to the newest record read.
	done     bool
	caughtUp bool
	// snapshotMissingSince is when no further record was there and no snapshot had
	// come; lost is set once the state was given up.
	snapshotMissingSince time.Time
	stateLost            bool
	// tail holds the records read while a snapshot is still missing. The
	// log's retention bounds it.
	tail []entry
}

type entry struct {
	at     Position
	id     string
	record Record
}

// Begin tells that the next record is the first of the stream. Records read
// before Begin or Truncated are ignored, because a restarted duty may get
// records from the middle of the stream until the reader starts again.
func (l *Ledger) Begin() {
	if !l.rebuild.begun {
		l.rebuild.begun, l.rebuild.done = true, true
	}
}

// Truncated tells that records before the next one are gone. The state is
// rebuilt from a snapshot, and what is held is announced again.
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

// Read takes the record at a position; id is the one it was appended under. It
// returns what the fold did with it, or NotApplicable while it can't tell.
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

// CaughtUp tells that no newer record was in the log, whose next offset is
// given.
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

// stateLostAfter is how long a snapshot may be missing. It is longer than an
// instance that has the state takes to write one while no records come.
const stateLostAfter = 15 * time.Minute

// declareStateLost ends the wait for a snapshot that nobody will write: all
// instances were down until the log's retention had dropped the last one. What
// the remaining records say is written as a snapshot, and every instance takes
// the first that is complete, its own or another's, so that their states stay
// equal.
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

// Restore takes a snapshot whose parts were all read. It reports false when
// the snapshot is not needed or older than the oldest record read.
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

// actOn does what a record that was read back calls for.
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

// placement names the partition and server of a running attempt.
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
