package cell

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// modelRegion is a data centre of the model whose workers can all become
// unresponsive. Holds to its workers wait until a run ends.
type modelRegion struct {
	m     *model
	name  fleet.DataCentre
	state regionState
}

type regionState int

const (
	regionSound        regionState = iota
	regionSilent                   // requests are lost
	regionMute                     // requests are executed, responses are lost
	regionNotConnected             // no connection; nothing is sent
	regionSlow                     // requests and responses take up to 600 ms each
	regionStates
)

// call calls a worker of the region.
func (g *modelRegion) call(h *modelHolder, w *modelWorker, execute func(*modelWorker) Event, noResponse Event) {
	m, sent := g.m, g.m.now
	timeout, wait := callTimeout, time.Duration(0)
	if hold, ok := noResponse.(HoldAnswered); ok && hold.Number == h.cell.workers[w.id].holdInFlight {
		wait = h.cell.holdWaitFor(h.cell.workers[w.id])
	}
	timeout += wait
	answer := func(e Event, at time.Duration) { m.after(max(0, at-m.now), func() { h.handle(e) }) }
	if g.state == regionNotConnected {
		if s, ok := noResponse.(StartAnswered); ok {
			s.Outcome = StartNotConnected
			noResponse = s
		}
		answer(noResponse, sent+500*time.Millisecond)
		return
	}
	if g.state == regionSilent || m.random.Float64() < m.faults.lostResponses {
		answer(noResponse, sent+timeout)
		return
	}
	var poll func()
	poll = func() {
		switch {
		case !w.up || m.now-sent > timeout+time.Second:
			answer(noResponse, sent+timeout)
		case wait > 0 && m.now-sent < wait && len(w.ends) == 0:
			m.after(20*time.Millisecond, poll)
		default:
			response, at := execute(w), m.now+g.delay()
			if g.state == regionSilent || g.state == regionMute || at > sent+timeout {
				response, at = noResponse, sent+timeout
			}
			answer(response, at)
		}
	}
	m.after(g.delay(), poll)
}

// delay draws the delay of one direction of a call.
func (g *modelRegion) delay() time.Duration {
	if g.state == regionSlow {
		return time.Duration(g.m.random.Int64N(int64(600 * time.Millisecond)))
	}
	return g.m.delay()
}

const (
	// returnLimit is how long a long-running task may be without a run while there is
	// capacity for it twice over: 6 s, after which the users count 3 s until it is lost.
	returnLimit = 9 * time.Second
	// returnTarget is the part of returnLimit that does not count.
	returnTarget = 6 * time.Second
)

// returnScenario checks that long-running tasks return in time.
type returnScenario struct {
	*model
	near, far *modelRegion
	lastRun   map[job.TaskRef]time.Duration
	slowest   time.Duration
	overdue   int // returns that took longer than returnTarget
	nextID    int
}

// runReturnScenario plays 40 s in which servers of both regions leave one by one and
// are replaced, while one region is unresponsive for seconds at a time. The other one
// has room for all tasks more than twice over.
func runReturnScenario(seed uint64) *returnScenario {
	s := &returnScenario{model: newModel(seed, 0, modelFaults{lostResponses: 0.01}), lastRun: map[job.TaskRef]time.Duration{}}
	s.near, s.far = &modelRegion{m: s.model, name: "near"}, &modelRegion{m: s.model, name: "far"}
	for range 24 {
		s.addServer(s.near)
		s.addServer(s.far)
	}
	const duration = 40 * time.Second
	s.after(time.Second, func() {
		for range 20 {
			s.submitStep(job.Step{Count: 4, Need: fleet.Resources{MilliCPU: 4000, MemoryMiB: 1000}, LongRunning: true})
		}
	})
	s.every(50*time.Millisecond, s.checkReturns)
	s.every(300*time.Millisecond, func() {
		if s.now < duration-5*time.Second {
			s.submitStep(job.Step{Count: 1 + s.random.IntN(60), Need: fleet.Resources{MilliCPU: 1000, MemoryMiB: 100}, Estimate: 300 * time.Millisecond})
		}
	})
	s.after(4*time.Second, func() { s.every(700*time.Millisecond, s.replaceServer) })
	s.after(4*time.Second, s.changeState)
	s.run(duration)
	return s
}

func (s *returnScenario) every(d time.Duration, do func()) {
	s.after(d, func() { do(); s.every(d, do) })
}

func (s *returnScenario) addServer(g *modelRegion) {
	s.nextID++
	w := &modelWorker{
		m: s.model, id: fleet.BackendServerID(fmt.Sprintf("server-%03d", s.nextID)), clockRate: 1 - clockDrift*s.random.Float64(),
		capacity: fleet.Resources{MilliCPU: 32000, MemoryMiB: 64000}, region: g,
	}
	w.boot()
	s.workers = append(s.workers, w)
	s.holder().handle(ServerListed{Server: w.server()})
}

// replaceServer lets a server drain for 3 s and leave, and adds another one.
func (s *returnScenario) replaceServer() {
	w := s.workers[s.random.IntN(len(s.workers))]
	if w.draining || s.now > 30*time.Second {
		return
	}
	w.draining = true
	s.holder().handle(ServerListed{Server: w.server()})
	s.after(3*time.Second, func() {
		w.up, w.runs = false, nil
		s.holder().handle(ServerUnlisted{ID: w.id})
	})
	s.addServer(w.region)
}

// changeState makes one region unresponsive for some seconds, then sound for a shorter
// time, until 30 s.
func (s *returnScenario) changeState() {
	if s.now > 30*time.Second {
		return
	}
	s.far.state = 1 + regionState(s.random.IntN(int(regionStates)-1))
	unresponsive := 500*time.Millisecond + time.Duration(s.random.Int64N(int64(4*time.Second)))
	s.after(unresponsive, func() { s.far.state = regionSound })
	s.after(unresponsive+time.Duration(s.random.Int64N(int64(1500*time.Millisecond))), s.changeState)
}

func (s *returnScenario) submitStep(step job.Step) {
	s.submit(job.Job{ID: fleet.JobID(fmt.Sprintf("%016x", len(s.jobs)+1)), Queue: "queue", Steps: []job.Step{step}})
}

// checkReturns reports each long-running task that has had no run for returnLimit.
func (s *returnScenario) checkReturns() {
	for _, w := range s.workers {
		for key := range w.runs {
			if s.jobs[key.task.Job].job.Steps[0].LongRunning {
				if gap := s.now - s.lastRun[key.task]; s.lastRun[key.task] > 0 {
					s.slowest = max(s.slowest, gap)
				}
				s.lastRun[key.task] = s.now
			}
		}
	}
	for _, ref := range slices.SortedFunc(maps.Keys(s.lastRun), func(a, b job.TaskRef) int { return strings.Compare(a.String(), b.String()) }) {
		switch gap := s.now - s.lastRun[ref]; {
		case gap > returnLimit && gap <= returnLimit+50*time.Millisecond:
			s.reportf("LOST: long-running task %s has had no run for %v, with capacity for it", ref, gap)
		case gap > returnTarget && gap <= returnTarget+50*time.Millisecond:
			s.overdue++
		}
	}
}

// returnSeeds are the seeds of TestModelReturn: those on which tasks were lost before
// a change of 2026-12-05 or returned last after it, and others. The environment
// variable RETURN_SEEDS replaces them by that many.
var returnSeeds = []uint64{0, 1, 2, 3, 4, 5, 6, 7, 8, 19, 35, 46, 106, 130, 157}

// Guards against long-running tasks that do not return in time while servers leave and
// one region is unresponsive (LOST, incident of 2026-12-05), and against second runs.
func TestModelReturn(t *testing.T) {
	seeds := returnSeeds
	if text := os.Getenv("RETURN_SEEDS"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seeds = nil
		for seed := range n {
			seeds = append(seeds, seed)
		}
	}
	for _, seed := range seeds {
		s := runReturnScenario(seed)
		for _, violation := range s.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		t.Logf("seed %d: slowest return %v, %d took longer than %v", seed, s.slowest, s.overdue, returnTarget)
	}
}
