package store

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/internal/wait"
	"lacewingfork.example/lacewingfork/scheduler/api"
	"lacewingfork.example/lacewingfork/scheduler/logs"
)

const (
	// readWait is how long a read waits for a record. A dead connection is
	// detected only after it.
	readWait = 2 * time.Second
	// readAllowance is added to readWait to form the timeout of a read.
	readAllowance = 1200 * time.Millisecond
	// readRetryInterval is the time between reads after a failure.
	readRetryInterval = 300 * time.Millisecond
)

// tail follows one topic.
type tail struct {
	store api.Store
	log   *logs.Log
	topic api.Topic
	// interval is the time between two reads. It limits the calls for a busy
	// topic.
	interval time.Duration
	// onSnapshot receives the newest record of every key, onChange the records
	// appended after it.
	onSnapshot func(ctx context.Context, items []api.Item) error
	onChange   func(ctx context.Context, items []api.Item) error

	next       fleet.Offset
	positioned bool // next is valid
	failing    bool // the last read failed
}

// readOnce reads once. It returns an error only if ctx has ended or a callback
// has failed.
func (t *tail) readOnce(ctx context.Context) error {
	items, err := t.read(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	t.logHealth(err)
	switch {
	case errors.Is(err, api.ErrTrimmed):
		t.positioned = false
		return nil
	case err != nil:
		wait.For(ctx, readRetryInterval)
		return ctx.Err()
	}
	if len(items) > 0 {
		if err := t.onChange(ctx, items); err != nil {
			return err
		}
	}
	wait.For(ctx, t.interval)
	return ctx.Err()
}

// read returns the records since the last read. The first time, and after the
// history has expired, it passes the newest record of each key to onSnapshot
// instead.
func (t *tail) read(ctx context.Context) ([]api.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, readWait+readAllowance)
	defer cancel()
	if !t.positioned {
		items, end, err := t.store.Newest(ctx, t.topic)
		if err != nil {
			return nil, err
		}
		if err := t.onSnapshot(ctx, items); err != nil {
			return nil, err
		}
		t.next, t.positioned = end, true
		return nil, nil
	}
	items, next, err := t.store.Read(ctx, t.topic, t.next, readWait)
	if err != nil {
		return nil, err
	}
	if next < t.next {
		t.positioned = false // the topic was recreated
		return nil, nil
	}
	t.next = next
	return items, nil
}

// logHealth logs when reads begin to fail and when they succeed again.
func (t *tail) logHealth(err error) {
	failed := err != nil && !errors.Is(err, api.ErrTrimmed)
	if failed == t.failing {
		return
	}
	t.failing = failed
	if failed {
		t.log.Event("dependency_lost", "dependency", "store/"+string(t.topic), "error", err)
		return
	}
	t.log.Event("dependency_regained", "dependency", "store/"+string(t.topic))
}
