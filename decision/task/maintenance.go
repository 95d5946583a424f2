package task

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingfork.example/lacewingfork/fleet"
)

const (
	// maxPartsInFlight bounds the snapshot parts that are appended and not read
	// back, so that a snapshot does not delay other records.
	maxPartsInFlight = 2
	// snapshotSpread is the interval over which the instances' snapshots are
	// spread, so that usually one instance writes a snapshot and the others read
	// it before they would write their own.
	snapshotSpread = 10 * time.Second
	// idleSnapshotFactor times SnapshotAge is the time between snapshots without
	// new records. Without them the log's retention would drop the last one.
	idleSnapshotFactor = 4
	// tooLargeCheckInterval is the time between checks for jobs that are too
	// large.
	tooLargeCheckInterval = time.Second
)

// checkSnapshot requests a snapshot once enough records followed the last one, or
// it is too old. The record count has to be at least twice the number of tasks,
// which bounds the snapshots' share of the log's volume.
func (l *Ledger) checkSnapshot(now time.Time) {
	if l.snapshotDue || !l.outage.since.IsZero() || len(l.queuedParts) > 0 {
		return
	}
	age := now.Sub(l.lastSnapshotAt)
	many := l.recordsSinceSnapshot >= l.settings.SnapshotRecords && l.recordsSinceSnapshot >= 2*l.fold.Counts().Tasks
	old := l.recordsSinceSnapshot > 0 && age >= l.settings.SnapshotAge
	idle := len(l.fold.jobs) > 0 && age >= idleSnapshotFactor*l.settings.SnapshotAge
	if !many && !old && !idle {
		return
	}
	l.snapshotDue = true
	at := l.fold.position
	spread := xxhash.Sum64String(fmt.Sprint(l.settings.Instance, at)) % uint64(snapshotSpread)
	l.timers.add(now.Add(time.Duration(spread)), func(time.Time) {
		l.out.Snapshot = l.snapshotDue && l.Ready()
	})
}

// AppendParts appends the parts of the snapshot that Actions.Snapshot requested.
func (l *Ledger) AppendParts(now time.Time, parts []Part) {
	l.snapshotDue, l.recordsSinceSnapshot, l.lastSnapshotAt = false, 0, now
	for i := range parts {
		l.queuedParts = append(l.queuedParts, Append{Record: Record{Kind: SnapshotPart, Part: &parts[i]}})
	}
	for range maxPartsInFlight {
		l.nextPart(now)
	}
}

func (l *Ledger) nextPart(now time.Time) {
	if len(l.queuedParts) == 0 {
		return
	}
	next := l.queuedParts[0]
	l.queuedParts = l.queuedParts[1:]
	l.append(now, next.Record)
}

// checkTooLarge sets aside jobs whose tasks have been larger than every listed
// backend server for TooLargeAfter. The holder of the job's first partition
// appends the record; the holder of each later one follows after another
// PartitionWait.
func (l *Ledger) checkTooLarge(now time.Time) {
	l.timers.add(now.Add(tooLargeCheckInterval), l.checkTooLarge)
	if !l.Ready() || len(l.listed) == 0 || !l.outage.since.IsZero() {
		return
	}
	for id, q := range l.queues {
		if q.job.state != Open {
			continue
		}
		largest, fits := l.largest(q.job.spec.Resources)
		if fits {
			delete(l.tooLargeSince, id)
			continue
		}
		since, known := l.tooLargeSince[id]
		if !known {
			l.tooLargeSince[id], since = now, now
		}
		rank, holds := l.ownRank(id)
		if holds && now.Sub(since) >= l.settings.TooLargeAfter+time.Duration(rank)*l.settings.PartitionWait {
			l.append(now, Record{Kind: SetAside, Task: Ref{Job: id}, Reason: fmt.Sprintf(
				"a task needs %+v; no backend server of the region holds that, the largest has %+v",
				q.job.spec.Resources, largest)})
		}
	}
}

// largest returns the backend server capacity with the most processor time,
// and whether the resources fit into any.
func (l *Ledger) largest(r fleet.Resources) (largest fleet.Resources, fits bool) {
	for _, s := range l.listed {
		if r.Fits(s.Capacity) {
			return s.Capacity, true
		}
		if s.Capacity.MilliCPU > largest.MilliCPU {
			largest = s.Capacity
		}
	}
	return largest, false
}

// ownRank returns the lowest rank of a held partition in a job's order of all
// listed partitions, and whether any partition is held.
func (l *Ledger) ownRank(id fleet.JobID) (int, bool) {
	q := jobQueue{job: l.fold.jobs[id], hash: xxhash.Sum64String(string(id))}
	q.setPartitions(l.eligiblePartitions(fleet.Resources{}))
	best, holds := 0, false
	for _, p := range q.partitions {
		if l.holdings[p] == nil {
			continue
		}
		if rank := q.rank(0, p); !holds || rank < best {
			best, holds = rank, true
		}
	}
	return best, holds
}
