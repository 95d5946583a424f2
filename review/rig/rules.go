package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// gang is what the platform knows of the members of one run of a gang.
type gang struct {
	size    int
	present map[string]bool // tasks
	full    time.Time       // when all were present; zero before
	over    string          // how it has ended; empty while it goes on
}

func parts(task string) (id string, occurrence, step, index int) {
	f := strings.Split(task, ".")
	occurrence, _ = strconv.Atoi(f[1])
	step, _ = strconv.Atoi(f[2])
	index, _ = strconv.Atoi(f[3])
	return f[0], occurrence, step, index
}

// phaseOf returns the phase of a task; the caller has the lock.
func (r *record) phaseOf(task string) phase {
	id, _, step, _ := parts(task)
	if phases := r.jobs[id]; step < len(phases) {
		return phases[step]
	}
	return nil
}

func whole(p phase, key string) int64 {
	switch v := p[key].(type) {
	case int:
		return int64(v)
	case int64:
		return v
	}
	return 0
}

// checkStart checks LIMIT, ORDER and ROUTE at a start; the caller has the lock.
func (r *record) checkStart(m *minion, id runID) {
	p := r.phaseOf(id.task)
	if p == nil {
		return
	}
	if p["fills"] != true {
		r.used[m.id] += whole(p, "cpu")
		if r.used[m.id] > m.cpu {
			r.breach("LIMIT: start of %s attempt %d brings minion %s to %d of %d", id.task, id.attempt, m.id, r.used[m.id], m.cpu)
		}
	}
	job, k, step, _ := parts(id.task)
	if most := whole(p, "max-per-server"); most > 0 {
		prefix, n := fmt.Sprintf("%s.%d.%d.", job, k, step), int64(0)
		for task, runs := range r.runs {
			if strings.HasPrefix(task, prefix) {
				for _, s := range runs {
					if s.minion == m.id && s.ended.IsZero() {
						n++
					}
				}
			}
		}
		if n > most {
			r.breach("ROUTE: start of %s attempt %d is number %d of the step on minion %s, at most %d", id.task, id.attempt, n, m.id, most)
		}
	}
	before, _ := p["depends-on"].([]int)
	for _, b := range before {
		other := r.jobs[job][b]
		did := 0
		for i := range int(whole(other, "count")) {
			for _, s := range r.runs[fmt.Sprintf("%s.%d.%d.%d", job, k, b, i)] {
				if s.how == "done" {
					did++
					break
				}
			}
		}
		if did < int(whole(other, "count")) && !(other["gang"] == true && did > 0) {
			r.breach("ORDER: start of %s attempt %d when %d of %d tasks of step %d are done", id.task, id.attempt, did, whole(other, "count"), b)
		}
	}
}

func (r *record) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.broken = append(r.broken, fmt.Sprintf("%.3f %s", time.Since(r.began).Seconds(), text))
	r.line("%s", text)
}

// release gives back the processor of a run; the caller has the lock.
func (r *record) release(m *minion, task string) {
	if p := r.phaseOf(task); p != nil && p["fills"] != true {
		r.used[m.id] -= whole(p, "cpu")
	}
}

func gangKey(id runID) string {
	return id.task[:strings.LastIndex(id.task, ".")] + "/" + strconv.Itoa(id.attempt)
}

// joinGang adds a run to its gang, if its step is one.
func (r *record) joinGang(id runID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.phaseOf(id.task)
	if p == nil || p["gang"] != true {
		return
	}
	key := gangKey(id)
	g := r.gangs[key]
	if g == nil {
		g = &gang{size: int(whole(p, "count")), present: map[string]bool{}}
		r.gangs[key] = g
	}
	g.present[id.task] = true
	if len(g.present) == g.size && g.full.IsZero() {
		g.full = time.Now()
	}
}

// gangOf returns the state of the gang of a run: whether it is one, since when it works and
// how it has ended.
func (r *record) gangOf(id runID) (is bool, full time.Time, over string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.gangs[gangKey(id)]
	if g == nil {
		return false, time.Time{}, ""
	}
	return true, g.full, g.over
}

// leaveGang notes that a member has ended.
func (r *record) leaveGang(id runID, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if g := r.gangs[gangKey(id)]; g != nil && g.over == "" {
		if how == "alone" {
			delete(g.present, id.task)
			return
		}
		g.over = how
	}
}
