package soak

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/platform/standin"
)

const (
	// evacuationBound is the platform's bound on the time from the acknowledgement of a
	// request to the last start in the evacuated zone.
	evacuationBound = 5 * time.Second
	// evacuationTime is how long a zone is evacuated beyond the length of a fault.
	evacuationTime = evacuationBound + time.Second
)

// soakZones are the zones of the servers of a workload with evacuations.
var soakZones = []string{"accra-1", "accra-2"}

// zoneOf returns the zone of a server.
func zoneOf(n int) string { return soakZones[n%len(soakZones)] }

// evacuation is a request to evacuate a zone.
type evacuation struct {
	zone      string
	from      time.Time // its acknowledgement
	withdrawn time.Time // zero until then
}

// checkEvacuations reports a start in a zone that has been evacuated for longer than the
// bound. The caller holds c.mu.
func (c *checker) checkEvacuations(e standin.Event) {
	bound := evacuationBound
	if e.Unanswered {
		bound += lateStartGrace
	}
	for _, request := range c.evacuations {
		if request.zone == c.zones[e.Server] && e.At.Sub(request.from) > bound && (request.withdrawn.IsZero() || e.At.Before(request.withdrawn)) {
			c.reportf("EVACUATED: %s was started on %s %v after the evacuation of %s was requested", e.Task, e.Server, e.At.Sub(request.from), request.zone)
		}
	}
}

// evacuateZone evacuates a random zone, and reopens it at the end.
func evacuateZone(d *deployment, r *rand.Rand) func() {
	zone := soakZones[r.IntN(len(soakZones))]
	evacuated := false
	d.checker.withLock(func() {
		evacuated = slices.ContainsFunc(d.checker.evacuations, func(e *evacuation) bool { return e.zone == zone && e.withdrawn.IsZero() })
	})
	if evacuated {
		return nil // the end of one request would end both
	}
	d.store.Evacuate(zone)
	request := &evacuation{zone: zone, from: time.Now()}
	d.checker.withLock(func() {
		d.checker.evacuations = append(d.checker.evacuations, request)
		d.checker.counts["evacuations"]++
	})
	return func() {
		time.Sleep(evacuationTime)
		d.checker.withLock(func() { request.withdrawn = time.Now() })
		d.store.WithdrawEvacuation(zone)
	}
}

// evacuations is the workload of TestSoakEvacuations. It has no faults of the store: an
// instance that is out of touch with it may go on.
var evacuations = workload{zones: true, job: randomJob, faults: append(faultsNamed(
	"kill", "kill_all", "stop", "freeze", "cut_worker", "reset_worker", "late_orders", "lost_answers", "restart_worker",
), fault{"evacuate", evacuateZone}, fault{"evacuate", evacuateZone}, fault{"evacuate", evacuateZone})}

// Guards against starts in an evacuated zone (EVACUATED), and against jobs that stay
// behind when it has been reopened (LOST).
func TestSoakEvacuations(t *testing.T) {
	runSeed(t, buildScheduler(t), envSetting(t, "SOAK_SEED", defaultSeed), 20*time.Second, evacuations)
}
