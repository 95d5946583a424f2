package failure

import (
	"fmt"
	"maps"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/caller"
	"lacewingfork.example/lacewingfork/decision/requestkey"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/standin"
)

// Guards against partitions that no instance serves after their holder is killed,
// against a new holder that counts slots used by the old one as free, and against
// bookings that run again at the new holder.
func TestKilledHolderIsReplaced(t *testing.T) {
	s := newDeployment(t)
	load := s.startTraffic()
	holder, partition, others := s.holder()
	killed := time.Now()
	holder.signal(t, os.Kill)
	s.awaitTakeover(killed, others)
	s.awaitAnswers(load, partition)
	// The platform replaces the instance, which then gets partitions again.
	s.standIn.RemoveInstance(fleet.InstanceID(holder.ID))
	s.start(holder)
	await(t, "a partition on the replaced instance", func() bool { return s.eachHoldsPartition() })
	s.awaitAnswers(load, partition)
	s.checkGuarantees(load.end())
}

// awaitTakeover waits until the given instances hold every partition and checks
// the time since began against the target.
func (s *deployment) awaitTakeover(began time.Time, by []*instance) {
	s.t.Helper()
	await(s.t, "takeover of the partitions", func() bool { return len(s.holdings(by...)) == partitions })
	took := time.Since(began)
	s.t.Logf("takeover after %v", took)
	if took >= takeoverTarget {
		s.t.Errorf("got takeover after %v, want less than %v", took, takeoverTarget)
	}
}

// awaitAnswers waits for more than 10 answers from a partition, or from any if p
// is empty, to requests sent from now on.
func (s *deployment) awaitAnswers(load *traffic, p fleet.PartitionID) {
	s.t.Helper()
	now := time.Now()
	await(s.t, fmt.Sprintf("answers from %s", p), func() bool {
		return load.count(func(r result) bool { return answeredSince(now)(r) && (p == "" || inPartition(p)(r.server)) }) > 10
	})
}

// Guards against an instance that resumes after a freeze and dispatches under its
// old epoch, both requests from before the freeze and those that arrived in it.
func TestFrozenHolderDispatchesNothingUnderOldEpoch(t *testing.T) {
	testFrozenHolder(t, standin.LogFaults{})
}

// Guards against the same while acknowledgements of the log are lost, so that a
// claim or release took effect but counts as failed.
func TestFrozenHolderWhileAcknowledgementsAreLost(t *testing.T) {
	testFrozenHolder(t, standin.LogFaults{LoseAnswers: 100})
}

func testFrozenHolder(t *testing.T, faults standin.LogFaults) {
	s := newDeployment(t)
	load := s.startTraffic()
	holder, partition, others := s.holder()
	client := s.client(s.newBalancer(), holder)
	keys := s.requestKeys(client, partition, 24)
	s.standIn.SetLogFaults(faults)

	holder.signal(t, syscall.SIGSTOP)
	frozen := time.Now()
	// The kernel accepts these connections. The instance reads them after it
	// resumes, when its leases have expired.
	results := make(chan result, 2*len(keys))
	for n, key := range keys {
		go func() {
			results <- do(client, request{operation: "book-order", key: key, run: 20 * time.Millisecond, deadline: 30 * time.Second}, fmt.Sprint("booking ", n))
		}()
		go func() {
			results <- do(client, request{operation: "dye-check", idempotent: true, run: 20 * time.Millisecond, deadline: 30 * time.Second}, fmt.Sprint("check ", n))
		}()
	}
	s.awaitTakeover(frozen, others)
	s.awaitAnswers(load, partition)
	before := s.keyRuns(keys)
	holder.signal(t, syscall.SIGCONT)
	var late []result
	for range cap(results) {
		late = append(late, <-results)
	}
	if after := s.keyRuns(keys); after != before {
		t.Errorf("got %d runs of bookings under the ended epoch after the instance resumed, want %d as before", after, before)
	}
	await(t, "a partition on the instance that was frozen", func() bool { return s.eachHoldsPartition() })
	s.standIn.SetLogFaults(standin.LogFaults{})
	await(t, "an answer over the instance that was frozen", func() bool {
		return do(client, request{operation: "layout", idempotent: true, deadline: deadline}, "back").outcome == answered
	})
	s.checkGuarantees(append(load.end(), late...))
}

// requestKeys obtains the wanted number of request keys issued by a partition.
func (s *deployment) requestKeys(client *caller.Client, p fleet.PartitionID, wanted int) []string {
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

// keyRuns returns the total number of runs of the requests with the keys.
func (s *deployment) keyRuns(keys []string) int {
	total := 0
	for _, key := range keys {
		total += s.standIn.Runs("", key).Key
	}
	return total
}

const (
	// outageDuration is five times the lease time.
	outageDuration = 10 * time.Second
	// memberLeaveDelay is W of the design page plus the lag of the stand-in's
	// list: the time from a member's removal from the list until it leaves the
	// member set.
	memberLeaveDelay = time.Second + 1500*time.Millisecond + 2*time.Second + listLag
	// minAnsweredPercent is the target for answered requests in a log outage with
	// all members alive, in percent.
	minAnsweredPercent = 99
)

// Guards against leases that expire or move during a log outage although every
// member is alive, and against instances that don't reconnect to the log.
func TestLogOutageWithAllMembersAlive(t *testing.T) {
	s := newDeployment(t)
	load := s.startTraffic()
	before := s.holdings(s.instances...)
	s.standIn.SetLogFaults(standin.LogFaults{Outage: standin.OutageUnresponsive})
	began := time.Now()
	s.requireUnchangedHoldings(before, outageDuration/2, s.instances)
	s.standIn.SetLogFaults(standin.LogFaults{Outage: standin.OutageRefuse})
	s.requireUnchangedHoldings(before, outageDuration/2, s.instances)
	over := time.Now()
	all := load.end()
	inOutage := load.count(func(r result) bool { return r.at.After(began) && r.at.Before(over) })
	served := load.count(func(r result) bool { return answeredSince(began)(r) && r.at.Before(over) })
	t.Logf("answered %d of %d requests sent in the outage", served, inOutage)
	if inOutage == 0 || served*100 < inOutage*minAnsweredPercent {
		t.Errorf("got answers to %d of %d requests sent in the outage, want at least %d%%", served, inOutage, minAnsweredPercent)
	}
	s.standIn.SetLogFaults(standin.LogFaults{})
	appended := s.publications()
	var publishing sync.WaitGroup
	publishing.Go(func() {
		if code, out := s.publish(1, "operator", 2); code != exitOK {
			t.Errorf("publication after the outage: got exit code %d, want %d: %s", code, exitOK, out)
		}
	})
	defer publishing.Wait()
	await(t, "the publication in the log", func() bool { return s.publications() > appended })
	s.awaitVersion(2, time.Now())
	s.checkGuarantees(all)
}

// requireUnchangedHoldings polls for a duration and fails the test if an instance
// reports other partitions than want.
func (s *deployment) requireUnchangedHoldings(want map[fleet.PartitionID]string, during time.Duration, of []*instance) {
	s.t.Helper()
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(pollInterval) {
		for _, i := range of {
			held, expected := map[fleet.PartitionID]string{}, maps.Clone(want)
			maps.DeleteFunc(expected, func(_ fleet.PartitionID, holder string) bool { return holder != i.ID })
			status, ok := s.status(i)
			for _, p := range status.Partitions {
				held[p] = i.ID
			}
			if ok && !maps.Equal(held, expected) { // a failed request is left to the next poll
				s.t.Fatalf("%s in the outage: got partitions %v, want %v", i.ID, held, expected)
			}
		}
	}
}

// Guards against surviving members that lose their partitions, or take over those
// of a dead member without the log, when a member dies during an outage after it
// has promised to acquire none of theirs; and against refused requests that run.
func TestMemberKilledDuringLogOutage(t *testing.T) {
	s := newDeployment(t)
	load := s.startTraffic()
	holder, partition, others := s.holder()
	client := s.client(s.newBalancer(), others[0])
	keys := s.requestKeys(client, partition, 10)
	before := s.holdings(s.instances...)
	s.standIn.SetLogFaults(standin.LogFaults{Outage: standin.OutageRefuse})
	// Leases that are still valid after the lease time rely on promises.
	s.requireUnchangedHoldings(before, outageDuration/2, s.instances)
	holder.signal(t, os.Kill)
	s.standIn.RemoveInstance(fleet.InstanceID(holder.ID))
	unlisted := time.Now()
	var results []result
	s.requireUnchangedHoldings(before, memberLeaveDelay/2, others)
	ran := s.requests(inPartition(partition))
	for n, key := range keys {
		r := do(client, request{operation: "book-order", key: key, deadline: time.Second}, fmt.Sprint("booking ", n))
		if r.outcome == answered {
			t.Errorf("got an answer to a booking at the partition of a dead holder, want none")
		}
		results = append(results, r)
	}
	// The record of used keys is lost with the holder, so the outcome of a
	// booking under its keys may be unknown; it must not run.
	t.Logf("a booking at the partition of the dead holder: %s", results[0].reason)
	if runs := s.keyRuns(keys); runs > 0 {
		t.Errorf("got %d runs of bookings at the partition of a dead holder, want none", runs)
	}
	s.requireUnchangedHoldings(before, memberLeaveDelay-time.Since(unlisted), others)
	s.awaitAnswers(load, "")
	if now := s.requests(inPartition(partition)); now != ran {
		t.Errorf("got %d requests on a partition without a holder, want none", now-ran)
	}
	s.standIn.SetLogFaults(standin.LogFaults{})
	s.awaitTakeover(time.Now(), others)
	s.awaitAnswers(load, partition)
	s.checkGuarantees(append(load.end(), results...))
}
