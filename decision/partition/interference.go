package partition

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingfork.example/lacewingfork/decision/interference"
	"lacewingfork.example/lacewingfork/decision/placement"
)

// interferenceState is the part of a State that estimates and limits
// interference by batch tasks.
type interferenceState struct {
	estimates *interference.Estimator
	budget    interference.EvictionBudget
	servers   []serverInterference
	// costService is the service whose slowdown Cost returns.
	costService interference.ServiceIndex
	baseline    runTimeBaseline
	// loads and tasks are buffers, reused to avoid allocation.
	loads []interference.KindLoad
	tasks []interference.Task
}

// serverInterference is the interference state of one backend server.
type serverInterference struct {
	pressure interference.ServerPressure
	// tasksHash identifies the set of tasks in the last report.
	tasksHash uint64
	band      interference.Band
	// loads are the tasks placed now, for the cost of a placement.
	loads      []interference.KindLoad
	recentRuns *recentRuns
}

// slowdownCost implements placement.Cost with the slowdown estimates.
type slowdownCost struct{ *interferenceState }

// Cost returns the expected slowdown of costService on a backend server, in the
// load band of its last report.
func (c slowdownCost) Cost(i placement.Index) float64 {
	server := &c.servers[i]
	if len(server.loads) == 0 {
		return 0
	}
	return c.estimates.ExpectedSlowdown(c.costService, server.band, server.loads)
}

func (s *interferenceState) reset(i placement.Index) {
	for len(s.servers) <= int(i) {
		s.servers = append(s.servers, serverInterference{})
	}
	s.servers[i] = serverInterference{loads: s.servers[i].loads[:0], recentRuns: &recentRuns{}}
}

// updateLoads recomputes the loads of a server from the tasks placed on it.
func (s *interferenceState) updateLoads(servers *placement.Table, i placement.Index) {
	server := &s.servers[i]
	server.loads = server.loads[:0]
	for _, task := range servers.Tasks(i) {
		server.loads = s.addLoad(server.loads, task.Kind, task.Throttled)
	}
}

// addLoad adds the load of a task to that of its kind.
func (s *interferenceState) addLoad(loads []interference.KindLoad, kind string, throttled bool) []interference.KindLoad {
	load := interference.LoadOfTask(s.estimates.Kind(kind), throttled)
	for k := range loads {
		if loads[k].Kind == load.Kind {
			loads[k].Tasks += load.Tasks
			return loads
		}
	}
	return append(loads, load)
}

// observeSlowdown updates the slowdown estimates from a report. A report is used
// only if the tasks and their throttling are the same as in the previous report,
// at time before; otherwise its mean service times would mix two states.
func (s *State) observeSlowdown(i placement.Index, before time.Time, u Usage) {
	server := &s.interference.servers[i]
	hash := uint64(len(u.Tasks))
	for _, task := range u.Tasks {
		hash += xxhash.Sum64String(string(task.Task))
	}
	same := server.tasksHash == hash && !before.IsZero()
	server.tasksHash = hash
	_, capacity := s.servers.Used(i)
	server.band = interference.BandOf(u.RequestSlots, capacity.Slots)
	if !same || !server.pressure.ThrottlingConstant(before, u.SampledAt) {
		return
	}
	s.interference.loads = s.interference.loads[:0]
	for _, task := range u.Tasks {
		throttled := server.pressure.ThrottledAt(task.Task, u.SampledAt, s.throttled(i, task))
		s.interference.loads = s.interference.addLoad(s.interference.loads, task.Kind, throttled)
	}
	slowdown, known := 0.0, false
	for service, mean := range u.Latencies {
		index := s.interference.estimates.Service(service)
		adjusted := mean
		if expected, recorded := server.recentRuns.expectedMean(index, before, u.SampledAt); recorded {
			adjusted = s.interference.baseline.adjustForMix(index, mean, expected)
		}
		known = known || adjusted > 0
		slowdown = max(slowdown, s.interference.estimates.Observe(index, server.band, adjusted, s.interference.loads))
	}
	if known {
		server.pressure.Observe(u.SampledAt, slowdown)
	}
}

// throttled reports whether a reported task is throttled now.
func (s *State) throttled(i placement.Index, reported RunningTask) bool {
	for _, task := range s.servers.Tasks(i) {
		if task.ID == reported.Task {
			return task.Throttled
		}
	}
	return false
}

// mitigate plans the next action against interference on a server.
func (s *State) mitigate(now time.Time, i placement.Index, out []Action) []Action {
	server, tasks := &s.interference.servers[i], s.servers.Tasks(i)
	s.interference.tasks = s.interference.tasks[:0]
	for _, task := range tasks {
		s.interference.tasks = append(s.interference.tasks, interference.Task{
			ID: task.ID, Throttled: task.Throttled, EvictedAt: task.EvictedAt, LostWork: task.Progress,
			Slowdown: s.interference.estimates.MaxSlowdown(s.interference.estimates.Kind(task.Kind), server.band),
		})
	}
	kind, k := server.pressure.Plan(now, s.interference.tasks, &s.interference.budget, s.limits.EvictionsPerMinute)
	if kind == interference.NoAction {
		return out
	}
	task := &tasks[k]
	action := Action{Kind: UnthrottleTask, Task: task.ID, Server: s.servers.ID(i)}
	verdict := VerdictUnthrottle
	switch kind {
	case interference.Throttle:
		action.Kind, verdict = ThrottleTask, VerdictThrottle
	case interference.Evict:
		action.Kind, verdict = EvictTask, VerdictEvict
		task.EvictedAt = now
	}
	task.Throttled = kind != interference.Unthrottle
	s.interference.updateLoads(s.servers, i)
	s.recordDecision(Decision{
		At: now, Subject: string(task.ID), Verdict: verdict, Server: action.Server, Slowdown: server.pressure.SmoothedSlowdown(),
	}, nil)
	return append(out, action)
}
