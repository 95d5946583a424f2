package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	holdMax       = 10 * time.Second // hold-max-ms
	heartbeat     = 1500 * time.Millisecond
	maxWait       = 2 * time.Second
	stopTakes     = 60 * time.Millisecond // at most stop-ms
	listedEnds    = 500
	gangWait      = 3 * time.Second // gang-wait-ms
	minionTick    = 5 * time.Millisecond
	minionLatency = 500 * time.Microsecond
)

// work is what the stand-in of a minion reads from the spec of a task.
type work struct {
	Ms     int64 `json:"ms"`     // time of one run at full speed
	Lasts  bool  `json:"lasts"`  // runs until it is stopped
	Marks  int   `json:"marks"`  // bytes of a checkpoint; 0 for none
	FailMs int64 `json:"failMs"` // a run that lasts fails by itself after this time; 0 for never
}

// minion is a stand-in of a minion (PROTOCOL.md, "Running tasks"). A crash ends all
// that it runs; it starts again at the same address under the id that it had, with a
// new `born`, a new clock and no memory.
type minion struct {
	record  *record
	store   *store
	id      string
	service string
	rack    string
	cpu     int64
	address string

	mu       sync.Mutex
	up       bool
	server   *http.Server
	life     int
	born     int64
	started  time.Time
	token    uint64
	deadline int64
	lapsedAt int64 // the deadline whose passing is recorded
	runs     map[runID]*run
	highest  map[string]int // by task, the highest attempt that was stopped or has ended
	finished []ended
	ends     int64
	changed  chan struct{} // closed at the next end
	sequence int
	entry    bool
	// late returns how much later a start is carried out, without an answer; 0 for at once.
	late func(task string, attempt int) time.Duration
}

type runID struct {
	task    string
	attempt int
}

type run struct {
	id       runID
	work     work
	began    time.Time
	from     time.Duration // work that the checkpoint had saved
	stopping time.Time
	percent  int
	mark     string
}

type ended struct {
	number int64
	id     runID
	how    string
	saved  string
}

func newMinion(rec *record, st *store, id, service, rack string, cpu int64) *minion {
	m := &minion{record: rec, store: st, id: id, service: service, rack: rack, cpu: cpu}
	l := listen()
	m.address = l.Addr().String()
	m.start(l)
	go m.loop()
	return m
}

func (m *minion) start(l net.Listener) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.life++
	m.up, m.born, m.started = true, time.Now().UnixMilli(), time.Now()
	m.token, m.deadline, m.lapsedAt, m.ends = 0, 0, 0, 0
	m.runs, m.highest, m.finished = map[runID]*run{}, map[string]int{}, nil
	m.changed = make(chan struct{})
	m.server = &http.Server{Handler: m}
	server := m.server
	go func() { _ = server.Serve(l) }()
	m.record.add("minion %s up, life %d, address %s", m.id, m.life, m.address)
	m.beat()
}

// crash ends the minion as a crash does; it starts again after down.
func (m *minion) crash(down time.Duration) {
	m.mu.Lock()
	if !m.up {
		m.mu.Unlock()
		return
	}
	m.up = false
	m.record.add("minion %s crashes, life %d, with %d runs", m.id, m.life, len(m.runs))
	for id := range m.runs {
		m.record.end(m, id, "crash")
		m.record.leaveGang(id, "crash")
	}
	m.runs = map[runID]*run{}
	close(m.changed)
	server := m.server
	m.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(3*heartbeat, func() { // silent for three intervals: the entry goes
		m.mu.Lock()
		defer m.mu.Unlock()
		if !m.up && m.entry {
			m.entry = false
			m.store.put("keyed.servers", m.id, nil)
		}
	})
	time.AfterFunc(down, func() {
		for {
			l, err := net.Listen("tcp", m.address)
			if err == nil {
				m.start(l)
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// beat writes the minion's entry; the caller has the lock.
func (m *minion) beat() {
	m.sequence++
	m.entry = true
	data, _ := json.Marshal(map[string]any{
		"service": m.service, "address": m.address, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready",
		"cold-remaining-ms": 0, "capacity": map[string]int64{"cpu": m.cpu, "mem-mb": 256000, "gpu": 0},
		"labels": []string{"a", m.rack}, "clock-ms": m.clock(), "sequence": m.sequence, "born": m.born,
	})
	m.store.put("keyed.servers", m.id, data)
}

func (m *minion) clock() int64 { return time.Since(m.started).Milliseconds() }

func (m *minion) loop() {
	last := time.Now()
	for range time.Tick(minionTick) {
		m.mu.Lock()
		if m.up {
			m.tick()
			if time.Since(last) >= heartbeat {
				last = time.Now()
				m.beat()
			}
		}
		m.mu.Unlock()
	}
}

// tick ends the runs that are due; the caller has the lock.
func (m *minion) tick() {
	lapsed := m.clock() >= m.deadline
	if lapsed && m.deadline > 0 && m.lapsedAt != m.deadline {
		m.lapsedAt = m.deadline
		m.record.lapse(m)
	}
	var due []*run
	for _, r := range m.runs {
		due = append(due, r)
	}
	sort.Slice(due, func(i, j int) bool { return due[i].began.Before(due[j].began) })
	for _, r := range due {
		did := time.Since(r.began) + r.from
		if is, full, over := m.record.gangOf(r.id); is && !lapsed {
			switch {
			case over == "done":
				m.end(r, "done")
				continue
			case over != "" && r.stopping.IsZero():
				m.end(r, "broken")
				continue
			case full.IsZero() && time.Since(r.began) > gangWait:
				m.end(r, "alone")
				continue
			case full.IsZero() && r.stopping.IsZero():
				continue
			case !full.IsZero():
				did = time.Since(full) + r.from
			}
		}
		total := time.Duration(r.work.Ms) * time.Millisecond
		switch {
		case !r.stopping.IsZero() && time.Now().After(r.stopping):
			m.end(r, "stopped")
		case lapsed:
			m.end(r, "lapsed")
		case r.work.Lasts && r.work.FailMs > 0 && time.Since(r.began) >= time.Duration(r.work.FailMs)*time.Millisecond:
			m.end(r, "failed")
		case r.work.Lasts:
			r.percent = 100
		case did >= total:
			m.end(r, "done")
		default:
			r.percent = int(min(99, did*100/total))
			if r.work.Marks > 0 {
				if saved := did.Milliseconds() / 500; saved > 0 {
					r.mark = mark(r.work.Marks, saved)
				}
			}
		}
	}
}

// mark is the checkpoint after a number of half seconds of work.
func mark(size int, saved int64) string {
	text := fmt.Sprintf("%08x", saved)
	return text + strings.Repeat("0", max(0, size-len(text)))
}

func (m *minion) end(r *run, how string) {
	m.ends++
	m.finished = append(m.finished, ended{m.ends, r.id, how, r.mark})
	m.highest[r.id.task] = max(m.highest[r.id.task], r.id.attempt)
	delete(m.runs, r.id)
	m.record.end(m, r.id, how)
	m.record.leaveGang(r.id, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

type order struct {
	Task         string  `json:"task"`
	Attempt      int     `json:"attempt"`
	Spec         string  `json:"spec"`
	DeadlineMs   int64   `json:"deadline-ms"`
	FencingToken *uint64 `json:"fencing-token"`
	Checkpoint   string  `json:"checkpoint"`
	AckCursor    int64   `json:"ack-cursor"`
	WaitMs       int64   `json:"wait-ms"`
	Percent      *int    `json:"percent"`
}

func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", m.id)
		return
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(minionLatency)
	m.mu.Lock()
	if m.late != nil && r.URL.Path == "/run-start" {
		if delay := m.late(o.Task, o.Attempt); delay > 0 {
			expected := r.Header.Get("Expected-Instance")
			m.record.add("minion %s leaves the start of %s attempt %d unanswered, to be carried out after %v", m.id, o.Task, o.Attempt, delay)
			time.AfterFunc(delay, func() {
				m.mu.Lock()
				defer m.mu.Unlock()
				if m.up {
					status, answer := m.handle("/run-start", expected, o)
					m.record.add("minion %s carries out the late start of %s attempt %d: %d %v", m.id, o.Task, o.Attempt, status, answer["reason"])
				}
			})
			m.mu.Unlock()
			<-r.Context().Done()
			return
		}
	}
	life := m.life
	status, answer := m.handle(r.URL.Path, r.Header.Get("Expected-Instance"), o)
	if status == http.StatusOK && r.URL.Path == "/hold" {
		until := time.Now().Add(min(maxWait, time.Duration(o.WaitMs)*time.Millisecond))
		for len(m.finished) == 0 && m.up && m.life == life && time.Now().Before(until) {
			changed := m.changed
			m.mu.Unlock()
			select {
			case <-changed:
			case <-time.After(time.Until(until)):
			case <-r.Context().Done():
			}
			m.mu.Lock()
			if r.Context().Err() != nil {
				break
			}
		}
		m.lists(answer)
	}
	if !m.up || m.life != life {
		m.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	answer["clock-ms"], answer["born"] = m.clock(), m.born
	m.mu.Unlock()
	respond(w, status, answer)
}

// lists adds both lists to the answer of a hold; the caller has the lock.
func (m *minion) lists(answer map[string]any) {
	running, finished := [][]any{}, [][]any{}
	for _, r := range m.runs {
		running = append(running, []any{r.id.task, r.id.attempt, r.mark, r.percent, 100})
	}
	for _, e := range m.finished[:min(len(m.finished), listedEnds)] {
		finished = append(finished, []any{e.number, e.id.task, e.id.attempt, e.how, e.saved})
	}
	if len(m.finished) > listedEnds {
		m.record.add("minion %s lists %d running and the first %d of %d ends that are not taken note of", m.id, len(running), listedEnds, len(m.finished))
	}
	answer["running"], answer["finished"] = running, finished
}

// handle carries out an order; the caller has the lock.
func (m *minion) handle(path, expected string, o order) (int, map[string]any) {
	answer := map[string]any{"clock-ms": m.clock(), "born": m.born}
	token := uint64(0)
	if o.FencingToken != nil {
		token = *o.FencingToken
	}
	if expected != "" && expected != m.id {
		return http.StatusMisdirectedRequest, answer
	}
	if token < m.token {
		answer["reason"] = "fence"
		return http.StatusConflict, answer
	}
	m.token = token
	extend := func() { m.deadline = max(m.deadline, min(o.DeadlineMs, m.clock()+holdMax.Milliseconds())) }
	switch path {
	case "/run-start":
		id := runID{o.Task, o.Attempt}
		if o.Attempt < 1 || o.Task == "" {
			return http.StatusBadRequest, answer
		}
		if m.runs[id] != nil {
			extend()
			return http.StatusOK, answer
		}
		if o.Attempt <= m.highest[o.Task] {
			extend()
			answer["reason"] = "old"
			return http.StatusConflict, answer
		}
		if o.DeadlineMs <= m.clock() {
			answer["reason"] = "late"
			return http.StatusConflict, answer
		}
		extend()
		r := &run{id: id, began: time.Now(), mark: o.Checkpoint}
		if err := json.Unmarshal([]byte(o.Spec), &r.work); err != nil {
			return http.StatusBadRequest, answer
		}
		if o.Checkpoint != "" {
			var saved int64
			_, _ = fmt.Sscanf(o.Checkpoint[:min(8, len(o.Checkpoint))], "%x", &saved)
			r.from = time.Duration(saved) * 500 * time.Millisecond
		}
		m.runs[id] = r
		m.record.start(m, id, token)
		m.record.joinGang(id)
	case "/run-stop":
		m.highest[o.Task] = max(m.highest[o.Task], o.Attempt)
		for id, r := range m.runs {
			if id.task == o.Task && id.attempt <= o.Attempt && r.stopping.IsZero() {
				r.stopping = time.Now().Add(stopTakes)
			}
		}
	case "/pace":
		// The share changes nothing that these cases look at.
	case "/hold":
		if o.DeadlineMs > 0 {
			extend()
		}
		for len(m.finished) > 0 && m.finished[0].number <= o.AckCursor {
			m.record.note(m, m.finished[0])
			m.finished = m.finished[1:]
		}
	default:
		return http.StatusNotFound, answer
	}
	return http.StatusOK, answer
}

// running returns the number of runs.
func (m *minion) running() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.runs)
}
