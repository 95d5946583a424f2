package main

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

func init() { cases["crash"] = playCrash }

// playCrash crashes one minion of eight, and later another one, shortly after a job that
// lasts has begun there. None of its tasks ever fails.
func playCrash(rec *record, root string, trouble bool) verdict {
	const (
		id      = "00000000000000b1"
		after   = 250 * time.Millisecond
		down    = 4 * time.Second
		crashes = 2
	)
	s := newSystem(rec, root, 3, 8, 16000)
	s.waitReady()
	s.submit("jobs", id, work{Lasts: true}, phase{"count": 3, "cpu": 1000, "mem-mb": 512, "long-running": true})
	for n := 1; trouble && n <= crashes; n++ {
		limit := time.Now().Add(20 * time.Second)
		var at *minion
		for at == nil && time.Now().Before(limit) {
			time.Sleep(5 * time.Millisecond)
			for _, m := range s.minions {
				if m.running() > 0 {
					at = m
				}
			}
		}
		if at == nil {
			break // the job has been given up
		}
		time.Sleep(after)
		rec.say("minion %s, one of %d, crashes for %v", at.id, len(s.minions), down)
		at.crash(down)
	}
	shown := s.waitState("jobs", id, 14*time.Second, "failed")
	time.Sleep(3 * time.Second)
	shown = s.state("jobs", id)
	_, going := rec.lastStart(id)
	var ends []string
	failed := 0
	rec.mu.Lock()
	for task, runs := range rec.runs {
		for _, r := range runs {
			how := r.how
			if how == "" {
				how = "goes on"
			}
			if how == "failed" {
				failed++
			}
			ends = append(ends, fmt.Sprintf("%s attempt %d on %s: %s", task, r.attempt, r.minion, how))
		}
	}
	rec.mu.Unlock()
	sort.Strings(ends)
	return verdict{broken: shown == "failed" && failed == 0, lines: []string{
		"runs: " + strings.Join(ends, "; "),
		fmt.Sprintf("%d runs have ended failed, nobody has cancelled the job; it is shown as %s, and %d of its 3 tasks run", failed, shown, going),
	}}
}
