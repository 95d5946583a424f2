package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// batch is the content of one append and the state to update once it is durable. It has one
// operation for each key, the last one: a key that is written after its deletion is not
// deleted, and one that is deleted is not written.
type batch struct {
	number       uint64
	jobs         []*jobState
	dirty        map[*jobState]bool
	ended        []*jobState // jobs whose final state is in the records
	servers      []*worker
	deletions    map[Key]bool // those that the batch also writes have no effect
	cursors      map[*worker]endCursor
	interference bool
	leases       bool
	evacuations  bool
	starts       bool
	unbound      []*worker                 // workers that the lease record of the batch does not name any more
	bound        []*worker                 // workers that it names
	late         map[*worker]time.Duration // their lateLeaseUntil
	lastLeases   bool                      // its lease record was taken after the holder had stepped down
	// unknownJobs are the requests for jobs that do not exist, which a later holder
	// may know: the append of the batch shows that there was none.
	unknownJobs []Token
}

// endCursor is the number of the highest end applied from one incarnation of a
// worker.
type endCursor struct {
	incarnation    int64
	lastEndApplied int64
}

func newBatch(number uint64) *batch {
	return &batch{number: number, dirty: map[*jobState]bool{}, deletions: map[Key]bool{}, cursors: map[*worker]endCursor{}, late: map[*worker]time.Duration{}}
}

// addCursor adds the number of the highest end applied from a worker.
func (b *batch) addCursor(w *worker) {
	b.cursors[w] = endCursor{incarnation: w.incarnation, lastEndApplied: w.lastEndApplied}
}

// deleteServer deletes the record of a worker.
func (b *batch) deleteServer(w *worker) {
	b.servers = slices.DeleteFunc(b.servers, func(other *worker) bool { return other.server.ID == w.server.ID })
	b.deletions[serverKey(w.server.ID)] = true
}

// deleteJob deletes the records of a stored job.
func (b *batch) deleteJob(j *jobState) {
	delete(b.dirty, j)
	b.deletions[jobKey(j.job.ID)], b.deletions[progressKey(j.job.ID)] = true, true
}

func (b *batch) empty() bool {
	return len(b.jobs) == 0 && len(b.dirty) == 0 && len(b.servers) == 0 &&
		len(b.deletions) == 0 && len(b.cursors) == 0 && !b.interference && !b.leases && !b.evacuations && !b.starts && len(b.unknownJobs) == 0
}

func (c *Cell) markDirty(j *jobState) { c.nextBatch.dirty[j] = true }

// Batch is a set of records that are appended together. Confirms means that the append is
// also needed without records: it shows that no other instance has taken the cell over.
type Batch struct {
	Number   uint64
	Records  []Record
	Confirms bool
}

// TakeBatch returns the records to append, or ok false if there are none or a
// batch is still in flight. Committed or BatchRefused reports the outcome.
func (c *Cell) TakeBatch() (b Batch, ok bool) {
	if c.inFlight != nil || c.nextBatch.empty() {
		return Batch{}, false
	}
	taken := c.nextBatch
	c.batchNumber++
	c.inFlight, c.nextBatch = taken, newBatch(c.batchNumber)
	b.Number, b.Confirms = taken.number, len(taken.unknownJobs) > 0
	for _, j := range taken.jobs {
		b.Records = append(b.Records, Record{Key: jobKey(j.job.ID), Job: &JobRecord{Job: j.job, Accepted: j.acceptedWall}})
	}
	dirty := make([]*jobState, 0, len(taken.dirty))
	for j := range taken.dirty {
		dirty = append(dirty, j)
	}
	slices.SortFunc(dirty, func(a, b *jobState) int { return cmp.Compare(a.job.ID, b.job.ID) })
	for _, j := range dirty {
		progress := j.progress()
		b.Records = append(b.Records, Record{Key: progressKey(j.job.ID), Progress: &progress})
		if j.ended {
			taken.ended = append(taken.ended, j)
		}
	}
	for _, w := range taken.servers {
		server := w.server
		server.Incarnation = max(server.Incarnation, w.incarnation)
		b.Records = append(b.Records, Record{Key: serverKey(server.ID), Server: &server})
	}
	if taken.interference {
		b.Records = append(b.Records, Record{Key: interferenceKey, Interference: c.interference.record()})
		c.interference.markRecorded()
	}
	if taken.leases {
		b.Records = append(b.Records, Record{Key: leasesKey, Leases: c.leaseRecord(taken)})
	}
	if taken.evacuations {
		b.Records = append(b.Records, Record{Key: evacuationsKey, Evacuations: c.evacuationRecord()})
	}
	if taken.starts {
		b.Records = append(b.Records, Record{Key: startsKey, Starts: c.startRecord()})
	}
	written := map[Key]bool{}
	for _, r := range b.Records {
		written[r.Key] = true
	}
	for _, key := range slices.Sorted(maps.Keys(taken.deletions)) {
		if !written[key] {
			b.Records = append(b.Records, Record{Key: key})
		}
	}
	return b, true
}

// committed applies the effects of a batch that has become durable.
func (c *Cell) committed(number uint64) {
	b := c.inFlight
	if b == nil || b.number != number {
		return
	}
	c.inFlight = nil
	for _, j := range b.jobs {
		c.jobStored(j)
	}
	for _, j := range b.ended {
		c.finalStateRecorded(j)
	}
	for _, token := range b.unknownJobs {
		c.emit(Reply{Token: token, Reply: JobReply{Verdict: NoSuchJob}})
	}
	for j := range b.dirty {
		if j.crashBatch == b.number {
			j.crashBatch = 0
		}
	}
	for _, w := range b.servers {
		w.stored = true
	}
	c.leasesRecorded(b)
	for _, w := range c.sortedWorkers {
		cursor, ok := b.cursors[w]
		if !ok || w.incarnation != cursor.incarnation || cursor.lastEndApplied <= w.lastEndRecorded {
			continue
		}
		w.lastEndRecorded = cursor.lastEndApplied
		if w.lastEndApplied == w.lastEndRecorded && !w.unreachable {
			w.nextHoldAt = c.now.Steady
			c.holdIfDue(w)
		}
	}
	c.needsScheduling = true
}

// batchRefused handles a batch that was certainly not stored. It rejects the jobs
// of the batch and adds the rest to the next batch.
func (c *Cell) batchRefused(number uint64) {
	b := c.inFlight
	if b == nil || b.number != number {
		return
	}
	c.inFlight = nil
	next := c.nextBatch
	for _, w := range b.servers {
		if c.workers[w.server.ID] == w && !slices.Contains(next.servers, w) {
			next.servers = append(next.servers, w)
		}
	}
	maps.Copy(next.deletions, b.deletions) // also of jobs whose new records are refused
	next.interference, next.leases = next.interference || b.interference, next.leases || b.leases
	next.evacuations, next.starts = next.evacuations || b.evacuations, next.starts || b.starts
	next.unknownJobs = append(b.unknownJobs, next.unknownJobs...)
	for j := range b.dirty {
		if c.jobs[j.job.ID] != j {
			continue // removed since
		}
		next.dirty[j] = true
		if j.crashBatch == b.number {
			j.crashBatch = next.number
		}
	}
	for w, cursor := range b.cursors {
		if _, newer := next.cursors[w]; !newer {
			next.cursors[w] = cursor
		}
	}
	c.rejectUnstored(b.jobs)
}
