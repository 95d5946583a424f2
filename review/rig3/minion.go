//go:build review3

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	holdMax     = 10 * time.Second
	stopTime    = 100 * time.Millisecond
	saveEvery   = 500 * time.Millisecond
	restoreTime = 250 * time.Millisecond
	gangWait    = 3 * time.Second
	listedEnds  = 500
	minionTick  = 5 * time.Millisecond
)

// event is something that the minions have seen.
type event struct {
	at      time.Time
	kind    string // start, end, noted
	minion  string
	task    string
	attempt int
	how     string
}

// world is what all minions share: one lock, the jobs that clients have submitted, and
// what happened.
type world struct {
	mu      sync.Mutex
	jobs    map[string]jobBody
	minions []*minion
	record  *recorder
	quiet   bool // starts and ends of single tasks are not written to the record

	starts, ends, noted int
	done                map[string]map[string]bool // tasks that have ended done, by job
	failed              map[string]int             // ends failed, by job
	gangEnds            map[string]string          // how gangs end in this tick
	check               *checker                   // nil unless a search runs
	lostShare           float64                    // of calls that are carried out and get no answer
	lateShare           float64                    // of orders that get no answer and are carried out late
}

func (w *world) note(e event) {
	e.at = time.Now()
	job := strings.SplitN(e.task, ".", 2)[0]
	switch {
	case e.kind == "start":
		w.starts++
	case e.kind == "noted":
		w.noted++
	case e.kind == "end":
		w.ends++
		if e.how == "failed" {
			w.failed[job]++
		}
		if e.how == "done" {
			if w.done[job] == nil {
				w.done[job] = map[string]bool{}
			}
			w.done[job][e.task] = true
		}
	}
	if w.check != nil {
		w.check.seen(e)
	}
	if !w.quiet {
		w.record.printf("minion %s: %s %s attempt %d %s", e.minion, e.kind, e.task, e.attempt, e.how)
	}
}

// doneOf returns the number of tasks of a job that have ended done, and that of the ends
// failed.
func (w *world) doneOf(job string) (done, failed int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.done[job]), w.failed[job]
}

func (w *world) running(job string) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.minions {
		for _, r := range m.runs {
			if strings.HasPrefix(r.task, job+".") {
				n++
			}
		}
	}
	return n
}

// busiest returns the minion with the most runs.
func (w *world) busiest() *minion {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.MaxFunc(w.minions, func(a, b *minion) int { return len(a.runs) - len(b.runs) })
}

// used returns the share of the capacity of all minions that is in use.
func (w *world) used() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	var used, all int64
	for _, m := range w.minions {
		all += m.cpu
		for _, r := range m.runs {
			used += r.step.CPU
		}
	}
	return float64(used) / float64(max(1, all))
}

type run struct {
	task       string
	attempt    int
	step       stepBody
	began      time.Time // of its work; zero while a gang is incomplete
	created    time.Time
	need       time.Duration // of work
	before     time.Duration // of work that the checkpoint holds
	saved      string
	stopped    time.Time
	gangKey    string
	savedCount int
}

// minion is the agent on one backend server, as PROTOCOL.md describes it.
type minion struct {
	world    *world
	id       string
	address  string
	zone     string
	rack     string
	cpu      int64
	born     int64
	origin   time.Time
	token    uint64
	deadline int64
	runs     map[string]*run
	refused  map[string]int // by task, the highest attempt that was stopped or has ended
	finished [][]any
	ends     int64
	lapsed   int64 // number of the last end before the lease lapsed
	changed  chan struct{}
	sequence int64
	draining bool
	downTill time.Time // it has crashed and is not back yet; zero while it is up
	downFrom time.Time
	// late returns how much later a call is carried out that gets no answer; 0 for others.
	late    func(path string, c command) time.Duration
	cutTill time.Time // no call reaches it until then
	server  *http.Server
}

// crash ends the minion for a time: its connections break and it knows nothing of before.
func (m *minion) crash(down time.Duration) {
	m.world.mu.Lock()
	m.world.record.printf("minion %s crashes with %d runs, for %s", m.id, len(m.runs), down)
	m.downFrom, m.downTill = time.Now(), time.Now().Add(down)
	if m.world.check != nil {
		for _, r := range m.runs {
			m.world.check.gone(m.id, r)
		}
	}
	m.runs, m.refused, m.finished, m.ends, m.lapsed, m.token, m.deadline = map[string]*run{}, map[string]int{}, nil, 0, 0, 0, 0
	close(m.changed)
	m.changed = make(chan struct{})
	m.world.mu.Unlock()
	_ = m.server.Close()
}

// comeBack starts the minion again at its address.
func (m *minion) comeBack() error {
	l, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	m.born, m.origin, m.downTill = time.Now().UnixMilli(), time.Now().Add(-time.Second), time.Time{}
	m.server = &http.Server{Handler: m}
	server := m.server
	go func() { _ = server.Serve(l) }()
	m.world.record.printf("minion %s is back", m.id)
	return nil
}

// rebornBehindCut cuts the minion off from all machines for a time; it crashes at once and
// is back 0.6 s later, behind the cut.
func (m *minion) rebornBehindCut(cut time.Duration) bool {
	m.cutTill = time.Now().Add(cut)
	m.world.record.printf("minion %s is cut off from all machines for %s, and crashes behind the cut", m.id, cut)
	m.crash(600 * time.Millisecond)
	time.Sleep(600 * time.Millisecond)
	if err := m.comeBack(); err != nil {
		m.world.record.printf("minion %s cannot come back: %v", m.id, err)
		return false
	}
	return true
}

func newMinion(w *world, id, zone, rack string, cpu int64) *minion {
	m := &minion{world: w, id: id, zone: zone, rack: rack, cpu: cpu, changed: make(chan struct{}), runs: map[string]*run{}, refused: map[string]int{}}
	m.born, m.origin = time.Now().UnixMilli(), time.Now().Add(-time.Second)
	w.minions = append(w.minions, m)
	return m
}

func (m *minion) clock() int64 { return time.Since(m.origin).Milliseconds() }

func (m *minion) entry() []byte {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	m.sequence++
	state := "ready"
	if m.draining {
		state = "draining"
	}
	data, _ := json.Marshal(map[string]any{
		"service": service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": state,
		"cold-remaining-ms": 0, "capacity": map[string]any{"cpu": m.cpu, "mem-mb": 256000, "gpu": 0},
		"labels": []string{"a", m.rack}, "clock-ms": m.clock(), "born": m.born, "sequence": m.sequence,
	})
	return data
}

// tickAll ends what is due on all minions.
func (w *world) tickAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	gangs := map[string][]*run{}
	for _, m := range w.minions {
		for _, r := range m.runs {
			if r.gangKey != "" {
				gangs[r.gangKey] = append(gangs[r.gangKey], r)
			}
		}
	}
	now := time.Now()
	// The members of a gang end together: done all of them, or broken once one of them
	// has ended otherwise or is gone.
	w.gangEnds = map[string]string{}
	for key, members := range gangs {
		if len(members) < members[0].step.Count {
			if slices.ContainsFunc(members, func(r *run) bool { return !r.began.IsZero() }) {
				w.gangEnds[key] = "broken"
			}
			continue
		}
		for _, r := range members {
			if r.began.IsZero() {
				r.began = now
			}
		}
	}
	for _, m := range w.minions {
		m.tick(now)
	}
	for _, m := range w.minions {
		for key, r := range m.runs {
			if how := w.gangEnds[r.gangKey]; r.gangKey != "" && how != "" {
				m.end(key, how)
			}
		}
	}
}

func (m *minion) tick(now time.Time) {
	lapsed := m.deadline <= m.clock()
	if lapsed {
		m.lapsed = m.ends
	}
	for key, r := range m.runs {
		worked := r.before
		if !r.began.IsZero() {
			worked += max(0, now.Sub(r.began))
		}
		if r.step.Checkpointing && !r.began.IsZero() {
			if n := int(worked / saveEvery); n > r.savedCount {
				r.savedCount = n
				r.saved = checkpointOf(r.task, time.Duration(n)*saveEvery)
			}
		}
		switch {
		case lapsed:
			m.end(key, "lapsed")
		case !r.stopped.IsZero():
			if now.Sub(r.stopped) >= stopTime {
				if r.step.Checkpointing && !r.began.IsZero() {
					r.saved = checkpointOf(r.task, worked)
				}
				m.end(key, "stopped")
			}
		case r.began.IsZero():
			if now.Sub(r.created) >= gangWait {
				m.end(key, "alone")
			}
		case r.step.LongRunning && m.world.jobs[r.task[:16]].fails > 0 && worked >= 20*time.Millisecond:
			m.end(key, "failed")
		case r.step.LongRunning:
		case worked >= r.need && r.gangKey != "" && m.world.gangEnds[r.gangKey] != "":
			m.end(key, m.world.gangEnds[r.gangKey])
		case worked >= r.need && rand.Float64() < m.world.jobs[r.task[:16]].fails:
			m.end(key, "failed")
		case worked >= r.need:
			m.end(key, "done")
		}
	}
}

// checkpointOf encodes the work that is done; the last half depends on the task.
func checkpointOf(task string, worked time.Duration) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(task))
	return fmt.Sprintf("%08x%08x", worked.Milliseconds(), h.Sum32())
}

func (m *minion) end(key, how string) {
	r := m.runs[key]
	delete(m.runs, key)
	if r.gangKey != "" && how != "alone" && m.world.gangEnds[r.gangKey] == "" {
		m.world.gangEnds[r.gangKey] = "broken"
		if how == "done" {
			m.world.gangEnds[r.gangKey] = "done"
		}
	}
	m.ends++
	m.finished = append(m.finished, []any{m.ends, r.task, r.attempt, how, r.saved})
	m.refused[r.task] = max(m.refused[r.task], r.attempt)
	m.world.note(event{kind: "end", minion: m.id, task: r.task, attempt: r.attempt, how: how})
	close(m.changed)
	m.changed = make(chan struct{})
}

type command struct {
	Task         string `json:"task"`
	Attempt      int    `json:"attempt"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadline-ms"`
	FencingToken uint64 `json:"fencing-token"`
	Checkpoint   string `json:"checkpoint"`
	Ticket       string `json:"ticket"`
	AckCursor    int64  `json:"ack-cursor"`
	WaitMs       int64  `json:"wait-ms"`
	Percent      int    `json:"percent"`
}

func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var c command
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if time.Now().Before(m.cutTill) {
		<-r.Context().Done()
		return
	}
	if m.late != nil {
		if after := m.late(r.URL.Path, c); after > 0 {
			go func() {
				time.Sleep(after)
				m.world.record.printf("minion %s: carries out a late %s %s attempt %d ack-cursor %d", m.id, r.URL.Path, c.Task, c.Attempt, c.AckCursor)
				defer func() { _ = recover() }() // the minion is down
				m.carryOut(httptest.NewRecorder(), r.Clone(context.Background()), c)
			}()
			<-r.Context().Done()
			return
		}
	}
	if share := m.world.lostShare; share > 0 && rand.Float64() < share {
		m.carryOut(httptest.NewRecorder(), r, c)
		<-r.Context().Done()
		return
	}
	if share := m.world.lateShare; share > 0 && rand.Float64() < share {
		go func() {
			time.Sleep(time.Duration(2000+rand.IntN(10000)) * time.Millisecond)
			late := r.Clone(context.Background())
			defer func() { _ = recover() }() // the minion is down
			m.carryOut(httptest.NewRecorder(), late, c)
		}()
		<-r.Context().Done()
		return
	}
	m.carryOut(w, r, c)
}

func (m *minion) carryOut(w http.ResponseWriter, r *http.Request, c command) {
	m.world.mu.Lock()
	if !m.downTill.IsZero() {
		m.world.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	born := m.born
	answer := map[string]any{"clock-ms": m.clock(), "born": m.born}
	status := http.StatusOK
	switch {
	case r.Header.Get("Expected-Instance") != m.id:
		status = http.StatusMisdirectedRequest
	case c.FencingToken < m.token:
		status, answer["reason"] = http.StatusConflict, "fence"
	default:
		m.token = c.FencingToken
		switch r.URL.Path {
		case "/run-start":
			status = m.start(c, answer)
		case "/run-stop":
			m.stop(c)
		case "/pace":
		case "/hold":
			m.extend(c.DeadlineMs)
			m.acknowledge(c.AckCursor)
			deadline := time.After(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond)
			for waiting := c.WaitMs > 0; waiting && len(m.finished) == 0; {
				changed := m.changed
				m.world.mu.Unlock()
				select {
				case <-changed:
				case <-deadline:
					waiting = false
				case <-r.Context().Done():
					return
				}
				m.world.mu.Lock()
				if m.born != born || !m.downTill.IsZero() {
					m.world.mu.Unlock()
					panic(http.ErrAbortHandler)
				}
			}
			m.lists(answer)
		default:
			status = http.StatusNotFound
		}
	}
	answer["clock-ms"] = m.clock()
	m.world.mu.Unlock()
	reply(w, status, answer)
}

func (m *minion) extend(deadline int64) {
	m.deadline = max(m.deadline, min(deadline, m.clock()+holdMax.Milliseconds()))
}

func (m *minion) acknowledge(cursor int64) {
	for len(m.finished) > 0 && m.finished[0][0].(int64) <= cursor {
		row := m.finished[0]
		m.finished = m.finished[1:]
		how := row[3].(string)
		if row[0].(int64) <= m.lapsed {
			how += " (the lease lapsed between)"
		}
		m.world.note(event{kind: "noted", minion: m.id, task: row[1].(string), attempt: row[2].(int), how: how})
	}
}

func (m *minion) lists(answer map[string]any) {
	running := [][]any{}
	for _, r := range m.runs {
		percent := 0
		if !r.began.IsZero() {
			percent = min(100, int((r.before+time.Since(r.began))*100/max(1, r.need)))
		}
		if r.step.LongRunning {
			percent = 100
		}
		running = append(running, []any{r.task, r.attempt, r.saved, percent, r.step.CPU})
	}
	sort.Slice(running, func(a, b int) bool { return running[a][0].(string) < running[b][0].(string) })
	answer["running"] = running
	answer["finished"] = append([][]any{}, m.finished[:min(len(m.finished), listedEnds)]...)
}

func (m *minion) stop(c command) {
	m.refused[c.Task] = max(m.refused[c.Task], c.Attempt)
	for _, r := range m.runs {
		if r.task == c.Task && r.attempt <= c.Attempt && r.stopped.IsZero() {
			r.stopped = time.Now()
		}
	}
}

func (m *minion) start(c command, answer map[string]any) int {
	key := c.Task + "#" + strconv.Itoa(c.Attempt)
	refuse := func(reason string) int {
		answer["reason"] = reason
		return http.StatusConflict
	}
	if m.runs[key] != nil {
		m.extend(c.DeadlineMs)
		return http.StatusOK
	}
	parts := strings.Split(c.Task, ".")
	job, known := m.world.jobs[parts[0]]
	step, err := strconv.Atoi(parts[2])
	if !known || err != nil || step >= len(job.Phases) {
		m.world.note(event{kind: "unasked", minion: m.id, task: c.Task, attempt: c.Attempt})
		return http.StatusBadRequest
	}
	switch {
	case c.Attempt <= m.refused[c.Task]:
		m.extend(c.DeadlineMs)
		return refuse("old")
	case c.DeadlineMs <= m.clock():
		return refuse("late")
	case job.advised && c.Ticket != ticketOf(parts[0]+"."+parts[1]+"."+parts[2], m):
		return refuse("ticket")
	}
	m.extend(c.DeadlineMs)
	r := &run{task: c.Task, attempt: c.Attempt, step: job.Phases[step], created: time.Now(), need: job.workOf(step, c.Task)}
	if c.Checkpoint != "" {
		ms, _ := strconv.ParseInt(c.Checkpoint[:8], 16, 64)
		r.before, r.saved = time.Duration(ms)*time.Millisecond, c.Checkpoint
		r.savedCount = int(r.before / saveEvery)
	}
	switch {
	case r.step.Gang:
		r.gangKey = strings.Join(parts[:3], ".") + "#" + strconv.Itoa(c.Attempt)
	case c.Checkpoint != "":
		r.began = time.Now().Add(restoreTime)
	default:
		r.began = time.Now()
	}
	m.runs[key] = r
	m.world.note(event{kind: "start", minion: m.id, task: c.Task, attempt: c.Attempt})
	return http.StatusOK
}

// The advisor.

const ticketValid = 4 * time.Second

func ticketOf(step string, m *minion) string {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s %s %d", step, m.id, m.born)
	return fmt.Sprintf("%016x", h.Sum64())
}

type advisor struct {
	world *world
	mu    sync.Mutex
	calls int
}

func (a *advisor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	time.Sleep(advisorDecide + time.Duration(len(body.Workers))*advisorPeriod)
	a.world.mu.Lock()
	rows := [][]string{}
	for _, m := range a.world.minions {
		for _, id := range body.Workers {
			if id == m.id {
				rows = append(rows, []string{id, ticketOf(body.Step, m)})
			}
		}
	}
	a.world.mu.Unlock()
	a.world.record.printf("advisor: %s asked about %d workers, %d eligible", body.Step, len(body.Workers), len(rows))
	reply(w, http.StatusOK, map[string]any{"eligible": rows, "valid-ms": ticketValid.Milliseconds()})
}
