package task

import (
	"fmt"
	"slices"
	"strings"

	"lacewingfork.example/lacewingfork/fleet"
)

const (
	// setAsideServers is the number of different backend servers on which a
	// job has to fail to be set aside.
	setAsideServers = 3
	// faultyServerJobs is the number of different jobs that have to fail on a
	// backend server, without a success in between, for its failures to be
	// attributed to the server instead of the jobs.
	faultyServerJobs = 3
	// maxFailures bounds the failed and lost attempts of one task. It ends
	// jobs that fail while every server looks faulty, and tasks that take
	// their worker down with them.
	maxFailures = 16
)

// health tells a server that fails everything from one that was given a job
// which fails everywhere.
type health struct {
	// failed lists different jobs that failed since the last success, at most
	// failingJobs of them.
	failed []fleet.JobID
}

func (h *health) recordSuccess() { h.failed = nil }

func (h *health) recordFailure(j fleet.JobID) {
	if len(h.failed) < faultyServerJobs && !slices.Contains(h.failed, j) {
		h.failed = append(h.failed, j)
	}
}

func (h *health) isFaulty() bool { return len(h.failed) >= faultyServerJobs }

// IsFaulty reports whether the last attempts of several jobs all failed
// on the server.
func (f *Fold) IsFaulty(server fleet.BackendServerID) bool {
	n, ok := f.servers.numbers[server]
	return ok && f.health[n].isFaulty()
}

func (f *Fold) applyFailure(j *job, t *task, r Record) {
	j.failed++
	retry := t.ensureRetryState()
	retry.failures++
	retry.failedOn = appendUnique(retry.failedOn, t.server)
	if j.done == 0 {
		j.failedOn = appendUnique(j.failedOn, t.server)
	}
	f.health[t.server].recordFailure(j.spec.ID)
	f.checkFailures(j, t, r)
}

// checkFailures sets the job aside when one of its tasks failed on three
// servers that don't fail everything, or when the whole job did without a
// single success, or when a task failed too often.
func (f *Fold) checkFailures(j *job, t *task, r Record) {
	if j.state != Open {
		return
	}
	healthy := f.healthyServers(t.retry.failedOn)
	if len(healthy) < setAsideServers {
		healthy = f.healthyServers(j.failedOn)
	}
	switch {
	case len(healthy) >= setAsideServers:
		f.close(j, SetAsideState, fmt.Sprintf("failed on %d different backend servers (%s); last: %s",
			len(healthy), strings.Join(healthy, ", "), lastReason(r)))
	case t.retry.failures >= maxFailures:
		f.close(j, SetAsideState, fmt.Sprintf("task %d failed or was lost %d times; last: %s",
			r.Task.Index, t.retry.failures, lastReason(r)))
	}
}

func (f *Fold) healthyServers(servers []uint32) []string {
	var names []string
	for _, n := range servers {
		if !f.health[n].isFaulty() {
			names = append(names, string(f.servers.names[n]))
		}
	}
	slices.Sort(names)
	return names
}

func lastReason(r Record) string {
	if r.Reason == "" {
		return "no reason reported"
	}
	return r.Reason
}

func appendUnique(list []uint32, n uint32) []uint32 {
	if slices.Contains(list, n) {
		return list
	}
	return append(list, n)
}
