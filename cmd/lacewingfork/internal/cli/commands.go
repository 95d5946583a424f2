package cli

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
)

// command describes a command and its documentation.
type command struct {
	path        string // group and name, separated by a space
	arguments   string
	short, long string
	codes       []ExitCode // besides Success, Failure and Usage
	handler     flags.Commander
}

// groups are the commands that only contain subcommands.
var groups = []struct{ name, short string }{
	{"config", "check, publish and follow configurations"},
	{"job", "submit and follow batch jobs"},
	{"state", "inspect the duties of entry instances"},
}

// commands returns all commands in the order of the help text.
func (a *app) commands() []command {
	return []command{
		{
			"config check", "FILE", "check a configuration file", "Reports all errors in the file.",
			[]ExitCode{InvalidConfiguration},
			&configCheck{app: a},
		},
		{
			"config publish", "FILE --replaces VERSION", "publish a configuration",
			"Appends the configuration to the log and waits for the verdict. A repeated append under the same identifier has no effect, so after exit code 6 run the command again with --id.",
			[]ExitCode{InvalidConfiguration, Rejected, Unreachable, Unknown},
			&configPublish{app: a},
		},
		{
			"config show", "", "print the configuration in force", "Reads the log.",
			[]ExitCode{Unreachable, NotFound},
			&configShow{app: a},
		},
		{
			"config history", "", "print the newest publications and their verdicts", "Reads the log.",
			[]ExitCode{Unreachable},
			&configHistory{app: a},
		},
		{
			"config status", "", "print the version in force on each instance",
			"Queries every operations address; with --log the version in force is taken from the log, otherwise it is the newest version on any instance.",
			[]ExitCode{Unreachable, Unconfirmed},
			&configStatus{app: a},
		},
		{
			"config restore", "FILE --version VERSION", "restore a configuration after the log lost the stream",
			"Only for a log that dropped every snapshot because no entry instance ran for longer than its retention. Queries every operations address, and refuses while an instance or the log still has a version.",
			[]ExitCode{InvalidConfiguration, Rejected, Unreachable, Unknown},
			&configRestore{app: a},
		},
		{
			"job submit", "", "submit a batch job",
			"A repeated submission of the same identifier is the same job, so after exit code 6 run the command again with --id.",
			[]ExitCode{Rejected, Unreachable, Unknown},
			&jobSubmit{app: a},
		},
		{"job status", "ID", "print one job", "", []ExitCode{Rejected, Unreachable, NotFound}, &jobStatus{app: a}},
		{"job cancel", "ID", "cancel a job", "", []ExitCode{Rejected, Unreachable, Unknown, NotFound}, &jobCancel{app: a}},
		{"job list", "", "print all jobs", "", []ExitCode{Rejected, Unreachable}, &jobList{app: a}},
		{
			"state dump", "", "print the state of every duty as JSON", "Queries every operations address.",
			[]ExitCode{Unreachable},
			&stateDump{app: a},
		},
		{
			"state tables", "", "print the rings of every duty as a table", "Queries every operations address.",
			[]ExitCode{Unreachable},
			&stateTables{app: a},
		},
		{
			"explain", "ID", "print the decisions about a request, task, job, partition or backend server",
			"Queries every operations address and orders the events by time.",
			[]ExitCode{Unreachable, NotFound},
			&explain{app: a},
		},
		{
			"drain", "ADDRESS", "stop an entry instance without interrupting requests",
			"ADDRESS is its operations address.",
			[]ExitCode{Rejected, Unreachable, Unknown},
			&drain{app: a},
		},
		{"version", "", "print the version of this program", "", nil, &version{app: a}},
	}
}

// parser returns a parser for the options and all commands.
func (a *app) parser() (*flags.Parser, error) {
	parser := flags.NewParser(&a.options, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "lacewingfork"
	parents := map[string]*flags.Command{"": parser.Command}
	for _, g := range groups {
		group, err := parser.AddCommand(g.name, g.short, "", &struct{}{})
		if err != nil {
			return nil, errors.Wrap(err, g.name)
		}
		parents[g.name] = group
	}
	for _, c := range a.commands() {
		parent, name, nested := strings.Cut(c.path, " ")
		if !nested {
			parent, name = "", c.path
		}
		if _, err := parents[parent].AddCommand(name, c.short, c.long+"\n\n"+exitHelp(c.codes), c.handler); err != nil {
			return nil, errors.Wrap(err, c.path)
		}
	}
	return parser, nil
}

// allCodes adds the exit codes that every command has.
func allCodes(more []ExitCode) []ExitCode {
	return append([]ExitCode{Success, Failure, Usage}, more...)
}

// exitHelp renders the exit codes of a command for its help text.
func exitHelp(more []ExitCode) string {
	var b strings.Builder
	b.WriteString("Exit codes:")
	for _, code := range allCodes(more) {
		fmt.Fprintf(&b, "\n  %d  %s", code, exitMeanings[code])
	}
	return b.String()
}

// Reference renders all commands and exit codes as Markdown tables for the
// documentation.
func Reference() string {
	var b strings.Builder
	b.WriteString("| command | effect | exit codes |\n|---|---|---|\n")
	for _, c := range (&app{}).commands() {
		codes := strings.Trim(strings.ReplaceAll(fmt.Sprint(allCodes(c.codes)), " ", ", "), "[]")
		fmt.Fprintf(&b, "| `%s` | %s. %s | %s |\n", strings.TrimSpace(c.path+" "+c.arguments), c.short, c.long, codes)
	}
	b.WriteString("\n| exit code | meaning |\n|---|---|\n")
	for code, meaning := range exitMeanings {
		fmt.Fprintf(&b, "| %d | %s |\n", code, meaning)
	}
	return b.String()
}
