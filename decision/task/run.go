package task

import (
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

const (
	// callRetryPause is the time before a failed call is retried.
	callRetryPause = time.Second
	// maxCheckpointRefusals is the number of refused checkpoint calls after
	// which an eviction is abandoned.
	maxCheckpointRefusals = 3
)

// phase is the state of a run as known to this instance.
type phase uint8

const (
	// checking waits for a report that shows whether the worker runs the attempt.
	checking phase = iota
	// starting has a start call due or in flight.
	starting
	// confirmed is known to run on the worker.
	confirmed
	// evicting has a checkpoint call due or in flight.
	evicting
	// stopping has a stop call due or in flight.
	stopping
	// endAppended has ended. The record of its end is not read back yet.
	endAppended
)

// run is an attempt on a backend server of a held partition that the fold has as
// running.
type run struct {
	ref     Ref
	attempt int
	server  *server
	phase   phase
	// queued is set while the run is in the server's call queue. call is the ID
	// of the call in flight, or 0.
	queued bool
	call   uint64
	// callNotBefore is the earliest time of the next call.
	callNotBefore time.Time
	// confirmedAt is when the attempt was first known to run. Its absence from
	// an earlier sample is no evidence that it ended.
	confirmedAt time.Time
	// endIfAbsent is the end to record if the worker confirms that the attempt
	// does not run and has no result for it.
	endIfAbsent  End
	reason       string
	evictOnStart bool // evict once the start is confirmed
	refusals     int
}

func (l *Ledger) addRun(now time.Time, h *holding, r Ref, attempt int, server fleet.BackendServerID, p phase) *run {
	s := l.serverOf(now, h, server)
	u := &run{ref: r, attempt: attempt, server: s, phase: p, endIfAbsent: Lost}
	s.runs[r] = u
	return u
}

// readStart acts on a start that was read back and applied with verdict v.
func (l *Ledger) readStart(now time.Time, r Record, v Verdict) {
	p := l.proposals[r.Task]
	if v != Accepted {
		if p != nil && p.matches(r) {
			l.event(Event{Kind: EventStartRejected, Task: r.Task, Server: r.Server, Attempt: r.Attempt, Detail: string(v)})
			l.withdraw(p)
		}
		return
	}
	own := p != nil && p.matches(r)
	if own {
		delete(l.proposals, r.Task)
		p.holding.offers--
		l.offered[p.job.spec.Team] -= slotsOf(p.job.spec)
	} else if p != nil {
		l.event(Event{Kind: EventStartLost, Task: r.Task, Server: p.server, Attempt: p.attempt})
		l.withdraw(p)
	}
	h := l.holdings[r.Partition]
	if h == nil || !h.ready || h.epoch != r.Epoch {
		if own {
			l.release(p.holding, r.Task, r.Attempt, r.Server)
		}
		return
	}
	if own {
		u := l.addRun(now, h, r.Task, r.Attempt, r.Server, starting)
		l.queueCall(now, u)
		return
	}
	// The start was abandoned, or was appended before a restart of the duty.
	// There is no reservation, and an earlier start call may be in flight.
	u := l.addRun(now, h, r.Task, r.Attempt, r.Server, stopping)
	u.endIfAbsent = NotStarted
	l.queueCallAt(now.Add(l.settings.CallTimeout+l.settings.Margin), u)
}

// readEnd acts on an end that was read back and applied with verdict v.
func (l *Ledger) readEnd(now time.Time, r Record, v Verdict, before placement) {
	if v != Accepted {
		return
	}
	kind, detail := EventEnded, r.Reason
	if r.Kind == Evicted {
		kind, detail = EventEvicted, r.Checkpoint
	}
	if s := l.servers[before.server]; s != nil {
		if u := s.runs[r.Task]; u != nil && u.attempt == r.Attempt {
			l.event(Event{Kind: kind, Task: r.Task, Server: before.server, Attempt: r.Attempt, End: r.End, Detail: detail})
			if u.phase != endAppended {
				l.release(s.holding, r.Task, r.Attempt, s.id)
			}
			u.phase = endAppended
			delete(s.runs, r.Task)
		}
	}
	if _, t := l.fold.find(r.Task); t != nil && t.state == waiting {
		l.queueTask(r.Task, now, false)
	}
}

// readCancel stops the running tasks of a cancelled job on the held partitions.
// Its offers are withdrawn when the fold rejects their starts.
func (l *Ledger) readCancel(now time.Time, id fleet.JobID) {
	j := l.fold.jobs[id]
	if j == nil || j.state != CancelledState {
		return
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != running {
			continue
		}
		s := l.servers[l.fold.servers.names[t.server]]
		if s == nil {
			continue
		}
		if u := s.runs[Ref{id, i}]; u != nil {
			l.stop(now, u, Stopped, "job was cancelled")
		}
	}
}

// stop ends an attempt without a checkpoint.
func (l *Ledger) stop(now time.Time, u *run, endIfAbsent End, reason string) {
	if u.phase == endAppended || u.phase == stopping {
		return
	}
	if u.phase == starting && u.call == 0 {
		l.recordEnd(now, u, Record{Kind: Ended, End: NotStarted, Reason: reason})
		return
	}
	u.phase, u.endIfAbsent, u.reason = stopping, endIfAbsent, reason
	if now.Before(u.callNotBefore) {
		l.queueCallAt(u.callNotBefore, u)
		return
	}
	l.queueCall(now, u)
}

// Evict checkpoints and stops a task.
func (l *Ledger) Evict(now time.Time, r Ref, server fleet.BackendServerID) {
	if s := l.servers[server]; s != nil && s.runs[r] != nil {
		l.evict(now, s.runs[r])
	}
}

func (l *Ledger) evict(now time.Time, u *run) {
	switch u.phase {
	case confirmed:
		u.phase, u.refusals = evicting, 0
		l.queueCall(now, u)
	case starting:
		u.evictOnStart = true
	}
}

func (l *Ledger) evictAll(now time.Time, s *server) {
	for _, u := range s.sortedRuns() {
		l.evict(now, u)
	}
}

// Throttle throttles a task or ends its throttling. The call is not retried,
// because the usage reports show the partition duty whether it took effect.
func (l *Ledger) Throttle(now time.Time, r Ref, server fleet.BackendServerID, throttled bool) {
	s := l.servers[server]
	if s == nil || s.runs[r] == nil || s.runs[r].phase != confirmed {
		return
	}
	c := l.newCall(now, s, ThrottleCall)
	c.Task, c.Attempt, c.Throttled = r, s.runs[r].attempt, throttled
	l.out.Calls = append(l.out.Calls, c)
}

// recordEnd releases the reservation of an attempt that no longer runs and appends
// r as its end.
func (l *Ledger) recordEnd(now time.Time, u *run, r Record) {
	if u.phase == endAppended {
		return
	}
	u.phase = endAppended
	h := u.server.holding
	r.Task, r.Attempt, r.Partition, r.Epoch, r.Server = u.ref, u.attempt, h.partition, h.epoch, u.server.id
	l.release(h, u.ref, u.attempt, u.server.id)
	l.append(now, r)
}

// recordObservedEnd records the end that the worker reported. It returns false if
// the attempt still runs.
func (l *Ledger) recordObservedEnd(now time.Time, u *run, seen Observation) bool {
	switch seen.State {
	case WorkerRunning:
		return false
	case WorkerSucceeded:
		l.recordEnd(now, u, Record{Kind: Ended, End: Succeeded})
	case WorkerFailed:
		l.recordEnd(now, u, Record{Kind: Ended, End: Failed, Reason: seen.Reason})
	case WorkerCheckpointed:
		l.recordEnd(now, u, Record{Kind: Evicted, Checkpoint: seen.Checkpoint})
	default:
		l.recordEnd(now, u, Record{Kind: Ended, End: u.endIfAbsent, Reason: u.reason})
	}
	return true
}
