package task

import (
	"slices"
	"strings"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// lapsedLeasePause is the time between renewal attempts while the partition's own
// lease has expired.
const lapsedLeasePause = 500 * time.Millisecond

// server is a backend server of a held partition.
type server struct {
	id      fleet.BackendServerID
	holding *holding
	runs    map[Ref]*run
	queue   []*run // runs with a call due
	// inFlight has the IDs of the calls in flight that count towards the
	// bounds. Renewals, throttle calls and stops of stray tasks do not.
	inFlight map[uint64]bool
	// lastContactAt is when the worker last responded or sampled a report.
	lastContactAt time.Time
	// lastLeaseAt is the latest time at which this or an earlier holder may have
	// issued a call that grants or extends leases.
	lastLeaseAt time.Time
	// fencedAt is when the worker first responded to a renewal of this epoch.
	// From then on it rejects calls of earlier epochs.
	fencedAt time.Time
	// sampledAt is the sample time of the newest report.
	sampledAt time.Time
	// probeAt is when a faulty server may next be offered a task.
	probeAt time.Time
	// renewalsStopped is set while renewals are withheld from an unresponsive
	// worker, so that its leases expire.
	renewalsStopped bool
}

func (l *Ledger) serverOf(now time.Time, h *holding, id fleet.BackendServerID) *server {
	s := l.servers[id]
	if s != nil && s.holding == h {
		return s
	}
	s = &server{
		id: id, holding: h, runs: map[Ref]*run{}, inFlight: map[uint64]bool{},
		lastContactAt: now, lastLeaseAt: h.takenAt,
	}
	l.servers[id] = s
	h.servers = append(h.servers, s)
	l.renew(now, s)
	return s
}

// openHolding starts the control of a partition: a renewal fences its servers, and
// the attempts that the fold has as running there are checked.
func (l *Ledger) openHolding(now time.Time, h *holding) {
	h.ready = true
	for _, b := range l.listed {
		if b.Partition() == h.partition {
			l.serverOf(now, h, b.ID)
		}
	}
	n := l.fold.partition(h.partition)
	for id, j := range l.fold.jobs {
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.state == running && t.partition == n {
				u := l.addRun(now, h, Ref{id, i}, int(t.attempt), l.fold.servers.names[t.server], checking)
				u.callNotBefore = now.Add(l.settings.CallTimeout + l.settings.Margin) // a call from before a restart may be in flight
			}
		}
	}
	for _, s := range l.servers {
		for _, u := range s.sortedRuns() {
			if u.phase == checking && l.fold.jobs[u.ref.Job].state == CancelledState {
				l.stop(now, u, Stopped, "job was cancelled")
			}
		}
	}
}

// renew periodically extends a worker's leases and detects an unresponsive worker.
func (l *Ledger) renew(now time.Time, s *server) {
	if l.servers[s.id] != s {
		return
	}
	pause := l.settings.RenewEvery
	switch valid := now.Before(s.holding.until); {
	case !valid:
		pause = lapsedLeasePause
	case !s.renewalsStopped || !s.hasActiveRuns():
		// Workers without tasks are called too, so that an unresponsive one is
		// detected before it is offered a task.
		c := l.newCall(now, s, RenewCall)
		c.Lease = l.settings.Lease
		s.lastLeaseAt = now
		l.out.Calls = append(l.out.Calls, c)
	}
	for _, u := range s.sortedRuns() {
		l.queueCall(now, u) // runs skipped while renewals were stopped
	}
	l.issueCalls(now, s)
	l.checkContact(now, s)
	l.timers.add(now.Add(pause), func(now time.Time) { l.renew(now, s) })
}

// checkContact ends the attempts on an unresponsive worker. It first stops the
// renewals. Once the leases have certainly expired, it records the attempts as
// lost, or as not started if their start was not confirmed.
func (l *Ledger) checkContact(now time.Time, s *server) {
	limit := l.settings.Lease + l.settings.Margin
	if !s.hasActiveRuns() || !now.Before(s.holding.until) {
		return
	}
	if !s.renewalsStopped && now.Sub(s.lastContactAt) > limit {
		s.renewalsStopped = true
		l.event(Event{Kind: EventServerUnreachable, Server: s.id})
	}
	if !s.renewalsStopped || now.Sub(s.lastLeaseAt) <= limit+l.settings.CallTimeout {
		return
	}
	for _, u := range s.sortedRuns() {
		end := Lost
		if u.phase == starting {
			end = NotStarted
		}
		l.recordEnd(now, u, Record{Kind: Ended, End: end, Reason: "worker did not answer until the task's lease had lapsed"})
	}
}

// hasActiveRuns reports whether an attempt may still run on the server.
func (s *server) hasActiveRuns() bool {
	for _, u := range s.runs {
		if u.phase != endAppended {
			return true
		}
	}
	return false
}

// isResponsive reports whether the worker is fenced by this epoch and responded
// recently.
func (l *Ledger) isResponsive(now time.Time, s *server) bool {
	return !s.fencedAt.IsZero() && now.Sub(s.lastContactAt) <= 2*l.settings.RenewEvery+l.settings.CallTimeout
}

func (s *server) recordContact(now time.Time) {
	s.lastContactAt = now
	s.renewalsStopped = false
}

func (s *server) recordRenewal(now time.Time, r CallResult) {
	if r.Outcome == CallDone && s.fencedAt.IsZero() {
		s.fencedAt = now
	}
}

// sortedRuns returns the runs ordered by job and index.
func (s *server) sortedRuns() []*run {
	list := make([]*run, 0, len(s.runs))
	for _, u := range s.runs {
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b *run) int {
		if c := strings.Compare(string(a.ref.Job), string(b.ref.Job)); c != 0 {
			return c
		}
		return a.ref.Index - b.ref.Index
	})
	return list
}

// Report processes a worker's report of its tasks. sampledAt is no later than the
// time of the sample.
func (l *Ledger) Report(now time.Time, id fleet.BackendServerID, sampledAt time.Time, tasks []Observation) {
	s := l.servers[id]
	if s == nil || !s.holding.ready || !sampledAt.After(s.sampledAt) || s.fencedAt.IsZero() || !sampledAt.After(s.fencedAt) {
		return
	}
	s.sampledAt = sampledAt
	if sampledAt.After(s.lastContactAt) {
		s.recordContact(sampledAt)
	}
	seen := map[Ref]bool{}
	for _, o := range tasks {
		u := s.runs[o.Task]
		if u == nil || u.attempt != o.Attempt {
			l.stopStray(now, s, o)
			continue
		}
		seen[o.Task] = true
		l.applyObservation(now, u, o)
	}
	for _, u := range s.sortedRuns() {
		if !seen[u.ref] {
			l.handleAbsent(now, u, sampledAt)
		}
	}
}

func (l *Ledger) applyObservation(now time.Time, u *run, o Observation) {
	if u.phase == endAppended || u.phase == stopping && u.call != 0 {
		return
	}
	if o.State == WorkerRunning {
		if u.phase == checking {
			u.phase, u.confirmedAt = confirmed, now
			l.event(Event{Kind: EventAdopted, Task: u.ref, Server: u.server.id, Attempt: u.attempt})
		}
		return
	}
	l.recordObservedEnd(now, u, o)
}

// handleAbsent stops a run that is missing from a report. The response to the stop
// call confirms that the worker does not run it, and returns the result if the
// worker has one.
func (l *Ledger) handleAbsent(now time.Time, u *run, sampledAt time.Time) {
	if u.phase == checking || u.phase == confirmed && sampledAt.After(u.confirmedAt) {
		l.stop(now, u, Lost, "worker no longer reports the task")
	}
}

// stopStray stops an attempt that runs although its end is recorded, for example on
// a worker that was unreachable for longer than its lease.
func (l *Ledger) stopStray(now time.Time, s *server, o Observation) {
	if o.State != WorkerRunning || !now.Before(s.holding.until) {
		return
	}
	if w := l.placementOf(o.Task); w.running && w.server == s.id && w.attempt <= o.Attempt {
		return
	}
	c := l.newCall(now, s, StopCall)
	c.Task, c.Attempt = o.Task, o.Attempt
	l.out.Calls = append(l.out.Calls, c)
	l.event(Event{Kind: EventStrayStopped, Task: o.Task, Server: s.id, Attempt: o.Attempt})
}
