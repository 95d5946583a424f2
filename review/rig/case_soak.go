package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["soak"] = playSoak }

// playSoak is a search, not a case.
func playSoak(rec *record, root string, trouble bool) verdict {
	seed, _ := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	rnd := rand.New(rand.NewSource(seed))
	s := newSystem(rec, root, 4, 10, 16000)
	s.waitReady()
	kinds := os.Getenv("KINDS")
	faults := os.Getenv("FAULTS")
	if faults == "" {
		faults = "012345"
	}
	type kept struct {
		id        string
		lasts     bool
		cancelled bool
		accepted  bool
		refused   bool
		acked     time.Time
	}
	var mu sync.Mutex
	var jobs []*kept
	var wait sync.WaitGroup
	stop := time.Now().Add(45 * time.Second)
	n := 0
	go func() {
		for trouble && time.Now().Before(stop.Add(-3*time.Second)) {
			time.Sleep(time.Duration(1500+rnd.Intn(4000)) * time.Millisecond)
			switch k := int(faults[rnd.Intn(len(faults))] - 48); {
			case k == 0:
				s.signal(s.leader(), syscall.SIGKILL, time.Duration(rnd.Intn(3000))*time.Millisecond)
			case k == 1:
				n := s.leader()
				s.signal(n, syscall.SIGSTOP, 0)
				d := time.Duration(500+rnd.Intn(4000)) * time.Millisecond
				time.AfterFunc(d, func() { s.signal(n, syscall.SIGCONT, 0) })
			case k == 2:
				s.signal(s.leader(), syscall.SIGTERM, 0)
			case k == 3:
				for range 1 + rnd.Intn(2) {
					s.minions[rnd.Intn(len(s.minions))].crash(time.Duration(100+rnd.Intn(4000)) * time.Millisecond)
				}
			case k == 4:
				for _, m := range s.minions {
					m.mu.Lock()
					m.late = func(string, int) time.Duration {
						if rand.Float64() < 0.1 {
							return time.Duration(2000+rand.Intn(6000)) * time.Millisecond
						}
						return 0
					}
					m.mu.Unlock()
				}
				time.AfterFunc(4*time.Second, func() {
					for _, m := range s.minions {
						m.mu.Lock()
						m.late = nil
						m.mu.Unlock()
					}
				})
			case k >= 6 && k <= 9:
				f := []storeFault{{silent: true}, {busy: true}, {lost: 0.3}, {late: 0.3}}[k-6]
				s.store.fault.Store(&f)
				rec.say("store: %+v", f)
				time.AfterFunc(time.Duration(1000+rnd.Intn(3500))*time.Millisecond, func() { s.store.fault.Store(nil); rec.say("store sound") })
			case k == 5:
				for range 3 {
					n := s.nodes[rnd.Intn(len(s.nodes))]
					s.signal(n, syscall.SIGKILL, 0)
				}
			}
		}
	}()
	for time.Now().Before(stop) {
		n++
		j := &kept{id: fmt.Sprintf("%012x%04x", seed, n)}
		var phases []phase
		w := work{Ms: int64(200 + rnd.Intn(2500))}
		steps := 1 + rnd.Intn(3)
		if rnd.Intn(8) == 0 {
			j.lasts, w.Lasts, steps = true, true, 1
			if rnd.Intn(2) == 0 {
				w.FailMs = 4000
			}
		}
		if rnd.Intn(3) == 0 {
			w.Marks = 16
		}
		for i := range steps {
			p := phase{"count": 1 + rnd.Intn(6), "cpu": 200 + rnd.Intn(1500), "mem-mb": 64, "estimate-ms": 1000}
			if i > 0 {
				p["depends-on"] = []int{rnd.Intn(i)}
			}
			if j.lasts {
				p["long-running"] = true
				delete(p, "estimate-ms")
			} else if kinds != "plain" && rnd.Intn(3) == 0 {
				p["gang"] = true
			} else if rnd.Intn(4) == 0 {
				p["max-per-server"] = 1
			}
			if w.Marks > 0 {
				p["checkpointing"] = true
			}
			phases = append(phases, p)
		}
		mu.Lock()
		jobs = append(jobs, j)
		mu.Unlock()
		cancel := rnd.Intn(10) == 0
		after := time.Duration(rnd.Intn(3000)) * time.Millisecond
		wait.Add(1)
		go func() {
			defer wait.Done()
			statuses := s.offer("jobs", j.id, w, phases...)
			last := statuses[len(statuses)-1]
			j.accepted, j.refused = last/100 == 2, true
			for _, status := range statuses {
				j.refused = j.refused && (status == 429 || status == 503)
			}
			if cancel && j.accepted {
				time.Sleep(after)
				j.cancelled = true
				if status, _ := s.ask(http.MethodDelete, "/jobs/"+j.id, nil, 8); status == 200 || status == 410 {
					j.acked = time.Now()
				}
			}
		}()
		time.Sleep(time.Duration(50+rnd.Intn(250)) * time.Millisecond)
	}
	wait.Wait()
	time.Sleep(18 * time.Second)
	var lines []string
	for _, j := range jobs {
		shown := s.state("jobs", j.id)
		last, going := rec.lastStart(j.id)
		switch {
		case j.refused && !last.IsZero():
			lines = append(lines, fmt.Sprintf("REFUSED %s has started, last at %s", j.id, rec.at(last)))
		case !j.accepted:
		case !j.acked.IsZero() && last.After(j.acked.Add(3*time.Second)):
			lines = append(lines, fmt.Sprintf("UNASKED %s cancel acked at %s, last start %s", j.id, rec.at(j.acked), rec.at(last)))
		case j.cancelled && shown != "cancelled" && shown != "complete" || j.cancelled && going > 0:
			lines = append(lines, fmt.Sprintf("CANCEL %s is shown as %s, %d go on", j.id, shown, going))
		case j.cancelled:
		case j.lasts && (shown != "running" || going != int(whole(rec.jobs[j.id][0], "count"))):
			lines = append(lines, fmt.Sprintf("LOST lasting %s is shown as %s, %d go on, last start %s", j.id, shown, going, rec.at(last)))
		case !j.lasts && shown != "complete":
			lines = append(lines, fmt.Sprintf("LOST %s is shown as %s, %d go on, last start %s", j.id, shown, going, rec.at(last)))
		}
	}
	overlaps, repeats := rec.twice("")
	for _, l := range overlaps {
		lines = append(lines, "TWICE overlap "+l)
	}
	for _, l := range repeats {
		lines = append(lines, "TWICE repeat "+l)
	}
	lines = append(lines, rec.broken...)
	tasks, starts, done := rec.counts("")
	rec.say("%d jobs, %d tasks, %d starts, %d done", len(jobs), tasks, starts, done)
	return verdict{broken: len(lines) > 0, lines: lines}
}
