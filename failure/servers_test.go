package failure

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/standin"
)

// leavingTarget bounds the time from when the list shows a backend server as
// leaving until it gets no new work.
const leavingTarget = 3 * time.Second

// Guards against new work on a backend server that is leaving.
func TestLeavingBackendServerGetsNoNewWork(t *testing.T) {
	s := newSite(t)
	load := s.load()
	id := s.standIn.BackendServers()[0].ID
	await(t, "requests on the backend server", func() bool { return s.stats(id).Requests > 10 })
	s.standIn.SetBackendLeaving(id, true)
	shown := time.Now().Add(listLag)
	await(t, "the time after which no new work is allowed", func() bool { return time.Since(shown) > leavingTarget })
	before := s.stats(id).Requests
	now := time.Now()
	await(t, "answers by other backend servers", func() bool { return load.count(answeredSince(now)) > 300 })
	if after := s.stats(id).Requests; after != before {
		t.Errorf("%d requests reached a leaving backend server later than %v after the list showed it", after-before, leavingTarget)
	}
	s.checkPromises(load.end())
}

func (s *site) stats(id fleet.BackendServerID) standin.BackendStats {
	for _, b := range s.standIn.BackendServers() {
		if b.ID == id {
			return b
		}
	}
	return standin.BackendStats{}
}

// Guards against a planned stop that cuts off requests in progress: those of
// its own callers, and those that other instances forwarded to it.
func TestPlannedStopCutsOffNothing(t *testing.T) {
	const stopTimeout = 20 * time.Second // as in instanceSettings
	const each = 6
	s := newSite(t)
	load := s.load()
	stopping, _, others := s.holder()
	own := s.client(newDirect(t), stopping.Callers)
	forwarded := s.client(newDirect(t), others[0].Callers)
	ends := make(chan sent, 2*each)
	for n := range each {
		go func() {
			ends <- do(own, request{operation: "dye-check", idempotent: true, run: 4 * time.Second, deadline: 15 * time.Second}, fmt.Sprint("check ", n))
		}()
		go func() {
			ends <- do(forwarded, request{operation: "book-order", run: 4 * time.Second, deadline: 15 * time.Second}, fmt.Sprint("booking ", n))
		}()
	}
	await(t, "the long requests in progress", func() bool { return s.slots() >= 2*each })
	stopping.signal(t, syscall.SIGTERM)
	began := time.Now()
	<-stopping.ended
	took := time.Since(began)
	t.Logf("stopped after %v", took)
	if code := stopping.cmd.ProcessState.ExitCode(); code != 0 || took > stopTimeout {
		t.Errorf("the process ended with exit code %d after %v, expected 0 within %v", code, took, stopTimeout)
	}
	s.standIn.RemoveInstance(fleet.InstanceID(stopping.ID))
	var all []sent
	for range cap(ends) {
		r := <-ends
		if all = append(all, r); r.end != answered {
			t.Errorf("a request in progress ended as %s: %s", r.end, r.reason)
		}
	}
	s.awaitTakeover(began.Add(took), others)
	s.awaitServiceOfAny(load)
	for _, r := range load.end() {
		if all = append(all, r); r.end == unknown {
			t.Errorf("a request was cut off: %s", r.reason)
		}
	}
	s.checkPromises(all)
}

// Guards against answers that are passed on although they are partial or
// belong to another request, and against slots of silent backend servers that
// count as free while the work may still run.
func TestBrokenAnswersReachNoCaller(t *testing.T) {
	// each is the number of requests that meet each fault; after about five
	// the circuit breaker takes the backend server out of service.
	const each = 3
	s := newSite(t)
	load := s.load()
	servers := s.standIn.BackendServers()
	faults := map[fleet.BackendServerID]standin.BackendMode{
		servers[0].ID: standin.BackendHalf, servers[1].ID: standin.BackendCrossed,
		servers[3].ID: standin.BackendSilent, servers[6].ID: standin.BackendCrossed, servers[7].ID: standin.BackendHalf,
	}
	before := map[fleet.BackendServerID]int{}
	for id, mode := range faults {
		before[id] = s.stats(id).Requests
		s.standIn.SetBackendFaults(id, standin.BackendFaults{Mode: mode})
	}
	await(t, "requests on every faulty backend server", func() bool {
		for id := range faults {
			if s.stats(id).Requests < before[id]+each {
				return false
			}
		}
		return true
	})
	s.awaitServiceOfAny(load)
	for id := range faults {
		s.standIn.SetBackendFaults(id, standin.BackendFaults{})
	}
	for id := range faults {
		now := time.Now()
		await(t, fmt.Sprintf("answers by %s after its fault", id), func() bool {
			return load.count(func(r sent) bool { return answeredSince(now)(r) && r.server == id }) > 0
		})
	}
	all := load.end()
	for _, r := range all {
		if r.end == unknown {
			t.Log("one of the unknown outcomes:", r.reason)
			break
		}
	}
	s.checkPromises(all)
}
