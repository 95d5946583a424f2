package cli

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/operationsapi"
	"lacewingfork.example/lacewingfork/platformapi"
	"lacewingfork.example/lacewingfork/records"
	entries "lacewingfork.example/lacewingfork/records/configuration"
)

// configRestore implements the command config restore. It is for a stream that no
// longer holds a snapshot, because no entry instance ran for a period longer than
// the log's retention.
type configRestore struct {
	app      *app
	Version  int64        `long:"version" required:"yes" description:"version that the configuration gets; at least the newest one that was ever in force"`
	Operator string       `long:"operator" env:"USER" required:"yes" description:"name of the operator who restores"`
	Args     fileArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *configRestore) Execute([]string) error {
	if c.Version < 1 {
		return failf(Usage, "invalid version %d, expected at least 1", c.Version)
	}
	text, err := c.app.loadConfiguration(c.Args.File)
	if err != nil {
		return err
	}
	if err := c.app.checkNoInstanceHasVersion(); err != nil {
		return err
	}
	s, err := c.app.readAll()
	if err != nil {
		return err
	}
	if !s.fold.Missing {
		return failf(Rejected, "the log still holds the stream, with version %d in force; publish instead", s.fold.State.Version)
	}
	id := c.app.env.NewID()
	state := configuration.State{
		Version: c.Version, Through: configuration.Position{Offset: s.next - 1},
		InForce: configuration.Publication{ID: id, Replaces: c.Version - 1, Operator: c.Operator, Text: text},
	}
	if err := c.app.restore(s, id, state); err != nil {
		return err
	}
	output := showOutput{Version: c.Version, ID: id, Operator: c.Operator, TOML: text}
	return c.app.print(output, table{head: []string{fmt.Sprintf("%s: restored as version %d", id, c.Version)}})
}

// checkNoInstanceHasVersion returns an error if an instance is unreachable or
// still has a configuration. Such an instance writes it to the log on its own.
func (a *app) checkNoInstanceHasVersion() error {
	replies, err := queryAll[operationsapi.Status](a, "/v1/status")
	if err != nil {
		return err
	}
	if err := unreachableError(replies); err != nil {
		return err
	}
	for _, r := range replies {
		if r.Answer.ConfigurationVersion > 0 {
			return failf(Rejected, "%s has version %d and will write it to the log on its own", r.Address, r.Answer.ConfigurationVersion)
		}
	}
	return nil
}

// restore appends a snapshot and reads it back. Instances apply the first
// snapshot that covers the records they lack; a later one has no effect.
func (a *app) restore(s *streamReader, id string, state configuration.State) error {
	data, err := entries.EncodeSnapshot(state)
	if err != nil {
		return err
	}
	record, err := records.Encode([]records.Entry{{ID: id, Data: data}})
	if err != nil {
		return err
	}
	started := time.Now()
	defer a.progress("")
	_, appendErr := s.log.Append(a.ctx, entries.Stream, record)
	if errors.Is(appendErr, platformapi.ErrInvalid) {
		return errors.Wrap(appendErr, "append")
	}
	err = s.readUntil(a.ctx, readPollTimeout, func(bool) bool {
		a.progress("waiting for the snapshot, %d s", int(time.Since(started).Seconds()))
		return !s.fold.Missing || a.ctx.Err() != nil
	})
	switch {
	case s.fold.Missing:
		return withExitCode(Unknown, errors.Errorf("the snapshot was not read back (append: %v, read: %v); run the command again", appendErr, err))
	case s.fold.State.InForce.ID != id:
		return failf(Rejected, "%s restored version %d first", s.fold.State.InForce.Operator, s.fold.State.Version)
	}
	return nil
}
