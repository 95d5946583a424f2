package cell

import (
	"maps"
	"slices"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// succeed returns the fixture of the next holder, which restores the records of f. Server
// "b" answers it.
func (f *fixture) succeed(round int) *fixture {
	var records []Record
	for _, key := range slices.Sorted(maps.Keys(f.records)) {
		records = append(records, f.records[key])
	}
	next := newFixture(f.t, round, records...)
	next.now = f.now
	next.cell = New(DefaultSettings(), round)
	next.cell.Restore(next.moment(), records)
	next.records = f.records
	next.configureQueue()
	next.handle(ServerListed{Server: testServer("a")})
	next.handle(ServerListed{Server: testServer("b")})
	next.handle(ServerListRead{})
	return next
}

// answerAllBut answers the holds of all servers except the given one.
func (f *fixture) answerAllBut(silent fleet.BackendServerID) {
	for _, h := range takeActions[Hold](f) {
		f.handle(HoldAnswered{Server: h.Server, Number: h.Number, Sent: f.now, OK: h.Server != silent, Incarnation: 1, Clock: f.now})
	}
}

// Guards against takeovers in a series that each wait for the longest lease anew, so that
// a task whose server is lost stays down (LOST, users' record of 5 December 2026), and
// against a start before the lease has expired (TWICE).
func TestTakeoversInSeriesWaitForLeaseOnce(t *testing.T) {
	for name, stepDown := range map[string]bool{"planned stops": true, "kills": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.setUpServers(testServer("a"), testServer("b"))
			f.submit(testJob, longRunningStep(1))
			start := f.takeStarts()[0]
			f.acceptStart(start)
			f.advance(50 * time.Millisecond)
			lost := f.now // the server answers nothing from now on
			leaseEnd := f.cell.workers[start.Server].leaseGranted
			for round := 2; ; round++ {
				for taken := f.now; f.now-taken < 2*time.Second; {
					f.answerAllBut(start.Server)
					f.advance(50 * time.Millisecond)
					if starts := takeActions[Start](f); len(starts) > 0 {
						if f.now < leaseEnd {
							t.Errorf("started again at %v, before the lease ended at %v", f.now, leaseEnd)
						}
						if waited := f.now - lost; waited > returnLimit {
							t.Errorf("started again %v after the loss of the server, in round %d", waited, round-1)
						}
						return
					}
				}
				if f.now-lost > 30*time.Second {
					t.Fatal("the task did not start again within 30 s")
				}
				if stepDown {
					f.handle(SteppedDown{})
					if !f.cell.Released() {
						t.Fatal("the leases are not recorded after the step down")
					}
				}
				f = f.succeed(round)
			}
		})
	}
}

// Guards against the extension of a lease beyond what the record says, which a holder
// that takes over relies on.
func TestRecordedLeaseIsNotExtended(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	f.submit(testJob, longRunningStep(1))
	start := f.takeStarts()[0]
	f.acceptStart(start)
	running := map[fleet.BackendServerID][]RunningRow{"a": {{Task: start.Task, Attempt: start.Attempt, Percent: fullSpeed}}}
	f.advance(50 * time.Millisecond)
	f.answerAllBut("a")
	f.advance(quietAfter + 100*time.Millisecond)
	record := f.records[leasesKey].Leases
	if record == nil || len(record.Workers) != 1 || record.Workers[0].RenewedMs != 0 {
		t.Fatalf("got lease record %+v, want one for the silent worker", record)
	}
	// The worker answers again while the store does not.
	f.cell.Handle(f.moment(), Tick{})
	f.actions = append(f.actions, f.cell.Actions()...)
	takeActions[Hold](f)
	f.cell.workers["a"].holdInFlight = 77
	f.cell.Handle(f.moment(), HoldAnswered{Server: "a", Number: 77, Sent: f.now, OK: true, Incarnation: 1, Clock: f.now, Running: running["a"]})
	f.actions = append(f.actions, f.cell.Actions()...)
	for _, h := range takeActions[Hold](f) {
		if h.Deadline != 0 {
			t.Errorf("got a lease until %v although the record says that none is granted", h.Deadline)
		}
	}
	b, ok := f.cell.TakeBatch()
	if !ok || b.Records[0].Leases == nil || len(b.Records[0].Leases.Workers) != 0 {
		t.Fatalf("got batch %+v, want a lease record without the worker", b)
	}
	f.cell.workers["a"].holdInFlight = 0
	f.cell.Handle(f.moment(), Committed{Batch: b.Number})
	f.actions = append(f.actions, f.cell.Actions()...)
	if holds := takeActions[Hold](f); len(holds) != 1 || holds[0].Deadline == 0 {
		t.Errorf("got holds %+v once the record is durable, want one that extends the lease", holds)
	}
}

// Guards against a holder that relies on the lease record of a holder before the last.
func TestOutdatedLeaseRecordIsNotUsed(t *testing.T) {
	server := testServer("a")
	records := append(restoredRecords(longRunningStep(1), server), Record{Key: leasesKey, Leases: &LeaseRecord{
		Round: 1, Workers: []WorkerLease{{Server: "a"}},
	}})
	for round, waits := range map[int]bool{2: false, 3: true} {
		f := newFixture(t, round, records...)
		if got := f.cell.workers["a"].earlierHolderUntil > 0; got != waits {
			t.Errorf("round %d: waits for the worker: %v, want %v", round, got, waits)
		}
	}
}

// takeoverSeries plays takeovers 0.5 to 5 s apart by planned stops, kills and suspended
// holders that resume, while workers crash, leave and are disconnected.
func takeoverSeries(seed uint64) *model {
	s := scenario{
		faults:   modelFaults{delayedCalls: 0.03, lostResponses: 0.02},
		duration: 55 * time.Second, submitUntil: 28 * time.Second, minFaults: 4, maxFaults: 8, job: seriesJob,
		fault: func(m *model) func() { return m.workerFault() },
		begin: func(m *model) {
			var takeover func()
			takeover = func() {
				if m.now > 30*time.Second {
					return
				}
				m.takeover()
				m.after(500*time.Millisecond+time.Duration(m.random.Int64N(int64(4500*time.Millisecond))), takeover)
			}
			m.after(4*time.Second, takeover)
		},
	}
	return s.run(seed)
}

// seriesJob draws a job of which every third is long-running.
func seriesJob(m *model, id fleet.JobID) job.Job {
	j := randomJob(m, id)
	if m.random.IntN(3) == 0 {
		j.Steps = []job.Step{{Count: 2, Need: fleet.Resources{MilliCPU: 1500, MemoryMiB: 100}, LongRunning: true}}
	}
	return j
}

// workerFault draws a fault of a worker and returns a function that injects it.
func (m *model) workerFault() func() {
	w := m.workers[m.random.IntN(len(m.workers))]
	duration := time.Second + time.Duration(m.random.Int64N(int64(12*time.Second)))
	switch m.random.IntN(3) {
	case 0:
		return func() { w.crash(duration) }
	case 1:
		return func() {
			w.disconnected = true
			m.after(duration, func() { w.disconnected = false })
		}
	default: // it drains and is silent for a while afterwards
		return func() {
			w.draining = true
			m.holder().handle(ServerListed{Server: w.server()})
			m.after(2500*time.Millisecond, func() {
				w.disconnected = true
				m.after(duration, func() {
					w.disconnected, w.draining = false, false
					m.holder().handle(ServerListed{Server: w.server()})
				})
			})
		}
	}
}

// takeover replaces the holder after a planned stop, a crash or a suspension.
func (m *model) takeover() {
	old := m.holder()
	switch m.random.IntN(3) {
	case 0:
		old.handle(SteppedDown{})
		m.after(30*time.Millisecond, func() {
			old.alive = false
			m.elect()
		})
	case 1:
		old.alive = false
		m.after(400*time.Millisecond, func() { m.elect() })
	default:
		old.alive = false
		m.after(900*time.Millisecond, func() { m.elect() })
		m.after(time.Duration(m.random.Int64N(int64(6*time.Second))), func() { old.alive = true; old.tick() })
	}
}

// Guards against second runs when a holder relies on the recorded leases (TWICE), and
// against lost jobs, in takeovers that follow each other. MODEL_SEEDS sets the number of
// seeds.
func TestModelTakeoversInSeries(t *testing.T) { checkSeeds(t, seedCount(t), takeoverSeries) }

// Guards against a worker that is used again under an identifier which the lease record
// still names, after the holder had removed it (TWICE).
func TestReturnedWorkerIsNotUsedWhileLeaseRecordNamesIt(t *testing.T) {
	f := newFixture(t, 2, restoredRecords(longRunningStep(1), testServer("a"))...)
	f.configureQueue()
	f.handle(ServerListRead{})
	for f.cell.workers["a"] != nil {
		f.answerAllBut("a")
		f.advance(50 * time.Millisecond)
	}
	if record := f.records[leasesKey].Leases; record == nil || len(record.Workers) != 1 {
		t.Fatalf("got lease record %+v, want one that names the worker", record)
	}
	f.handle(ServerListed{Server: testServer("a")})
	for range 10 {
		f.answerHolds(nil, nil)
		f.advance(50 * time.Millisecond)
	}
	if starts := f.takeStarts(); len(starts) != 1 || len(f.records[leasesKey].Leases.Workers) != 0 {
		t.Errorf("got starts %+v and lease record %+v, want one start and no worker in the record", starts, f.records[leasesKey].Leases)
	}
}
