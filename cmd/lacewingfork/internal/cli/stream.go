package cli

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/internal/wait"
	"lacewingfork.example/lacewingfork/platformapi"
	"lacewingfork.example/lacewingfork/records"
	entries "lacewingfork.example/lacewingfork/records/configuration"
)

const (
	// readPollTimeout is how long a read of the log waits for a record.
	readPollTimeout = time.Second
	// maxReadBackoff bounds the pause after a failed read.
	maxReadBackoff = time.Second
)

// streamReader folds the stream `configuration` as entry instances do.
type streamReader struct {
	log  platformapi.Log
	next fleet.Offset
	fold configuration.Fold
}

func (a *app) openStream() (*streamReader, error) {
	if a.options.Log == "" {
		return nil, failf(Usage, "the address of the log service is missing; give --log or LACEWINGFORK_LOG")
	}
	log, err := a.env.OpenLog(a.options.Log)
	if err != nil {
		return nil, withExitCode(Usage, err)
	}
	return &streamReader{log: log, fold: configuration.NewFold()}, nil
}

// readBatch reads once and reports whether the end of the stream was reached.
func (s *streamReader) readBatch(ctx context.Context, poll time.Duration) (atEnd bool, err error) {
	batch, err := s.log.Read(ctx, entries.Stream, s.next, poll)
	if errors.Is(err, platformapi.ErrTruncated) {
		s.fold, s.next = s.fold.MarkTruncated(batch.Oldest), batch.Oldest
		return false, nil
	}
	if err != nil {
		return false, err
	}
	for _, record := range batch.Records {
		s.apply(record)
	}
	s.next = batch.Next
	return batch.Next >= batch.End, nil
}

// apply passes over what is not an entry of the stream, as entry instances do.
func (s *streamReader) apply(record platformapi.Record) {
	list, err := records.Decode(record.Data)
	if err != nil {
		return
	}
	for i, entry := range list {
		at := configuration.Position{Offset: record.Offset, Index: i}
		// The verdict stays in the fold; an unreadable entry changes nothing there.
		s.fold, _, _ = entries.Apply(s.fold, at, entry.Data)
	}
}

// readUntil reads readUntil done reports true, and repeats failed reads readUntil the
// context ends; the error is then that of the last read.
func (s *streamReader) readUntil(ctx context.Context, poll time.Duration, done func(atEnd bool) bool) error {
	pauses := backoff.NewExponentialBackOff()
	pauses.MaxInterval = maxReadBackoff
	pauses.Reset()
	for {
		atEnd, err := s.readBatch(ctx, poll)
		if err == nil {
			pauses.Reset()
			if done(atEnd) {
				return nil
			}
			continue
		}
		if !wait.For(ctx, pauses.NextBackOff()) {
			return err
		}
	}
}

// readAll reads the stream to its end.
func (a *app) readAll() (*streamReader, error) {
	s, err := a.openStream()
	if err != nil {
		return nil, err
	}
	a.progress("reading the log")
	defer a.progress("")
	if err := s.readUntil(a.ctx, 0, func(atEnd bool) bool { return atEnd }); err != nil {
		return nil, withExitCode(Unreachable, errors.Wrap(err, "read the log"))
	}
	return s, nil
}

// catchUp is readAll for a stream whose state is known at its end.
func (a *app) catchUp() (*streamReader, error) {
	s, err := a.readAll()
	if err != nil {
		return nil, err
	}
	if s.fold.Missing {
		return nil, failf(Unreachable,
			"the log no longer holds the beginning of the stream, and no snapshot of an entry instance covers it; try again in a minute, or see config restore")
	}
	return s, nil
}

// verdict returns what became of a publication, if it was read.
func (s *streamReader) verdict(id string) *configuration.Result {
	for i, r := range s.fold.State.Results {
		if r.ID == id {
			return &s.fold.State.Results[i]
		}
	}
	return nil
}
