package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/platform/standin"
)

const (
	// stormGap and stormLength are the time between two configurations and the number
	// of them in a storm.
	stormGap    = 60 * time.Millisecond
	stormLength = 25
	// inForceTimeout is the time after which a configuration has to be in force on
	// every instance that is in contact with the store, and the time to be in contact.
	inForceTimeout = 2500*time.Millisecond + 5*time.Second
)

// changes is the workload of TestSoakSignalsAndConfigurations: lost answers of the
// workers beside signals, storms of configurations and takeovers.
func changes(version *atomic.Int64) workload {
	storm := func(d *deployment, _ *rand.Rand) func() {
		for range stormLength {
			d.publish(int(version.Add(1)))
			time.Sleep(stormGap) // between two publications
		}
		return nil
	}
	hangUpAll := func(d *deployment, _ *rand.Rand) func() {
		for _, p := range d.instances {
			p.signal(syscall.SIGHUP)
		}
		return nil
	}
	answersLostEverywhere := func(d *deployment, _ *rand.Rand) func() {
		for _, w := range d.workers {
			w.SetDefaultFault(standin.AnswerLost)
		}
		return func() {
			for _, w := range d.workers {
				w.SetDefaultFault(standin.NoFault)
			}
		}
	}
	return workload{job: randomJob, faults: append(
		faultsNamed("kill", "stop", "freeze", "store_silent", "reset_store", "cut_worker", "reset_worker", "lost_answers"),
		fault{"storm", storm}, fault{"storm", storm}, fault{"hang_up_all", hangUpAll}, fault{"hang_up_all", hangUpAll},
		fault{"answers_lost_everywhere", answersLostEverywhere},
	)}
}

// Guards against jobs that are lost or run twice, and configurations that do not come
// into force, when answers of workers are lost while settings are read again and
// configurations follow each other, also at a takeover.
func TestSoakSignalsAndConfigurations(t *testing.T) {
	var version atomic.Int64
	version.Store(firstVersion)
	w := changes(&version)
	w.atEnd = func(d *deployment) { d.checkInForce(int(version.Add(1))) }
	runSeed(t, buildScheduler(t), envSetting(t, "SOAK_SEED", defaultSeed), 16*time.Second, w)
}

// checkInForce publishes a version and checks that it comes into force everywhere.
func (d *deployment) checkInForce(version int) {
	d.publish(version)
	url := func(p *process) string { return fmt.Sprintf("http://%s/version-%d/", p.callerAddress, version) }
	deadline := time.Now().Add(inForceTimeout)
	for _, p := range d.instances {
		for status := 0; status != http.StatusOK; {
			request, err := http.NewRequest(http.MethodGet, url(p), nil)
			if err != nil {
				d.t.Fatal(err)
			}
			request.Host = "soak.example"
			if response, err := httpClient.Do(request); err == nil {
				status = response.StatusCode
				_ = response.Body.Close() // only the status counts
			}
			if time.Now().After(deadline) {
				d.checker.withLock(func() {
					d.checker.reportf("CONFIG: version %d is not in force on entry-%d %v after its publication: status %d", version, p.id, inForceTimeout, status)
				})
				break
			}
			time.Sleep(50 * time.Millisecond) // until the next look
		}
	}
}
