package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/findings"
	"lacewingfork.example/lacewingfork/platformapi"
	"lacewingfork.example/lacewingfork/records"
	entries "lacewingfork.example/lacewingfork/records/configuration"
)

// unconfirmedAppendTimeout is how long the stream is searched for a publication
// whose append was not confirmed. After that the append is retried with the same
// identifier.
const unconfirmedAppendTimeout = 3 * time.Second

// configPublish implements the command config publish.
type configPublish struct {
	app      *app
	Replaces int64        `long:"replaces" required:"yes" description:"version in force that this one replaces; 0 for the first"`
	Operator string       `long:"operator" env:"USER" required:"yes" description:"name of the operator who publishes"`
	ID       string       `long:"id" description:"identifier of the publication; repeat that of an earlier run to resume it; generated when missing"`
	Args     fileArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *configPublish) Execute([]string) error {
	text, err := c.app.loadConfiguration(c.Args.File)
	if err != nil {
		return err
	}
	if c.ID == "" {
		c.ID = c.app.env.NewID()
	}
	value, err := entries.Decode(c.Args.File, []byte(text))
	if err != nil {
		return withExitCode(InvalidConfiguration, err)
	}
	p := configuration.Publication{ID: c.ID, Replaces: c.Replaces, Operator: c.Operator, Text: text, Value: value}
	result, inForce, err := c.app.publish(p)
	if err != nil {
		return err
	}
	return c.app.reportVerdict(result, inForce)
}

// reportVerdict prints the verdict on a publication. A verdict other than
// Accepted is an error.
func (a *app) reportVerdict(r configuration.Result, inForce int64) error {
	text := describeVerdict(r, inForce)
	if a.options.JSON {
		if err := a.printJSON(entries.EncodeResults([]configuration.Result{r})[0]); err != nil {
			return err
		}
	} else if r.Verdict == configuration.Accepted {
		fmt.Fprintf(a.env.Stdout, "%s: %s\n", r.ID, text)
	}
	switch r.Verdict {
	case configuration.Accepted:
		return nil
	case configuration.Invalid:
		return withExitCode(InvalidConfiguration, errors.Wrap(&findings.Error{Findings: r.Findings}, text))
	default:
		return failf(Rejected, "%s", text)
	}
}

// publish appends a publication to the log and returns its verdict and the
// version in force. The identifier is fixed before the first append, so a
// repeated append has no effect. If the response to an append is lost, the
// publication is searched for in the stream.
func (a *app) publish(p configuration.Publication) (configuration.Result, int64, error) {
	var none configuration.Result
	s, err := a.catchUp()
	if err != nil {
		return none, 0, err
	}
	if r := s.verdict(p.ID); r != nil {
		return *r, s.fold.State.Version, nil
	}
	// A publication that would be rejected now is not appended.
	if _, r := s.fold.Publish(p, configuration.Position{Offset: s.next}); r.Verdict != configuration.Accepted {
		return *r, s.fold.State.Version, nil
	}
	record, err := encodeRecord(p)
	if err != nil {
		return none, 0, err
	}
	defer a.progress("")
	started := time.Now()
	for a.ctx.Err() == nil {
		_, err = s.log.Append(a.ctx, entries.Stream, record)
		if errors.Is(err, platformapi.ErrInvalid) {
			return none, 0, errors.Wrap(err, "append")
		}
		if r := a.awaitVerdict(s, p.ID, err == nil, started); r != nil {
			return *r, s.fold.State.Version, nil
		}
	}
	return none, 0, failf(Unknown,
		"no verdict on publication %s within %v; it may still come into force; run the command again with --id %s", p.ID, a.options.Timeout, p.ID)
}

// encodeRecord encodes a publication as a record of the stream.
func encodeRecord(p configuration.Publication) ([]byte, error) {
	data, err := entries.EncodePublication(p)
	if err != nil {
		return nil, withExitCode(Usage, err)
	}
	record, err := records.Encode([]records.Entry{{ID: p.ID, Data: data}})
	if err != nil {
		return nil, withExitCode(Usage, err)
	}
	return record, nil
}

// awaitVerdict reads the stream until it holds the verdict. When the append was
// not confirmed, it returns nil after unconfirmedAppendTimeout, so that the
// append can be retried.
func (a *app) awaitVerdict(s *streamReader, id string, confirmed bool, started time.Time) *configuration.Result {
	ctx := a.ctx
	if !confirmed {
		limited, cancel := context.WithTimeout(ctx, unconfirmedAppendTimeout)
		defer cancel()
		ctx = limited
	}
	var found *configuration.Result
	// The error of the last read is ignored: without a verdict the caller retries
	// the append, or reports that the outcome is unknown.
	_ = s.readUntil(ctx, readPollTimeout, func(bool) bool {
		a.progress("waiting for the verdict on %s, %d s", id, int(time.Since(started).Seconds()))
		found = s.verdict(id)
		return found != nil || ctx.Err() != nil
	})
	return found
}
