// Package job holds the values of a batch or long-running job: its steps, the
// references to its tasks, its states, and the checks of a submission. It is
// pure; the cell that schedules jobs and the codecs of the log use it.
package job

import (
	"strconv"
	"strings"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// Queue names a queue of the configuration.
type Queue string

// Job is a submission as a caller made it.
type Job struct {
	ID    fleet.JobID `json:"id"`
	Queue Queue       `json:"queue"`
	Spec  string      `json:"spec"`
	Steps []Step      `json:"steps"`
	// Repeats is the number of scheduled occurrences; 0 means that the job
	// runs once, at once.
	Repeats int `json:"repeats,omitempty"`
	// FirstDue is the due time of occurrence 0; Interval is the time between
	// two occurrences.
	FirstDue time.Time     `json:"first_due,omitzero"`
	Interval time.Duration `json:"interval,omitempty"`
}

// Step is a set of equal tasks that start once the steps before it are done.
type Step struct {
	Count int             `json:"count"`
	Need  fleet.Resources `json:"need"`
	// Estimate is the caller's rough guess of one task's run time.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists earlier steps, counting from 0, whose tasks must all be done.
	After []int `json:"after,omitempty"`
	// Checkpoints means that a task can resume from a checkpoint.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang tasks work only together: all of them run or none.
	Gang bool `json:"gang,omitempty"`
	// SameRack tasks are slow unless all of them run in one rack.
	SameRack bool `json:"same_rack,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:"lasting,omitempty"`
	// Speculative allows several runs of one task at a time.
	Speculative bool `json:"copies,omitempty"`
	// BestEffort tasks take the processor time that others on the server leave;
	// their processor need is not counted against its capacity.
	BestEffort bool `json:"fills,omitempty"`
	// Label has to be among the labels of the server.
	Label string `json:"label,omitempty"`
	// DataRack is the rack in which the tasks run at full speed.
	DataRack string `json:"data_rack,omitempty"`
	// MaxPerServer bounds the tasks of the step on one server; 0 is no bound.
	MaxPerServer int `json:"max_per_server,omitempty"`
	// MaxUnavailable bounds the lasting tasks that the system may take out of
	// work at a time; 0 is no bound.
	MaxUnavailable int `json:"max_unavailable,omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// LatencyTarget bounds the tail latency of a lasting task; 0 is no target.
	LatencyTarget time.Duration `json:"target,omitempty"`
}

// TaskRef names one task of one occurrence of a job.
type TaskRef struct {
	Job        fleet.JobID
	Occurrence int
	Step       int
	Index      int
}

// String is the task's identifier: job, occurrence, step and index.
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

// ParseTaskRef is the inverse of String.
func ParseTaskRef(text string) (TaskRef, bool) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || !ValidID(parts[0]) {
		return TaskRef{}, false
	}
	r := TaskRef{Job: fleet.JobID(parts[0])}
	for i, place := range []*int{&r.Occurrence, &r.Step, &r.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskRef{}, false
		}
		*place = n
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

// State is what a caller is told about a job.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Complete  State = "complete"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether a job in this state never changes again.
func (s State) Final() bool { return s == Complete || s == Failed || s == Cancelled }

// End says how a run of a task ended on its worker.
type End string

// The ends of a run.
const (
	EndDone           End = "done"
	EndFailed         End = "failed"  // by its own fault or the server's
	EndStopped        End = "stopped" // on an order
	EndLeaseExpired   End = "lapsed"  // its lease ran out
	EndGangBroken     End = "broken"  // another member of its gang ended
	EndGangIncomplete End = "alone"   // the other members of its gang did not come
	EndLost           End = "lost"    // the server is gone or has restarted
)
