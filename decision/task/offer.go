package task

import (
	"slices"
	"strings"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

const (
	// offerTimeout is how long a partition duty may take to answer an offer;
	// one that was restarted never does.
	offerTimeout = 2 * time.Second
	// declineInterval is how long tasks of the declined size or larger are not
	// offered to the partition, unless room becomes free before.
	declineInterval = 500 * time.Millisecond
	// scanInterval is the time between looks for a task that found none.
	scanInterval = 250 * time.Millisecond
	// reuseServerAfter is how long a task waits for a server on which it did
	// not fail yet.
	reuseServerAfter = 20 * time.Second
	// faultyProbeInterval is how often a server that fails everything gets a task.
	faultyProbeInterval = time.Minute
)

// proposal is a task on its way from waiting to a start that is read back.
type proposal struct {
	ref     Ref
	attempt int
	holding *holding
	job     *job
	since   time.Time // since when the task waits
	server  fleet.BackendServerID
	// placed is set once the partition duty has reserved room on server and
	// the start was appended.
	placed bool
}

func (l *Ledger) offerTasks(now time.Time) {
	if len(l.teamQueues) == 0 {
		return
	}
	if !l.outage.since.IsZero() {
		if now.Before(l.outage.probeAt) {
			return
		}
		l.outage.probeAt = now.Add(outageProbeInterval)
		l.timers.add(l.outage.probeAt, func(time.Time) {})
		l.probeLog(now)
		return
	}
	for _, h := range l.partitionsToScan(now) {
		l.offerFor(now, h)
	}
}

// partitionsToScan returns the held partitions for which a task may be looked for now, in
// an order that doesn't depend on that of a map.
func (l *Ledger) partitionsToScan(now time.Time) []*holding {
	var list []*holding
	for _, h := range l.holdings {
		if h.ready && !now.Before(h.nextScanAt) && now.Before(h.until) {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, func(a, b *holding) int { return strings.Compare(string(a.partition), string(b.partition)) })
	return list
}

// probeLog makes one offer while the log is silent and no start is on its way.
func (l *Ledger) probeLog(now time.Time) {
	if len(l.proposals) > 0 {
		return
	}
	for _, h := range l.partitionsToScan(now) {
		if l.offerOne(now, h) {
			return
		}
	}
}

func (l *Ledger) offerFor(now time.Time, h *holding) {
	h.declined = slices.DeleteFunc(h.declined, func(d declined) bool { return !now.Before(d.until) })
	for h.offers < l.settings.OffersPerPartition {
		if !l.offerOne(now, h) {
			h.nextScanAt = now.Add(scanInterval)
			l.timers.add(h.nextScanAt, func(time.Time) {})
			return
		}
	}
}

// offerOne offers the next task to a partition: the team that uses the least
// of its share goes first, within it the job with the fewest running tasks, so
// that a job with many tasks doesn't hold back the others of its team.
func (l *Ledger) offerOne(now time.Time, h *holding) bool {
	for _, name := range l.teamOrder() {
		var best *jobQueue
		var from *fifo
		for _, q := range l.dropClosed(name) {
			if best != nil && q.job.running >= best.job.running || h.wasDeclined(q.job.spec.Resources) {
				continue
			}
			if f := l.peek(now, q, h.partition); f != nil {
				best, from = q, f
			}
		}
		if best != nil {
			head := from.items[0]
			from.items = from.items[1:]
			l.offer(now, h, best.job, head)
			return true
		}
	}
	return false
}

func (h *holding) wasDeclined(r fleet.Resources) bool {
	for _, d := range h.declined {
		if d.resources.Fits(r) {
			return true
		}
	}
	return false
}

func (l *Ledger) offer(now time.Time, h *holding, j *job, head queued) {
	t := &j.tasks[head.index]
	p := &proposal{
		ref: Ref{j.spec.ID, head.index}, attempt: int(t.attempt) + 1,
		holding: h, job: j, since: head.since,
	}
	l.proposals[p.ref] = p
	h.offers++
	l.offered[j.spec.Team] += slotsOf(j.spec)
	l.out.Offers = append(l.out.Offers, Offer{
		Task: p.ref, Attempt: p.attempt, Partition: h.partition, Epoch: h.epoch,
		Kind: j.spec.Kind, Team: j.spec.Team, Resources: j.spec.Resources,
		Avoid: l.serversToAvoid(now, h, t, head.since),
	})
	l.timers.add(now.Add(offerTimeout), func(time.Time) {
		if l.proposals[p.ref] == p && !p.placed {
			l.withdraw(p)
		}
	})
}

// serversToAvoid lists the servers on which a task failed, and those of the partition
// that fail everything or don't answer. A task that found no other server for
// long enough may fail on the same one again, so that its job ends where there
// are few servers.
func (l *Ledger) serversToAvoid(now time.Time, h *holding, t *task, since time.Time) []fleet.BackendServerID {
	var list []fleet.BackendServerID
	if t.retry != nil && now.Sub(since) < reuseServerAfter {
		list = l.fold.serverNames(t.retry.failedOn)
	}
	for _, s := range h.servers {
		if (!l.isResponsive(now, s) || l.avoidFaulty(now, s)) && !slices.Contains(list, s.id) {
			list = append(list, s.id)
		}
	}
	return list
}

// avoidFaulty reports whether a server is avoided because it fails everything. One
// task in faultyProbeInterval is let through, so that a repaired server is noticed.
func (l *Ledger) avoidFaulty(now time.Time, s *server) bool {
	if !l.fold.IsFaulty(s.id) {
		return false
	}
	if now.Before(s.probeAt) {
		return true
	}
	s.probeAt = now.Add(faultyProbeInterval)
	return false
}

// Placed takes the answer that room is reserved for an attempt.
func (l *Ledger) Placed(now time.Time, r Release) {
	p := l.proposals[r.Task]
	h := l.holdings[r.Partition]
	if p == nil || h == nil || p.holding != h || h.epoch != r.Epoch || p.attempt != r.Attempt || p.placed {
		if p == nil || !p.placed || p.server != r.Server || p.attempt != r.Attempt {
			l.out.Releases = append(l.out.Releases, r)
		}
		return
	}
	p.placed, p.server = true, r.Server
	j, t := l.fold.find(r.Task)
	if t == nil || j.state != Open || !now.Before(h.until) {
		l.withdraw(p)
		return
	}
	l.append(now, Record{
		Kind: Started, Task: r.Task, Attempt: r.Attempt, Partition: r.Partition,
		Epoch: r.Epoch, Server: r.Server, Checkpoint: t.checkpoint(),
	})
}

// Declined takes the answer that no room is free.
func (l *Ledger) Declined(now time.Time, r Ref, attempt int, from fleet.PartitionID) {
	p := l.proposals[r]
	if p == nil || p.placed || p.attempt != attempt || p.holding.partition != from {
		return
	}
	p.holding.declined = append(p.holding.declined, declined{p.job.spec.Resources, now.Add(declineInterval)})
	l.withdraw(p)
}

// withdraw gives the room of a proposal back and lets the task wait on.
func (l *Ledger) withdraw(p *proposal) {
	delete(l.proposals, p.ref)
	p.holding.offers--
	l.offered[p.job.spec.Team] -= slotsOf(p.job.spec)
	if p.placed {
		l.release(p.holding, p.ref, p.attempt, p.server)
	}
	_, t := l.fold.find(p.ref)
	if t != nil && t.state == waiting && int(t.attempt)+1 == p.attempt {
		l.queueTask(p.ref, p.since, true)
	}
}

func (l *Ledger) release(h *holding, r Ref, attempt int, server fleet.BackendServerID) {
	h.declined, h.nextScanAt = nil, time.Time{}
	l.out.Releases = append(l.out.Releases, Release{
		Task: r, Attempt: attempt, Partition: h.partition, Epoch: h.epoch, Server: server,
	})
}

// abandonStart gives up a start that was not read back in time. If its record
// shows up later nevertheless, readStart ends the attempt as not started.
func (l *Ledger) abandonStart(id string, r Record) {
	delete(l.pending, id)
	if p := l.proposals[r.Task]; p != nil && p.matches(r) {
		l.withdraw(p)
	}
}

func (p *proposal) matches(r Record) bool {
	return p.placed && p.attempt == r.Attempt && p.server == r.Server &&
		p.holding.partition == r.Partition && p.holding.epoch == r.Epoch
}
