package scheduling

import (
	"context"
	"fmt"
	"time"

	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/decision/partition"
	"lacewingfork.example/lacewingfork/entry/dispatch"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/platformapi"
	"lacewingfork.example/lacewingfork/supervise"
)

const (
	// submissionCapacity exceeds the number of 10 ms requests that a partition of
	// 88 slots starts within a few milliseconds. A larger ring would only hide an
	// overload.
	submissionCapacity = 1024
	// taskCapacity holds the offers and ends of a few ledger steps. The ledger
	// repeats those that a full ring refuses.
	taskCapacity = 256
	// explainCapacity is the number of operators that may query at the same time.
	explainCapacity = 4
	// minCompletionCapacity leaves space for the slots of backend servers that join
	// the rack.
	minCompletionCapacity = 128
	// minFailureStatus is the lowest HTTP status that counts as a failure of the
	// backend server. Lower ones are errors of the caller.
	minFailureStatus = 500
	// drainCheckInterval is how often a draining duty checks whether it is done
	// when no other event wakes it.
	drainCheckInterval = 100 * time.Millisecond
)

// partitionRings holds the input rings of a partition duty.
type partitionRings struct {
	submissions   *supervise.Ring[message.Submission]
	completions   *supervise.Ring[message.ExchangeDone]
	servers       *supervise.Ring[[]fleet.BackendServer]
	usage         *message.UsageRing
	configuration *message.ConfigurationRing
	lease         *supervise.Ring[message.Holding]
	release       *supervise.Ring[struct{}]
	explain       *supervise.Ring[message.ExplainQuery]
	tasks         *supervise.Ring[message.TaskCommand]
}

func newPartitionRings(holding message.Holding, slots int) partitionRings {
	name := func(ring string) string { return fmt.Sprintf("partition.%s.%s", holding.Partition, ring) }
	return partitionRings{
		submissions:   supervise.NewRing[message.Submission](name("submissions"), submissionCapacity, supervise.Refuse),
		completions:   supervise.NewRing[message.ExchangeDone](name("completions"), max(slots, minCompletionCapacity), supervise.Wait),
		servers:       supervise.NewRing[[]fleet.BackendServer](name("servers"), 1, supervise.DropOldest),
		usage:         supervise.NewRing[message.UsageReports](name("usage"), 1, supervise.DropOldest),
		configuration: supervise.NewRing[message.ConfigurationInForce](name("configuration"), 1, supervise.DropOldest),
		lease:         supervise.NewRing[message.Holding](name("lease"), 1, supervise.DropOldest),
		release:       supervise.NewRing[struct{}](name("release"), 1, supervise.DropOldest),
		tasks:         supervise.NewRing[message.TaskCommand](name("tasks"), taskCapacity, supervise.Refuse),
		explain:       supervise.NewRing[message.ExplainQuery](name("explain"), explainCapacity, supervise.Refuse),
	}
}

// all returns every ring, for the metrics and the state dump.
func (r partitionRings) all() []supervise.AnyRing {
	return []supervise.AnyRing{r.submissions, r.completions, r.servers, r.usage, r.configuration, r.lease, r.release, r.explain, r.tasks}
}

// poolOpener opens connection pools to backend servers. dispatch.Supervisor
// implements it.
type poolOpener interface {
	Open(server fleet.BackendServer, epoch fleet.Epoch) *dispatch.Pool
}

// partitionDuty owns the work of one partition under one epoch. When a failure
// loses its state, it refuses every submission and asks for a greater epoch. Under
// the greater epoch, slots count as taken until a usage report shows otherwise.
type partitionDuty struct {
	holding       message.Holding
	servers       []fleet.BackendServer
	configuration message.ConfigurationInForce
	rings         partitionRings
	pools         poolOpener
	relinquish    *supervise.Ring[message.Relinquish]
	events        *supervise.Ring[message.Event]
	signals       *supervise.Ring[message.TaskSignal] // input ring of the ledger duty
	metrics       *Metrics
	started       bool // run was called; a further call follows a failure
}

func (d *partitionDuty) name() string {
	return fmt.Sprintf("%s@%d", d.holding.Partition, d.holding.Epoch)
}

// run serves until the holding is released, every request is answered and no
// exchange is in progress. When it is restarted after a failure, it only refuses.
func (d *partitionDuty) run(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	if d.started {
		return d.refuseAll(ctx, dumps)
	}
	d.started = true
	w := newPartitionWorker(d)
	defer w.shutDown()
	return w.serve(ctx, dumps)
}

// refuseAll relinquishes the epoch and refuses submissions until the holding is
// released. Submissions that arrive in this time have not been run.
func (d *partitionDuty) refuseAll(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	if err := d.relinquish.Put(ctx, message.Relinquish{Partition: d.holding.Partition, Epoch: d.holding.Epoch}); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case s := <-d.rings.submissions.Items():
			if !s.Cancel {
				s.Deliver(message.Refusal(s.Request.ID, outcome.DutyFailed, time.Second))
			}
		case <-d.rings.release.Items():
			return nil
		case r := <-dumps:
			r.Answer(map[string]string{"state": "failed, waits for a greater epoch"})
		}
	}
}

// pending is a request that the partition has accepted but not yet answered.
type pending struct {
	submission message.Submission
	arrived    time.Time
	answer     message.Answer
}

// setAnswer records the answer of an exchange. Only another complete answer replaces
// a complete one, because the decision may deliver a server's failure after a retry
// without an answer.
func (p *pending) setAnswer(a message.Answer) {
	if a.Outcome == outcome.Answered || p.answer.Outcome != outcome.Answered {
		p.answer = a
	}
}

// partitionWorker is the state of one run of a partition duty.
type partitionWorker struct {
	duty          *partitionDuty
	state         *partition.State
	lease         message.Holding
	pools         map[fleet.BackendServerID]*dispatch.Pool
	pending       map[fleet.RequestID]*pending
	keys          *keyedRequests
	attempts      map[fleet.TaskID]int // newest attempt of each task placed here
	inFlight      int
	draining      bool
	reportedSlots slotCounts
	actions       []partition.Action
}

func newPartitionWorker(d *partitionDuty) *partitionWorker {
	w := &partitionWorker{
		duty: d, lease: d.holding,
		state:    partition.New(time.Now(), d.servers, d.configuration.Value),
		pools:    map[fleet.BackendServerID]*dispatch.Pool{},
		pending:  map[fleet.RequestID]*pending{},
		attempts: map[fleet.TaskID]int{},
	}
	w.state.SetLease(d.holding.Partition, d.holding.Epoch)
	w.keys = newKeyedRequests(w.state.Keys())
	w.openPools(d.servers)
	return w
}

// serve handles the input rings until the duty is drained or ctx is done.
func (w *partitionWorker) serve(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	rings := w.duty.rings
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if w.draining && w.inFlight == 0 && len(w.pending) == 0 {
			return nil
		}
		w.resetTimer(timer)
		w.updateSlotGauges()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case s := <-rings.submissions.Items():
			w.submit(ctx, s)
		case done := <-rings.completions.Items():
			w.complete(ctx, done)
		case servers := <-rings.servers.Items():
			w.openPools(servers)
			w.execute(ctx, w.state.SetServers(time.Now(), servers, w.actions[:0]))
		case c := <-rings.configuration.Items():
			w.execute(ctx, w.state.SetConfiguration(time.Now(), c.Value, w.actions[:0]))
		case u := <-rings.usage.Items():
			w.handleUsage(ctx, u)
		case lease := <-rings.lease.Items():
			w.lease = lease
		case <-rings.release.Items():
			w.drain(ctx)
		case c := <-rings.tasks.Items():
			w.handleCommand(ctx, c)
		case q := <-rings.explain.Items():
			_ = q.Reply.Put(ctx, message.ExplainAnswer{Events: w.decisionEvents(q.Subject)})
		case <-timer.C:
			w.execute(ctx, w.state.Tick(time.Now(), w.actions[:0]))
		case r := <-dumps:
			r.Answer(w.dump())
		}
	}
}

// resetTimer sets the timer to the next tick of the decision.
func (w *partitionWorker) resetTimer(timer *time.Timer) {
	wait := time.Hour
	if next := w.state.NextTick(); !next.IsZero() {
		wait = max(time.Millisecond, time.Until(next))
	}
	if w.draining {
		wait = min(wait, drainCheckInterval)
	}
	timer.Reset(wait)
}

func (w *partitionWorker) submit(ctx context.Context, s message.Submission) {
	if s.Cancel {
		w.execute(ctx, w.state.Cancel(time.Now(), s.Request.ID, w.actions[:0]))
		return
	}
	r := s.Request
	if reason := w.refusal(r.ID); reason != outcome.NoReason {
		s.Deliver(w.withHint(message.Refusal(r.ID, reason, 0)))
		return
	}
	if s.IssueKey {
		s.Deliver(w.withHint(w.keys.issue(r.ID)))
		return
	}
	if !w.keys.admit(s) {
		return
	}
	w.pending[r.ID] = &pending{submission: s, arrived: time.Now()}
	w.execute(ctx, w.state.Submit(time.Now(), workOf(r), w.actions[:0]))
}

// refusal returns the reason to refuse a new request, or NoReason to accept it.
func (w *partitionWorker) refusal(id fleet.RequestID) outcome.Reason {
	switch {
	case w.draining:
		return outcome.NotHolder
	case !time.Now().Before(w.lease.Until):
		return outcome.LeaseExpired
	case w.pending[id] != nil:
		return outcome.MalformedRequest
	default:
		return outcome.NoReason
	}
}

func workOf(r *message.Request) partition.Work {
	return partition.Work{
		ID: r.ID, Service: r.Service, Operation: r.Operation, Team: r.Team,
		Class: r.Class, Idempotent: r.Idempotent, Deadline: r.Deadline,
	}
}

func (w *partitionWorker) complete(ctx context.Context, done message.ExchangeDone) {
	w.inFlight--
	if p := w.pending[done.Answer.ID]; p != nil {
		p.setAnswer(done.Answer)
	}
	w.execute(ctx, w.state.Complete(time.Now(), partition.Completion{
		ID: done.Answer.ID, Server: done.Server, Attempt: done.Attempt, Result: resultOf(done),
		Duration: done.Duration, SlotReleased: done.SlotReleased, Leaving: done.Leaving,
	}, w.actions[:0]))
}

func resultOf(done message.ExchangeDone) partition.Result {
	switch {
	case !done.Written:
		return partition.NotWritten
	case done.Answer.Outcome != outcome.Answered:
		return partition.Lost
	case done.Answer.Status >= minFailureStatus:
		return partition.Failed
	default:
		return partition.Succeeded
	}
}

// handleUsage passes the usage reports of the partition's backend servers to the
// decision.
func (w *partitionWorker) handleUsage(ctx context.Context, reports message.UsageReports) {
	for _, r := range reports.Reports {
		if w.pools[r.BackendServer] == nil {
			continue
		}
		for _, t := range r.Tasks {
			w.attempts[t.Task] = max(w.attempts[t.Task], t.Attempt)
		}
		w.execute(ctx, w.state.Report(time.Now(), usageOf(r), w.actions[:0]))
	}
}

func usageOf(r message.UsageReport) partition.Usage {
	u := partition.Usage{
		Server: r.BackendServer, SampledAt: r.SampledAt, RequestSlots: r.RequestSlots,
		Latencies: make(map[fleet.Service]time.Duration, len(r.Latencies)),
	}
	for service, micros := range r.Latencies {
		u.Latencies[service] = time.Duration(micros) * time.Microsecond
	}
	for _, t := range r.Tasks {
		if t.State == platformapi.TaskRunning {
			u.Tasks = append(u.Tasks, partition.RunningTask{
				Task: t.Task, Kind: t.Class, Resources: t.Resources,
				Progress: time.Duration(t.ProgressMillis) * time.Millisecond,
			})
		}
	}
	return u
}

// drain cancels the waiting requests and lets the running ones complete.
func (w *partitionWorker) drain(ctx context.Context) {
	w.draining = true
	for id := range w.pending {
		w.execute(ctx, w.state.Cancel(time.Now(), id, w.actions[:0]))
	}
}

// openPools opens a connection pool to each listed backend server and closes those
// of servers that are no longer listed or have another address. An exchange in
// progress completes first.
func (w *partitionWorker) openPools(servers []fleet.BackendServer) {
	listed := make(map[fleet.BackendServerID]string, len(servers))
	for _, s := range servers {
		listed[s.ID] = s.Address
	}
	for id, pool := range w.pools {
		if listed[id] != pool.Address {
			pool.Close()
			delete(w.pools, id)
		}
	}
	for _, s := range servers {
		if w.pools[s.ID] == nil {
			w.pools[s.ID] = w.duty.pools.Open(s, w.duty.holding.Epoch)
		}
	}
}

// shutDown answers the pending requests with an unknown outcome and closes the pools.
// It runs when the duty ends or fails.
func (w *partitionWorker) shutDown() {
	w.clearSlotGauges()
	for id, p := range w.pending {
		w.keys.end(p.submission.Request, message.UnknownOutcome(id, outcome.DutyFailed))
		p.submission.Deliver(message.UnknownOutcome(id, outcome.DutyFailed))
	}
	for _, pool := range w.pools {
		pool.Close()
	}
}

type partitionDump struct {
	Partition fleet.PartitionID `json:"partition"`
	Epoch     fleet.Epoch       `json:"epoch"`
	LeaseFor  string            `json:"lease_for"`
	Draining  bool              `json:"draining"`
	Free      int               `json:"free_slots"`
	Capacity  int               `json:"slots"`
	Waiting   int               `json:"waiting"`
	InFlight  int               `json:"exchanges_in_progress"`
	Keys      int               `json:"request_keys"`
}

func (w *partitionWorker) dump() partitionDump {
	free, capacity, waiting := w.state.Load(time.Now())
	return partitionDump{
		Partition: w.lease.Partition, Epoch: w.lease.Epoch,
		LeaseFor: time.Until(w.lease.Until).Round(time.Millisecond).String(), Draining: w.draining,
		Free: free, Capacity: capacity, Waiting: waiting, InFlight: w.inFlight, Keys: w.keys.table.Len(),
	}
}
