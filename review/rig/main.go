// Command rig plays one case of the review: it starts the scheduler's own processes on
// loopback addresses against stand-ins of the platform, the minions and the clients, and
// judges by what these have seen. It exits with 1 if the rule was broken, 0 if it held
// and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	lines  []string
}

var cases = map[string]func(rec *record, root string, trouble bool) verdict{}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	path := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fatal("there is no case %q", *name)
	}
	absolute, err := filepath.Abs(*root)
	if err != nil {
		fatal("find the repository: %v", err)
	}
	rec := newRecord(*path)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		cleanUp()
		os.Exit(2)
	}()
	time.AfterFunc(115*time.Second, func() { fatal("it took longer than 115 s") })
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, with the disruption: %t", *name, trouble)
	v := play(rec, absolute, trouble)
	cleanUp()
	for _, line := range v.lines {
		rec.say("%s", line)
	}
	rec.say("broken: %t", v.broken)
	rec.close()
	if v.broken {
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
