// Command lacewingfork-scheduler runs one entry instance of the job scheduler on
// the users' platform.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"
	"go.uber.org/fx"

	"lacewingfork.example/lacewingfork/internal/clock"
	"lacewingfork.example/lacewingfork/platform"
	"lacewingfork.example/lacewingfork/scheduler"
	"lacewingfork.example/lacewingfork/scheduler/settings"
)

// Exit codes of the command.
const (
	exitFailed   = 1 // the instance failed to start, run or stop
	exitSettings = 2 // invalid command line or settings
)

const (
	// memoryShare is the fraction of the instance's memory used as the Go memory
	// limit. The rest is for stacks, the binary and socket buffers.
	memoryShare = 0.7
	// gcPercent is above the default of 100: it uses more memory, which is billed,
	// to save processor time, as an instance has a sixth of a core.
	gcPercent = 150
	mebibyte  = 1 << 20 // bytes
)

type options struct {
	Settings string `long:"settings" value-name:"FILE" description:"TOML file with the instance settings; defaults to the path in the platform's environment variable"`
	Check    bool   `long:"check" description:"validate the settings and exit"`
}

func main() { os.Exit(run(os.Stdout, os.Stderr)) }

func run(stdout, stderr io.Writer) int {
	// A SIGHUP must not terminate the process before the reload duty handles it.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	o := options{Settings: platform.SettingsPath()}
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return exitSettings
	}
	s, err := settings.Load(o.Settings)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err) // a failed write to stderr cannot be reported
		return exitSettings
	}
	if o.Check {
		return 0
	}
	debug.SetMemoryLimit(int64(float64(s.Instance.MemoryMiB) * memoryShare * mebibyte))
	debug.SetGCPercent(gcPercent)
	runtime.GOMAXPROCS(1) // an instance has less than one core
	listeners, err := scheduler.Listen(s.Listen)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err) // a failed write to stderr cannot be reported
		return exitFailed
	}
	defer listeners.Close()
	c := clock.New()
	reload := func() (settings.Settings, error) { return settings.Load(o.Settings) }
	return serve(scheduler.New(s, listeners, platform.New(s.Store.Address, s.Advisor.Address, c.Steady), c, stdout, reload), stderr)
}

// serve runs the application until a stop signal or a failure and returns the
// exit code.
func serve(app *fx.App, stderr io.Writer) int {
	if err := app.Start(context.Background()); err != nil {
		_, _ = fmt.Fprintln(stderr, err) // a failed write to stderr cannot be reported
		return exitFailed
	}
	shutdown := <-app.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		_, _ = fmt.Fprintln(stderr, err) // a failed write to stderr cannot be reported
		return exitFailed
	}
	return shutdown.ExitCode
}
