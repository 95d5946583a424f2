package failure

import (
	"fmt"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/task"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/platformapi"
	"lacewingfork.example/lacewingfork/records"
	taskrecords "lacewingfork.example/lacewingfork/records/task"
	"lacewingfork.example/lacewingfork/standin"
)

// Guards against tasks that are started again although they still run when
// their holder is killed, and against tasks that are lost or run twice when
// the machine of a worker fails at the same time.
func TestTasksOutliveTheirHolderAndWorker(t *testing.T) {
	const jobs, tasks = 3, 4
	const runTime = 8 * time.Second
	s := newSite(t)
	load := s.load()
	holder, partition, others := s.holder()
	for n := range jobs {
		s.submit(fmt.Sprint("job-", n), tasks, runTime)
	}
	await(t, "a start of every task", func() bool { return s.tasksStarted() >= jobs*tasks })
	var adopted, lost int
	var worker fleet.BackendServerID
	for _, b := range s.standIn.BackendServers() {
		if on(b.ID, partition) {
			adopted += b.TasksStarted
		} else if b.TasksStarted > lost {
			worker, lost = b.ID, b.TasksStarted
		}
	}
	t.Logf("of %d tasks %d run under the holder that is killed, %d on the worker that fails", jobs*tasks, adopted, lost)
	if adopted == 0 || lost == 0 {
		t.Fatal("no task runs under the holder that is killed, or on the worker that fails")
	}
	killed := time.Now()
	holder.kill(t)
	s.standIn.SetBackendFaults(worker, standin.BackendFaults{Mode: standin.BackendDown})
	s.standIn.RemoveInstance(fleet.InstanceID(holder.ID))
	s.awaitTakeover(killed, others)
	s.awaitJobs(jobs, tasks)
	// Every other start follows an eviction or the loss of the worker.
	started, evictions := s.tasksStarted(), s.evictions()
	t.Logf("%d starts and %d evictions of %d tasks", started, evictions, jobs*tasks)
	if started > jobs*tasks+lost+evictions {
		t.Errorf("%d starts of %d tasks, of which %d were lost with a worker and %d evicted: running tasks were not adopted",
			started, jobs*tasks, lost, evictions)
	}
	s.checkPromises(load.end())
}

// evictions counts the records of evictions.
func (s *site) evictions() int {
	s.t.Helper()
	log, err := platformapi.NewClient(platformapi.ClientSettings{BaseURL: "http://" + s.standIn.Address()})
	if err != nil {
		s.t.Fatal(err)
	}
	defer log.Close()
	total := 0
	for from, end := fleet.Offset(0), fleet.Offset(1); from < end; {
		batch, err := log.Read(s.t.Context(), taskrecords.Stream("accra"), from, 0)
		if err != nil {
			s.t.Fatal(err)
		}
		for _, record := range batch.Records {
			entries, err := records.Decode(record.Data)
			if err != nil {
				s.t.Fatal(err)
			}
			for _, e := range entries {
				if r, err := taskrecords.Decode(e.Data); err == nil && r.Kind == task.Evicted {
					total++
				}
			}
		}
		from, end = batch.Next, batch.End
	}
	return total
}
