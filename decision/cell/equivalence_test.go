package cell

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// equivalenceSeeds is the number of histories of TestPassEqualsReference.
const equivalenceSeeds = 32

// Guards against a shortcut of the scheduling pass that changes which tasks start, on
// which workers or in which order.
func TestPassEqualsReference(t *testing.T) {
	t.Parallel()
	for _, uneven := range []bool{false, true} {
		t.Run(fmt.Sprintf("uneven=%t", uneven), func(t *testing.T) {
			t.Parallel()
			playHistories(t, equivalenceSeeds, false, uneven)
		})
	}
}

// Guards against the same with triage by cost, and against an amount of work left that
// differs from the tasks that are left.
func TestPassByCostEqualsReference(t *testing.T) {
	t.Parallel()
	playHistories(t, equivalenceSeeds/2, true, false)
}

func playHistories(t *testing.T, seeds int, byCost, uneven bool) {
	var all histories
	for seed := range uint64(seeds) {
		h := newHistory(t, seed, byCost, uneven)
		for h.now < 16*time.Second && !t.Failed() {
			h.step()
		}
		if t.Failed() {
			t.Fatalf("seed %d, at %v", seed, h.now)
		}
		if !byCost && h.reordered == 0 {
			t.Errorf("seed %d: no order was compared", seed)
		}
		all.add(h)
	}
	t.Logf("%+v", all)
	if all.Starts < 200*seeds || all.Refused == 0 || all.Failed == 0 || all.Preempted == 0 || all.Gangs == 0 || all.Advised == 0 || all.SkippedSearches == 0 || uneven && (all.AwaitedRack == 0 || all.InRegion == 0) {
		t.Errorf("the histories lack cases: %+v", all)
	}
}

// histories counts the cases that occurred.
type histories struct {
	Starts, Refused, Failed, Preempted, Gangs, Advised, AwaitedRack, InRegion int
	// SkippedSearches is the number of worker checks of the reference that the
	// cell did not make.
	SkippedSearches uint64
}

func (all *histories) add(h *history) {
	all.Starts += h.Starts
	all.Refused += h.Refused
	all.Failed += h.Failed
	all.Preempted += h.Preempted
	all.Gangs += h.Gangs
	all.Advised += h.Advised
	all.AwaitedRack += h.AwaitedRack
	all.InRegion += h.InRegion
	all.SkippedSearches += h.reference.workerChecks - h.cell.workerChecks
}

// history gives a cell and one that schedules by referencePass the same random events.
type history struct {
	*fixture
	histories
	reference *Cell
	random    *rand.Rand
	servers   []Server
	runs      map[fleet.BackendServerID]map[runKey]time.Duration // time of the end
	stopped   map[runKey]bool
	finished  map[fleet.BackendServerID][]FinishedRow
	ends      map[fleet.BackendServerID]int64
	jobs      []fleet.JobID
	reordered int // steps whose order was compared
}

func newHistory(t *testing.T, seed uint64, byCost, uneven bool) *history {
	h := &history{
		fixture: newFixture(t, 1), reference: New(DefaultSettings(), 1), random: rand.New(rand.NewPCG(seed, 23)), runs: map[fleet.BackendServerID]map[runKey]time.Duration{},
		stopped: map[runKey]bool{}, finished: map[fleet.BackendServerID][]FinishedRow{}, ends: map[fleet.BackendServerID]int64{},
	}
	h.cell.settings.TriageByCost, h.reference.settings.TriageByCost = byCost, byCost
	h.cell.settings.UnevenDemand, h.reference.settings.UnevenDemand = uneven, uneven
	h.reference.Restore(h.moment(), nil)
	h.cell.settings.Regions = map[fleet.DataCentre]fleet.Region{"d0": "north", "d1": "south"}
	h.reference.settings.Regions = h.cell.settings.Regions
	queues := []QueueSettings{
		{Name: "first", Service: "s", MaxAttempts: 2, SlackFactor: 2, TargetLatency: time.Second},
		{Name: "long", Service: "s", SlackFactor: 2, TargetLatency: time.Second},
		{Name: "last", Service: "s", Priority: 1, SlackFactor: 2, TargetLatency: time.Second},
		{Name: "advised", Service: "s", SlackFactor: 2, TargetLatency: time.Second, Advisor: AdvisorSettings{BaseTime: time.Millisecond, TicketValidity: 2 * time.Second}},
		{Name: "other", Service: "u", SlackFactor: 2, TargetLatency: time.Second},
	}
	if uneven {
		queues = append(queues, QueueSettings{Name: "near", Service: "s", SlackFactor: 2, TargetLatency: time.Second, AllowedRegions: []fleet.Region{"north", "west"}})
	}
	h.apply(QueuesChanged{Queues: queues})
	for i := range 16 {
		s := testServer(fleet.BackendServerID(fmt.Sprintf("server-%02d", i)))
		s.Labels = []string{string(rune('a' + h.random.IntN(2))), fmt.Sprintf("r%d", h.random.IntN(3))}
		s.Capacity = fleet.Resources{MilliCPU: 8000 + h.random.Int64N(24000), MemoryMiB: 8000 + h.random.Int64N(56000)}
		if uneven {
			s.DataCentre = fleet.DataCentre(fmt.Sprintf("d%d", i%3))
			s.ColdRemaining = time.Duration(i%4) * 4 * time.Second
		}
		if i%8 == 7 {
			s.Service = "u"
		}
		h.servers, h.runs[s.ID] = append(h.servers, s), map[runKey]time.Duration{}
		h.apply(ServerListed{Server: s})
		if i%4 == 0 { // late calls are expected there, as after a restart
			h.cell.workers[s.ID].lateLeaseUntil, h.reference.workers[s.ID].lateLeaseUntil = h.now+15*time.Second, h.now+15*time.Second
		}
	}
	h.apply(ServerListRead{})
	return h
}

// apply gives an event to both cells and compares their actions.
func (h *history) apply(e Event) {
	from := len(h.actions)
	h.handle(e)
	expected := h.referenceActions(e)
	for b, ok := h.reference.TakeBatch(); ok; b, ok = h.reference.TakeBatch() {
		expected = append(expected, h.referenceActions(Committed{Batch: b.Number})...)
	}
	got := slices.DeleteFunc(slices.Clone(h.actions[from:]), waitNote)
	expected = slices.DeleteFunc(expected, waitNote)
	if len(got)+len(expected) > 0 && !reflect.DeepEqual(got, expected) {
		h.t.Errorf("after %T: got actions %+v, want %+v", e, got, expected)
	}
}

func (h *history) referenceActions(e Event) []Action {
	h.reference.Handle(h.moment(), e)
	if h.reference.needsScheduling {
		h.reference.needsScheduling = false
		h.reference.referencePass()
	}
	return h.reference.Actions()
}

// waitNote reports whether an action only logs a wait.
func waitNote(a Action) bool {
	n, ok := a.(Note)
	return ok && n.Event == NoteTaskWaits
}

// step lets a tick pass, with submissions and cancellations, and executes the actions.
func (h *history) step() {
	h.now += 50 * time.Millisecond
	if h.random.Float64() < 0.4 {
		h.submitRandom()
	}
	if len(h.jobs) > 0 && h.random.Float64() < 0.04 {
		h.apply(CancelRequested{Token: 1, ID: h.jobs[h.random.IntN(len(h.jobs))]})
	}
	if h.random.Float64() < 0.03 {
		i := h.random.IntN(len(h.servers))
		h.servers[i].Draining = !h.servers[i].Draining
		h.apply(ServerListed{Server: h.servers[i]})
	}
	h.apply(Tick{})
	h.answerOrders()
	h.answerAllHolds()
	h.checkWorkDone()
	h.AwaitedRack += h.cell.racks.waiting
	h.checkOrder()
	for _, n := range takeActions[Note](h.fixture) {
		if n.Event == NoteStopOrdered && n.Detail["reason"] == "makes_room" {
			h.Preempted++
		}
	}
	takeActions[Reply](h.fixture)
	takeActions[Throttle](h.fixture)
}

func (h *history) submitRandom() {
	pick := func(p float64) bool { return h.random.Float64() < p }
	queues := []job.Queue{"first", "long", "long", "last", "advised", "other"}
	if h.cell.settings.UnevenDemand {
		queues = append(queues, "near")
	}
	j := job.Job{ID: fleet.JobID(fmt.Sprintf("%016x", h.random.Uint64())), Queue: queues[h.random.IntN(len(queues))]}
	for range 1 + h.random.IntN(2) {
		s := job.Step{
			Count: 1 + h.random.IntN(6), Estimate: time.Second, Image: string(rune('p' + h.random.IntN(3))),
			Need: fleet.Resources{MilliCPU: 1000 + h.random.Int64N(11000), MemoryMiB: 1000 + h.random.Int64N(11000)},
			Gang: pick(0.1), LongRunning: j.Queue == "long", MaxUnavailable: h.random.IntN(3),
		}
		if pick(0.3) {
			s.Label = string(rune('a' + h.random.IntN(2)))
		}
		if pick(0.2) {
			s.MaxPerServer = 1
		}
		if h.cell.settings.UnevenDemand && pick(0.4) {
			s.DataRack = fmt.Sprintf("r%d", h.random.IntN(3))
		}
		if h.cell.settings.UnevenDemand && s.Gang {
			s.SameRack = pick(0.5)
		}
		if s.LongRunning && pick(0.2) {
			s.LatencyTarget = 100 * time.Millisecond
		} else if !s.LongRunning {
			s.BestEffort = pick(0.2)
		}
		j.Steps = append(j.Steps, s)
	}
	h.jobs = append(h.jobs, j.ID)
	h.apply(Submitted{Token: 1, Job: j})
}

// answerOrders answers the starts, stops and advisor calls. Some starts are refused,
// and some get no answer.
func (h *history) answerOrders() {
	for _, s := range takeActions[Start](h.fixture) {
		h.Starts++
		outcome := StartAccepted
		switch h.random.IntN(12) {
		case 0:
			outcome = StartRefused
			h.Refused++
		case 1:
			outcome = StartUnknown
		}
		if outcome != StartRefused {
			h.runs[s.Server][runKey{s.Task, s.Attempt}] = h.now + time.Duration(h.random.ExpFloat64()*float64(3*time.Second))
		}
		h.apply(StartAnswered{Server: s.Server, Task: s.Task, Attempt: s.Attempt, Outcome: outcome, Sent: h.now})
		t := h.cell.lookup(s.Task)
		if t != nil && t.step.spec.Gang {
			h.Gangs++
		}
		if t != nil && t.step.occurrence.job.job.Queue == "near" {
			h.InRegion++
		}
	}
	for _, s := range takeActions[Stop](h.fixture) {
		key := runKey{s.Task, s.Attempt}
		if _, runs := h.runs[s.Server][key]; runs && !h.stopped[key] {
			h.runs[s.Server][key], h.stopped[key] = h.now+200*time.Millisecond, true
		}
		h.apply(StopAnswered{Server: s.Server, Task: s.Task, Attempt: s.Attempt, OK: true, Sent: h.now})
	}
	for _, a := range takeActions[Advise](h.fixture) {
		h.Advised++
		answer := AdviceAnswered{Step: a.Step, Workers: a.Workers, OK: h.random.IntN(5) > 0, TicketValidity: 2 * time.Second, Sent: h.now}
		for _, id := range a.Workers {
			if h.random.IntN(3) > 0 {
				answer.Eligible = append(answer.Eligible, EligibleWorker{Server: id, Ticket: "ticket"})
			}
		}
		h.apply(answer)
	}
}

// answerAllHolds ends the runs whose time has come and answers the holds, some of them
// with a failure.
func (h *history) answerAllHolds() {
	for _, hold := range takeActions[Hold](h.fixture) {
		if h.random.IntN(150) == 0 {
			h.apply(HoldAnswered{Server: hold.Server, Number: hold.Number, Sent: h.now})
			continue
		}
		runs := h.runs[hold.Server]
		keys := slices.SortedFunc(maps.Keys(runs), func(a, b runKey) int { return strings.Compare(a.task.String(), b.task.String()) })
		h.finished[hold.Server] = slices.DeleteFunc(h.finished[hold.Server], func(row FinishedRow) bool { return row.Number <= hold.Ack })
		var running []RunningRow
		for _, key := range keys {
			if runs[key] > h.now {
				running = append(running, RunningRow{Task: key.task, Attempt: key.attempt, Percent: fullSpeed, Measurement: 1 + h.random.IntN(120)})
				continue
			}
			delete(runs, key)
			h.ends[hold.Server]++
			h.finished[hold.Server] = append(h.finished[hold.Server], FinishedRow{Number: h.ends[hold.Server], Task: key.task, Attempt: key.attempt, End: h.endOf(key)})
		}
		h.apply(HoldAnswered{
			Server: hold.Server, Number: hold.Number, Sent: h.now, OK: true, Incarnation: 1, Clock: h.now,
			Running: running, Finished: slices.Clone(h.finished[hold.Server]),
		})
	}
}

func (h *history) endOf(key runKey) job.End {
	switch t := h.cell.lookup(key.task); {
	case h.stopped[key]:
		return job.EndStopped
	case t != nil && t.step.spec.LongRunning || h.random.IntN(6) == 0:
		h.Failed++
		return job.EndFailed
	default:
		return job.EndDone
	}
}
