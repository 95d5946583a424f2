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
	// readPollTimeout is how long a read of the log waits for a new record.
	readPollTimeout = time.Second
	// maxReadBackoff is the longest pause after a failed read.
	maxReadBackoff = time.Second
)

// streamReader reads the stream `configuration` and folds it into a state in the
// same way as entry instances.
type streamReader struct {
	log  platformapi.Log
	next fleet.Offset // of the next record to read
	fold configuration.Fold
}

// openStream returns a reader at the beginning of the stream.
func (a *app) openStream() (*streamReader, error) {
	if a.options.Log == "" {
		return nil, failf(Usage, "no address of the log service given; set --log or LACEWINGFORK_LOG")
	}
	log, err := a.env.OpenLog(a.options.Log)
	if err != nil {
		return nil, withExitCode(Usage, err)
	}
	return &streamReader{log: log, fold: configuration.NewFold()}, nil
}

// readBatch reads one batch and reports whether it reached the end of the
// stream.
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

// apply folds a record into the state. Like entry instances, it skips whatever
// cannot be decoded.
func (s *streamReader) apply(record platformapi.Record) {
	list, err := records.Decode(record.Data)
	if err != nil {
		return
	}
	for i, entry := range list {
		at := configuration.Position{Offset: record.Offset, Index: i}
		// The fold keeps the verdict; an entry that cannot be decoded does not
		// change it.
		s.fold, _, _ = entries.Apply(s.fold, at, entry.Data)
	}
}

// readUntil reads until done reports true. It retries failed reads until the
// context ends, and then returns the error of the last read.
func (s *streamReader) readUntil(ctx context.Context, poll time.Duration, done func(atEnd bool) bool) error {
	backoffs := backoff.NewExponentialBackOff()
	backoffs.MaxInterval = maxReadBackoff
	backoffs.Reset()
	for {
		atEnd, err := s.readBatch(ctx, poll)
		if err == nil {
			backoffs.Reset()
			if done(atEnd) {
				return nil
			}
			continue
		}
		if !wait.For(ctx, backoffs.NextBackOff()) {
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

// catchUp reads the stream to its end and fails if the state in force cannot be
// determined from the records.
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

// verdict returns the verdict on a publication, or nil if it was not read.
func (s *streamReader) verdict(id string) *configuration.Result {
	for i, r := range s.fold.State.Results {
		if r.ID == id {
			return &s.fold.State.Results[i]
		}
	}
	return nil
}
