package failure

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/callerapi"
	followed "lacewingfork.example/lacewingfork/entry/configuration"
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
	s.awaitVersion(versions+1, time.Now())
	if starts := s.sum(started); starts != jobs*tasks+s.evictions() {
		t.Errorf("%d starts of %d tasks and %d evictions", starts, jobs*tasks, s.evictions())
	}
	accepted, history := map[string]int64{}, []configuration.Result{}
	if code, out := s.command("config", "history"); code != exitDone || json.Unmarshal([]byte(out), &history) != nil {
		t.Fatalf("config history: exit code %d: %s", code, out)
	}
	for _, r := range history {
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
	var out string
	for end := time.Now().Add(patience); time.Now().Before(end); {
		var code int
		code, out = s.command("job", "submit", "--id", id, "--team", "seams", "--kind", "seam-watch", "--tasks", fmt.Sprint(tasks),
			"--slots", "1", "--milli-cpu", "1000", "--memory-mib", "256", "--run-time", run.String())
		if code == exitDone {
			return
		}
	}
	s.t.Errorf("job %s was not accepted: %s", id, out)
}

// awaitJobs waits until a number of jobs, each listed once, have succeeded.
func (s *site) awaitJobs(jobs, tasks int) {
	s.t.Helper()
	last := s.instances[len(s.instances)-1] // no test ends it
	var list []callerapi.JobStatus
	await(s.t, fmt.Sprintf("end of %d jobs of %d tasks", jobs, tasks), func() bool {
		list = nil
		return s.get("http://"+last.Callers+callerapi.PathJobs, &list) == nil && len(list) >= jobs &&
			!slices.ContainsFunc(list, func(j callerapi.JobStatus) bool { return j.State != "succeeded" || j.Succeeded != tasks })
	})
	if len(list) != jobs {
		s.t.Errorf("%d jobs are listed, %d were submitted", len(list), jobs)
	}
}

// Guards against two operators that both win, and against instances that keep,
// or after a restart return to, another version than the winner's.
func TestRacingOperators(t *testing.T) {
	const operators, rounds = 2, 3
	s := newSite(t)
	s.watchVersions()
	var winner string // its identifier
	for round := range rounds {
		replaces := int64(round + 1)
		appended := s.publications()
		var codes [operators]int
		var racing sync.WaitGroup
		for n := range operators {
			racing.Go(func() {
				codes[n], _ = s.publish(replaces, fmt.Sprint("operator-", n), 10*round+n+2, "--id", fmt.Sprintf("%d-%d", round, n))
			})
		}
		await(t, "the first publication in the log", func() bool { return s.publications() > appended })
		s.awaitVersion(replaces+1, time.Now())
		racing.Wait()
		if codes[0]+codes[1] != exitDone+exitRejected || codes[0]*codes[1] != 0 {
			t.Fatalf("round %d: exit codes %v, exactly one operator has to win", round, codes)
		}
		winner = fmt.Sprintf("%d-%d", round, codes[0]/exitRejected) // the first operator, or the second if that was rejected
		s.checkWinner(replaces+1, winner)
	}
	restarted := s.instances[1]
	restarted.signal(t, syscall.SIGTERM)
	s.start(restarted)
	await(t, "a configuration on the restarted instance", func() bool {
		status, ok := s.status(restarted)
		return ok && status.Ready
	})
	s.checkWinner(rounds+1, winner)
}

// checkWinner asserts that every instance reports a publication as the version
// in force. A busy duty is asked again.
func (s *site) checkWinner(version int64, id string) {
	s.t.Helper()
	for _, i := range s.instances {
		await(s.t, fmt.Sprintf("publication %s as version %d on %s", id, version, i.ID), func() bool {
			var duties []struct{ State followed.State }
			_ = s.get("http://"+i.Operations+"/debug/state?duty=entry/configuration", &duties)
			return len(duties) == 1 && duties[0].State.Version == version &&
				slices.ContainsFunc(duties[0].State.Results, func(r configuration.Result) bool { return r.Version == version && r.ID == id })
		})
	}
}

// watchVersions follows the version of every instance until the test ends. An
// instance may report none after a restart, never an older one.
func (s *site) watchVersions() {
	ctx, stop := context.WithCancel(context.Background())
	var watching sync.WaitGroup
	for _, i := range s.instances {
		watching.Go(func() {
			newest := int64(0)
			for ; ctx.Err() == nil; time.Sleep(pollEvery) {
				status, _ := s.status(i)
				if v := status.ConfigurationVersion; v != 0 && v < newest {
					s.t.Errorf("%s reports version %d after %d", i.ID, v, newest)
				}
				newest = max(newest, status.ConfigurationVersion)
			}
		})
	}
	s.t.Cleanup(func() { stop(); watching.Wait() })
}
