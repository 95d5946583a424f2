package cli

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/findings"
	entries "lacewingfork.example/lacewingfork/records/configuration"
)

// fileArgument is the positional argument of commands that read a configuration.
type fileArgument struct {
	File string `positional-arg-name:"FILE" description:"configuration in TOML"`
}

// configCheck implements the command config check.
type configCheck struct {
	app  *app
	Args fileArgument `positional-args:"yes" required:"yes"`
}

// checkOutput is the JSON output of config check.
type checkOutput struct {
	Valid    bool          `json:"valid"`
	Findings findings.List `json:"findings,omitempty"`
}

// Execute implements flags.Commander.
func (c *configCheck) Execute([]string) error {
	_, err := c.app.loadConfiguration(c.Args.File)
	if err == nil {
		return c.app.print(checkOutput{Valid: true}, table{head: []string{c.Args.File + ": no findings"}})
	}
	var report *findings.Error
	if !errors.As(err, &report) || !c.app.options.JSON {
		return err
	}
	if err := c.app.printJSON(checkOutput{Findings: report.Findings}); err != nil {
		return err
	}
	return failf(InvalidConfiguration, "%d findings", len(report.Findings))
}

// loadConfiguration reads a configuration file and returns its text if it is
// valid.
func (a *app) loadConfiguration(file string) (string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", errors.Wrap(err, "read configuration")
	}
	if _, err := entries.Decode(file, text); err != nil {
		return "", withExitCode(InvalidConfiguration, err)
	}
	return string(text), nil
}

// configShow implements the command config show.
type configShow struct{ app *app }

// showOutput is the JSON output of config show and config restore.
type showOutput struct {
	Version  int64  `json:"version"`
	ID       string `json:"id"`
	Operator string `json:"operator"`
	TOML     string `json:"toml"`
}

// Execute implements flags.Commander.
func (c *configShow) Execute([]string) error {
	s, err := c.app.catchUp()
	if err != nil {
		return err
	}
	state := s.fold.State
	if state.Version == 0 {
		return failf(NotFound, "no configuration has been published yet")
	}
	if c.app.options.JSON {
		return c.app.printJSON(showOutput{state.Version, state.InForce.ID, state.InForce.Operator, state.InForce.Text})
	}
	fmt.Fprintf(c.app.env.Stdout, "# version %d, published by %s as %s\n%s",
		state.Version, state.InForce.Operator, state.InForce.ID, state.InForce.Text)
	return nil
}

// configHistory implements the command config history.
type configHistory struct{ app *app }

// Execute implements flags.Commander.
func (c *configHistory) Execute([]string) error {
	s, err := c.app.catchUp()
	if err != nil {
		return err
	}
	results := entries.EncodeResults(s.fold.State.Results)
	if results == nil {
		results = []entries.Result{}
	}
	t := table{head: []string{"OFFSET", "ID", "OPERATOR", "REPLACES", "VERDICT", "VERSION", "WINNER", "FINDINGS"}}
	for _, r := range results {
		version, winner := "-", "-"
		if r.Version > 0 {
			version = fmt.Sprint(r.Version)
		}
		if r.WinnerID != "" {
			winner = r.WinnerOperator + " (" + r.WinnerID + ")"
		}
		t.add(r.Offset, r.ID, r.Operator, r.Replaces, r.Verdict, version, winner, len(r.Findings))
	}
	return c.app.print(results, t)
}

// describeVerdict describes the verdict on a publication.
func describeVerdict(r configuration.Result, inForce int64) string {
	switch r.Verdict {
	case configuration.Accepted:
		return fmt.Sprintf("accepted as version %d", r.Version)
	case configuration.LostRace:
		winner := "another publication"
		if r.WinnerID != "" {
			winner = fmt.Sprintf("publication %s of %s", r.WinnerID, r.WinnerOperator)
		}
		return fmt.Sprintf("not accepted: version %d was replaced by %s; version %d is in force", r.Replaces, winner, inForce)
	case configuration.Ahead:
		return fmt.Sprintf("not accepted: version %d was not in force; version %d is", r.Replaces, inForce)
	default:
		return "not accepted: it has findings"
	}
}
