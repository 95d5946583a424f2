// Package cli implements the command line for operators. The main package passes
// it the arguments and the process's streams. It holds no state beyond one
// command, and every failure maps to one of the exit codes below.
package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"lacewingfork.example/lacewingfork/findings"
	"lacewingfork.example/lacewingfork/platformapi"
)

// ExitCode is the exit code of the process.
type ExitCode int

// Exit codes. They are part of the command line's interface.
const (
	Success              ExitCode = 0
	Failure              ExitCode = 1 // the command could not be carried out
	Usage                ExitCode = 2 // unknown command or option, or a wrong value
	InvalidConfiguration ExitCode = 3 // the configuration has findings
	Rejected             ExitCode = 4 // another publication was accepted first, or an entry instance refused
	Unreachable          ExitCode = 5 // the log or an entry instance did not respond
	Unknown              ExitCode = 6 // no verdict before the timeout; it may still take effect
	Unconfirmed          ExitCode = 7 // an instance has not confirmed the version in force
	NotFound             ExitCode = 8 // no such job, or no record of the identifier
)

// exitMeanings are the descriptions of the exit codes in the help texts and in
// docs/OPERATIONS.md.
var exitMeanings = []string{
	Success:              "success",
	Failure:              "the command could not be carried out",
	Usage:                "unknown command or option, or a wrong value",
	InvalidConfiguration: "the configuration has findings; all of them are printed",
	Rejected:             "another publication was accepted first, or an entry instance refused the request",
	Unreachable:          "the log or an entry instance did not respond; the responses received are printed",
	Unknown:              "no verdict before the timeout; the command may still take effect",
	Unconfirmed:          "an instance has not confirmed the version in force",
	NotFound:             "no such job, or no record of the identifier",
}

// exitError is an error with an exit code.
type exitError struct {
	code ExitCode
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// failf returns a formatted error with an exit code.
func failf(code ExitCode, format string, values ...any) error {
	return &exitError{code: code, err: errors.Errorf(format, values...)}
}

// withExitCode adds an exit code to an error.
func withExitCode(code ExitCode, err error) error { return &exitError{code: code, err: err} }

// Environment holds what a command uses of its process.
type Environment struct {
	Stdout, Stderr io.Writer
	// Terminal is set when Stderr is a terminal. Progress is shown only then.
	Terminal bool
	// OpenLog returns a client of the log service at a base URL.
	OpenLog func(baseURL string) (platformapi.Log, error)
	// HTTP sends the requests to entry instances.
	HTTP *http.Client
	// NewID returns a new identifier for a publication or job.
	NewID func() string
}

type globalOptions struct {
	JSON       bool          `long:"json" description:"print JSON instead of a table"`
	Log        string        `long:"log" env:"LACEWINGFORK_LOG" description:"base URL of the log service, such as http://127.0.0.1:7000"`
	Operations []string      `long:"operations" env:"LACEWINGFORK_OPERATIONS" env-delim:"," description:"operations address (host:port) of an entry instance; repeat it for each"`
	Callers    []string      `long:"callers" env:"LACEWINGFORK_CALLERS" env-delim:"," description:"callers' address (host:port) of an entry instance; repeat it for each"`
	Timeout    time.Duration `long:"timeout" default:"30s" description:"time limit of the whole command"`
}

// app holds the state of one run of the command line.
type app struct {
	env     Environment
	ctx     context.Context
	options globalOptions
}

// Run carries out one command and returns the exit code.
func Run(ctx context.Context, args []string, env Environment) ExitCode {
	a := &app{env: env, ctx: ctx}
	parser, err := a.parser()
	if err != nil {
		fmt.Fprintln(env.Stderr, "error:", err)
		return Failure
	}
	parser.CommandHandler = func(command flags.Commander, rest []string) error {
		if len(rest) > 0 {
			return failf(Usage, "unexpected argument %q", rest[0])
		}
		timeoutCtx, cancel := context.WithTimeout(ctx, a.options.Timeout)
		defer cancel()
		a.ctx = timeoutCtx
		return command.Execute(rest)
	}
	_, err = parser.ParseArgs(args)
	return a.exit(err)
}

// exit prints an error and returns its exit code.
func (a *app) exit(err error) ExitCode {
	var coded *exitError
	var usage *flags.Error
	var report *findings.Error
	if errors.As(err, &report) {
		fmt.Fprintln(a.env.Stderr, report)
		err = failf(exitCodeOf(err), "%d findings", len(report.Findings))
	}
	switch {
	case err == nil:
		return Success
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(a.env.Stdout, usage.Message)
		return Success
	case errors.As(err, &usage):
		fmt.Fprintln(a.env.Stderr, "error:", usage.Message)
		return Usage
	case errors.As(err, &coded):
		fmt.Fprintln(a.env.Stderr, "error:", err)
		return coded.code
	}
	fmt.Fprintln(a.env.Stderr, "error:", err)
	return Failure
}
