// Command lacewingfork-demo runs the whole system on loopback addresses, injects
// failures and exits non-zero if a guarantee did not hold.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/jessevdk/go-flags"

	"lacewingfork.example/lacewingfork/demo"
)

// Exit codes.
const (
	exitCheckFailed = 1 // a guarantee did not hold
	exitFailed      = 2 // invalid command line, or the system could not be run
)

type options struct {
	Keep bool `long:"keep" description:"keep the directory with the settings and logs of the processes"`
	Stay bool `long:"stay" description:"only start the system, print how to reach it and keep it running"`
}

func main() { os.Exit(run()) }

// run runs the demo and returns the exit code.
func run() int {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return exitFailed
	}
	program, err := os.Executable()
	if err != nil {
		return fail(err)
	}
	work, err := os.MkdirTemp("", "lacewingfork-demo-")
	if err != nil {
		return fail(err)
	}
	if o.Keep {
		fmt.Println("logs are in", work)
	} else {
		defer func() { _ = os.RemoveAll(work) }()
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	settings := demo.Settings{Bin: filepath.Dir(program), Work: work, Out: os.Stdout}
	if o.Stay {
		if err := demo.Serve(ctx, settings); err != nil {
			return fail(err)
		}
		return 0
	}
	report, err := demo.Run(ctx, settings)
	if err != nil {
		return fail(err)
	}
	report.Print(os.Stdout)
	failed := report.FailedChecks()
	for _, text := range failed {
		fmt.Println("failed check:", text)
	}
	if len(failed) > 0 {
		return exitCheckFailed
	}
	fmt.Println("all checks passed")
	return 0
}

// fail prints an error and returns the exit code exitFailed.
func fail(err error) int {
	fmt.Fprintln(os.Stderr, "demo:", err)
	return exitFailed
}
