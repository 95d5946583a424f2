package cell

import (
	"maps"
	"slices"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// evacuationBound is the platform's bound on the time from a request to the last start in
// the evacuated data centre.
const evacuationBound = 5 * time.Second

// modelEvacuations are the operators' requests by data centre and when they were
// acknowledged. It is nil in scenarios without data centres.
type modelEvacuations map[fleet.DataCentre]time.Duration

// checkEvacuation reports a start that was ordered later than the bound allows.
func (m *model) checkEvacuation(w *modelWorker, s Start, ordered time.Duration) {
	if at, evacuated := m.evacuations[w.dataCentre]; evacuated && ordered > at+evacuationBound {
		m.reportf("EVACUATED: %s is started on %s %v after the evacuation of %s was requested", s.Task, w.id, ordered-at, w.dataCentre)
	}
}

// beginEvacuations spreads the workers over four data centres, and lets each holder that
// is connected to the store read the requests twice a second.
func (m *model) beginEvacuations() {
	m.evacuations = modelEvacuations{}
	for i, w := range m.workers {
		w.dataCentre = []fleet.DataCentre{"north", "east", "south", "west"}[i%4]
		m.holder().handle(ServerListed{Server: w.server()})
	}
	m.holder().cell.settings.MaxEvacuationAge = testMaxAge
	var read func()
	read = func() {
		requested := slices.Sorted(maps.Keys(m.evacuations))
		for _, h := range m.holders {
			h.handle(EvacuationsChanged{DataCentres: requested, ReadAt: m.now, Unavailable: h.disconnectedFromStore})
		}
		m.after(500*time.Millisecond, read)
	}
	read()
}

// randomEvacuationFault draws a fault as randomFault does, or an evacuation.
func (m *model) randomEvacuationFault() func() {
	if m.random.Float64() < 0.4 {
		return m.randomFault()
	}
	name := m.workers[m.random.IntN(len(m.workers))].dataCentre
	duration := 2*time.Second + time.Duration(m.random.Int64N(int64(12*time.Second)))
	return func() {
		if _, evacuated := m.evacuations[name]; !evacuated {
			m.evacuations[name] = m.now
			m.after(duration, func() { delete(m.evacuations, name) })
		}
	}
}

// randomMovableJob draws a job as randomJob does, or one whose tasks are moved.
func randomMovableJob(m *model, id fleet.JobID) job.Job {
	j := randomJob(m, id)
	if m.random.Float64() < 0.15 {
		j.Steps = []job.Step{{
			Count: 1 + m.random.IntN(4), Need: j.Steps[0].Need, Estimate: 5 * time.Second, Checkpoints: true,
			LongRunning: m.random.IntN(3) == 0, MaxUnavailable: m.random.IntN(3),
		}}
	}
	return j
}

// modelEvacuationSeeds is the number of scenarios with evacuations.
const modelEvacuationSeeds = 80

// Guards against starts in an evacuated data centre (EVACUATED), second runs of moved
// tasks (TWICE), starts beyond the capacity beside reserved places (LIMIT), and tasks
// that stay behind (LOST), under the faults of TestModel.
func TestModelEvacuations(t *testing.T) {
	checkSeeds(t, modelEvacuationSeeds, scenario{
		faults:   modelFaults{delayedCalls: 0.03, lostResponses: 0.02, alwaysFails: 0.05},
		duration: 60 * time.Second, submitUntil: 28 * time.Second, minFaults: 8, maxFaults: 16,
		job: randomMovableJob, fault: (*model).randomEvacuationFault, begin: (*model).beginEvacuations,
	}.run)
}
