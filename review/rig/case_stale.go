package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["stale"] = playStale }

// playStale freezes the leading process for 3.5 s. Meanwhile a job is handed in at another
// node, and is cancelled over a connection to the frozen one that has been open before.
func playStale(rec *record, root string, trouble bool) verdict {
	const (
		id     = "00000000000000d1"
		frozen = 3500 * time.Millisecond
	)
	s := newSystem(rec, root, 3, 4, 16000)
	s.waitReady()
	s.submit("jobs", "00000000000000d0", work{Ms: 300}, phase{"count": 2, "cpu": 1000, "mem-mb": 64, "estimate-ms": 300})
	time.Sleep(time.Second)
	first := s.leader()
	var other *node
	for _, n := range s.nodes {
		if n != first {
			other = n
		}
	}
	// The canceller's connection stays with its node.
	status, answer := s.call(first, http.MethodGet, "/jobs/00000000000000d0", nil)
	rec.say("client: GET of an earlier job at %s: %d %s", first.name, status, answer)
	began := time.Now()
	if trouble {
		s.signal(first, syscall.SIGSTOP, 0)
		time.AfterFunc(frozen, func() { s.signal(first, syscall.SIGCONT, 0) })
	}
	time.Sleep(1800 * time.Millisecond)
	step := func(before ...int) phase {
		p := phase{"count": 2, "cpu": 1000, "mem-mb": 64, "estimate-ms": 2000}
		if len(before) > 0 {
			p["depends-on"] = before
		}
		return p
	}
	statuses := []int{}
	for len(statuses) == 0 || statuses[len(statuses)-1] != http.StatusOK {
		if time.Since(began) > 20*time.Second {
			fatal("the job isn't accepted: %v", statuses)
		}
		statuses = append(statuses, s.offerAt(other, "jobs", id, work{Ms: 2000}, step(), step(0), step(1), step(2)))
	}
	rec.say("job %s is accepted at %s, %.3f s after the freeze began", id, other.name, time.Since(began).Seconds())
	time.Sleep(200 * time.Millisecond)
	sent := time.Now()
	status, answer = s.call(first, http.MethodDelete, "/jobs/"+id, nil)
	acked := time.Now()
	rec.say("client: DELETE at %s, sent %.3f s after the freeze began: %d %s after %.3f s", first.name, sent.Sub(began).Seconds(), status, answer, acked.Sub(sent).Seconds())
	time.Sleep(11 * time.Second)
	shown := s.state("jobs", id)
	last, _ := rec.lastStart(id)
	late := 0
	rec.mu.Lock()
	for task, runs := range rec.runs {
		for _, r := range runs {
			if task[:len(id)] == id && r.began.After(acked.Add(3*time.Second)) {
				late++
			}
		}
	}
	rec.mu.Unlock()
	return verdict{broken: (status/100 == 2 || status == http.StatusGone) && late > 0, lines: []string{
		fmt.Sprintf("the cancel was answered %d at %s; %d starts came later than cancel_ms (3 s) after that, the last at %s; the job is shown as %s",
			status, rec.at(acked), late, rec.at(last), shown),
	}}
}
