package partition

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingfork.example/lacewingfork/fleet"
)

// Guards the invariants of a State under any order of events, including late,
// repeated and unknown completions, lagging reports and a former holder's work:
// no server exceeds its capacity, a request runs on at most one server at a
// time, a non-idempotent request that may have run never runs again, every
// request ends exactly once, a refused request was never written, leaving
// servers get no work, and the retry budget is kept.
func TestInvariantsHoldUnderAnyEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		steps := rapid.IntRange(20, 400).Draw(t, "steps")
		if rapid.Bool().Draw(t, "reports at once") {
			m.reportAll()
			m.fillRetryBudget()
		}
		for range steps {
			m.step()
		}
		m.finish()
	})
}

func (m *model) step() {
	t := m.t
	server := rapid.IntRange(0, len(m.servers)-1).Draw(t, "server")
	switch rapid.IntRange(0, 20).Draw(t, "event") {
	default:
		m.submit()
	case 4, 5, 6:
		if r := m.runningRequests(); len(r) > 0 {
			m.complete(rapid.SampledFrom(r).Draw(t, "completed"), Result(rapid.IntRange(0, 3).Draw(t, "result")))
		}
	case 7:
		limit := rapid.SampledFrom([]int{10, 1000, 30_000}).Draw(t, "max ms")
		m.advance(time.Duration(rapid.IntRange(1, limit).Draw(t, "ms")) * time.Millisecond)
	case 8:
		m.advance(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
	case 9:
		for _, o := range m.occupants[m.servers[server].ID] {
			o.arrived = true
		}
	case 10:
		m.sample(m.servers[server])
	case 11:
		if len(m.samples) > 0 {
			m.apply(m.state.Report(m.now, rapid.SampledFrom(m.samples).Draw(t, "report"), nil))
		}
	case 12:
		m.repeatEvents()
	case 13:
		m.apply(m.state.Cancel(m.now, fleet.RequestID(fmt.Sprint("r", rapid.IntRange(1, m.nextID+1).Draw(t, "cancelled"))), nil))
	case 14:
		m.changeServers(server)
	case 15:
		m.changeTasks(m.servers[server].ID)
	}
}

// reportAll reports every server 1 ms after the takeover.
func (m *model) reportAll() {
	m.advance(time.Millisecond)
	for _, b := range m.servers {
		m.sample(b)
		m.apply(m.state.Report(m.now, m.samples[len(m.samples)-1], nil))
	}
}

// fillRetryBudget runs requests one at a time, which fills the retry budget.
func (m *model) fillRetryBudget() {
	for range rapid.IntRange(0, 50).Draw(m.t, "earlier requests") {
		m.submit()
		for _, r := range m.runningRequests() {
			m.complete(r, Succeeded)
		}
	}
}

// repeatEvents sends repeated and unknown completions and a repeated submission.
func (m *model) repeatEvents() {
	if len(m.completions) > 0 {
		c := rapid.SampledFrom(m.completions).Draw(m.t, "repeated")
		m.apply(m.state.Complete(m.now, c, nil))
		c.ID = "never-submitted"
		m.apply(m.state.Complete(m.now, c, nil))
	}
	if running := m.runningRequests(); len(running) > 0 {
		m.apply(m.state.Submit(m.now, running[0].work, nil))
	}
}

func (m *model) changeServers(i int) {
	m.servers[i].Leaving = !m.servers[i].Leaving
	list := slices.Clone(m.servers)
	if rapid.Bool().Draw(m.t, "unlisted") {
		m.servers[i].Leaving = true
		list = slices.Delete(list, i, i+1)
	}
	m.apply(m.state.SetServers(m.now, list, nil))
}

func (m *model) changeTasks(id fleet.BackendServerID) {
	if rapid.Bool().Draw(m.t, "offer") {
		m.nextID++
		m.requests[fleet.RequestID(fmt.Sprint("r", m.nextID))] = &trackedRequest{ended: true}
		m.apply(m.state.OfferTask(m.now, TaskOffer{
			Task: fleet.TaskID(fmt.Sprint("task", m.nextID)), Resources: taskResources,
		}, nil))
		return
	}
	if running := slices.Sorted(maps.Keys(m.tasks[id])); len(running) > 0 {
		delete(m.tasks[id], running[0])
		m.apply(m.state.TaskEnded(m.now, running[0], nil))
	}
}

// finish completes all requests and checks that each has ended and that the State
// holds none.
func (m *model) finish() {
	for range 4 {
		for _, r := range m.runningRequests() {
			m.complete(r, Lost)
		}
		m.advance(MaxDeadline)
	}
	for id, r := range m.requests {
		if !r.ended {
			m.t.Fatalf("%s has not ended", id)
		}
	}
	if len(m.state.byID)+m.state.queue.Len()+len(m.state.retrying) > 0 {
		m.t.Fatalf("%d requests are left after all have ended, want none", len(m.state.byID))
	}
	if next := m.state.NextTick(); !next.IsZero() {
		m.t.Fatalf("next tick of an idle state is due at %v, want none", next)
	}
}
