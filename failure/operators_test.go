package failure

import (
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/callerapi"
	"lacewingfork.example/lacewingfork/records/configuration"
	"lacewingfork.example/lacewingfork/standin"
)

// Exit codes of the command line.
const (
	exitDone     = 0
	exitRejected = 4
)

// Guards against jobs and versions that exist twice because an append was
// repeated after its acknowledgement had been lost.
func TestLostAcknowledgementsDoubleNothing(t *testing.T) {
	const jobs, tasks, versions = 3, 2, 3
	s := newSite(t)
	load := s.load()
	s.standIn.SetLogFaults(standin.LogFaults{LoseAnswers: -1})
	var working sync.WaitGroup
	for n := range jobs {
		for range 2 { // a submitter that repeats itself
			working.Go(func() { s.submit(fmt.Sprint("job-", n), tasks, time.Second) })
		}
	}
	working.Go(func() {
		for n := range versions {
			if code, out := s.publish(int64(n+1), "operator", n+2, "--id", fmt.Sprint("publication-", n)); code != exitDone {
				t.Errorf("publication %d: exit code %d: %s", n, code, out)
			}
		}
	})
	working.Wait()
	s.awaitJobs(jobs, tasks)
	s.standIn.SetLogFaults(standin.LogFaults{})
	s.awaitVersion(versions+1, time.Now(), s.instances...)
	if started := s.tasksStarted(); started != jobs*tasks {
		t.Errorf("%d tasks were started, %d were submitted", started, jobs*tasks)
	}
	accepted := map[string]int64{}
	for _, r := range s.history() {
		if r.Version > 0 && accepted[r.ID] != 0 {
			t.Errorf("publication %s came into force as versions %d and %d", r.ID, accepted[r.ID], r.Version)
		}
		accepted[r.ID] = r.Version
	}
	if len(accepted) != versions+1 {
		t.Errorf("%d publications have verdicts, expected %d: %v", len(accepted), versions+1, accepted)
	}
	s.checkPromises(load.end())
}

// submit submits a job and repeats that under the same identifier until it is
// accepted, as the page on operations says.
func (s *site) submit(id string, tasks int, run time.Duration) {
	for end := time.Now().Add(patience); ; {
		code, out := s.command("job", "submit", "--id", id, "--team", "seams", "--kind", "seam-watch", "--tasks", fmt.Sprint(tasks),
			"--slots", "1", "--milli-cpu", "1000", "--memory-mib", "256", "--run-time", run.String())
		if code == exitDone {
			return
		}
		if time.Now().After(end) {
			s.t.Errorf("job %s: exit code %d: %s", id, code, out)
			return
		}
	}
}

// jobs returns the jobs that an instance knows.
func (s *site) jobs() (list []callerapi.JobStatus) {
	for _, i := range s.instances {
		if s.get("http://"+i.Callers+callerapi.PathJobs, &list) == nil {
			return list
		}
	}
	return nil
}

// awaitJobs waits until a number of jobs, each listed once, have succeeded.
func (s *site) awaitJobs(jobs, tasks int) {
	s.t.Helper()
	await(s.t, fmt.Sprintf("end of %d jobs of %d tasks", jobs, tasks), func() bool {
		succeeded := 0
		for _, job := range s.jobs() {
			if job.State == "succeeded" && job.Succeeded == tasks {
				succeeded++
			}
		}
		return succeeded == jobs
	})
	if listed := len(s.jobs()); listed != jobs {
		s.t.Errorf("%d jobs are listed, %d were submitted", listed, jobs)
	}
}

func (s *site) tasksStarted() int {
	started := 0
	for _, b := range s.standIn.BackendServers() {
		started += b.TasksStarted
	}
	return started
}

func (s *site) history() (results []configuration.Result) {
	s.t.Helper()
	code, out := s.command("config", "history")
	if err := json.Unmarshal([]byte(out), &results); code != exitDone || err != nil {
		s.t.Fatalf("config history: exit code %d, %v: %s", code, err, out)
	}
	return results
}

// Guards against two operators that both win, and against instances that keep,
// or after a restart return to, another version than the winner's.
func TestRacingOperators(t *testing.T) {
	const operators, rounds = 2, 3
	s := newSite(t)
	watch := s.watchVersions()
	for round := range rounds {
		replaces := int64(round + 1)
		appended := s.appends(configuration.Stream)
		var codes [operators]int
		var racing sync.WaitGroup
		for n := range operators {
			racing.Go(func() {
				codes[n], _ = s.publish(replaces, fmt.Sprint("operator-", n), 10*round+n+2, "--id", fmt.Sprintf("%d-%d", round, n))
			})
		}
		await(t, "the first publication in the log", func() bool { return s.appends(configuration.Stream) > appended })
		s.awaitVersion(replaces+1, time.Now(), s.instances...)
		racing.Wait()
		if codes[0]+codes[1] != exitDone+exitRejected || codes[0]*codes[1] != 0 {
			t.Fatalf("round %d: exit codes %v, exactly one operator has to win", round, codes)
		}
		winner := 0
		if codes[1] == exitDone {
			winner = 1
		}
		s.checkWinner(replaces+1, fmt.Sprintf("%d-%d", round, winner))
	}
	restarted := s.instances[1]
	restarted.signal(t, syscall.SIGTERM)
	<-restarted.ended
	s.start(restarted)
	s.awaitReady(restarted)
	s.checkWinner(rounds+1, fmt.Sprintf("%d-%d", rounds-1, s.winnerOf(rounds)))
	watch()
}

func (s *site) awaitReady(i *instance) {
	s.t.Helper()
	await(s.t, i.ID+" ready", func() bool {
		status, ok := s.status(i)
		return ok && status.Ready
	})
}

// winnerOf returns the number of the operator whose publication replaced a
// version.
func (s *site) winnerOf(replaced int64) (operator int) {
	for _, r := range s.history() {
		if r.Replaces == replaced && r.Version == replaced+1 {
			_, _ = fmt.Sscanf(r.Operator, "operator-%d", &operator)
		}
	}
	return operator
}

// checkWinner asserts that every instance accepted a publication as a version.
func (s *site) checkWinner(version int64, id string) {
	s.t.Helper()
	for _, i := range s.instances {
		var duties []struct {
			State struct {
				Version      int64                  `json:"version"`
				Publications []configuration.Result `json:"publications"`
			} `json:"state"`
		}
		if err := s.get("http://"+i.Operations+"/debug/state?duty=configuration", &duties); err != nil {
			s.t.Errorf("state of %s: %v", i.ID, err)
			continue
		}
		found := false
		for _, d := range duties {
			for _, r := range d.State.Publications {
				found = found || r.Version == version && r.ID == id && d.State.Version == version
			}
		}
		if !found {
			s.t.Errorf("%s does not report publication %s as version %d: %+v", i.ID, id, version, duties)
		}
	}
}

// watchVersions follows the version of every instance; the returned function
// ends that. An instance may report none after a restart, never an older one.
func (s *site) watchVersions() (end func()) {
	quit := make(chan struct{})
	var watching sync.WaitGroup
	for _, i := range s.instances {
		url := "http://" + i.Operations + "/v1/status"
		watching.Go(func() {
			newest := int64(0)
			for ; ; time.Sleep(pollEvery) {
				select {
				case <-quit:
					return
				default:
				}
				var status struct {
					Version int64 `json:"configuration_version"`
				}
				if s.get(url, &status) != nil || status.Version == 0 {
					continue
				}
				if status.Version < newest {
					s.t.Errorf("%s reports version %d after %d", i.ID, status.Version, newest)
				}
				newest = max(newest, status.Version)
			}
		})
	}
	end = sync.OnceFunc(func() { close(quit); watching.Wait() })
	s.t.Cleanup(end)
	return end
}
