package partition

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingfork.example/lacewingfork/decision/interference"
	"lacewingfork.example/lacewingfork/decision/placement"
)

// interferenceState is the part of a State that follows interference.
type interferenceState struct {
	estimates *interference.Estimator
	budget    interference.EvictionBudget
	servers   []serverInterference
	// costService is the service for which cost answers.
	costService interference.ServiceIndex
	baseline    runTimeBaseline
	// loads and tasks are reused.
	loads []interference.KindLoad
	tasks []interference.Task
}

// serverInterference follows one backend server.
type serverInterference struct {
	pressure interference.ServerPressure
	// tasksHash identifies the set of tasks that the last report showed.
	tasksHash uint64
	band      interference.Band
	// loads is what runs now, for the cost of a placement.
	loads      []interference.KindLoad
	recentRuns *recentRuns
}

// slowdownCost shows the estimates to the placement.
type slowdownCost struct{ *interferenceState }

// Cost returns the expected slowdown of the service that was set last. The
// load band is that of the last report.
func (c slowdownCost) Cost(i placement.Index) float64 {
	site := &c.servers[i]
	if len(site.loads) == 0 {
		return 0
	}
	return c.estimates.ExpectedSlowdown(c.costService, site.band, site.loads)
}

func (r *interferenceState) reset(i placement.Index) {
	for len(r.servers) <= int(i) {
		r.servers = append(r.servers, serverInterference{})
	}
	r.servers[i] = serverInterference{loads: r.servers[i].loads[:0], recentRuns: &recentRuns{}}
}

// updateLoads derives what runs on a server now.
func (r *interferenceState) updateLoads(servers *placement.Table, i placement.Index) {
	site := &r.servers[i]
	site.loads = site.loads[:0]
	for _, task := range servers.Tasks(i) {
		site.loads = r.addLoad(site.loads, task.Kind, task.Throttled)
	}
}

// addLoad counts a task with others of its kind.
func (r *interferenceState) addLoad(present []interference.KindLoad, kind string, throttled bool) []interference.KindLoad {
	p := interference.LoadOfTask(r.estimates.Kind(kind), throttled)
	for k := range present {
		if present[k].Kind == p.Kind {
			present[k].Tasks += p.Tasks
			return present
		}
	}
	return append(present, p)
}

// observeSlowdown learns from a report. It is used only when the tasks and their
// throttling didn't change since the report before, because its mean service
// times would mix two states then.
func (s *State) observeSlowdown(i placement.Index, before time.Time, u Usage) {
	site := &s.interference.servers[i]
	shown := uint64(len(u.Tasks))
	for _, task := range u.Tasks {
		shown += xxhash.Sum64String(string(task.Task))
	}
	same := site.tasksHash == shown && !before.IsZero()
	site.tasksHash = shown
	_, capacity := s.servers.Used(i)
	site.band = interference.BandOf(u.RequestSlots, capacity.Slots)
	if !same || !site.pressure.ThrottlingConstant(before, u.SampledAt) {
		return
	}
	s.interference.loads = s.interference.loads[:0]
	for _, task := range u.Tasks {
		throttled := site.pressure.ThrottledAt(task.Task, u.SampledAt, s.throttled(i, task))
		s.interference.loads = s.interference.addLoad(s.interference.loads, task.Kind, throttled)
	}
	worst, known := 0.0, false
	for service, mean := range u.Latencies {
		index := s.interference.estimates.Service(service)
		unmixed := mean
		if expected, seen := site.recentRuns.expectedMean(index, before, u.SampledAt); seen {
			unmixed = s.interference.baseline.adjustForMix(index, mean, expected)
		}
		known = known || unmixed > 0
		worst = max(worst, s.interference.estimates.Observe(index, site.band, unmixed, s.interference.loads))
	}
	if known {
		site.pressure.Observe(u.SampledAt, worst)
	}
}

// throttled reports whether a task is throttled now.
func (s *State) throttled(i placement.Index, shown RunningTask) bool {
	for _, task := range s.servers.Tasks(i) {
		if task.ID == shown.Task {
			return task.Throttled
		}
	}
	return false
}

// mitigate plans the next step of relief for a server.
func (s *State) mitigate(now time.Time, i placement.Index, out []Action) []Action {
	site, tasks := &s.interference.servers[i], s.servers.Tasks(i)
	s.interference.tasks = s.interference.tasks[:0]
	for _, task := range tasks {
		s.interference.tasks = append(s.interference.tasks, interference.Task{
			ID: task.ID, Throttled: task.Throttled, EvictedAt: task.EvictedAt, LostWork: task.Progress,
			Slowdown: s.interference.estimates.MaxSlowdown(s.interference.estimates.Kind(task.Kind), site.band),
		})
	}
	kind, k := site.pressure.Plan(now, s.interference.tasks, &s.interference.budget, s.limits.EvictionsPerMinute)
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
		At: now, Subject: string(task.ID), Verdict: verdict, Server: action.Server, Slowdown: site.pressure.SmoothedSlowdown(),
	}, nil)
	return append(out, action)
}
