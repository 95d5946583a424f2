package failure

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"testing"
	"time"
)

const (
	// patience bounds the wait for a condition on a busy machine. Targets are
	// asserted on their own and are shorter.
	patience = 60 * time.Second
	// pollEvery paces the check of a condition.
	pollEvery = 25 * time.Millisecond
	// sitesAtOnce bounds the deployments that run at the same time.
	sitesAtOnce = 3
	buildTime   = 5 * time.Minute
)

var (
	// programs is the directory with the built programs.
	programs string
	running  = make(chan struct{}, sitesAtOnce)
)

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "lacewingfork-failure-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithTimeout(context.Background(), buildTime)
	defer cancel()
	out, err := exec.CommandContext(ctx, "go", "build", "-o", dir+string(os.PathSeparator), "../cmd/lacewingfork-entry", "../cmd/lacewingfork").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build the programs: %v\n%s", err, out)
		return 1
	}
	programs = dir
	return m.Run()
}

// await polls a condition; what says in words what is missing.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(pollEvery) {
		if time.Now().After(end) {
			t.Fatalf("after %v still missing: %s", patience, what)
		}
	}
}
