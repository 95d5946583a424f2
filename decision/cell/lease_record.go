package cell

import (
	"cmp"
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// A new holder starts nothing that may still run on a worker which does not answer it.
// How long that is depends on the leases that the earlier holder has granted. The lease
// record tells it, for the workers whose leases the earlier holder does not extend, or
// extends for a short time only. It saves waiting for the longest lease, and waiting anew
// in each of several takeovers.

const leasesKey = Key("leases")

const (
	// quietAfter is how long a worker has to have been without an answer to be put
	// into the lease record. It may not be used until it has been taken out of it.
	quietAfter = 500 * time.Millisecond
	// leaseRecordStep is the time by which the bound of a worker has to have
	// fallen for another record.
	leaseRecordStep = time.Second
	// maxLeaseRows bounds the record to 240,000 bytes with the longest identifiers. The
	// longest leases get the rows; OthersLeftMs bounds the rest.
	maxLeaseRows = 800
)

// LeaseRecord bounds the leases of some workers. It is valid if no holder of a later
// round than Round has held the cell.
type LeaseRecord struct {
	Round   int           `json:"round"`
	Workers []WorkerLease `json:"workers,omitempty"`
	// OthersLeftMs is the LeftMs of the workers without a row; 0 if it is shorter than
	// what a holder assumes of them.
	OthersLeftMs int64 `json:"others_left_ms,omitempty"`
}

// WorkerLease is a promise of a holder: LeftMs milliseconds after the record was written
// at the latest everything on the worker has ended, unless the holder extends its lease.
// It does so for at most RenewedMs at a time, or not at all if that is 0, until it has
// recorded the leases without the worker.
type WorkerLease struct {
	Server    fleet.BackendServerID `json:"id"`
	LeftMs    int64                 `json:"left_ms"`
	RenewedMs int64                 `json:"renewed_ms,omitempty"`
}

// leaseBound is what the lease record says of a worker.
type leaseBound struct {
	renewed time.Duration // longest lease that may be granted; 0 if none may
	full    bool          // that is the ordinary one
	wait    time.Duration // of a holder that takes over
}

// wait returns how long after the takeover a new holder has to wait for the worker.
func (l WorkerLease) wait(s Settings) time.Duration {
	left := time.Duration(l.LeftMs) * time.Millisecond
	if l.RenewedMs > 0 {
		left = max(left, s.AuthorityBound+time.Duration(float64(l.RenewedMs)/(1-clockDrift))*time.Millisecond)
	}
	if left == 0 {
		return 0
	}
	return left + clockMargin
}

// leaseOf returns the promise that the holder can make for a worker now, if any.
func (c *Cell) leaseOf(w *worker) (lease WorkerLease, ok bool) {
	now, renewed := c.now.Steady, time.Duration(0)
	switch {
	case c.steppedDown, w.unreachable && now-w.unreachableSince >= quietAfter, !w.fenced && now-c.restoredAt >= quietAfter:
	case w.fenced && w.server.Draining && !w.unreachable:
		renewed = drainLease
	case w.fenced && w.lateLeaseUntil-now > c.longestWait():
		renewed = c.settings.Lease
	default:
		return WorkerLease{}, false
	}
	left := max(0, max(w.leaseExpiry(), w.earlierHolderUntil)-now)
	if left > 0 {
		left += time.Millisecond // rounded up
	}
	return WorkerLease{Server: w.server.ID, LeftMs: left.Milliseconds(), RenewedMs: renewed.Milliseconds()}, w.stored
}

// recordLeasesIfDue adds the lease record to the next batch if a worker has to be put
// into it or taken out of it, or if the wait for one has fallen by leaseRecordStep.
func (c *Cell) recordLeasesIfDue() {
	for _, w := range c.sortedWorkers {
		lease, ok := c.leaseOf(w)
		w.awaitsLeaseRecord = w.awaitsLeaseRecord && w.lateLeaseUntil-c.now.Steady > c.longestWait()
		switch {
		case !ok && w.bound == nil:
		case !ok || w.bound == nil, lease.RenewedMs != w.bound.renewed.Milliseconds(),
			w.bound.wait-lease.wait(c.settings) >= leaseRecordStep:
			c.nextBatch.leases = true
			return
		}
	}
}

// leaseRecord returns the record for a batch that is being taken. From now on the holder
// keeps to it.
func (c *Cell) leaseRecord(b *batch) *LeaseRecord {
	b.lastLeases = c.steppedDown
	record := &LeaseRecord{Round: c.round}
	c.inLeaseRecord = map[fleet.BackendServerID]bool{}
	for _, w := range c.sortedWorkers {
		lease, ok := c.leaseOf(w)
		if !ok {
			if w.bound != nil {
				b.unbound = append(b.unbound, w)
			}
			continue
		}
		renewed := time.Duration(lease.RenewedMs) * time.Millisecond
		w.bound = &leaseBound{renewed: renewed, full: renewed >= c.settings.Lease, wait: lease.wait(c.settings)}
		b.bound, b.late[w] = append(b.bound, w), w.lateLeaseUntil
		record.Workers, c.inLeaseRecord[w.server.ID] = append(record.Workers, lease), true
	}
	if len(record.Workers) > maxLeaseRows {
		slices.SortStableFunc(record.Workers, func(a, b WorkerLease) int { return cmp.Compare(b.LeftMs, a.LeftMs) })
		if others := record.Workers[maxLeaseRows]; others.wait(c.settings) > c.longestWait() {
			record.OthersLeftMs = others.LeftMs
		}
		record.Workers = record.Workers[:maxLeaseRows]
	}
	return record
}

// leasesRecorded applies the effects of a batch that has become durable: the workers that
// its lease record does not name may be used again.
func (c *Cell) leasesRecorded(b *batch) {
	c.lastLeasesRecorded = c.lastLeasesRecorded || b.lastLeases
	for _, w := range b.bound {
		w.awaitsLeaseRecord = w.awaitsLeaseRecord && w.lateLeaseUntil != b.late[w]
	}
	for _, w := range b.unbound {
		if w.bound = nil; c.workers[w.server.ID] == w {
			w.nextHoldAt = c.now.Steady
			c.holdIfDue(w)
		}
	}
}

// Released reports whether the holder has stepped down and the leases of all workers are
// recorded.
func (c *Cell) Released() bool { return c.lastLeasesRecorded }

// stepDown ends the orders of this holder for good and records the leases of all
// workers, so that the next holder does not wait longer than they last.
func (c *Cell) stepDown() {
	c.authority, c.steppedDown = false, true
	c.nextBatch.leases = true
}
