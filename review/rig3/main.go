//go:build review3

// Command rig3 plays one case of the third review against the project's processes and
// stand-ins of its own, all on loopback addresses. See review/REPORT-3.md.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

var cases = map[string]func(root string, record *recorder, trouble bool) int{}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER, in the root of the repository")
		return couldNot
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer func() { _ = file.Close() }()
	record := &recorder{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	record.printf("case %s, disruption: %t", os.Args[1], trouble)
	result := cases[os.Args[1]](root, record, trouble)
	record.printf("result %d (1 broken, 0 held, 2 could not run)", result)
	fmt.Printf("case %s, disruption %t: result %d\n", os.Args[1], trouble, result)
	return result
}
