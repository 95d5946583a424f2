package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// watch keeps what the minions have run.
type watch struct {
	rec  *record
	mu   sync.Mutex
	runs map[string][]*watchedRun // by task, in the order of their starts
	// twice are the tasks that were started while another run of theirs was under way,
	// or after one had ended done.
	twice []string
	quiet bool // starts and ends of single tasks are not in the record
}

type watchedRun struct {
	server  *minion
	attempt int
	token   uint64
	began   time.Duration
	ended   time.Duration // 0 while it runs
	how     string
	noted   bool // its end was taken note of
	drained bool // its minion was draining when it began
}

func newWatch(rec *record) *watch { return &watch{rec: rec, runs: map[string][]*watchedRun{}} }

// started is called with the lock of the minion.
func (w *watch) started(m *minion, task string, attempt int, token uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.rec.now()
	for _, r := range w.runs[task] {
		if r.ended == 0 || r.how == "done" {
			text := fmt.Sprintf("task %s: run %d starts on %s at %.3f s, run %d on %s began at %.3f s and has ended %q at %.3f s",
				task, attempt, m.id, now.Seconds(), r.attempt, r.server.id, r.began.Seconds(), r.how, r.ended.Seconds())
			w.twice = append(w.twice, text)
			w.rec.add("TWICE: %s", text)
		}
	}
	w.runs[task] = append(w.runs[task], &watchedRun{server: m, attempt: attempt, token: token, began: now, drained: m.draining})
	if !w.quiet {
		w.rec.add("minion %s: start %s run %d token %d draining %v", m.id, task, attempt, token, m.draining)
	}
}

func (w *watch) find(m *minion, task string, attempt int) *watchedRun {
	for _, r := range w.runs[task] {
		if r.server == m && r.attempt == attempt {
			return r
		}
	}
	return nil
}

func (w *watch) ended(m *minion, task string, attempt int, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.find(m, task, attempt); r != nil && r.ended == 0 {
		r.ended, r.how = w.rec.now(), how
	}
	if !w.quiet || how != "done" {
		w.rec.add("minion %s: end %s run %d %s", m.id, task, attempt, how)
	}
}

func (w *watch) noted(m *minion, task string, attempt int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.find(m, task, attempt); r != nil {
		r.noted = true
	}
}

// jobRuns returns copies of the runs of a job by task.
func (w *watch) jobRuns(id string) map[string][]watchedRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := map[string][]watchedRun{}
	for task, list := range w.runs {
		if strings.HasPrefix(task, id+".") {
			for _, r := range list {
				runs[task] = append(runs[task], *r)
			}
		}
	}
	return runs
}

// counts returns how many tasks of a job have ended done and how many run.
func (w *watch) counts(id string) (done, running int) {
	for _, list := range w.jobRuns(id) {
		if slices.ContainsFunc(list, func(r watchedRun) bool { return r.how == "done" }) {
			done++
		}
		if slices.ContainsFunc(list, func(r watchedRun) bool { return r.ended == 0 }) {
			running++
		}
	}
	return done, running
}

// lastSign returns when a run of the job last began, ran or ended.
func (w *watch) lastSign(id string) time.Duration {
	last := time.Duration(0)
	for _, list := range w.jobRuns(id) {
		for _, r := range list {
			last = max(last, r.began, r.ended)
			if r.ended == 0 {
				last = w.rec.now()
			}
		}
	}
	return last
}
