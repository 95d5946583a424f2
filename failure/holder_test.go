package failure

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/caller"
	"lacewingfork.example/lacewingfork/decision/requestkey"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/standin"
)

// Guards against partitions that nobody serves after their holder was killed,
// against a new holder that counts slots of the old one as free, and against
// bookings that run again at the new holder.
func TestKilledHolderIsReplaced(t *testing.T) {
	s := newSite(t)
	load := s.load()
	holder, partition, others := s.holder()
	killed := time.Now()
	holder.kill(t)
	s.awaitTakeover(killed, others)
	s.awaitService(load, partition)
	// The platform replaces the instance, which gets a share again.
	s.standIn.RemoveInstance(fleet.InstanceID(holder.ID))
	s.start(holder)
	await(t, "a partition on the replaced instance", func() bool { return s.spread(s.instances...) })
	s.awaitService(load, partition)
	s.checkPromises(load.end())
}

// awaitTakeover waits until the instances hold every partition and asserts the
// target.
func (s *site) awaitTakeover(began time.Time, by []*instance) {
	s.t.Helper()
	await(s.t, "takeover of the partitions", func() bool { return len(s.holdings(by...)) == partitions })
	took := time.Since(began)
	s.t.Logf("takeover after %v", took)
	if took >= takeoverTarget {
		s.t.Errorf("takeover took %v, the target is under %v", took, takeoverTarget)
	}
}

// awaitService waits for answers from a partition to requests sent from now on.
func (s *site) awaitService(load *traffic, p fleet.PartitionID) {
	s.t.Helper()
	now := time.Now()
	await(s.t, fmt.Sprintf("answers from %s", p), func() bool {
		return load.count(func(r sent) bool { return answeredSince(now)(r) && on(r.server, p) }) > 10
	})
}

// Guards against a frozen instance that goes on under its old epoch once it
// runs again, with the requests that it had and those that arrived meanwhile.
func TestFrozenHolderDispatchesNothingUnderItsOldEpoch(t *testing.T) {
	freezeHolder(t, standin.LogFaults{})
}

// Guards against the same while acknowledgements of the log are lost: a claim
// or release that counts as failed although it took effect.
func TestFrozenHolderWhileAcknowledgementsAreLost(t *testing.T) {
	freezeHolder(t, standin.LogFaults{LoseAnswers: 100})
}

func freezeHolder(t *testing.T, faults standin.LogFaults) {
	s := newSite(t)
	load := s.load()
	holder, partition, others := s.holder()
	client := s.client(newDirect(t), holder.Callers)
	keys := s.keysOf(client, partition, 24)
	s.standIn.SetLogFaults(faults)

	holder.signal(t, syscall.SIGSTOP)
	frozen := time.Now()
	// The kernel accepts these connections; the instance reads them after it
	// runs again, when its leases have lapsed.
	ends := make(chan sent, 2*len(keys))
	for n, key := range keys {
		go func() {
			ends <- do(client, request{operation: "book-order", key: key, run: 20 * time.Millisecond, deadline: 30 * time.Second}, fmt.Sprint("booking ", n))
		}()
		go func() {
			ends <- do(client, request{operation: "dye-check", idempotent: true, run: 20 * time.Millisecond, deadline: 30 * time.Second}, fmt.Sprint("check ", n))
		}()
	}
	s.awaitTakeover(frozen, others)
	s.awaitService(load, partition)
	before := s.keyRuns(keys)
	holder.signal(t, syscall.SIGCONT)
	var late []sent
	for range cap(ends) {
		late = append(late, <-ends)
	}
	if after := s.keyRuns(keys); after != before {
		t.Errorf("%d bookings under the ended epoch had run before the instance went on, %d afterwards", before, after)
	}
	await(t, "a partition on the instance that was frozen", func() bool { return s.spread(s.instances...) })
	s.standIn.SetLogFaults(standin.LogFaults{})
	await(t, "an answer over the instance that was frozen", func() bool {
		return do(client, request{operation: "layout", idempotent: true, deadline: deadline}, "back").end == answered
	})
	s.checkPromises(append(load.end(), late...))
}

// keysOf obtains request keys that a partition issued.
func (s *site) keysOf(client *caller.Client, p fleet.PartitionID, wanted int) []string {
	s.t.Helper()
	var keys []string
	await(s.t, fmt.Sprintf("request keys of %s", p), func() bool {
		text, err := client.Key(s.t.Context(), "stitch-planner")
		if key, parseErr := requestkey.Parse(text); err == nil && parseErr == nil && key.Partition == p {
			keys = append(keys, text)
		}
		return len(keys) == wanted
	})
	return keys
}

// keyRuns sums how often requests with the keys ran.
func (s *site) keyRuns(keys []string) int {
	total := 0
	for _, key := range keys {
		total += s.standIn.Runs("", key).Key
	}
	return total
}
