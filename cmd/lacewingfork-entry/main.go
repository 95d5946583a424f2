// Command lacewingfork-entry runs one entry instance.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jessevdk/go-flags"

	"lacewingfork.example/lacewingfork/entry"
	"lacewingfork.example/lacewingfork/settings"
)

// Exit codes.
const (
	exitFailed   = 1 // the instance could not start, run or stop
	exitSettings = 2 // invalid command line or settings
)

const (
	// memoryLimit, in bytes, keeps the process below its limit of 256 MB. The
	// difference leaves room for memory that the Go runtime does not count.
	memoryLimit = 208 << 20
	// gcPercent trades memory for fewer garbage collections: the live heap of an
	// instance is a few MB, so the default would collect many times a second.
	gcPercent = 400
	// maxThreads is the upper limit of GOMAXPROCS. A request passes through six
	// duties; with more idle processors each step wakes another thread, which
	// costs more than the step itself.
	maxThreads = 4
)

type options struct {
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"settings of the instance in TOML"`
}

// ready is the JSON message that is printed on standard output once the
// listeners are open.
type ready struct {
	Event      string `json:"event"`
	Instance   string `json:"instance"`
	Callers    string `json:"callers"`
	Peers      string `json:"peers"`
	Operations string `json:"operations"`
}

func main() { os.Exit(run(os.Stdout, os.Stderr)) }

// run starts the instance, serves until it stops and returns the exit code.
func run(stdout, stderr io.Writer) int {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return exitSettings
	}
	s, err := settings.Load(o.Settings)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err) // if this fails, there is nowhere to report it
		return exitSettings
	}
	debug.SetMemoryLimit(memoryLimit)
	debug.SetGCPercent(gcPercent)
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(maxThreads, runtime.GOMAXPROCS(0)))
	}
	logger := newLogger(stderr, s)
	listeners, err := entry.OpenListeners(s.Listen)
	if err != nil {
		logger.Error("cannot listen", "event", "listen_failed", "error", err)
		return exitFailed
	}
	defer listeners.Close()
	app := entry.New(s, listeners, logger)
	if err := app.Err(); err != nil {
		logger.Error("cannot build the instance", "event", "build_failed", "error", err)
		return exitFailed
	}
	if err := json.NewEncoder(stdout).Encode(ready{
		Event: "ready", Instance: string(s.Instance.ID), Callers: listeners.Callers.Addr().String(),
		Peers: listeners.Peers.Addr().String(), Operations: listeners.Operations.Addr().String(),
	}); err != nil {
		logger.Error("cannot write the ready message to standard output", "event", "ready_not_written", "error", err)
	}
	return serve(app, logger)
}

// newLogger returns a logger that writes one JSON object per line. An invalid
// log level becomes info.
func newLogger(w io.Writer, s settings.Settings) *log.Logger {
	level, err := log.ParseLevel(s.Process.LogLevel)
	if err != nil {
		level = log.InfoLevel
	}
	return log.NewWithOptions(w, log.Options{
		Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Level: level,
	}).With("instance", s.Instance.ID)
}
