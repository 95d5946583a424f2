package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["queue"] = playQueue }

// playQueue removes a route whose accepted jobs still have work to do, and kills the
// leading process after that.
func playQueue(rec *record, root string, trouble bool) verdict {
	const (
		lasting = "00000000000000c1"
		chain   = "00000000000000c2"
		quiet   = 12 * time.Second
	)
	s := newSystem(rec, root, 3, 4, 16000)
	s.publish([]string{"jobs", "old"})
	time.Sleep(3 * time.Second)
	s.waitReady()
	s.submit("old", lasting, work{Lasts: true, FailMs: 9000}, phase{"count": 4, "cpu": 1000, "mem-mb": 64, "long-running": true})
	s.submit("old", chain, work{Ms: 6000},
		phase{"count": 2, "cpu": 1000, "mem-mb": 64, "estimate-ms": 6000},
		phase{"count": 2, "cpu": 1000, "mem-mb": 64, "estimate-ms": 6000, "depends-on": []int{0}})
	s.publish([]string{"jobs"})
	time.Sleep(4 * time.Second) // config-ms and more
	if trouble {
		s.signal(s.leader(), syscall.SIGKILL, 0)
	}
	time.Sleep(10 * time.Second)
	// The first steps have ended and the tasks that last have failed by themselves.
	began := time.Now()
	time.Sleep(quiet)
	last, going := rec.lastStart(lasting)
	_, goingChain := rec.lastStart(chain)
	tasks, starts, done := rec.counts(chain)
	rec.mu.Lock()
	idle := 0
	for task, runs := range rec.runs {
		r := runs[len(runs)-1]
		if task[:len(lasting)] == lasting && !r.ended.IsZero() && time.Since(r.ended) > 9*time.Second {
			idle++
		}
	}
	rec.mu.Unlock()
	s.publish([]string{"jobs", "old"})
	time.Sleep(3 * time.Second)
	v := verdict{broken: idle > 0 || tasks < 4}
	v.lines = append(v.lines,
		fmt.Sprintf("lasting job: %d tasks have had no run for over 9 s; newest start %.1f s before the end of the wait; %d runs go on", idle, time.Since(last).Seconds()-3, going),
		fmt.Sprintf("chained job: %d of 4 tasks started, %d starts, %d ends done, %d runs go on, %v after the kill", tasks, starts, done, goingChain, time.Since(began)+7*time.Second),
	)
	return v
}
