package task

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingfork.example/lacewingfork/fleet"
)

// jobQueue holds the waiting tasks of one job, grouped by the first partition in
// each task's order of preference. The order is that of rendezvous hashing.
type jobQueue struct {
	job         *job
	hash        uint64              // of the job's identifier
	partitions  []fleet.PartitionID // eligible for a task, sorted
	hashes      []uint64            // of partitions
	byPartition map[fleet.PartitionID]*fifo
}

type fifo struct{ items []queued }

type queued struct {
	index int
	since time.Time // when this instance first had the task as waiting
}

// refreshEligible recomputes the eligible partitions of all queued jobs. Only jobs
// whose set of partitions changed are queued again.
func (l *Ledger) refreshEligible(now time.Time) {
	l.eligible = map[fleet.Resources][]fleet.PartitionID{}
	for _, q := range l.queues {
		partitions := l.eligiblePartitions(q.job.spec.Resources)
		if !slices.Equal(partitions, q.partitions) {
			l.queueJob(now, q.job.spec.ID)
		}
	}
}

// eligiblePartitions returns the sorted partitions with a backend server that is
// large enough and not leaving.
func (l *Ledger) eligiblePartitions(r fleet.Resources) []fleet.PartitionID {
	known, ok := l.eligible[r]
	if ok {
		return known
	}
	for _, s := range l.listed {
		if !s.Leaving && r.Fits(s.Capacity) {
			known = append(known, s.Partition())
		}
	}
	slices.Sort(known)
	known = slices.Compact(known)
	l.eligible[r] = known
	return known
}

func (l *Ledger) queueAll(now time.Time) {
	ids := make([]fleet.JobID, 0, len(l.fold.jobs))
	for id, j := range l.fold.jobs {
		if j.state == Open {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b fleet.JobID) int {
		return int(int64(l.fold.jobs[a].sequence) - int64(l.fold.jobs[b].sequence))
	})
	for _, id := range ids {
		l.queueJob(now, id)
	}
}

// queueJob queues every waiting task of a job and discards its earlier entries.
func (l *Ledger) queueJob(now time.Time, id fleet.JobID) {
	j := l.fold.jobs[id]
	if j == nil || j.state != Open {
		return
	}
	q := l.queues[id]
	if q == nil {
		q = &jobQueue{job: j, hash: xxhash.Sum64String(string(id))}
		l.queues[id] = q
		l.teamQueues[j.spec.Team] = append(l.teamQueues[j.spec.Team], q)
	}
	q.setPartitions(l.eligiblePartitions(j.spec.Resources))
	q.byPartition = map[fleet.PartitionID]*fifo{}
	for i := range j.tasks {
		if j.tasks[i].state == waiting && l.proposals[Ref{id, i}] == nil {
			l.queueTask(Ref{id, i}, now, false)
		}
	}
}

func (l *Ledger) queueTask(r Ref, since time.Time, front bool) {
	q := l.queues[r.Job]
	if q == nil || q.job.state != Open {
		return
	}
	first := q.first(r.Index)
	f := q.byPartition[first]
	if f == nil {
		f = &fifo{}
		q.byPartition[first] = f
	}
	if front {
		f.items = slices.Insert(f.items, 0, queued{r.Index, since})
	} else {
		f.items = append(f.items, queued{r.Index, since})
	}
	if h := l.holdings[first]; h != nil {
		h.nextScanAt = time.Time{}
	}
}

// dropClosed removes the queues of a team's jobs that are no longer open and
// returns the remaining ones.
func (l *Ledger) dropClosed(name fleet.Team) []*jobQueue {
	kept := slices.DeleteFunc(l.teamQueues[name], func(q *jobQueue) bool {
		if q.job.state == Open {
			return false
		}
		delete(l.queues, q.job.spec.ID)
		delete(l.tooLargeSince, q.job.spec.ID)
		return true
	})
	if len(kept) == 0 {
		delete(l.teamQueues, name)
	} else {
		l.teamQueues[name] = kept
	}
	return kept
}

// peek returns the queue whose head partition p may start now, or nil. The head
// has p first in its order, or has waited PartitionWait for each partition
// before p.
func (l *Ledger) peek(now time.Time, q *jobQueue, p fleet.PartitionID) *fifo {
	if _, ok := slices.BinarySearch(q.partitions, p); !ok {
		return nil
	}
	if f := q.byPartition[p]; f != nil && l.dropStale(q, f) {
		return f
	}
	for _, first := range q.partitions {
		f := q.byPartition[first]
		if f == nil || first == p || !l.dropStale(q, f) {
			continue
		}
		head := f.items[0]
		waited := now.Sub(head.since)
		if waited < l.settings.PartitionWait {
			continue
		}
		rounds := int(waited / l.settings.PartitionWait)
		if rounds >= len(q.partitions) || rounds >= q.rank(head.index, p) {
			return f
		}
	}
	return nil
}

// dropStale drops heads that no longer wait and reports whether one is left.
func (l *Ledger) dropStale(q *jobQueue, f *fifo) bool {
	for len(f.items) > 0 {
		index := f.items[0].index
		if q.job.tasks[index].state == waiting && l.proposals[Ref{q.job.spec.ID, index}] == nil {
			return true
		}
		f.items = f.items[1:]
	}
	return false
}

func (q *jobQueue) setPartitions(partitions []fleet.PartitionID) {
	q.partitions, q.hashes = partitions, make([]uint64, len(partitions))
	for i, p := range partitions {
		q.hashes[i] = xxhash.Sum64String(string(p))
	}
}

// first returns the first partition in a task's order, or "" if there is none.
func (q *jobQueue) first(index int) fleet.PartitionID {
	var best fleet.PartitionID
	var bestScore uint64
	seed := q.seed(index)
	for i, p := range q.partitions {
		if s := score(seed, q.hashes[i]); best == "" || s > bestScore {
			best, bestScore = p, s
		}
	}
	return best
}

// rank returns the index of a partition in a task's order, from 0.
func (q *jobQueue) rank(index int, of fleet.PartitionID) int {
	seed := q.seed(index)
	own := score(seed, xxhash.Sum64String(string(of)))
	rank := 0
	for _, h := range q.hashes {
		if score(seed, h) > own {
			rank++
		}
	}
	return rank
}

// seed returns the hash of a task. The factor is the increment of splitmix64.
func (q *jobQueue) seed(index int) uint64 {
	return q.hash + uint64(index)*0x9E3779B97F4A7C15
}

// score is the weight of rendezvous hashing; the finaliser is that of
// splitmix64.
func score(seed, partition uint64) uint64 {
	z := seed ^ partition
	z = (z ^ z>>30) * 0xBF58476D1CE4E5B9
	z = (z ^ z>>27) * 0x94D049BB133111EB
	return z ^ z>>31
}

// teamOrder returns the teams with queued jobs, the one that uses the least of
// its share first.
func (l *Ledger) teamOrder() []fleet.Team {
	type use struct {
		name  fleet.Team
		ratio float64
	}
	uses := make([]use, 0, len(l.teamQueues))
	for name := range l.teamQueues {
		slots := l.fold.team(name).slots + l.offered[name]
		uses = append(uses, use{name, float64(slots) / max(l.shares[name], minShare)})
	}
	slices.SortFunc(uses, func(a, b use) int {
		switch {
		case a.ratio < b.ratio:
			return -1
		case a.ratio > b.ratio:
			return 1
		default:
			return strings.Compare(string(a.name), string(b.name))
		}
	})
	names := make([]fleet.Team, len(uses))
	for i, u := range uses {
		names[i] = u.name
	}
	return names
}

// minShare is the share used for a team that has none. Such a team only gets
// capacity that the others leave unused.
const minShare = 0.001
