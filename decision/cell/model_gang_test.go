package cell

import (
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// randomLongRunningGangJob draws a job as randomJob does. The tasks of each
// long-running step form a gang.
func randomLongRunningGangJob(m *model, id fleet.JobID) job.Job {
	j := randomJob(m, id)
	j.Steps[0].Gang = j.Steps[0].LongRunning
	return j
}

// modelGangSeeds is the number of scenarios with long-running gangs.
const modelGangSeeds = 40

// Guards against long-running gangs of which only some members keep running after a
// start without an answer or a takeover (LOST).
func TestModelLongRunningGangs(t *testing.T) {
	checkSeeds(t, modelGangSeeds, scenario{
		faults:   modelFaults{delayedCalls: 0.03, lostResponses: 0.02, alwaysFails: 0.05},
		duration: 55 * time.Second, submitUntil: 28 * time.Second, minFaults: 3, maxFaults: 7, job: randomLongRunningGangJob, fault: (*model).randomFault,
	}.run)
}
