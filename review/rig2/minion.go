package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Times of a minion, within the bounds that the settings name.
const (
	heartbeatTime  = 1100 * time.Millisecond
	holdMax        = 10 * time.Second
	stopTime       = 100 * time.Millisecond
	checkpointTime = 500 * time.Millisecond
	listedEnds     = 500
	minionTick     = 5 * time.Millisecond
)

// work is the spec of a job: how its tasks behave.
type work struct {
	RunMs  int64 `json:"run_ms"`
	Lasts  bool  `json:"lasts,omitempty"`
	Saves  bool  `json:"saves,omitempty"`
	Serves bool  `json:"serves,omitempty"` // its tail is listed
	Spread bool  `json:"spread,omitempty"` // its tasks take 0.5 to 1.5 times as long
}

// minion is a stand-in of the agent on one backend server. It starts whatever it is
// told to start, as a minion without an admission check does.
type minion struct {
	rec     *record
	watch   *watch
	store   *store
	id      string
	service string
	zone    string
	rack    string
	kind    string
	cpu     int64
	proxy   *proxy

	mu        sync.Mutex
	late      func(path string, c command) (delay time.Duration, ok bool) // calls that are left unanswered and carried out late
	lapses    int                                                         // of leases under which something had run
	listener  net.Listener
	server    *http.Server
	up        bool
	draining  bool
	reachable bool // it reaches the store
	born      int64
	origin    time.Time
	token     uint64
	deadline  int64
	runs      map[string]*run
	highest   map[string]int // by task, the highest attempt that was stopped or has ended
	finished  [][]any
	number    int64
	sequence  int64
	changed   chan struct{} // closed at each end
	lastBeat  time.Time
}

type run struct {
	attempt   int
	work      work
	began     time.Time
	stoppedAt time.Time
	saved     string
	savedAt   time.Time
}

func newMinion(rec *record, w *watch, s *store, id, service, zone, rack, kind string, cpu int64) (*minion, error) {
	m := &minion{rec: rec, watch: w, store: s, id: id, service: service, zone: zone, rack: rack, kind: kind, cpu: cpu, reachable: true}
	p, err := newProxy("127.0.0.1:1")
	if err != nil {
		return nil, err
	}
	m.proxy = p
	if err := m.start(); err != nil {
		return nil, err
	}
	go m.tick()
	return m, nil
}

// start begins a life of the minion.
func (m *minion) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.listener, m.server = listener, &http.Server{Handler: m}
	m.up, m.draining, m.born, m.origin = true, false, time.Now().UnixMilli(), time.Now()
	m.token, m.deadline, m.finished, m.number, m.sequence = 0, 0, nil, 0, 0
	m.runs, m.highest, m.changed = map[string]*run{}, map[string]int{}, make(chan struct{})
	server := m.server
	m.mu.Unlock()
	m.proxy.target.Store(listener.Addr().String())
	go func() { _ = server.Serve(listener) }()
	m.beat()
	m.mu.Lock()
	m.lastBeat = m.lastBeat.Add(-rand.N(heartbeatTime)) // so that not all minions write at the same moment
	m.mu.Unlock()
	return nil
}

// stop ends the life of the minion. All that runs on it ends. leave removes its entry.
func (m *minion) stop(leave bool) {
	m.mu.Lock()
	server := m.server
	m.up = false
	for task, r := range m.runs {
		m.watch.ended(m, task, r.attempt, "lost")
	}
	m.runs = map[string]*run{}
	m.mu.Unlock()
	_ = server.Close()
	m.proxy.target.Store("127.0.0.1:1")
	m.proxy.reset()
	if leave {
		m.store.put("keyed.servers", m.id, nil)
	}
}

// drain reports that the minion is draining.
func (m *minion) drain() {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	m.beat()
}

// beat writes the entry of the minion.
func (m *minion) beat() {
	m.mu.Lock()
	if !m.up || !m.reachable {
		m.mu.Unlock()
		return
	}
	m.sequence++
	m.lastBeat = time.Now()
	state, extra := "ready", ""
	if m.draining {
		state, extra = "draining", `,"remaining-ms":2500`
	}
	entry := fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":8,"state":%q,"cold-remaining-ms":0,`+
		`"capacity":{"cpu":%d,"mem-mb":256000,"gpu":0},"labels":[%q,%q],"born":%d,"clock-ms":%d,"sequence":%d%s}`,
		m.service, m.proxy.address(), m.zone, state, m.cpu, m.kind, m.rack, m.born, m.clock(), m.sequence, extra)
	m.mu.Unlock()
	m.store.put("keyed.servers", m.id, entry)
}

// tick ends runs, writes the entry and lets the store drop it after three heartbeats
// of silence.
func (m *minion) tick() {
	removed := false
	for {
		time.Sleep(minionTick)
		m.mu.Lock()
		if m.up {
			m.endRuns()
		}
		due, silent := time.Since(m.lastBeat) >= heartbeatTime, time.Since(m.lastBeat) >= 3*heartbeatTime
		live := m.up && m.reachable
		m.mu.Unlock()
		switch {
		case live && due:
			m.beat()
			removed = false
		case !live && silent && !removed:
			removed = true
			if m.store.has("keyed.servers", m.id) {
				m.store.put("keyed.servers", m.id, nil)
			}
		}
	}
}

// clock returns the time on the minion's clock in milliseconds; the caller holds the
// lock.
func (m *minion) clock() int64 { return time.Since(m.origin).Milliseconds() }

func (m *minion) endRuns() {
	lapsed := m.deadline <= m.clock()
	if lapsed && len(m.runs) > 0 {
		m.lapses++
	}
	for task, r := range m.runs {
		age := time.Since(r.began)
		if r.work.Saves && time.Since(r.savedAt) >= checkpointTime {
			r.saved, r.savedAt = fmt.Sprintf("%016x", time.Now().UnixNano()), time.Now()
		}
		switch {
		case lapsed:
			m.end(task, r, "lapsed")
		case !r.stoppedAt.IsZero():
			if time.Since(r.stoppedAt) >= stopTime {
				m.end(task, r, "stopped")
			}
		case !r.work.Lasts && age >= time.Duration(r.work.RunMs)*time.Millisecond:
			m.end(task, r, "done")
		}
	}
}

func (m *minion) end(task string, r *run, how string) {
	m.number++
	m.finished = append(m.finished, []any{m.number, task, r.attempt, how, r.saved})
	m.highest[task] = max(m.highest[task], r.attempt)
	delete(m.runs, task)
	m.watch.ended(m, task, r.attempt, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

type command struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline-ms"`
	Token      uint64 `json:"fencing-token"`
	Checkpoint string `json:"checkpoint"`
	AckCursor  *int64 `json:"ack-cursor"`
	WaitMs     int64  `json:"wait-ms"`
}

// ServeHTTP serves a call of the system.
func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var c command
	if err != nil || json.Unmarshal(body, &c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	if m.late != nil {
		if delay, ok := m.late(r.URL.Path, c); ok {
			m.mu.Unlock()
			m.rec.add("minion %s: %s of %q run %d with ack-cursor %v is left unanswered, to be carried out %v later", m.id, r.URL.Path, c.Task, c.Attempt, cursor(c), delay)
			time.AfterFunc(delay, func() { m.carryOut(r.URL.Path, r.Header.Get("Expected-Instance"), c) })
			silence(w, r)
			return
		}
	}
	life := m.born
	status, reason := m.execute(r.URL.Path, r.Header.Get("Expected-Instance"), c)
	if status == http.StatusOK && r.URL.Path == "/hold" && c.WaitMs > 0 {
		m.waitForEnd(r, time.Duration(c.WaitMs)*time.Millisecond)
	}
	if !m.up || life != m.born {
		m.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	answer := map[string]any{"clock-ms": m.clock(), "born": m.born}
	if reason != "" {
		answer["reason"] = reason
	}
	if status == http.StatusOK && r.URL.Path == "/hold" {
		answer["running"], answer["finished"] = m.lists()
	}
	m.mu.Unlock()
	writeJSON(w, status, answer)
}

// cursor returns the ack-cursor of a call, 0 if it has none.
func cursor(c command) int64 {
	if c.AckCursor == nil {
		return 0
	}
	return *c.AckCursor
}

// carryOut executes a late call, in whatever life the minion is.
func (m *minion) carryOut(path, expected string, c command) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up {
		return
	}
	ends := len(m.finished)
	status, reason := m.execute(path, expected, c)
	m.rec.say("minion %s carries out %s of %q run %d with ack-cursor %d: %d %s; %d ends were not taken note of before, %d are after",
		m.id, path, c.Task, c.Attempt, cursor(c), status, reason, ends, len(m.finished))
}

// waitForEnd waits until an end is listed; the caller holds the lock.
func (m *minion) waitForEnd(r *http.Request, wait time.Duration) {
	deadline := time.After(wait)
	for len(m.finished) == 0 && m.up {
		changed := m.changed
		m.mu.Unlock()
		over := false
		select {
		case <-changed:
		case <-deadline:
			over = true
		case <-r.Context().Done():
			over = true
		}
		m.mu.Lock()
		if over {
			return
		}
	}
}

func (m *minion) lists() (running, finished [][]any) {
	running = [][]any{}
	for task, r := range m.runs {
		percent, rough := 100, 8+rand.Int64N(5)
		if !r.work.Lasts {
			percent = int(min(99, time.Since(r.began).Milliseconds()*100/max(1, r.work.RunMs)))
		}
		if !r.work.Serves {
			rough = 4000
		}
		running = append(running, []any{task, r.attempt, r.saved, percent, rough})
	}
	finished = slices.Clone(m.finished[:min(len(m.finished), listedEnds)])
	if finished == nil {
		finished = [][]any{}
	}
	return running, finished
}

func (m *minion) execute(path, expected string, c command) (status int, reason string) {
	if expected != "" && expected != m.id {
		return http.StatusMisdirectedRequest, ""
	}
	if c.Token < m.token {
		return http.StatusConflict, "fence"
	}
	m.token = c.Token
	m.endRuns()
	switch path {
	case "/run-start":
		return m.startTask(c)
	case "/run-stop":
		m.highest[c.Task] = max(m.highest[c.Task], c.Attempt)
		if r := m.runs[c.Task]; r != nil && r.attempt <= c.Attempt && r.stoppedAt.IsZero() {
			r.stoppedAt = time.Now()
			if r.work.Saves {
				r.saved = fmt.Sprintf("%016x", time.Now().UnixNano())
			}
		}
	case "/hold":
		if c.AckCursor != nil {
			for len(m.finished) > 0 && m.finished[0][0].(int64) <= *c.AckCursor {
				m.watch.noted(m, m.finished[0][1].(string), m.finished[0][2].(int))
				m.finished = m.finished[1:]
			}
		}
		m.extend(c.DeadlineMs)
	case "/pace":
	default:
		return http.StatusNotFound, ""
	}
	return http.StatusOK, ""
}

func (m *minion) extend(deadline int64) {
	m.deadline = max(m.deadline, min(deadline, m.clock()+holdMax.Milliseconds()))
}

func (m *minion) startTask(c command) (status int, reason string) {
	r := m.runs[c.Task]
	switch {
	case r != nil && r.attempt == c.Attempt:
		m.extend(c.DeadlineMs)
		return http.StatusOK, ""
	case c.Attempt <= m.highest[c.Task], r != nil:
		m.extend(c.DeadlineMs)
		return http.StatusConflict, "old"
	case c.DeadlineMs <= m.clock():
		return http.StatusConflict, "late"
	}
	var spec work
	if strings.HasPrefix(c.Spec, "{") && json.Unmarshal([]byte(c.Spec), &spec) != nil {
		return http.StatusBadRequest, ""
	}
	m.extend(c.DeadlineMs)
	if spec.Spread {
		spec.RunMs = spec.RunMs/2 + rand.Int64N(max(1, spec.RunMs))
	}
	m.runs[c.Task] = &run{attempt: c.Attempt, work: spec, began: time.Now(), savedAt: time.Now(), saved: c.Checkpoint}
	m.watch.started(m, c.Task, c.Attempt, c.Token)
	return http.StatusOK, ""
}

// running returns the number of runs of the minion.
func (m *minion) running() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.runs)
}
