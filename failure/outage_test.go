package failure

import (
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/records/configuration"
	"lacewingfork.example/lacewingfork/standin"
)

const (
	// outageTime is five times the lease time.
	outageTime = 10 * time.Second
	// leavesAfter is W of the design page with the lag of the stand-in's list:
	// the time after which a member that is off the list leaves the set.
	leavesAfter = time.Second + 1500*time.Millisecond + 2*time.Second + listLag
	// answeredShare is the target in an outage with all members alive, in
	// percent.
	answeredShare = 99
)

// Guards against leases that lapse or move when the log is out although every
// member is alive, and against instances that don't find back to the log.
func TestLogOutageWithAllMembersAlive(t *testing.T) {
	s := newSite(t)
	load := s.load()
	before := s.holdings(s.instances...)
	s.standIn.SetLogFaults(standin.LogFaults{Outage: standin.OutageSilent})
	began := time.Now()
	s.watchHoldings(before, outageTime/2, s.instances)
	s.standIn.SetLogFaults(standin.LogFaults{Outage: standin.OutageRefuse})
	s.watchHoldings(before, outageTime/2, s.instances)
	over := time.Now()
	all := load.end()
	inOutage, served := 0, 0
	for _, r := range all {
		if r.at.After(began) && r.at.Before(over) {
			inOutage++
			if r.end == answered {
				served++
			}
		}
	}
	t.Logf("answered %d of %d requests sent in the outage", served, inOutage)
	if inOutage == 0 || served*100 < inOutage*answeredShare {
		t.Errorf("answered %d of %d requests sent in the outage, the target is %d%%", served, inOutage, answeredShare)
	}
	s.standIn.SetLogFaults(standin.LogFaults{})
	appended := s.appends(configuration.Stream)
	var publishing sync.WaitGroup
	publishing.Go(func() {
		if code, out := s.publish(1, "operator", 2); code != exitDone {
			t.Errorf("publication after the outage: exit code %d: %s", code, out)
		}
	})
	defer publishing.Wait()
	await(t, "the publication in the log", func() bool { return s.appends(configuration.Stream) > appended })
	s.awaitVersion(2, time.Now(), s.instances...)
	s.checkPromises(all)
}

// watchHoldings fails the test when the instances' own word on what they hold
// changes while the time passes.
func (s *site) watchHoldings(want map[fleet.PartitionID]string, during time.Duration, of []*instance) {
	s.t.Helper()
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(pollEvery) {
		for _, i := range of {
			status, ok := s.status(i)
			if !ok {
				continue // busy; the next answer tells
			}
			held := map[fleet.PartitionID]string{}
			for _, p := range status.Partitions {
				held[p] = i.ID
			}
			if expected := only(want, i.ID); !maps.Equal(held, expected) {
				s.t.Fatalf("%s holds %v in the outage, expected %v", i.ID, held, expected)
			}
		}
	}
}

// only returns the partitions of one instance.
func only(all map[fleet.PartitionID]string, id string) map[fleet.PartitionID]string {
	held := maps.Clone(all)
	maps.DeleteFunc(held, func(_ fleet.PartitionID, holder string) bool { return holder != id })
	return held
}

// Guards against survivors that lose their partitions, or take over those of a
// dead member without the log, when a member dies in an outage after it has
// promised; and against requests that run although they were refused.
func TestMemberKilledDuringLogOutage(t *testing.T) {
	s := newSite(t)
	load := s.load()
	holder, partition, others := s.holder()
	client := s.client(newDirect(t), others[0].Callers)
	keys := s.keysOf(client, partition, 10)
	before := s.holdings(s.instances...)
	s.standIn.SetLogFaults(standin.LogFaults{Outage: standin.OutageRefuse})
	// Leases that are valid after more than the lease time rest on promises.
	s.watchHoldings(before, outageTime/2, s.instances)
	holder.kill(t)
	s.standIn.RemoveInstance(fleet.InstanceID(holder.ID))
	unlisted := time.Now()
	var ends []sent
	s.watchHoldings(before, leavesAfter/2, others)
	ran := s.requestsOn(partition)
	for n, key := range keys {
		r := do(client, request{operation: "book-order", key: key, deadline: time.Second}, fmt.Sprint("booking ", n))
		if r.end == answered {
			t.Errorf("a booking at the partition of a dead holder was answered")
		}
		ends = append(ends, r)
	}
	// A holder that died takes along which keys were used, so the outcome of
	// a booking under its keys may be unknown; it must not run.
	t.Logf("bookings at the partition of the dead holder: %d unknown, the last one %s", count(ends, unknown), ends[len(ends)-1].reason)
	if runs := s.keyRuns(keys); runs > 0 {
		t.Errorf("%d bookings ran at the partition of a dead holder", runs)
	}
	s.watchHoldings(before, leavesAfter-time.Since(unlisted), others)
	s.awaitServiceOfAny(load)
	if now := s.requestsOn(partition); now != ran {
		t.Errorf("%d requests ran on a partition without a holder", now-ran)
	}
	s.standIn.SetLogFaults(standin.LogFaults{})
	s.awaitTakeover(time.Now(), others)
	s.awaitService(load, partition)
	s.checkPromises(append(load.end(), ends...))
}

// requestsOn counts the requests that the backend servers of a partition got.
func (s *site) requestsOn(p fleet.PartitionID) int {
	total := 0
	for _, b := range s.standIn.BackendServers() {
		if on(b.ID, p) {
			total += b.Requests
		}
	}
	return total
}

func count(all []sent, end string) int {
	n := 0
	for _, r := range all {
		if r.end == end {
			n++
		}
	}
	return n
}

// awaitServiceOfAny waits for answers to requests sent from now on.
func (s *site) awaitServiceOfAny(load *traffic) {
	s.t.Helper()
	now := time.Now()
	await(s.t, "answers", func() bool { return load.count(answeredSince(now)) > 20 })
}
