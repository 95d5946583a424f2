package job

import (
	"fmt"
	"math"
	"time"

	"lacewingfork.example/lacewingfork/findings"
)

// Limits of a submission. The tasks of a job stay in memory until the job is
// removed, so their number is bounded.
const (
	maxSpecBytes = 4000
	MaxSteps     = 256
	MaxTasks     = 20000
	MaxRepeats   = 10000
	// maxFindings bounds the answer to a submission of legal size that has a fault in
	// every few bytes, which would take some hundred times its size.
	maxFindings = 100
	// maxInterval keeps the time from the first occurrence to the last within a
	// time.Duration.
	maxInterval = time.Duration(math.MaxInt64) / MaxRepeats
	// maxYear is the last year that JSON encodes. A job that is due later cannot be
	// stored.
	maxYear = 9999
)

// Check returns the findings on a submission, or nil if it is valid. document is
// the name of the submission in the findings.
func (j Job) Check(document string) error {
	var list findings.List
	report := func(key, problem, expected string) {
		if len(list) >= maxFindings {
			return
		}
		list.Add(findings.Finding{File: document, Key: key, Problem: problem, Expected: expected})
	}
	if !ValidID(string(j.ID)) {
		report("id", fmt.Sprintf("is %q", j.ID), "16 hexadecimal digits")
	}
	if len(j.Spec) > maxSpecBytes {
		report("spec", fmt.Sprintf("has %d bytes", len(j.Spec)), fmt.Sprintf("at most %d", maxSpecBytes))
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		report("steps", fmt.Sprintf("has %d entries", len(j.Steps)), fmt.Sprintf("1 to %d", MaxSteps))
	}
	if j.Repeats < 0 || j.Repeats > MaxRepeats {
		report("repeats", fmt.Sprintf("is %d", j.Repeats), fmt.Sprintf("0 to %d", MaxRepeats))
	}
	if j.Interval < 0 || j.Interval > maxInterval {
		report("interval", "is "+j.Interval.String(), "0 to "+maxInterval.String())
	}
	if year := j.FirstDue.Year(); j.Repeats > 0 && (year < 0 || year > maxYear) {
		report("first_due", fmt.Sprintf("is in the year %d", year), fmt.Sprintf("a year of 0 to %d", maxYear))
	}
	tasks := 0
	for i, s := range j.Steps {
		s.check(i, report)
		tasks += max(0, min(s.Count, MaxTasks+1))
	}
	if tasks > MaxTasks {
		report("steps", fmt.Sprintf("have %d tasks or more", tasks), fmt.Sprintf("at most %d", MaxTasks))
	}
	return list.Err()
}

// check reports the findings on the step with the given index.
func (s Step) check(index int, report func(key, problem, expected string)) {
	key := func(name string) string { return fmt.Sprintf("steps[%d].%s", index, name) }
	if s.Count < 1 || s.Count > MaxTasks {
		report(key("count"), fmt.Sprintf("is %d", s.Count), fmt.Sprintf("1 to %d", MaxTasks))
	}
	faults := 0
	for _, before := range s.After {
		if before < 0 || before >= index {
			report(key("after"), fmt.Sprintf("names step %d", before), "earlier steps")
			if faults++; faults == maxFindings {
				break
			}
		}
	}
	for name, n := range map[string]int64{
		"need.milli_cpu": s.Need.MilliCPU, "need.memory_mib": s.Need.MemoryMiB,
		"need.accelerators": int64(s.Need.Accelerators), "max_per_server": int64(s.MaxPerServer),
		"max_unavailable": int64(s.MaxUnavailable), "estimate": int64(s.Estimate), "target": int64(s.LatencyTarget),
	} {
		if n < 0 {
			report(key(name), fmt.Sprintf("is %d", n), "0 or more")
		}
	}
}
