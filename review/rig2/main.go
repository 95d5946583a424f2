// Command rig2 plays one case of the review: it starts the project's scheduler
// processes on loopback with stand-ins of the platform, and exits with 1 if the rule
// of the case was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// timeLimit ends a case that hangs.
const timeLimit = 115 * time.Second

// scenario plays a case. trouble is false for the same without the disruption. It
// returns whether the rule was broken.
type scenario struct {
	processes, minions int
	play               func(s *system, trouble bool) (bool, error)
}

var scenarios = map[string]scenario{
	"twice":     {3, 12, playTwice},
	"lateack":   {3, 12, playLateAck},
	"latestart": {3, 8, playLateStart},
	"draining":  {3, 12, playDraining},
	"images":    {3, 6, playImages},
}

func main() { os.Exit(playCase()) }

func playCase() int {
	if len(os.Args) != 3 {
		fmt.Println("usage: rig2 CASE RECORD")
		return failed
	}
	c, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Println("no such case:", os.Args[1])
		return failed
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return failed
	}
	s, err := newSystem(rec, c.processes, c.minions)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		fmt.Println(err)
		return failed
	}
	s.memory = true
	if err := s.start(); err != nil {
		rec.say("the case could not run: %v", err)
		return failed
	}
	type outcome struct {
		broken bool
		err    error
	}
	result := make(chan outcome, 1)
	go func() {
		b, err := c.play(s, os.Getenv("TROUBLE") != "0")
		result <- outcome{b, err}
	}()
	select {
	case o := <-result:
		switch {
		case o.err != nil:
			rec.say("the case could not run: %v", o.err)
			return failed
		case o.broken:
			rec.say("the rule was broken")
			return broken
		}
		rec.say("the rule held")
		return held
	case <-time.After(timeLimit):
		rec.say("the case could not run: it took too long")
		return failed
	}
}
