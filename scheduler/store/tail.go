package store

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/internal/wait"
	"lacewingfork.example/lacewingfork/scheduler/api"
	"lacewingfork.example/lacewingfork/scheduler/logs"
	"lacewingfork.example/lacewingfork/supervise"
)

const (
	// readWait bounds a read that waits for a record. A connection that has
	// gone silent is noticed only at its end.
	readWait = 2 * time.Second
	// readAllowance is the allowance beyond the wait.
	readAllowance = 1200 * time.Millisecond
	// readRetryInterval spaces reads that failed.
	readRetryInterval = 300 * time.Millisecond
)

// tail follows one topic.
type tail struct {
	store api.Store
	log   *logs.Log
	topic api.Topic
	// interval spaces two reads, so that a busy topic costs few calls.
	interval time.Duration
	// onSnapshot takes the newest record of every key, changed what came after.
	onSnapshot func(ctx context.Context, items []api.Item) error
	onChange   func(ctx context.Context, items []api.Item) error

	next       fleet.Offset
	positioned bool // next is valid
	failing    bool // the store does not answer
}

// readOnce reads once. It returns an error only when the context has ended.
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

// read returns the records since the last read; the first time, and after the
// history was dropped, it hands on the newest record of each key instead.
func (t *tail) read(ctx context.Context) ([]api.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, readWait+readAllowance)
	defer cancel()
	if !t.positioned {
		items, end, err := t.store.Newest(ctx, t.topic)
		if err != nil {
			return nil, err
		}
		t.next, t.positioned = end, true
		return nil, t.onSnapshot(ctx, items)
	}
	items, next, err := t.store.Read(ctx, t.topic, t.next, readWait)
	if err != nil {
		return nil, err
	}
	if next < t.next {
		t.positioned = false // the topic has begun anew
		return nil, nil
	}
	t.next = next
	return items, nil
}

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

// run follows the topic until the context ends.
func (t *tail) run(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	for {
		select {
		case r := <-dumps:
			r.Answer(map[string]any{"topic": t.topic, "next": t.next, "known": t.positioned, "lost": t.failing})
		default:
		}
		if err := t.readOnce(ctx); err != nil {
			return err
		}
	}
}
