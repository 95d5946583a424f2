//go:build review3

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["search"] = search }

// checker checks what minions see. The world's lock guards it.
type checker struct {
	world   *world
	running map[string]map[string]int // by task, the minion and attempt of each run
	ended   map[string]bool           // tasks with an end done
	noted   map[string]bool           // tasks whose end done was taken note of
	doneBy  map[string]bool           // ends done, by task, minion and attempt
	after   map[string]bool           // those after which the task was started again
	fails   map[string]map[int]bool
	broken  []string
	alone   int
}

// newChecker checks what the minions of w see from now on.
func newChecker(w *world) *checker {
	c := &checker{
		world: w, running: map[string]map[string]int{}, ended: map[string]bool{}, noted: map[string]bool{},
		doneBy: map[string]bool{}, after: map[string]bool{}, fails: map[string]map[int]bool{},
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.check = c
	return c
}

func (c *checker) report(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.broken = append(c.broken, text)
	c.world.record.printf("BROKEN %s", text)
}

func (c *checker) gone(minion string, r *run) {
	delete(c.running[r.task], minion+"#"+strconv.Itoa(r.attempt))
}

func (c *checker) seen(e event) {
	key := e.minion + "#" + strconv.Itoa(e.attempt)
	parts := strings.Split(e.task, ".")
	switch e.kind {
	case "start":
		if len(c.running[e.task]) > 0 {
			c.report("TWICE %s attempt %d on %s beside %v", e.task, e.attempt, e.minion, c.running[e.task])
		}
		if c.noted[e.task] {
			c.report("TWICE %s attempt %d on %s after its end was taken note of", e.task, e.attempt, e.minion)
		}
		if c.ended[e.task] {
			for by := range c.doneBy {
				if strings.HasPrefix(by, e.task+"i-") {
					c.after[by] = true
				}
			}
			c.world.record.printf("start of %s after an end done", e.task)
		}
		if c.running[e.task] == nil {
			c.running[e.task] = map[string]int{}
		}
		c.running[e.task][key] = e.attempt
		j := c.world.jobs[parts[0]]
		step, _ := strconv.Atoi(parts[2])
		k, _ := strconv.Atoi(parts[1])
		if len(c.fails[e.task]) >= 3 {
			c.report("BUDGET %s attempt %d", e.task, e.attempt)
		}
		for _, before := range j.Phases[step].DependsOn {
			for i := range j.Phases[before].Count {
				if name := fmt.Sprintf("%s.%d.%d.%d", parts[0], k, before, i); !c.ended[name] && !j.Phases[before].Gang {
					c.report("ORDER %s started before %s", e.task, name)
				}
			}
		}
		if j.Repeats > 0 {
			due := time.UnixMilli(j.StartAtMs + int64(k)*j.IntervalMs)
			if early := due.Sub(e.at); early > 250*time.Millisecond {
				c.report("ORDER %s started %s early", e.task, early)
			}
		}
	case "end":
		delete(c.running[e.task], key)
		switch e.how {
		case "done":
			c.ended[e.task] = true
			c.doneBy[e.task+key] = true
		case "alone":
			c.alone++
		}
	case "noted":
		switch e.how {
		case "done":
			c.noted[e.task] = true
			if c.after[e.task+key] {
				c.report("TWICE? %s was started after an end done that is taken note of now", e.task)
			}
		case "failed":
			if c.fails[e.task] == nil {
				c.fails[e.task] = map[int]bool{}
			}
			c.fails[e.task][e.attempt] = true
		}
	case "unasked":
		c.report("UNASKED %s", e.task)
	}
}

// search plays random jobs and random disruptions, to find faults.
func search(root string, record *recorder, trouble bool) int {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	random := rand.New(rand.NewPCG(seed, 3))
	r := newRoute("reafilado")
	advised := newRoute("advised")
	advised.Advisor = map[string]any{"decide-ms": 5, "period-ms": 1, "valid-ms": ticketValid.Milliseconds()}
	s, err := newSystem(root, record, 5, 12, []route{r, advised})
	defer s.close()
	if err != nil || !s.ready(r) {
		return couldNot
	}
	c := newChecker(s.world)
	var clients sync.WaitGroup
	var mu sync.Mutex
	type handed struct {
		r route
		j jobBody
	}
	accepted := map[string]handed{}
	begin := time.Now()
	length := 50 * time.Second
	stopFaults := make(chan struct{})
	var faults sync.WaitGroup
	faults.Add(1)
	go func() {
		defer faults.Done()
		r2 := rand.New(rand.NewPCG(seed, 4))
		for trouble {
			select {
			case <-stopFaults:
				return
			case <-time.After(time.Duration(300+r2.IntN(2000)) * time.Millisecond):
			}
			n := s.store.writer()
			if r2.IntN(3) == 0 || n < 0 {
				n = r2.IntN(len(s.nodes))
			}
			switch k := r2.IntN(12); k {
			case 0, 1:
				record.printf("fault: SIGKILL node %d", n)
				s.nodes[n].signal(syscall.SIGKILL)
			case 2:
				record.printf("fault: SIGTERM node %d", n)
				s.nodes[n].signal(syscall.SIGTERM)
			case 3:
				d := time.Duration(500+r2.IntN(3000)) * time.Millisecond
				record.printf("fault: freeze node %d for %s", n, d)
				s.nodes[n].signal(syscall.SIGSTOP)
				faults.Add(1)
				go func() {
					defer faults.Done()
					time.Sleep(d)
					s.nodes[n].signal(syscall.SIGCONT)
				}()
			case 4, 5:
				m := s.world.minions[r2.IntN(len(s.world.minions))]
				if m.downTill.IsZero() {
					d := time.Duration(r2.IntN(4000)) * time.Millisecond
					m.crash(d)
					faults.Add(1)
					go func() {
						defer faults.Done()
						time.Sleep(d)
						if err := m.comeBack(); err != nil {
							record.printf("no return: %v", err)
						}
						s.store.put("keyed.servers", m.id, m.entry())
					}()
				}
			case 6:
				d := time.Duration(1000+r2.IntN(4000)) * time.Millisecond
				record.printf("fault: late orders for %s", d)
				s.world.lateShare = 0.1
				faults.Add(1)
				go func() {
					defer faults.Done()
					time.Sleep(d)
					s.world.lateShare = 0
				}()
			case 9, 10:
				m := s.world.minions[r2.IntN(len(s.world.minions))]
				d := time.Duration(1000+r2.IntN(6000)) * time.Millisecond
				record.printf("fault: cut minion %s for %s", m.id, d)
				m.cutTill = time.Now().Add(d)
			case 11:
				d := time.Duration(1000+r2.IntN(4000)) * time.Millisecond
				record.printf("fault: lost answers for %s", d)
				s.world.lostShare = 0.1
				faults.Add(1)
				go func() {
					defer faults.Done()
					time.Sleep(d)
					s.world.lostShare = 0
				}()
			case 7, 8:
				d := time.Duration(1000+r2.IntN(4000)) * time.Millisecond
				record.printf("fault: store refuses node %d for %s", n, d)
				s.store.setFault(n, "busy")
				faults.Add(1)
				go func() {
					defer faults.Done()
					time.Sleep(d)
					s.store.setFault(n, "")
				}()
			}
		}
	}()
	for n := 0; time.Since(begin) < length; n++ {
		id := fmt.Sprintf("%016x", random.Uint64())
		j := jobBody{Spec: "x"}
		route := r
		steps := 1 + random.IntN(3)
		for i := range steps {
			step := stepBody{Count: 1 + random.IntN(5), CPU: int64(1000 + random.IntN(15000)), MemMB: 1000, EstimateMs: int64(50 + random.IntN(1500)), Checkpointing: random.IntN(2) == 0}
			if i > 0 {
				step.DependsOn = []int{i - 1}
			}
			step.Gang = random.IntN(2) == 0
			j.Phases = append(j.Phases, step)
		}
		if random.IntN(3) == 0 {
			j.Repeats, j.IntervalMs, j.StartAtMs = 1+random.IntN(4), int64(200+random.IntN(3000)), time.Now().UnixMilli()+int64(random.IntN(4000))-1000
		}
		if random.IntN(4) == 0 {
			route, j.advised = advised, true
		}
		if random.IntN(6) == 0 {
			j.fails = 0.3
		}
		clients.Add(1)
		go func() {
			defer clients.Done()
			if s.submit(route, id, j) {
				mu.Lock()
				accepted[id] = handed{route, j}
				mu.Unlock()
			}
		}()
		time.Sleep(time.Duration(100+random.IntN(200)) * time.Millisecond)
	}
	close(stopFaults)
	clients.Wait()
	faults.Wait()
	s.world.lateShare = 0
	deadline := time.Now().Add(40 * time.Second)
	open := 0
	for {
		open = 0
		var last string
		for id, h := range accepted {
			state := s.state(h.r, id)
			if !strings.Contains(state, "complete") && !(strings.Contains(state, "failed") && h.j.fails > 0) {
				open++
				last = id + " " + state
			}
		}
		if open == 0 || time.Now().After(deadline) {
			record.printf("%d of %d jobs are open, one of them %s", open, len(accepted), last)
			break
		}
		time.Sleep(time.Second)
	}
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	fmt.Printf("seed %d: %d jobs, %d starts, %d open, %d alone, broken: %d %.200v\n", seed, len(accepted), s.world.starts, open, c.alone, len(c.broken), c.broken)
	if len(c.broken) > 0 || open > 0 {
		return broken
	}
	return held
}
