package task

import (
	"slices"
	"strings"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

const (
	// offerTimeout is the time after which an unanswered offer is withdrawn. A
	// restarted partition duty does not answer earlier offers.
	offerTimeout = 2 * time.Second
	// declineInterval is the time for which tasks of a declined size or larger
	// are not offered to the partition, unless a reservation is released first.
	declineInterval = 500 * time.Millisecond
	// scanInterval is the time to the next scan of a partition after one that found
	// no task to offer.
	scanInterval = 250 * time.Millisecond
	// reuseServerAfter is the time that a task waits for a server on which it
	// has not failed.
	reuseServerAfter = 20 * time.Second
	// faultyProbeInterval is the time between probe tasks on a faulty server.
	faultyProbeInterval = time.Minute
)

// proposal is an attempt that was offered to a partition and whose start is not
// read back yet.
type proposal struct {
	ref     Ref
	attempt int
	holding *holding
	job     *job
	since   time.Time // when the task began to wait
	server  fleet.BackendServerID
	// placed is set once the partition duty has made a reservation on server.
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
		l.timers.add(l.outage.probeAt, func(time.Time) {}) // makes Step due then
		l.probeLog(now)
		return
	}
	for _, h := range l.partitionsToScan(now) {
		l.offerFor(now, h)
	}
}

// partitionsToScan returns the held partitions whose scan is due, sorted so that
// the order does not depend on map iteration.
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

// probeLog makes one offer if none is in flight. It is called during log outages.
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
			l.timers.add(h.nextScanAt, func(time.Time) {}) // makes Step due then
			return
		}
	}
}

// offerOne offers the next task to a partition and reports whether there was one.
// The team that uses the least of its share goes first, and within it the job
// with the fewest running tasks, so that a job with many tasks does not delay the
// others of its team.
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

// serversToAvoid lists the servers on which a task failed, and the faulty or
// unresponsive servers of the partition. After reuseServerAfter without another
// server a task may run on the same one again, so that a failing job also ends
// where there are few servers.
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

// avoidFaulty reports whether a server is avoided because it is faulty. One task
// per faultyProbeInterval is allowed, so that a repaired server is detected.
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

// Placed processes the reservation r that a partition duty made for an offer. It
// appends the start, or releases a reservation that is no longer needed.
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

// Declined processes the answer of a partition duty that has no room for an offer.
func (l *Ledger) Declined(now time.Time, r Ref, attempt int, from fleet.PartitionID) {
	p := l.proposals[r]
	if p == nil || p.placed || p.attempt != attempt || p.holding.partition != from {
		return
	}
	p.holding.declined = append(p.holding.declined, declined{p.job.spec.Resources, now.Add(declineInterval)})
	l.withdraw(p)
}

// withdraw releases the reservation of a proposal, if any, and puts the task back
// at the front of its queue.
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

// abandonStart withdraws a start that was not read back in time. If its record is
// read later, readStart ends the attempt as not started.
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
