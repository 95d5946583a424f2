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
	// readWait is how long a read of the log waits for a record.
	readWait = time.Second
	// readRetryMost bounds the pause after a failed read.
	readRetryMost = time.Second
)

// follower folds the stream `configuration` as entry instances do.
type follower struct {
	log  platformapi.Log
	next fleet.Offset
	fold configuration.Fold
}

func (a *app) follow() (*follower, error) {
	if a.options.Log == "" {
		return nil, failf(Usage, "the address of the log service is missing; give --log or LACEWINGFORK_LOG")
	}
	log, err := a.env.OpenLog(a.options.Log)
	if err != nil {
		return nil, coded(Usage, err)
	}
	return &follower{log: log, fold: configuration.NewFold()}, nil
}

// step reads once and reports whether the end of the stream was reached.
func (f *follower) step(ctx context.Context, poll time.Duration) (atEnd bool, err error) {
	batch, err := f.log.Read(ctx, entries.Stream, f.next, poll)
	if errors.Is(err, platformapi.ErrTruncated) {
		f.fold, f.next = f.fold.MarkTruncated(batch.Oldest), batch.Oldest
		return false, nil
	}
	if err != nil {
		return false, err
	}
	for _, record := range batch.Records {
		f.take(record)
	}
	f.next = batch.Next
	return batch.Next >= batch.End, nil
}

// take passes over what is not an entry of the stream, as entry instances do.
func (f *follower) take(record platformapi.Record) {
	list, err := records.Decode(record.Data)
	if err != nil {
		return
	}
	for i, entry := range list {
		at := configuration.Position{Offset: record.Offset, Index: i}
		// The verdict stays in the fold; an unreadable entry changes nothing there.
		f.fold, _, _ = entries.Apply(f.fold, at, entry.Data)
	}
}

// until reads until done reports true, and repeats failed reads until the
// context ends; the error is then that of the last read.
func (f *follower) until(ctx context.Context, poll time.Duration, done func(atEnd bool) bool) error {
	pauses := backoff.NewExponentialBackOff()
	pauses.MaxInterval = readRetryMost
	pauses.Reset()
	for {
		atEnd, err := f.step(ctx, poll)
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
func (a *app) readAll() (*follower, error) {
	f, err := a.follow()
	if err != nil {
		return nil, err
	}
	a.progress("reading the log")
	defer a.progress("")
	if err := f.until(a.ctx, 0, func(atEnd bool) bool { return atEnd }); err != nil {
		return nil, coded(Unreachable, errors.Wrap(err, "read the log"))
	}
	return f, nil
}

// catchUp is readAll for a stream whose state is known at its end.
func (a *app) catchUp() (*follower, error) {
	f, err := a.readAll()
	if err != nil {
		return nil, err
	}
	if f.fold.Missing {
		return nil, failf(Unreachable,
			"the log no longer holds the beginning of the stream, and no snapshot of an entry instance covers it; try again in a minute, or see config restore")
	}
	return f, nil
}

// verdict returns what became of a publication, if it was read.
func (f *follower) verdict(id string) *configuration.Result {
	for i, r := range f.fold.State.Results {
		if r.ID == id {
			return &f.fold.State.Results[i]
		}
	}
	return nil
}
