//go:build review3

package main

import (
	"fmt"
	"math/rand/v2"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	cases["large-jobs"] = largeJobs
	cases["minions-crash"] = minionsCrash
	cases["removed-route"] = removedRoute
	cases["wide-gang"] = wideGang
	cases["stale-holder"] = staleHolder
	cases["failing-watch"] = failingWatch
	cases["long-append"] = longAppend
	cases["late-start-and-ack"] = lateStartAndAck
	cases["two-late-starts"] = twoLateStarts
	cases["start-at-takeover"] = startAtTakeover
}

// waitsWithRoom watches a job until end. It returns the longest time in which nothing of
// the job ran, less than half of the capacity was in use, and the job was not complete:
// all tasks of the job are one chain, so a task's turn has come whenever none runs.
func (s *system) waitsWithRoom(job string, tasks int, end time.Time) (longest time.Duration) {
	since := time.Now()
	for time.Now().Before(end) {
		if done, _ := s.world.doneOf(job); done == tasks {
			return longest
		}
		if s.world.running(job) > 0 || s.world.used() >= 0.5 {
			since = time.Now()
		}
		longest = max(longest, time.Since(since))
		time.Sleep(50 * time.Millisecond)
	}
	return longest
}

// chain returns a job of steps with one task each that follow one another.
func chain(steps, ms int) jobBody {
	j := jobBody{Spec: "chain"}
	for i := range steps {
		step := stepBody{Count: 1, CPU: 1000, MemMB: 100, EstimateMs: int64(ms)}
		if i > 0 {
			step.DependsOn = []int{i - 1}
		}
		j.Phases = append(j.Phases, step)
	}
	return j
}

// largeJobs: a job of 19,904 tasks is accepted.
func largeJobs(root string, record *recorder, trouble bool) int {
	r := newRoute("reafilado")
	s, err := newSystem(root, record, 6, 48, []route{r})
	defer s.close()
	if err != nil || !s.ready(r) {
		record.printf("could not start: %v", err)
		return couldNot
	}
	s.world.quiet = true
	jobs, count := 1, 19900
	if !trouble {
		jobs, count = 20, 995
	}
	var ids []string
	for i := range jobs {
		id := fmt.Sprintf("%016x", 0xb00+i)
		ids = append(ids, id)
		if !s.submit(r, id, jobBody{Spec: "large", Phases: []stepBody{
			{Count: count, CPU: 100, MemMB: 10, EstimateMs: 600, Checkpointing: true}, {Count: 4, CPU: 1000, MemMB: 100, EstimateMs: 500, DependsOn: []int{0}},
		}}) {
			return couldNot
		}
	}
	end, shown := time.Now().Add(80*time.Second), time.Now()
	since := make([]time.Time, jobs)
	for i := range since {
		since[i] = time.Now()
	}
	longest, left := time.Duration(0), jobs
	for left > 0 && time.Now().Before(end) {
		time.Sleep(100 * time.Millisecond)
		left = 0
		half := s.world.used() >= 0.5
		for i, id := range ids {
			if done, _ := s.world.doneOf(id); done < count+4 {
				left++
			} else {
				continue
			}
			if half || s.world.running(id) > 0 {
				since[i] = time.Now()
			}
			longest = max(longest, time.Since(since[i]))
		}
		if time.Since(shown) > 2*time.Second {
			shown = time.Now()
			s.world.mu.Lock()
			starts, ends, noted := s.world.starts, s.world.ends, s.world.noted
			s.world.mu.Unlock()
			s.store.mu.Lock()
			record.printf("%d jobs not done; starts %d, ends %d, ends taken note of %d; store: %d appends accepted, %d refused as too large, largest record %d bytes, last writer node %d",
				left, starts, ends, noted, s.store.accepted, s.store.refused, s.store.largest, s.store.lastWriter)
			s.store.mu.Unlock()
		}
	}
	record.printf("longest time in which nothing of a job ran, while it was not done and less than half of the capacity was in use: %.1f s", longest.Seconds())
	small := s.submit(r, "00000000000000d1", chain(1, 100))
	record.printf("a small job that is handed in at the end is accepted: %t", small)
	for _, id := range ids[:1] {
		done, _ := s.world.doneOf(id)
		record.printf("job %s: %d of %d tasks have ended done; state: %s", id, done, count+4, s.state(r, id))
	}
	if longest > 20*time.Second {
		return broken
	}
	return held
}

// removedRoute: the operator removes the route of an accepted job, then the process that
// last wrote to the store is stopped and started again.
func removedRoute(root string, record *recorder, trouble bool) int {
	r, other := newRoute("reafilado"), newRoute("control")
	s, err := newSystem(root, record, 6, 48, []route{r, other})
	defer s.close()
	if err != nil || !s.ready(r) {
		record.printf("could not start: %v", err)
		return couldNot
	}
	const job = "00000000000000a1"
	const tasks = 5
	if !s.submit(r, job, chain(tasks, 3000)) {
		return couldNot
	}
	time.Sleep(2 * time.Second)
	s.publish([]route{other})
	time.Sleep(3 * time.Second)
	if trouble {
		n := s.store.writer()
		record.printf("SIGTERM to process %d, which last wrote to the store; it starts again", n)
		s.nodes[n].signal(syscall.SIGTERM)
	}
	longest := s.waitsWithRoom(job, tasks, time.Now().Add(40*time.Second))
	record.printf("longest time in which the job waited beside free room: %.1f s", longest.Seconds())
	status, text := s.call("GET", 0, other, "00000000000000ff", nil)
	record.printf("client: GET of an unknown job on the other route: %d %s", status, text)
	if longest > 10*time.Second {
		return broken
	}
	return held
}

// minionsCrash: minions crash one after the other, at random, under a load of small jobs.
func minionsCrash(root string, record *recorder, trouble bool) int {
	r := newRoute("reafilado")
	s, err := newSystem(root, record, 6, 48, []route{r})
	defer s.close()
	if err != nil || !s.ready(r) {
		record.printf("could not start: %v", err)
		return couldNot
	}
	s.world.quiet = true
	const downFor, every = 4500 * time.Millisecond, 800 * time.Millisecond
	var mu sync.Mutex
	accepted := map[string]bool{}
	var clients sync.WaitGroup
	begin := time.Now()
	seed := uint64(begin.UnixNano())
	record.printf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 1))
	nextCrash := begin.Add(2 * time.Second)
	for n := 0; time.Since(begin) < 75*time.Second; n++ {
		id := fmt.Sprintf("%016x", 0x1000+n)
		count := 12 + random.IntN(16)
		j := jobBody{Spec: "small", Phases: []stepBody{{Count: count, CPU: 2500, MemMB: 1000, EstimateMs: int64(500 + random.IntN(500))}}}
		clients.Add(1)
		go func() {
			defer clients.Done()
			if s.submit(r, id, j) {
				mu.Lock()
				accepted[id] = true
				mu.Unlock()
			}
		}()
		for _, m := range s.world.minions {
			s.world.mu.Lock()
			back := !m.downTill.IsZero() && time.Now().After(m.downTill)
			s.world.mu.Unlock()
			if back {
				if err := m.comeBack(); err != nil {
					record.printf("minion %s cannot come back yet: %v", m.id, err) // its port is taken
				}
			}
		}
		if trouble && time.Now().After(nextCrash) && time.Since(begin) < 70*time.Second {
			nextCrash = nextCrash.Add(every)
			for {
				m := s.world.minions[random.IntN(len(s.world.minions))]
				if m.downTill.IsZero() {
					m.crash(downFor)
					break
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(5 * time.Second)
	lost, complete := 0, 0
	for id := range accepted {
		state := s.state(r, id)
		_, failed := s.world.doneOf(id)
		switch {
		case strings.Contains(state, "complete"):
			complete++
		case strings.Contains(state, "failed") && failed == 0:
			lost++
			record.printf("job %s: client is told %s; runs of it that have ended failed: %d", id, state, failed)
		default:
			record.printf("job %s: %s", id, state)
		}
	}
	record.printf("%d jobs accepted, %d complete, %d shown as failed without any end failed", len(accepted), complete, lost)
	if lost > 0 {
		return broken
	}
	return held
}

// wideGang: a gang whose members need a minion each, on a queue with an advisor.
func wideGang(root string, record *recorder, trouble bool) int {
	r := newRoute("reafilado")
	r.Advisor = map[string]any{"decide-ms": 5, "period-ms": 1, "valid-ms": ticketValid.Milliseconds()}
	s, err := newSystem(root, record, 7, 66, []route{r})
	defer s.close()
	if err != nil || !s.ready(r) {
		record.printf("could not start: %v", err)
		return couldNot
	}
	const job = "00000000000000a1"
	count := 32
	if !trouble {
		count = 16
	}
	j := jobBody{Spec: "gang", Phases: []stepBody{{Count: count, CPU: 14000, MemMB: 1000, EstimateMs: 2000, Gang: true, MaxPerServer: 1}}, advised: true}
	if !s.submit(r, job, j) {
		return couldNot
	}
	longest := s.waitsWithRoom(job, count, time.Now().Add(30*time.Second))
	record.printf("longest time in which the job waited beside free room: %.1f s", longest.Seconds())
	record.printf("state: %s", s.state(r, job))
	if longest > 10*time.Second {
		return broken
	}
	return held
}

// staleHolder: the leader is killed, and a write of the process that takes over gets no
// answer and is done later. Much later, another process is stopped and started again.
func staleHolder(root string, record *recorder, trouble bool) int {
	r := newRoute("reafilado")
	s, err := newSystem(root, record, 6, 12, []route{r})
	defer s.close()
	if err != nil || !s.ready(r) {
		record.printf("could not start: %v", err)
		return couldNot
	}
	if !s.submit(r, "00000000000000a1", chain(1, 500)) {
		return couldNot
	}
	first, second := -1, -1 // the process that is killed, and the one that takes over
	time.Sleep(2 * time.Second)
	if trouble {
		lost := false
		first = s.store.writer()
		claimed := make(chan int, 16)
		s.store.mu.Lock()
		s.store.onClaim = func(n int) {
			record.printf("process %d claims", n)
			claimed <- n
		}
		s.store.lateWrite = func(n int, q url.Values) time.Duration {
			s.store.mu.Lock()
			defer s.store.mu.Unlock()
			if n == first || lost || q.Get("producer") != "" {
				return 0
			}
			lost = true
			record.printf("a write of process %d to %s gets no answer and is done 5 s later", n, q.Get("topic"))
			return 5 * time.Second
		}
		s.store.mu.Unlock()
		record.printf("SIGKILL to process %d, which last wrote to the store", first)
		s.nodes[first].signal(syscall.SIGKILL)
		second = <-claimed
	}
	time.Sleep(20 * time.Second)
	holder := s.store.writer()
	restarted := 0
	for restarted == holder || restarted == first || restarted == second {
		restarted++
	}
	record.printf("the holder is process %d; SIGTERM to process %d, which starts again", holder, restarted)
	s.nodes[restarted].signal(syscall.SIGTERM)
	time.Sleep(9 * time.Second)
	// Four jobs that no minion can run; they are handed in at the holder.
	for i := range 4 {
		id := fmt.Sprintf("%016x", 0xe00+i)
		j := jobBody{Spec: "x", Phases: []stepBody{{Count: 1, CPU: 1000000, MemMB: 100, EstimateMs: 500}}}
		if !s.submitAt(holder, r, id, j) {
			return couldNot
		}
	}
	time.Sleep(8 * time.Second)
	wrong := 0
	for range 10 {
		for n := range s.nodes {
			status, text := s.call("GET", n, r, "", nil)
			record.printf("client: pending at node %d: %d %s", n, status, text)
			if status == 200 && strings.Contains(text, ":0}") {
				wrong++
			}
		}
		time.Sleep(time.Second)
	}
	record.printf("GET /readyz: at node %d %s, at node %d %s", holder, s.readiness(holder), restarted, s.readiness(restarted))
	record.printf("state of the first job: at node %d %s, at node %d %s", holder, s.stateAt(holder, r, "00000000000000a1"), restarted, s.stateAt(restarted, r, "00000000000000a1"))
	status, text := s.call("POST", restarted, r, "0000000000000f01", []byte(`{"spec":"x","phases":[{"count":1,"cpu":100,"mem-mb":10,"estimate-ms":10}]}`))
	record.printf("client: POST at node %d: %d %s", restarted, status, text)
	if wrong > 0 {
		return broken
	}
	return held
}

// failingWatch: a job whose tasks last, and fail soon after each start, beside a chain of
// short tasks.
func failingWatch(root string, record *recorder, trouble bool) int {
	r, other := newRoute("restauracion"), newRoute("reafilado")
	s, err := newSystem(root, record, 6, 24, []route{r, other})
	defer s.close()
	if err != nil || !s.ready(r) {
		record.printf("could not start: %v", err)
		return couldNot
	}
	s.world.quiet = true
	const chained, links = "00000000000000a1", 40
	j := jobBody{Spec: "watch", Phases: []stepBody{{Count: 100, CPU: 1000, MemMB: 100, EstimateMs: 1000, LongRunning: true}}}
	if trouble {
		j.fails = 1
	}
	if !s.submit(other, chained, chain(links, 3000)) || !s.submit(r, "0000000000000a00", j) {
		return couldNot
	}
	end := time.Now().Add(100 * time.Second)
	go func() {
		for time.Now().Before(end) {
			s.world.mu.Lock()
			starts, ends, noted := s.world.starts, s.world.ends, s.world.noted
			s.world.mu.Unlock()
			done, _ := s.world.doneOf(chained)
			s.store.mu.Lock()
			record.printf("chain: %d tasks done; all: starts %d, ends %d, ends taken note of %d; store: %d appends accepted, %d refused as too large, largest record %d bytes, last writer node %d",
				done, starts, ends, noted, s.store.accepted, s.store.refused, s.store.largest, s.store.lastWriter)
			s.store.mu.Unlock()
			time.Sleep(2 * time.Second)
		}
	}()
	longest := s.waitsWithRoom(chained, links, end)
	record.printf("longest time in which the chain waited beside free room: %.1f s", longest.Seconds())
	status, text := s.call("POST", 0, other, "00000000000000d1", []byte(`{"spec":"x","phases":[{"count":1,"cpu":100,"mem-mb":10,"estimate-ms":10}]}`))
	record.printf("client: POST of a small job at the end: %d %s", status, text)
	record.printf("state of the chain: %s", s.state(other, chained))
	if longest > 15*time.Second {
		return broken
	}
	return held
}

// load hands jobs in until stop is closed, and returns a function that waits for the
// clients.
func (s *system) load(r route, every time.Duration, estimateMs int64, stop chan struct{}) *sync.WaitGroup {
	var clients sync.WaitGroup
	clients.Add(1)
	go func() {
		defer clients.Done()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(every):
			}
			id := fmt.Sprintf("%016x", 0x1000+n)
			clients.Add(1)
			go func() {
				defer clients.Done()
				s.submit(r, id, jobBody{Spec: "x", Phases: []stepBody{{Count: 6, CPU: 4000, MemMB: 1000, EstimateMs: estimateMs}}})
			}()
		}
	}()
	return &clients
}

// sawTwice reports whether the minions saw a task run twice.
func (s *system) sawTwice(c *checker) bool {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	return len(c.broken) > 0
}

// lateStartAndAck: a minion leaves a start and a hold unanswered and crashes; its next life,
// which is cut off for a while, carries out the start and then the hold.
func lateStartAndAck(root string, record *recorder, trouble bool) int {
	r := newRoute("reafilado")
	s, err := newSystem(root, record, 6, 12, []route{r})
	defer s.close()
	if err != nil || !s.ready(r) {
		record.printf("could not start: %v", err)
		return couldNot
	}
	c := newChecker(s.world)
	stop := make(chan struct{})
	clients := s.load(r, 150*time.Millisecond, 900, stop)
	time.Sleep(5 * time.Second)
	if trouble {
		// Neither call is answered; the hold acknowledges ends of this life.
		captured := make(chan *minion, 1)
		var mu sync.Mutex
		var chosen *minion
		var startAt time.Time
		done := false
		for _, m := range s.world.minions {
			m.late = func(path string, c command) time.Duration {
				s.world.mu.Lock()
				busy := len(m.runs) >= 4
				s.world.mu.Unlock()
				mu.Lock()
				defer mu.Unlock()
				switch {
				case done:
				case path == "/run-start" && busy && time.Since(startAt) > 2*time.Second:
					chosen, startAt = m, time.Now()
					record.printf("minion %s leaves the start of %s attempt %d unanswered", m.id, c.Task, c.Attempt)
					return 2500 * time.Millisecond
				case path == "/hold" && m == chosen && c.AckCursor > 0 && time.Since(startAt) < 600*time.Millisecond:
					done = true
					record.printf("minion %s leaves a hold with ack-cursor %d unanswered", m.id, c.AckCursor)
					captured <- m
					return 5 * time.Second
				}
				return 0
			}
		}
		select {
		case m := <-captured:
			if !m.rebornBehindCut(5500 * time.Millisecond) {
				return couldNot
			}
		case <-time.After(30 * time.Second):
			record.printf("no minion got both calls")
			return couldNot
		}
	}
	time.Sleep(16 * time.Second)
	close(stop)
	clients.Wait()
	time.Sleep(5 * time.Second)
	if s.sawTwice(c) {
		return broken
	}
	return held
}

// startAtTakeover: a minion leaves a start unanswered, and right then the leader is killed
// and the minion crashes. Its next life is cut off for a while and carries the start out.
func startAtTakeover(root string, record *recorder, trouble bool) int {
	r := newRoute("reafilado")
	s, err := newSystem(root, record, 6, 12, []route{r})
	defer s.close()
	if err != nil || !s.ready(r) {
		record.printf("could not start: %v", err)
		return couldNot
	}
	c := newChecker(s.world)
	stop := make(chan struct{})
	clients := s.load(r, 150*time.Millisecond, 2500, stop)
	time.Sleep(5 * time.Second)
	m := s.world.busiest()
	if trouble {
		captured := make(chan string, 1)
		var once sync.Once
		m.late = func(path string, c command) (after time.Duration) {
			if path == "/run-start" {
				once.Do(func() {
					after = 11900 * time.Millisecond
					record.printf("minion %s leaves the start of %s attempt %d unanswered", m.id, c.Task, c.Attempt)
					captured <- c.Task
				})
			}
			return after
		}
		select {
		case <-captured:
		case <-time.After(20 * time.Second):
			record.printf("the minion got no start")
			return couldNot
		}
		n := s.store.writer()
		record.printf("SIGKILL to process %d, which last wrote to the store", n)
		s.nodes[n].signal(syscall.SIGKILL)
		if !m.rebornBehindCut(12 * time.Second) {
			return couldNot
		}
	}
	time.Sleep(16 * time.Second)
	close(stop)
	clients.Wait()
	time.Sleep(5 * time.Second)
	if s.sawTwice(c) {
		return broken
	}
	return held
}

// twoLateStarts: a minion leaves two starts in a row of a task that lasts unanswered, and
// crashes. Its next life is cut off for a while and carries both out.
func twoLateStarts(root string, record *recorder, trouble bool) int {
	r := newRoute("restauracion")
	s, err := newSystem(root, record, 6, 12, []route{r})
	defer s.close()
	if err != nil || !s.ready(r) {
		record.printf("could not start: %v", err)
		return couldNot
	}
	c := newChecker(s.world)
	captured := make(chan *minion, 2)
	var mu sync.Mutex
	found := 0
	for _, m := range s.world.minions {
		m.late = func(path string, c command) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			if !trouble || path != "/run-start" || found == 2 {
				return 0
			}
			found++
			record.printf("minion %s leaves the start of %s attempt %d unanswered", m.id, c.Task, c.Attempt)
			captured <- m
			return 5 * time.Second
		}
	}
	if !s.submit(r, "00000000000000a1", jobBody{Spec: "watch", Phases: []stepBody{{Count: 1, CPU: 4000, MemMB: 1000, EstimateMs: 1000, LongRunning: true}}}) {
		return couldNot
	}
	if trouble {
		m := <-captured
		if again := <-captured; again != m {
			record.printf("the second start went to another minion")
			return held
		}
		time.Sleep(300 * time.Millisecond)
		if !m.rebornBehindCut(5500 * time.Millisecond) {
			return couldNot
		}
	}
	time.Sleep(16 * time.Second)
	if s.sawTwice(c) {
		return broken
	}
	return held
}

// longAppend: the store refuses all calls for 4.5 s while many jobs are at work.
func longAppend(root string, record *recorder, trouble bool) int {
	r, other := newRoute("reafilado"), newRoute("control")
	s, err := newSystem(root, record, 6, 48, []route{r, other})
	defer s.close()
	if err != nil || !s.ready(r) {
		record.printf("could not start: %v", err)
		return couldNot
	}
	s.world.quiet = true
	begin := time.Now()
	progress := func() {
		s.world.mu.Lock()
		starts, ends, noted := s.world.starts, s.world.ends, s.world.noted
		s.world.mu.Unlock()
		s.store.mu.Lock()
		defer s.store.mu.Unlock()
		record.printf("starts %d, ends %d, ends taken note of %d; store: %d appends accepted, %d refused as too large, largest record %d bytes, largest append %d bytes, last writer node %d",
			starts, ends, noted, s.store.accepted, s.store.refused, s.store.largest, s.store.longest, s.store.lastWriter)
	}
	const jobs = 100
	for i := range jobs {
		j := jobBody{Spec: "x", varied: 3}
		for step := range 4 {
			p := stepBody{Count: 160, CPU: 185, MemMB: 100, EstimateMs: 600, Checkpointing: true}
			if step > 0 {
				p.DependsOn = []int{step - 1}
			}
			if step == 3 {
				p.EstimateMs = 40000
			}
			j.Phases = append(j.Phases, p)
		}
		j.Phases = append(j.Phases, stepBody{Count: 1, CPU: 230, MemMB: 100, EstimateMs: 120000, DependsOn: []int{3}})
		if !s.submit(r, fmt.Sprintf("%016x", 0xb00+i), j) {
			return couldNot
		}
		time.Sleep(200 * time.Millisecond)
		if i%8 == 0 {
			progress()
		}
	}
	var small []string
	for i := range 20 {
		id := fmt.Sprintf("%016x", 0xc00+i)
		small = append(small, id)
		if !s.submit(other, id, jobBody{Spec: "watch", Phases: []stepBody{{Count: 1, CPU: 250, MemMB: 100, EstimateMs: 1000, LongRunning: true}}}) {
			return couldNot
		}
	}
	for time.Since(begin) < 62*time.Second {
		time.Sleep(2 * time.Second)
		progress()
	}
	if trouble {
		record.printf("the store refuses all calls for 4.5 s")
		for n := range s.nodes {
			s.store.setFault(n, "busy")
		}
		time.Sleep(4500 * time.Millisecond)
		for n := range s.nodes {
			s.store.setFault(n, "")
		}
		record.printf("the store is back")
	} else {
		time.Sleep(4500 * time.Millisecond)
	}
	for range 4 {
		time.Sleep(2 * time.Second)
		progress()
	}
	// Within ack-ms, counted from the first send.
	const ack = 4 * time.Second
	var answered, unanswered atomic.Int64
	var clients sync.WaitGroup
	for n, id := range small {
		clients.Add(1)
		go func() {
			defer clients.Done()
			sent := time.Now()
			for attempt := 0; time.Since(sent) < 2*ack; attempt++ {
				status, text := s.call("DELETE", (n+attempt)%len(s.nodes), other, id, nil)
				record.printf("client: DELETE %s: %d %s", id, status, text)
				if (status == 200 || status == 410) && time.Since(sent) <= ack {
					answered.Add(1)
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
			unanswered.Add(1)
		}()
	}
	clients.Wait()
	progress()
	record.printf("cancels that were answered within ack-ms: %d, not answered: %d", answered.Load(), unanswered.Load())
	for time.Since(begin) < 96*time.Second {
		time.Sleep(4 * time.Second)
		progress()
	}
	status, text := s.call("POST", 0, other, "00000000000000d1", []byte(`{"spec":"x","phases":[{"count":1,"cpu":100,"mem-mb":10,"estimate-ms":10}]}`))
	record.printf("client: POST of a small job at the end: %d %s", status, text)
	if unanswered.Load() >= 3 {
		return broken
	}
	return held
}
