package partition

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingfork.example/lacewingfork/decision/interference"
	"lacewingfork.example/lacewingfork/decision/placement"
)

// relief is the part of a State that follows interference.
type relief struct {
	estimates *interference.Estimator
	budget    interference.EvictionBudget
	sites     []site
	// costOf is the service for which cost answers.
	costOf interference.ServiceIndex
	usual  usualMix
	// present and tasks are reused.
	present []interference.KindLoad
	tasks   []interference.Task
}

// site follows one backend server.
type site struct {
	pressure interference.ServerPressure
	// shown identifies the set of tasks that the last report showed.
	shown uint64
	band  interference.Band
	// present is what runs now, for the cost of a placement.
	present []interference.KindLoad
	mix     *mix
}

// cost shows the estimates to the placement.
type cost struct{ *relief }

// Cost returns the expected slowdown of the service that was set last. The
// load band is that of the last report.
func (c cost) Cost(i placement.Index) float64 {
	site := &c.sites[i]
	if len(site.present) == 0 {
		return 0
	}
	return c.estimates.ExpectedSlowdown(c.costOf, site.band, site.present)
}

func (r *relief) reset(i placement.Index) {
	for len(r.sites) <= int(i) {
		r.sites = append(r.sites, site{})
	}
	r.sites[i] = site{present: r.sites[i].present[:0], mix: &mix{}}
}

// recount derives what runs on a server now.
func (r *relief) recount(servers *placement.Table, i placement.Index) {
	site := &r.sites[i]
	site.present = site.present[:0]
	for _, task := range servers.Tasks(i) {
		site.present = r.addPresent(site.present, task.Kind, task.Throttled)
	}
}

// addPresent counts a task with others of its kind.
func (r *relief) addPresent(present []interference.KindLoad, kind string, throttled bool) []interference.KindLoad {
	p := interference.LoadOfTask(r.estimates.Kind(kind), throttled)
	for k := range present {
		if present[k].Kind == p.Kind {
			present[k].Tasks += p.Tasks
			return present
		}
	}
	return append(present, p)
}

// learnSlowdown learns from a report. It is used only when the tasks and their
// throttling didn't change since the report before, because its mean service
// times would mix two states then.
func (s *State) learnSlowdown(i placement.Index, before time.Time, u Usage) {
	site := &s.relief.sites[i]
	shown := uint64(len(u.Tasks))
	for _, task := range u.Tasks {
		shown += xxhash.Sum64String(string(task.Task))
	}
	same := site.shown == shown && !before.IsZero()
	site.shown = shown
	_, capacity := s.servers.Used(i)
	site.band = interference.BandOf(u.RequestSlots, capacity.Slots)
	if !same || !site.pressure.ThrottlingConstant(before, u.SampledAt) {
		return
	}
	s.relief.present = s.relief.present[:0]
	for _, task := range u.Tasks {
		throttled := site.pressure.ThrottledAt(task.Task, u.SampledAt, s.throttled(i, task))
		s.relief.present = s.relief.addPresent(s.relief.present, task.Kind, throttled)
	}
	worst, known := 0.0, false
	for service, mean := range u.Latencies {
		index := s.relief.estimates.Service(service)
		unmixed := mean
		if expected, seen := site.mix.expected(index, before, u.SampledAt); seen {
			unmixed = s.relief.usual.unmixed(index, mean, expected)
		}
		known = known || unmixed > 0
		worst = max(worst, s.relief.estimates.Observe(index, site.band, unmixed, s.relief.present))
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

// relieve plans the next step of relief for a server.
func (s *State) relieve(now time.Time, i placement.Index, out []Action) []Action {
	site, tasks := &s.relief.sites[i], s.servers.Tasks(i)
	s.relief.tasks = s.relief.tasks[:0]
	for _, task := range tasks {
		s.relief.tasks = append(s.relief.tasks, interference.Task{
			ID: task.ID, Throttled: task.Throttled, EvictedAt: task.EvictedAt, LostWork: task.Progress,
			Slowdown: s.relief.estimates.MaxSlowdown(s.relief.estimates.Kind(task.Kind), site.band),
		})
	}
	kind, k := site.pressure.Plan(now, s.relief.tasks, &s.relief.budget, s.limits.EvictionsPerMinute)
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
	s.relief.recount(s.servers, i)
	s.explain(Decision{
		At: now, Subject: string(task.ID), Verdict: verdict, Server: action.Server, Slowdown: site.pressure.SmoothedSlowdown(),
	}, nil)
	return append(out, action)
}
