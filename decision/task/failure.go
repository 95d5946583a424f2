package task

import (
	"fmt"
	"slices"
	"strings"

	"lacewingfork.example/lacewingfork/fleet"
)

const (
	// setAsideServers is the number of distinct non-faulty backend servers on
	// which a job has to fail to be set aside.
	setAsideServers = 3
	// faultyServerJobs is the number of distinct jobs that have to fail on a
	// backend server, without a success in between, for the server to be
	// considered faulty and its failures not to count against the jobs.
	faultyServerJobs = 3
	// maxFailures bounds the failed and lost attempts of one task. It ends jobs
	// that fail while every server is considered faulty, and tasks that crash
	// their worker.
	maxFailures = 16
)

// health distinguishes a faulty server from one that ran a job which fails on
// every server.
type health struct {
	// failed lists distinct jobs that failed since the last success, at most
	// faultyServerJobs of them.
	failed []fleet.JobID
}

func (h *health) recordSuccess() { h.failed = nil }

func (h *health) recordFailure(j fleet.JobID) {
	if len(h.failed) < faultyServerJobs && !slices.Contains(h.failed, j) {
		h.failed = append(h.failed, j)
	}
}

func (h *health) isFaulty() bool { return len(h.failed) >= faultyServerJobs }

// IsFaulty reports whether faultyServerJobs distinct jobs have failed on the
// server since its last success.
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

// checkFailures sets the job aside in three cases: one of its tasks failed on
// setAsideServers servers that are not faulty; its tasks together did so without
// a success; a task failed or was lost maxFailures times.
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

// healthyServers returns the sorted names of the servers that are not faulty.
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
