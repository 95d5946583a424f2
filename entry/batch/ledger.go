package batch

import (
	"context"
	"fmt"
	"time"

	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/decision/task"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	taskrecord "lacewingfork.example/lacewingfork/records/task"
	"lacewingfork.example/lacewingfork/supervise"
)

// ledger is the state of one run of the ledger duty.
type ledger struct {
	*Supervisor
	planner    *task.Ledger
	stream     string
	teams      map[fleet.Team]configuration.Team // nil until a configuration is known
	kinds      map[string]configuration.BatchKind
	routes     map[fleet.PartitionID]message.TaskRoute
	adopted    map[fleet.PartitionID]fleet.Epoch // epochs whose running attempts the partition duty has received
	ended      []message.TaskEnded               // not yet accepted by their partition duty
	assembler  taskrecord.Assembler
	pending    map[fleet.JobID][]pendingCommand
	listFilter message.ListFilter
	counters   counters
	// gaugesSetAt is the time of the last gauge update.
	gaugesSetAt time.Time
}

// counters holds error and size figures for the state dump.
type counters struct {
	Undecodable   uint64 `json:"undecodable_records"`
	RefusedCalls  uint64 `json:"refused_calls"`
	RefusedOffers uint64 `json:"refused_offers"`
	SnapshotBytes int    `json:"last_snapshot_bytes"`
	LastError     string `json:"last_error,omitempty"`
}

func (s *Supervisor) runLedger(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	l := &ledger{
		Supervisor: s, planner: task.NewLedger(time.Now(), s.plannerSettings()),
		stream: taskrecord.Stream(s.settings.Region),
		routes: map[fleet.PartitionID]message.TaskRoute{}, adopted: map[fleet.PartitionID]fleet.Epoch{}, pending: map[fleet.JobID][]pendingCommand{},
	}
	defer l.answerPending()
	if s.settings.Rewinds != nil {
		if err := s.settings.Rewinds.Put(ctx, message.Rewind{}); err != nil {
			return err
		}
	}
	if s.Resends != nil {
		if err := s.Resends.Put(ctx, message.ResendConfiguration{Ring: s.Configurations}); err != nil {
			return err
		}
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if err := l.receive(ctx, timer.C, dumps); err != nil {
			return err
		}
		now := time.Now()
		l.expirePending(now)
		l.execute(ctx, now, l.planner.Step(now))
		l.updateGauges(now)
		timer.Reset(l.nextWait(now))
	}
}

func (s *Supervisor) plannerSettings() task.Settings { return s.planner }

// receive waits for one input.
func (l *ledger) receive(ctx context.Context, timer <-chan time.Time, dumps <-chan supervise.DumpRequest) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer:
	case batch := <-l.Records.Items():
		l.handleRecords(time.Now(), batch)
	case h := <-l.Holdings.Items():
		l.handleHoldings(time.Now(), h)
	case s := <-l.Snapshots.Items():
		if now := time.Now(); l.listFilter.Due(now, s) {
			l.planner.SetServers(now, s.BackendServers)
		}
	case u := <-l.Usage.Items():
		for _, r := range u.Reports {
			l.planner.Report(time.Now(), r.BackendServer, r.SampledAt, observations(r.Tasks))
		}
	case c := <-l.Configurations.Items():
		l.handleConfiguration(c)
	case signal := <-l.Signals.Items():
		l.handleSignal(time.Now(), signal)
	case command := <-l.Commands.Items():
		l.handleCommand(time.Now(), command)
	case done := <-l.results.Items():
		l.planner.CallDone(time.Now(), done.CallResult)
	case request := <-dumps:
		request.Answer(l.dump())
	}
	return nil
}

const (
	// maxWait bounds the time between planner steps when nothing is due.
	maxWait = time.Second
	// minWait keeps timers that are already due from occupying a core.
	minWait = 5 * time.Millisecond
)

func (l *ledger) nextWait(now time.Time) time.Duration {
	due := l.planner.NextStep()
	if due.IsZero() {
		return maxWait
	}
	return min(max(due.Sub(now), minWait), maxWait)
}

func (l *ledger) handleRecords(now time.Time, batch message.LogRecords) {
	switch {
	case batch.Truncated:
		l.assembler = taskrecord.Assembler{}
		l.planner.Truncated(now)
	case batch.From == 0:
		l.planner.Begin()
	}
	for _, e := range batch.Records {
		r, err := taskrecord.Decode(e.Data)
		if err != nil {
			l.counters.Undecodable++
			l.counters.LastError = err.Error()
			continue
		}
		at := task.Position{Offset: e.Offset, Index: e.Index}
		verdict := l.planner.Read(now, at, e.ID, r)
		l.answerConfirmed(r, verdict)
		if r.Kind == task.SnapshotPart {
			l.handleSnapshotPart(now, *r.Part)
		}
	}
	if batch.CaughtUp {
		l.planner.CaughtUp(now, batch.Next)
	}
}

func (l *ledger) handleSnapshotPart(now time.Time, p task.Part) {
	snapshot, err := l.assembler.Add(p)
	if err != nil {
		l.counters.LastError = err.Error()
		return
	}
	if snapshot != nil {
		l.planner.Restore(now, *snapshot)
	}
}

func (l *ledger) handleHoldings(now time.Time, h message.Holdings) {
	own := make([]task.Holding, len(h.Own))
	for i, o := range h.Own {
		own[i] = task.Holding{Partition: o.Partition, Epoch: o.Epoch, Until: o.Until}
	}
	l.planner.SetHoldings(now, own)
}

func (l *ledger) handleConfiguration(c message.ConfigurationInForce) {
	l.teams = map[fleet.Team]configuration.Team{}
	shares := map[fleet.Team]float64{}
	for _, t := range c.Value.Teams {
		l.teams[t.Name], shares[t.Name] = t, t.Share
	}
	l.planner.SetTeams(shares)
	l.kinds = map[string]configuration.BatchKind{}
	for _, k := range c.Value.Kinds {
		l.kinds[k.Name] = k
	}
}

func (l *ledger) handleSignal(now time.Time, signal message.TaskSignal) {
	switch s := signal.(type) {
	case message.TaskPlaced:
		if ref, ok := task.ParseRef(s.Task); ok {
			l.planner.Placed(now, task.Release{
				Task: ref, Attempt: s.Attempt, Partition: s.Partition, Epoch: s.Epoch, Server: s.Server,
			})
		}
	case message.TaskDeclined:
		if ref, ok := task.ParseRef(s.Task); ok {
			l.planner.Declined(now, ref, s.Attempt, s.Partition)
		}
	case message.EvictTask:
		if ref, ok := task.ParseRef(s.Task); ok {
			l.planner.Evict(now, ref, s.Server)
		}
	case message.ThrottleTask:
		if ref, ok := task.ParseRef(s.Task); ok {
			l.planner.Throttle(now, ref, s.Server, s.Throttled)
		}
	case message.TaskRoute:
		l.routes[s.Partition] = s
		l.adopt(s)
	}
}

// adopt sends the running attempts to the partition duty of a new epoch. Usage
// reports contain them too, but without reports the duty would count their
// resources as free once the longest deadline has passed. If a send fails, the
// next TaskRoute message, which repeats, tries again.
func (l *ledger) adopt(route message.TaskRoute) {
	if l.adopted[route.Partition] == route.Epoch {
		return
	}
	running, known := l.planner.Running(route.Partition, route.Epoch)
	if !known {
		return
	}
	for _, a := range running {
		err := route.Commands.Put(context.Background(), message.TaskAdopted{
			Task: a.Task.ID(), Attempt: a.Attempt, Partition: route.Partition, Epoch: route.Epoch,
			Server: a.Server, Kind: a.Kind, Resources: a.Resources,
		})
		if err != nil {
			return
		}
	}
	l.adopted[route.Partition] = route.Epoch
}

// ledgerState is the state of the ledger in the state dump.
type ledgerState struct {
	Ready     bool        `json:"ready"`
	LogSilent bool        `json:"log_silent"`
	Position  string      `json:"position"`
	Counts    task.Counts `json:"counts"`
	Routes    int         `json:"partition_routes"`
	Commands  int         `json:"commands_waiting"`
	Counters  counters    `json:"counters"`
}

func (l *ledger) dump() ledgerState {
	at := l.planner.Fold().Position()
	return ledgerState{
		Ready: l.planner.Ready(), LogSilent: l.planner.LogUnresponsive(), Position: fmt.Sprintf("%d.%d", at.Offset, at.Index),
		Counts: l.planner.Fold().Counts(), Routes: len(l.routes), Commands: len(l.pending), Counters: l.counters,
	}
}
