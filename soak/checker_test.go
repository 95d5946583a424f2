package soak

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"lacewingfork.example/lacewingfork/platform/standin"
)

const (
	// cancelBound is the platform's bound on the time from the acknowledgement of
	// a cancellation to the last start of one of the job's tasks.
	cancelBound = 3 * time.Second
	// maxAttempts is the attempt limit of the queue.
	maxAttempts = 3
	// serverMilliCPU is the processor capacity of a backend server.
	serverMilliCPU = 16000
)

// step is the JSON form of a step of a submitted job.
type step struct {
	Count       int   `json:"count"`
	CPU         int64 `json:"cpu"`
	MemMB       int64 `json:"mem-mb"`
	After       []int `json:"depends-on,omitempty"`
	LongRunning bool  `json:"long-running,omitempty"`
}

// submission is a job as seen by the client that submits it.
type submission struct {
	id        string
	body      string
	spec      standin.Spec
	steps     []step
	accepted  bool
	rejected  bool      // every submission attempt was rejected
	cancelled time.Time // when the cancellation was acknowledged; zero if it was not
}

// task is the state of a task as reported by the workers.
type task struct {
	running      map[string]int // attempt number by server
	done         bool           // it ended as done, whether or not the end was acknowledged
	doneAt       time.Time
	acknowledged bool         // its end as done was acknowledged
	failures     map[int]bool // failed attempts whose end was acknowledged, by attempt number
	starts       []time.Time
	crashes      int // crashes of servers that were running it
	startsAfter  int // answered starts after crashBudget crashes
}

// checker verifies the scheduling guarantees from what workers and clients observe.
type checker struct {
	mu          sync.Mutex // all workers and clients report concurrently
	jobs        map[string]*submission
	tasks       map[string]*task
	usedCPU     map[string]int64      // milli-CPU in use by server
	capacities  map[string][]capacity // by server, in the order of the changes
	violations  []string
	counts      map[string]int
	zones       map[string]string // by server
	evacuations []*evacuation
}

func newChecker() *checker {
	return &checker{jobs: map[string]*submission{}, tasks: map[string]*task{}, usedCPU: map[string]int64{}, capacities: map[string][]capacity{}, counts: map[string]int{}, zones: map[string]string{}}
}

// reportf records a violation. The caller holds c.mu. The message begins with the code
// of the guarantee:
//
//	LIMIT    the runs on a server fit into its capacity; one that has shrunk counts after
//	         shrunkCapacityGrace
//	TWICE    a task has one run at a time and none after it is done
//	ORDER    a step starts after the steps that it depends on
//	BUDGET   a task has no more failed attempts than the queue allows, and at most
//	         maxStartsAfterCrashes starts after crashBudget servers crashed under it
//	UNASKED  only submitted tasks start, and none of a cancelled job
//	REFUSED  no task of a rejected job starts
//	EVACUATED no task starts in a zone that has been evacuated for evacuationBound
//	LOST     an accepted job reaches its expected state
func (c *checker) reportf(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// addSubmission registers a job before its first submission attempt.
func (c *checker) addSubmission(s *submission) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[s.id] = s
	c.counts["jobs"]++
}

// withLock runs f with the lock held.
func (c *checker) withLock(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// result returns the counts and the violations so far. Workers may still report.
func (c *checker) result() (counts map[string]int, violations []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts), slices.Compact(slices.Sorted(slices.Values(c.violations)))
}

// observe processes an event of a worker.
func (c *checker) observe(e standin.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Kind == standin.WorkerRestarted {
		for name, t := range c.tasks {
			if _, ran := t.running[e.Server]; ran {
				t.crashes++
				c.runEnded(name, t, e.Server)
			}
		}
		return
	}
	if e.Kind == standin.CapacityChanged {
		c.capacities[e.Server] = append(c.capacities[e.Server], capacity{at: e.At, milliCPU: e.MilliCPU})
		return
	}
	t := c.tasks[e.Task]
	if t == nil {
		t = &task{running: map[string]int{}, failures: map[int]bool{}}
		c.tasks[e.Task] = t
	}
	switch e.Kind {
	case standin.RunStarted:
		c.checkStart(e, t)
	case standin.RunEnded:
		c.runEnded(e.Task, t, e.Server)
		if e.End == "done" {
			t.done, t.doneAt = true, e.At
		}
	case standin.EndAcknowledged:
		switch {
		case e.LeaseExpired: // by then the task may have been started again
		case e.End == "done":
			t.acknowledged = true
			for _, at := range t.starts {
				if at.After(t.doneAt) {
					c.reportf("TWICE: %s was started again after it ended as done", e.Task)
				}
			}
		case e.End == "failed":
			t.failures[e.Attempt] = true
		}
	}
}

// runEnded removes the run of a task from a server and releases its processor.
func (c *checker) runEnded(name string, t *task, server string) {
	delete(t.running, server)
	if s, stepIndex := c.lookup(name); s != nil {
		c.usedCPU[server] -= s.steps[stepIndex].CPU
	}
}

// lookup returns the submission and the step index of a task. Task names have the
// form JOB.OCCURRENCE.STEP.INDEX. The submission is nil if the task is unknown.
func (c *checker) lookup(name string) (*submission, int) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 || c.jobs[parts[0]] == nil {
		return nil, 0
	}
	stepIndex, err := strconv.Atoi(parts[2])
	if err != nil || stepIndex >= len(c.jobs[parts[0]].steps) {
		return nil, 0
	}
	return c.jobs[parts[0]], stepIndex
}

// checkStart checks a start against every guarantee and records the run.
func (c *checker) checkStart(e standin.Event, t *task) {
	c.counts["starts"]++
	s, stepIndex := c.lookup(e.Task)
	if s == nil || e.Spec != s.spec.Text() {
		c.reportf("UNASKED: %s was started on %s, but no client submitted such a task", e.Task, e.Server)
		return
	}
	if len(t.running) > 0 {
		c.reportf("TWICE: %s attempt %d was started on %s while it runs on %v", e.Task, e.Attempt, e.Server, t.running)
	}
	if t.done && t.acknowledged {
		c.reportf("TWICE: %s attempt %d was started on %s after its end as done was acknowledged", e.Task, e.Attempt, e.Server)
	}
	if !e.Unanswered && !s.cancelled.IsZero() && e.At.Sub(s.cancelled) > cancelBound {
		c.reportf("UNASKED: %s was started %v after its job was cancelled", e.Task, e.At.Sub(s.cancelled))
	}
	if !s.steps[stepIndex].LongRunning && len(t.failures) >= maxAttempts {
		c.reportf("BUDGET: %s was started after %d acknowledged failed attempts", e.Task, len(t.failures))
	}
	for _, before := range s.steps[stepIndex].After {
		for n := range s.steps[before].Count {
			if earlier := c.tasks[fmt.Sprintf("%s.0.%d.%d", s.id, before, n)]; earlier == nil || !earlier.done {
				c.reportf("ORDER: %s was started before step %d was done", e.Task, before)
			}
		}
	}
	t.running[e.Server] = e.Attempt
	t.starts = append(t.starts, e.At)
	c.usedCPU[e.Server] += s.steps[stepIndex].CPU
	if room := c.room(e); c.usedCPU[e.Server] > room {
		c.reportf("LIMIT: starting %s raises the milli-CPU in use on %s to %d of %d", e.Task, e.Server, c.usedCPU[e.Server], room)
	}
	c.checkCrashBudget(e, t, s)
	c.checkEvacuations(e)
}

// checkRejected reports starts of jobs whose submission attempts were all rejected.
func (c *checker) checkRejected() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, t := range c.tasks {
		if s, _ := c.lookup(name); s != nil && s.rejected && !s.accepted && len(t.starts) > 0 {
			c.reportf("REFUSED: %s was started although every submission of its job was rejected", name)
		}
	}
}

// encode returns the JSON body of the submission.
func (s *submission) encode() string {
	data, err := json.Marshal(map[string]any{"spec": s.spec.Text(), "phases": s.steps})
	if err != nil {
		return "" // cannot happen: every field can be encoded
	}
	return string(data)
}
