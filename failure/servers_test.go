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

// Guards against new work on a backend server that the list shows as leaving.
func TestLeavingBackendServerGetsNoNewWork(t *testing.T) {
	s := newDeployment(t)
	load := s.startTraffic()
	id := s.standIn.BackendServers()[0].ID
	await(t, "requests on the backend server", func() bool { return s.requests(oneServer(id)) > 10 })
	s.standIn.SetBackendLeaving(id, true)
	shown := time.Now().Add(listLag)
	await(t, "the time after which no new work is allowed", func() bool { return time.Since(shown) > leavingTarget })
	before := s.requests(oneServer(id))
	now := time.Now()
	await(t, "answers by other backend servers", func() bool { return load.count(answeredSince(now)) > 300 })
	if after := s.requests(oneServer(id)); after != before {
		t.Errorf("got %d requests on a leaving backend server more than %v after the list showed it, want none", after-before, leavingTarget)
	}
	s.checkGuarantees(load.end())
}

// Guards against a graceful stop that cuts off requests in flight: those of the
// instance's own callers, and those that other instances forwarded to it.
func TestPlannedStopCutsOffNothing(t *testing.T) {
	const stopTimeout = 20 * time.Second // as in instanceSettings
	const each = 6
	s := newDeployment(t)
	load := s.startTraffic()
	stopping, _, others := s.holder()
	own := s.client(s.newBalancer(), stopping)
	forwarded := s.client(s.newBalancer(), others[0])
	results := make(chan result, 2*each)
	for n := range each {
		go func() {
			results <- do(own, request{operation: "dye-check", idempotent: true, run: 4 * time.Second, deadline: 15 * time.Second}, fmt.Sprint("check ", n))
		}()
		go func() {
			results <- do(forwarded, request{operation: "book-order", run: 4 * time.Second, deadline: 15 * time.Second}, fmt.Sprint("booking ", n))
		}()
	}
	await(t, "the long requests in progress", func() bool { return s.sum(func(b standin.BackendStats) int { return b.Slots }) >= 2*each })
	began := time.Now()
	stopping.signal(t, syscall.SIGTERM)
	took := time.Since(began)
	t.Logf("stopped after %v", took)
	if code := stopping.cmd.ProcessState.ExitCode(); code != 0 || took > stopTimeout {
		t.Errorf("got exit code %d after %v, want 0 within %v", code, took, stopTimeout)
	}
	s.standIn.RemoveInstance(fleet.InstanceID(stopping.ID))
	var all []result
	for range cap(results) {
		r := <-results
		if all = append(all, r); r.outcome != answered {
			t.Errorf("request in flight: got the outcome %s, want answered: %s", r.outcome, r.reason)
		}
	}
	s.awaitTakeover(began.Add(took), others)
	s.awaitAnswers(load, "")
	for _, r := range load.end() {
		if all = append(all, r); r.outcome == unknown {
			t.Errorf("request cut off: got the outcome %s, want a known outcome: %s", r.outcome, r.reason)
		}
	}
	s.checkGuarantees(all)
}

// Guards against partial answers and answers to other requests that reach a
// caller, and against slots of unresponsive backend servers that count as free
// while the work may still run.
func TestInvalidAnswersReachNoCaller(t *testing.T) {
	// least is the number of requests that each fault must affect. For an
	// unresponsive server, more than one may take a minute: it gets one probe at
	// a time, and each has to time out.
	least := map[standin.BackendMode]int{standin.BackendTruncating: 3, standin.BackendMismatching: 3, standin.BackendUnresponsive: 1}
	s := newDeployment(t)
	load := s.startTraffic()
	servers := s.standIn.BackendServers()
	faults := map[fleet.BackendServerID]standin.BackendMode{
		servers[0].ID: standin.BackendTruncating, servers[1].ID: standin.BackendMismatching,
		servers[3].ID: standin.BackendUnresponsive, servers[6].ID: standin.BackendMismatching, servers[7].ID: standin.BackendTruncating,
	}
	before := map[fleet.BackendServerID]int{}
	for id, mode := range faults {
		before[id] = s.requests(oneServer(id))
		s.standIn.SetBackendFaults(id, standin.BackendFaults{Mode: mode})
	}
	await(t, "requests on every faulty backend server", func() bool {
		for id, mode := range faults {
			if s.requests(oneServer(id)) < before[id]+least[mode] {
				return false
			}
		}
		return true
	})
	s.awaitAnswers(load, "")
	for id := range faults {
		s.standIn.SetBackendFaults(id, standin.BackendFaults{})
	}
	for id := range faults {
		now := time.Now()
		await(t, fmt.Sprintf("answers by %s after its fault", id), func() bool {
			return load.count(func(r result) bool { return answeredSince(now)(r) && r.server == id }) > 0
		})
	}
	s.checkGuarantees(load.end())
}

// Guards against running tasks that are started again after their holder is
// killed, and against tasks that are lost or run twice when the machine of a
// worker fails at the same time.
func TestTasksSurviveHolderAndWorkerFailure(t *testing.T) {
	const jobs, tasks = 3, 4
	s := newDeployment(t)
	load := s.startTraffic()
	holder, partition, others := s.holder()
	for n := range jobs {
		s.submit(fmt.Sprint("job-", n), tasks, 8*time.Second)
	}
	await(t, "a start of every task", func() bool { return s.sum(tasksStarted) >= jobs*tasks })
	var adopted, lost int
	var worker fleet.BackendServerID
	for _, b := range s.standIn.BackendServers() {
		if inPartition(partition)(b.ID) {
			adopted += b.TasksStarted
		} else if b.TasksStarted > lost {
			worker, lost = b.ID, b.TasksStarted
		}
	}
	if adopted == 0 || lost == 0 {
		t.Fatalf("of %d tasks, got %d under the holder to kill and %d on the worker to fail, want at least one each", jobs*tasks, adopted, lost)
	}
	killed := time.Now()
	holder.signal(t, os.Kill)
	s.standIn.SetBackendFaults(worker, standin.BackendFaults{Mode: standin.BackendDown})
	s.standIn.RemoveInstance(fleet.InstanceID(holder.ID))
	s.awaitTakeover(killed, others)
	s.awaitJobs(jobs, tasks)
	// Each further start follows an eviction or the loss of the worker.
	starts, evictions := s.sum(tasksStarted), s.evictions()
	t.Logf("%d starts and %d evictions of %d tasks", starts, evictions, jobs*tasks)
	if starts > jobs*tasks+lost+evictions {
		t.Errorf("got %d starts of %d tasks, of which %d were lost with a worker and %d evicted, want at most the sum: running tasks were not adopted",
			starts, jobs*tasks, lost, evictions)
	}
	s.checkGuarantees(load.end())
}

// evictions returns the number of evictions in the log.
func (s *deployment) evictions() int {
	s.t.Helper()
	log, err := platformapi.NewClient(platformapi.ClientSettings{BaseURL: "http://" + s.standIn.Address()})
	must(s.t, err)
	defer log.Close()
	batch, err := log.Read(s.t.Context(), taskrecords.Stream("accra"), 0, 0)
	must(s.t, err)
	if batch.Next != batch.End {
		s.t.Fatalf("stream of tasks: read up to offset %d, want all up to %d in one batch", batch.Next, batch.End)
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
