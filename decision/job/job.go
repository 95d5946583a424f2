// Package job defines batch and long-running jobs: their steps, the references
// to their tasks, their states, and the checks of a submission. It performs no
// I/O. The cell that schedules jobs and the codecs of the log use it.
package job

import (
	"strconv"
	"strings"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// Queue is the name of a queue of the configuration.
type Queue string

// Job is a submitted job.
type Job struct {
	ID    fleet.JobID `json:"id"`
	Queue Queue       `json:"queue"`
	// Spec is passed unchanged to the workers with each start.
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
	// Repeats is the number of scheduled occurrences; 0 means that the job runs
	// once, immediately.
	Repeats int `json:"repeats,omitempty"`
	// FirstDue is the due time of occurrence 0; Interval is the time between
	// two occurrences.
	FirstDue time.Time     `json:"first_due,omitzero"`
	Interval time.Duration `json:"interval,omitempty"`
}

// Step is a set of identical tasks that start once the steps they depend on are
// done.
type Step struct {
	// Count is the number of tasks.
	Count int `json:"count"`
	// Need is what one run of a task uses.
	Need fleet.Resources `json:"need"`
	// Estimate is the caller's estimate of the run time of one task.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists the indexes of earlier steps, from 0, whose tasks must all be
	// done first.
	After []int `json:"after,omitempty"`
	// Checkpoints means that a task can resume from a checkpoint.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang means that the tasks run together: either all of them run or none.
	Gang bool `json:"gang,omitempty"`
	// SameRack means that the tasks are slow unless all of them run in one
	// rack.
	SameRack bool `json:"same_rack,omitempty"`
	// LongRunning means that the tasks run until the job is cancelled.
	LongRunning bool `json:"lasting,omitempty"`
	// Speculative allows several concurrent runs of one task.
	Speculative bool `json:"copies,omitempty"`
	// BestEffort means that the tasks use the processor time that other tasks
	// on the server leave idle. Their processor need is not counted against the
	// server's capacity.
	BestEffort bool `json:"fills,omitempty"`
	// Label is a label that the server must have; empty means any server.
	Label string `json:"label,omitempty"`
	// DataRack is the rack in which the tasks run at full speed; empty means
	// any rack.
	DataRack string `json:"data_rack,omitempty"`
	// MaxPerServer bounds the number of tasks of the step on one server; 0 is
	// no bound.
	MaxPerServer int `json:"max_per_server,omitempty"`
	// MaxUnavailable bounds the number of long-running tasks that the scheduler
	// may disrupt at a time; 0 is no bound.
	MaxUnavailable int `json:"max_unavailable,omitempty"`
	// Image is the name of the program that the tasks run. Tasks of one image
	// have the same load characteristics.
	Image string `json:"image,omitempty"`
	// LatencyTarget bounds the tail latency of a long-running task; 0 is no
	// target.
	LatencyTarget time.Duration `json:"target,omitempty"`
}

// TaskRef identifies one task of one occurrence of a job.
type TaskRef struct {
	Job        fleet.JobID
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's identifier: job, occurrence, step and index,
// separated by dots.
func (r TaskRef) String() string {
	var b strings.Builder
	b.Grow(len(r.Job) + 12)
	b.WriteString(string(r.Job))
	for _, n := range [...]int{r.Occurrence, r.Step, r.Index} {
		b.WriteByte('.')
		b.WriteString(strconv.Itoa(n))
	}
	return b.String()
}

// ParseTaskRef parses a task identifier as returned by TaskRef.String. It returns
// false if text is not one.
func ParseTaskRef(text string) (TaskRef, bool) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || !ValidID(parts[0]) {
		return TaskRef{}, false
	}
	r := TaskRef{Job: fleet.JobID(parts[0])}
	for i, field := range []*int{&r.Occurrence, &r.Step, &r.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskRef{}, false
		}
		*field = n
	}
	return r, true
}

// idLength is the length of a job's identifier in hexadecimal digits.
const idLength = 16

// ValidID reports whether text is a job identifier.
func ValidID(text string) bool {
	if len(text) != idLength {
		return false
	}
	for _, c := range []byte(text) {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F') {
			return false
		}
	}
	return true
}

// State is the state of a job as reported to callers.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Complete  State = "complete"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether a job in this state can no longer change.
func (s State) Final() bool { return s == Complete || s == Failed || s == Cancelled }

// End is how a run of a task ended on its worker.
type End string

// The ends of a run.
const (
	EndDone           End = "done"
	EndFailed         End = "failed"  // by a fault of the task or of its server
	EndStopped        End = "stopped" // by an order of the holder
	EndLeaseExpired   End = "lapsed"  // the lease of its worker expired
	EndGangBroken     End = "broken"  // another member of its gang ended
	EndGangIncomplete End = "alone"   // the other members of its gang did not start in time
	EndLost           End = "lost"    // its server was removed or restarted
)
