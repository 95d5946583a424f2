package cell

import (
	"fmt"
	"strings"
	"time"

	"lacewingfork.example/lacewingfork/decision/election"
	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/findings"
	"lacewingfork.example/lacewingfork/fleet"
)

const (
	// maxAttempt is the highest attempt number of a run: that of the last holder.
	maxAttempt = election.MaxRound * attemptsPerRound
	// maxTailMS bounds a recorded tail latency by what a time.Duration can hold.
	maxTailMS = float64(1<<63-1) / float64(time.Millisecond)
)

// validAttempt reports whether a holder may have used an attempt number.
func validAttempt(attempt int) bool { return attempt >= 1 && attempt <= maxAttempt }

// Check returns the findings on a record that is not a deletion, or nil if a cell
// can be restored from it. Restore relies on it.
func (r Record) Check() error {
	var list findings.List
	report := func(key, problem, expected string) {
		list.Add(findings.Finding{File: "record", Key: key, Problem: problem, Expected: expected})
	}
	contents := 0
	checkKey := func(want Key) {
		contents++
		if r.Key != want {
			report("key", fmt.Sprintf("is %.*q", quotedBytes, string(r.Key)), fmt.Sprintf("%.*q", quotedBytes, string(want)))
		}
	}
	if r.Job != nil {
		checkKey(jobKey(r.Job.Job.ID))
		list = append(list, foundIn(r.Job.Job.Check("job"))...)
		if r.Job.Accepted.Unix() <= 0 {
			report("accepted", "is "+r.Job.Accepted.String(), "the time at which the job was accepted")
		}
	}
	if r.Progress != nil {
		contents++
		if id, ok := strings.CutPrefix(string(r.Key), progressPrefix); !ok || !job.ValidID(id) {
			report("key", fmt.Sprintf("is %.*q", quotedBytes, string(r.Key)), "the identifier of a job after "+progressPrefix)
		}
		r.Progress.check(report)
	}
	if r.Server != nil {
		checkKey(serverKey(r.Server.ID))
		list = append(list, foundIn(r.Server.Check())...)
	}
	if r.Interference != nil {
		checkKey(interferenceKey)
		r.Interference.check(report)
	}
	if r.Leases != nil {
		checkKey(leasesKey)
		r.Leases.check(report)
	}
	if r.Evacuations != nil {
		checkKey(evacuationsKey)
		r.Evacuations.check(report)
	}
	if r.Starts != nil {
		checkKey(startsKey)
		r.Starts.check(report)
	}
	if contents != 1 {
		report("", fmt.Sprintf("has %d contents", contents), "one of job, progress, server, learnt, leases, evacuations and starts")
	}
	return list.Err()
}

// foundIn returns the findings that an error reports.
func foundIn(err error) findings.List {
	if found, ok := err.(*findings.Error); ok {
		return found.Findings
	}
	return nil
}

func (p *ProgressRecord) check(report func(key, problem, expected string)) {
	within := func(key string, n, limit int) {
		if n < 0 || n >= limit {
			report(key, fmt.Sprintf("is %d", n), fmt.Sprintf("0 to %d", limit-1))
		}
	}
	for _, number := range p.Completed {
		within("closed", number, job.MaxRepeats)
	}
	for _, o := range p.Occurrences {
		within("occurrences.number", o.Number, job.MaxRepeats)
		for _, t := range o.Tasks {
			within("occurrences.tasks.s", t.Step, job.MaxSteps)
			within("occurrences.tasks.i", t.Index, job.MaxTasks)
			for _, attempt := range t.Failed {
				if !validAttempt(attempt) {
					report("occurrences.tasks.f", fmt.Sprintf("is %d", attempt), fmt.Sprintf("1 to %d", maxAttempt))
				}
			}
		}
	}
}

func (r *InterferenceRecord) check(report func(key, problem, expected string)) {
	within := func(key string, value, limit float64) {
		if !(value >= 0 && value <= limit) {
			report(key, fmt.Sprintf("is %g", value), fmt.Sprintf("0 to %g", limit))
		}
	}
	for _, tail := range r.MinTailMS {
		within("idle", tail, maxTailMS)
	}
	for _, p := range r.MeanPressure {
		within("usual", p, maxPressure)
	}
	if len(r.MinTailMS) > len(r.Images) || len(r.MeanPressure) > len(r.Images) {
		report("images", fmt.Sprintf("has %d entries", len(r.Images)), "one for each estimate")
	}
	for _, p := range r.Pairs {
		within("pairs.p", p.Pressure, maxPressure)
		within("pairs.d", p.Deviation, maxPressure)
		if p.Serving < 0 || p.Serving >= len(r.Images) || p.BestEffort < 0 || p.BestEffort >= len(r.Images) {
			report("pairs", fmt.Sprintf("names images %d and %d", p.Serving, p.BestEffort), fmt.Sprintf("0 to %d", len(r.Images)-1))
		}
	}
}

// maxLeaseMs is the longest recorded lease, far above any that a worker grants.
const maxLeaseMs = int64(time.Hour / time.Millisecond)

func (r *LeaseRecord) check(report func(key, problem, expected string)) {
	checkMs := func(key string, ms int64) {
		if ms < 0 || ms > maxLeaseMs {
			report(key, fmt.Sprintf("is %d", ms), fmt.Sprintf("0 to %d", maxLeaseMs))
		}
	}
	checkMs("others_left_ms", r.OthersLeftMs)
	for _, lease := range r.Workers {
		checkMs("workers.left_ms", lease.LeftMs)
		checkMs("workers.renewed_ms", lease.RenewedMs)
	}
}

// ServerOfKey returns the server whose record has a key.
func ServerOfKey(key Key) (fleet.BackendServerID, bool) {
	id, ok := strings.CutPrefix(string(key), serverPrefix)
	return fleet.BackendServerID(id), ok && id != "" && readable(id)
}
