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
	entryconfiguration "lacewingfork.example/lacewingfork/entry/configuration"
	"lacewingfork.example/lacewingfork/records/configuration"
	"lacewingfork.example/lacewingfork/standin"
)

// Exit codes of the lacewingfork command.
const (
	exitOK       = 0
	exitRejected = 4
)

// Guards against duplicate jobs and versions when an append is retried after its
// acknowledgement was lost.
func TestLostAcknowledgementsCauseNoDuplicates(t *testing.T) {
	const jobs, tasks, versions = 3, 2, 3
	s := newDeployment(t)
	load := s.startTraffic()
	s.standIn.SetLogFaults(standin.LogFaults{LoseAnswers: -1})
	var working sync.WaitGroup
	for n := range jobs {
		for range 2 { // a client that repeats its submission
			working.Go(func() { s.submit(fmt.Sprint("job-", n), tasks, time.Second) })
		}
	}
	working.Go(func() {
		for n := range versions {
			if code, out := s.publish(int64(n+1), "operator", n+2, "--id", fmt.Sprint("publication-", n)); code != exitOK {
				t.Errorf("publication %d: got exit code %d, want %d: %s", n, code, exitOK, out)
			}
		}
	})
	working.Wait()
	s.awaitJobs(jobs, tasks)
	s.standIn.SetLogFaults(standin.LogFaults{})
	s.awaitVersion(versions+1, time.Now())
	if starts := s.sum(tasksStarted); starts != jobs*tasks+s.evictions() {
		t.Errorf("got %d starts, want one for each of %d tasks and %d evictions", starts, jobs*tasks, s.evictions())
	}
	accepted, history := map[string]int64{}, []configuration.Result{}
	if code, out := s.command("config", "history"); code != exitOK || json.Unmarshal([]byte(out), &history) != nil {
		t.Fatalf("config history: got exit code %d and output %s, want %d and a JSON list", code, out, exitOK)
	}
	for _, r := range history {
		if r.Version > 0 && accepted[r.ID] != 0 {
			t.Errorf("publication %s came into force as versions %d and %d, want only one version", r.ID, accepted[r.ID], r.Version)
		}
		accepted[r.ID] = r.Version
	}
	if len(accepted) != versions+1 {
		t.Errorf("got verdicts on %d publications, want %d: %v", len(accepted), versions+1, accepted)
	}
	s.checkGuarantees(load.end())
}

// submit submits a job and retries with the same identifier until it is accepted,
// as the page on operations advises.
func (s *deployment) submit(id string, tasks int, run time.Duration) {
	var out string
	for end := time.Now().Add(conditionTimeout); time.Now().Before(end); {
		var code int
		code, out = s.command("job", "submit", "--id", id, "--team", "seams", "--kind", "seam-watch", "--tasks", fmt.Sprint(tasks),
			"--slots", "1", "--milli-cpu", "1000", "--memory-mib", "256", "--run-time", run.String())
		if code == exitOK {
			return
		}
	}
	s.t.Errorf("job %s was not accepted within %v: %s", id, conditionTimeout, out)
}

// awaitJobs waits until all jobs have succeeded and checks that each is listed
// once.
func (s *deployment) awaitJobs(jobs, tasks int) {
	s.t.Helper()
	last := s.instances[len(s.instances)-1] // no test ends it
	var list []callerapi.JobStatus
	await(s.t, fmt.Sprintf("end of %d jobs of %d tasks", jobs, tasks), func() bool {
		list = nil
		return s.get("http://"+last.Callers+callerapi.PathJobs, &list) == nil && len(list) >= jobs &&
			!slices.ContainsFunc(list, func(j callerapi.JobStatus) bool { return j.State != "succeeded" || j.Succeeded != tasks })
	})
	if len(list) != jobs {
		s.t.Errorf("got %d listed jobs, want the %d submitted", len(list), jobs)
	}
}

// Guards against two concurrent publications that are both accepted, and against
// instances that keep, or return to after a restart, a version other than the
// accepted one.
func TestConcurrentPublications(t *testing.T) {
	const operators, rounds = 2, 3
	s := newDeployment(t)
	s.watchVersions()
	var winner string // identifier of the accepted publication
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
		if codes[0]+codes[1] != exitOK+exitRejected || codes[0]*codes[1] != 0 {
			t.Fatalf("round %d: got exit codes %v, want one %d and one %d", round, codes, exitOK, exitRejected)
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

// checkWinner waits until every instance reports a publication as the version in
// force. It polls, because a busy duty may not answer in time.
func (s *deployment) checkWinner(version int64, id string) {
	s.t.Helper()
	for _, i := range s.instances {
		await(s.t, fmt.Sprintf("publication %s as version %d on %s", id, version, i.ID), func() bool {
			var duties []struct{ State entryconfiguration.State }
			_ = s.get("http://"+i.Operations+"/debug/state?duty=entry/configuration", &duties)
			return len(duties) == 1 && duties[0].State.Version == version &&
				slices.ContainsFunc(duties[0].State.Results, func(r configuration.Result) bool { return r.Version == version && r.ID == id })
		})
	}
}

// watchVersions checks until the test ends that the version of no instance goes
// back. An instance may report none after a restart, but not an older one.
func (s *deployment) watchVersions() {
	ctx, stop := context.WithCancel(context.Background())
	var watching sync.WaitGroup
	for _, i := range s.instances {
		watching.Go(func() {
			newest := int64(0)
			for ; ctx.Err() == nil; time.Sleep(pollInterval) {
				status, _ := s.status(i)
				if v := status.ConfigurationVersion; v != 0 && v < newest {
					s.t.Errorf("%s: got version %d after version %d, want no older one", i.ID, v, newest)
				}
				newest = max(newest, status.ConfigurationVersion)
			}
		})
	}
	s.t.Cleanup(func() { stop(); watching.Wait() })
}
