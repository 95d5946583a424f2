package failure

import (
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/task"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/platformapi"
	"lacewingfork.example/lacewingfork/records"
	taskrecords "lacewingfork.example/lacewingfork/records/task"
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
	await(t, "requests on the backend server", func() bool { return s.requests(only(id)) > 10 })
	s.standIn.SetBackendLeaving(id, true)
	shown := time.Now().Add(listLag)
	await(t, "the time after which no new work is allowed", func() bool { return time.Since(shown) > leavingTarget })
	before := s.requests(only(id))
	now := time.Now()
	await(t, "answers by other backend servers", func() bool { return load.count(answeredSince(now)) > 300 })
	if after := s.requests(only(id)); after != before {
		t.Errorf("%d requests reached a leaving backend server later than %v after the list showed it", after-before, leavingTarget)
	}
	s.checkPromises(load.end())
}

// Guards against a planned stop that cuts off requests in progress: those of
// its own callers, and those that other instances forwarded to it.
func TestPlannedStopCutsOffNothing(t *testing.T) {
	const stopTimeout = 20 * time.Second // as in instanceSettings
	const each = 6
	s := newSite(t)
	load := s.load()
	stopping, _, others := s.holder()
	own := s.client(s.newBalancer(), stopping)
	forwarded := s.client(s.newBalancer(), others[0])
	ends := make(chan sent, 2*each)
	for n := range each {
		go func() {
			ends <- do(own, request{operation: "dye-check", idempotent: true, run: 4 * time.Second, deadline: 15 * time.Second}, fmt.Sprint("check ", n))
		}()
		go func() {
			ends <- do(forwarded, request{operation: "book-order", run: 4 * time.Second, deadline: 15 * time.Second}, fmt.Sprint("booking ", n))
		}()
	}
	await(t, "the long requests in progress", func() bool { return s.sum(func(b standin.BackendStats) int { return b.Slots }) >= 2*each })
	began := time.Now()
	stopping.signal(t, syscall.SIGTERM)
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
	s.awaitService(load, "")
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
	// least is how many requests meet each fault. More than one may take a
	// silent server a minute: it gets a probe at a time, each of which has to
	// time out.
	least := map[standin.BackendMode]int{standin.BackendTruncating: 3, standin.BackendMismatching: 3, standin.BackendUnresponsive: 1}
	s := newSite(t)
	load := s.load()
	servers := s.standIn.BackendServers()
	faults := map[fleet.BackendServerID]standin.BackendMode{
		servers[0].ID: standin.BackendTruncating, servers[1].ID: standin.BackendMismatching,
		servers[3].ID: standin.BackendUnresponsive, servers[6].ID: standin.BackendMismatching, servers[7].ID: standin.BackendTruncating,
	}
	before := map[fleet.BackendServerID]int{}
	for id, mode := range faults {
		before[id] = s.requests(only(id))
		s.standIn.SetBackendFaults(id, standin.BackendFaults{Mode: mode})
	}
	await(t, "requests on every faulty backend server", func() bool {
		for id, mode := range faults {
			if s.requests(only(id)) < before[id]+least[mode] {
				return false
			}
		}
		return true
	})
	s.awaitService(load, "")
	for id := range faults {
		s.standIn.SetBackendFaults(id, standin.BackendFaults{})
	}
	for id := range faults {
		now := time.Now()
		await(t, fmt.Sprintf("answers by %s after its fault", id), func() bool {
			return load.count(func(r sent) bool { return answeredSince(now)(r) && r.server == id }) > 0
		})
	}
	s.checkPromises(load.end())
}

// Guards against tasks that are started again although they still run when
// their holder is killed, and against tasks that are lost or run twice when
// the machine of a worker fails at the same time.
func TestTasksOutliveTheirHolderAndWorker(t *testing.T) {
	const jobs, tasks = 3, 4
	s := newSite(t)
	load := s.load()
	holder, partition, others := s.holder()
	for n := range jobs {
		s.submit(fmt.Sprint("job-", n), tasks, 8*time.Second)
	}
	await(t, "a start of every task", func() bool { return s.sum(started) >= jobs*tasks })
	var adopted, lost int
	var worker fleet.BackendServerID
	for _, b := range s.standIn.BackendServers() {
		if on(partition)(b.ID) {
			adopted += b.TasksStarted
		} else if b.TasksStarted > lost {
			worker, lost = b.ID, b.TasksStarted
		}
	}
	if adopted == 0 || lost == 0 {
		t.Fatalf("of %d tasks %d run under the holder that is killed, %d on the worker that fails", jobs*tasks, adopted, lost)
	}
	killed := time.Now()
	holder.signal(t, os.Kill)
	s.standIn.SetBackendFaults(worker, standin.BackendFaults{Mode: standin.BackendDown})
	s.standIn.RemoveInstance(fleet.InstanceID(holder.ID))
	s.awaitTakeover(killed, others)
	s.awaitJobs(jobs, tasks)
	// Every other start follows an eviction or the loss of the worker.
	starts, evictions := s.sum(started), s.evictions()
	t.Logf("%d starts and %d evictions of %d tasks", starts, evictions, jobs*tasks)
	if starts > jobs*tasks+lost+evictions {
		t.Errorf("%d starts of %d tasks, of which %d were lost with a worker and %d evicted: running tasks were not adopted",
			starts, jobs*tasks, lost, evictions)
	}
	s.checkPromises(load.end())
}

// evictions counts the records of evictions.
func (s *site) evictions() int {
	s.t.Helper()
	log, err := platformapi.NewClient(platformapi.ClientSettings{BaseURL: "http://" + s.standIn.Address()})
	must(s.t, err)
	defer log.Close()
	batch, err := log.Read(s.t.Context(), taskrecords.Stream("accra"), 0, 0)
	must(s.t, err)
	if batch.Next != batch.End {
		s.t.Fatal("the stream of tasks does not fit one batch")
	}
	total := 0
	for _, record := range batch.Records {
		entries, err := records.Decode(record.Data)
		must(s.t, err)
		for _, e := range entries {
			if r, err := taskrecords.Decode(e.Data); err == nil && r.Kind == task.Evicted {
				total++
			}
		}
	}
	return total
}
