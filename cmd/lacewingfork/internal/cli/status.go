package cli

import (
	"fmt"

	"lacewingfork.example/lacewingfork/operationsapi"
)

// configStatus implements the command config status.
type configStatus struct{ app *app }

// statusOutput is the JSON output of config status.
type statusOutput struct {
	// Version is the version in force: that of the log or, without --log, the
	// newest version of any instance.
	Version     int64                         `json:"version"`
	Instances   []reply[operationsapi.Status] `json:"instances"`
	Unconfirmed []string                      `json:"unconfirmed"` // addresses
}

// Execute implements flags.Commander.
func (c *configStatus) Execute([]string) error {
	replies, err := queryAll[operationsapi.Status](c.app, "/v1/status")
	if err != nil {
		return err
	}
	output := statusOutput{Instances: replies, Unconfirmed: []string{}}
	if output.Version, err = c.version(replies); err != nil {
		return err
	}
	t := table{head: []string{"ADDRESS", "INSTANCE", "REGION", "DATA CENTRE", "READY", "VERSION", "CONFIRMED", "PARTITIONS"}}
	for _, r := range replies {
		s := r.Answer
		confirmed := r.err == nil && s.ConfigurationVersion >= output.Version
		if !confirmed {
			output.Unconfirmed = append(output.Unconfirmed, r.Address)
		}
		if r.err != nil {
			t.add(r.Address, "-", "-", "-", "-", "-", "no answer", "-")
			continue
		}
		t.add(r.Address, s.Instance, s.Region, s.DataCentre, s.Ready, s.ConfigurationVersion, confirmed, len(s.Partitions))
	}
	if err := c.app.print(output, t); err != nil {
		return err
	}
	if err := unreachableError(replies); err != nil {
		return err
	}
	if n := len(output.Unconfirmed); n > 0 {
		return failf(Unconfirmed, "version %d is not confirmed by %d of %d instances", output.Version, n, len(replies))
	}
	return nil
}

// version returns the version in force.
func (c *configStatus) version(replies []reply[operationsapi.Status]) (int64, error) {
	newest := int64(0)
	for _, r := range replies {
		newest = max(newest, r.Answer.ConfigurationVersion)
	}
	if c.app.options.Log == "" {
		return newest, nil
	}
	s, err := c.app.catchUp()
	if err != nil {
		return 0, err
	}
	// An instance may have read further in the meantime.
	return max(newest, s.fold.State.Version), nil
}

// idArgument is the identifier of a job or of another subject of explain.
type idArgument struct {
	ID string `positional-arg-name:"ID"`
}

// version implements the command version.
type version struct{ app *app }

// Execute implements flags.Commander.
func (c *version) Execute([]string) error {
	info := buildVersion()
	return c.app.print(info, table{head: []string{fmt.Sprintf("lacewingfork %s (%s, %s)", info.Version, info.Revision, info.Go)}})
}
