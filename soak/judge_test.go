package soak

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"lacewingfork.example/lacewingfork/platform/standin"
)

const (
	// cancelBound is the platform's bound from the acknowledgement of a
	// cancellation to the last start of its tasks.
	cancelBound = 3 * time.Second
	// maxAttempts is that of the queue.
	maxAttempts = 3
	serverCPU   = 16000
)

// step is a step of a submitted job, as it is sent.
type step struct {
	Count   int   `json:"count"`
	CPU     int64 `json:"cpu"`
	MemMB   int64 `json:"mem-mb"`
	After   []int `json:"depends-on,omitempty"`
	Lasting bool  `json:"long-running,omitempty"`
}

// submission is what the clients know of a job.
type submission struct {
	id        string
	body      string
	spec      standin.Spec
	steps     []step
	accepted  bool
	rejected  bool // every attempt so far was refused
	cancelled time.Time
}

type task struct {
	running  map[string]int // attempt by server
	done     bool           // an end done, acknowledged or not
	doneAt   time.Time
	acked    bool
	failures map[int]bool // acknowledged failed attempts
	starts   []time.Time
}

// judge checks the promises from what workers and clients see.
type judge struct {
	mu    sync.Mutex // the duties of all workers and all clients report to it
	jobs  map[string]*submission
	tasks map[string]*task
	used  map[string]int64 // processor by server
	finds []string
	count map[string]int
}

func newJudge() *judge {
	return &judge{jobs: map[string]*submission{}, tasks: map[string]*task{}, used: map[string]int64{}, count: map[string]int{}}
}

func (j *judge) find(format string, args ...any) {
	j.finds = append(j.finds, fmt.Sprintf(format, args...))
}

func (j *judge) submitted(s *submission) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobs[s.id] = s
	j.count["jobs"]++
}

// change lets a client note what it was told of its job.
func (j *judge) change(f func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	f()
}

func (j *judge) observe(e standin.Event) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if e.Kind == standin.WorkerRestarted {
		for name, t := range j.tasks {
			if _, ran := t.running[e.Server]; ran {
				j.over(name, t, e.Server)
			}
		}
		return
	}
	t := j.tasks[e.Task]
	if t == nil {
		t = &task{running: map[string]int{}, failures: map[int]bool{}}
		j.tasks[e.Task] = t
	}
	switch e.Kind {
	case standin.RunStarted:
		j.started(e, t)
	case standin.RunEnded:
		j.over(e.Task, t, e.Server)
		if e.How == "done" {
			t.done, t.doneAt = true, e.At
		}
	case standin.EndAcknowledged:
		switch e.How {
		case "done":
			t.acked = true
			for _, at := range t.starts {
				if at.After(t.doneAt) {
					j.find("TWICE: %s was started again after its end", e.Task)
				}
			}
		case "failed":
			t.failures[e.Attempt] = true
		}
	}
}

func (j *judge) over(name string, t *task, server string) {
	delete(t.running, server)
	if s, at := j.lookup(name); s != nil {
		j.used[server] -= s.steps[at].CPU
	}
}

// lookup returns the submission and the step of a task, named ID.K.STEP.INDEX.
func (j *judge) lookup(name string) (*submission, int) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 || j.jobs[parts[0]] == nil {
		return nil, 0
	}
	at, err := strconv.Atoi(parts[2])
	if err != nil || at >= len(j.jobs[parts[0]].steps) {
		return nil, 0
	}
	return j.jobs[parts[0]], at
}

func (j *judge) started(e standin.Event, t *task) {
	j.count["starts"]++
	s, at := j.lookup(e.Task)
	if s == nil || e.Spec != s.spec.Text() {
		j.find("UNASKED: %s was started on %s", e.Task, e.Server)
		return
	}
	if len(t.running) > 0 {
		j.find("TWICE: %s attempt %d was started on %s while it runs on %v", e.Task, e.Attempt, e.Server, t.running)
	}
	if t.done && t.acked {
		j.find("TWICE: %s attempt %d was started on %s after its end was acknowledged", e.Task, e.Attempt, e.Server)
	}
	if !e.Late && !s.cancelled.IsZero() && e.At.Sub(s.cancelled) > cancelBound {
		j.find("UNASKED: %s was started %v after its job was cancelled", e.Task, e.At.Sub(s.cancelled))
	}
	if !s.steps[at].Lasting && len(t.failures) >= maxAttempts {
		j.find("BUDGET: %s was started after %d failed attempts", e.Task, len(t.failures))
	}
	for _, before := range s.steps[at].After {
		for n := range s.steps[before].Count {
			if earlier := j.tasks[fmt.Sprintf("%s.0.%d.%d", s.id, before, n)]; earlier == nil || !earlier.done {
				j.find("ORDER: %s was started before step %d was done", e.Task, before)
			}
		}
	}
	t.running[e.Server] = e.Attempt
	t.starts = append(t.starts, e.At)
	j.used[e.Server] += s.steps[at].CPU
	if j.used[e.Server] > serverCPU {
		j.find("LIMIT: %s brings %s to %d of %d", e.Task, e.Server, j.used[e.Server], serverCPU)
	}
}

// refused finds starts of jobs whose every submission was rejected.
func (j *judge) refused() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for name, t := range j.tasks {
		if s, _ := j.lookup(name); s != nil && s.rejected && !s.accepted && len(t.starts) > 0 {
			j.find("REFUSED: %s was started although its job was rejected", name)
		}
	}
}

func (s *submission) encode() string {
	data, err := json.Marshal(map[string]any{"spec": s.spec.Text(), "phases": s.steps})
	if err != nil {
		return "" // the fields always encode
	}
	return string(data)
}
