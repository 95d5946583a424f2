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
	// readTimeout is the allowance beyond the wait.
	readTimeout = 1200 * time.Millisecond
	// readRetry spaces reads that failed.
	readRetry = 300 * time.Millisecond
)

// tail follows one topic.
type tail struct {
	store api.Store
	log   *logs.Log
	topic api.Topic
	// pause spaces two reads, so that a busy topic costs few calls.
	pause time.Duration
	// whole takes the newest record of every key, changed what came after.
	whole   func(ctx context.Context, items []api.Item) error
	changed func(ctx context.Context, items []api.Item) error

	next  fleet.Offset
	known bool // next is valid
	lost  bool // the store does not answer
}

// step reads once. It returns an error only when the context has ended.
func (t *tail) step(ctx context.Context) error {
	items, err := t.read(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	t.noteHealth(err)
	switch {
	case errors.Is(err, api.ErrTrimmed):
		t.known = false
		return nil
	case err != nil:
		wait.For(ctx, readRetry)
		return ctx.Err()
	}
	if len(items) > 0 {
		if err := t.changed(ctx, items); err != nil {
			return err
		}
	}
	wait.For(ctx, t.pause)
	return ctx.Err()
}

// read returns the records since the last read; the first time, and after the
// history was dropped, it hands on the newest record of each key instead.
func (t *tail) read(ctx context.Context) ([]api.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, readWait+readTimeout)
	defer cancel()
	if !t.known {
		items, end, err := t.store.Newest(ctx, t.topic)
		if err != nil {
			return nil, err
		}
		t.next, t.known = end, true
		return nil, t.whole(ctx, items)
	}
	items, next, err := t.store.Read(ctx, t.topic, t.next, readWait)
	if err != nil {
		return nil, err
	}
	if next < t.next {
		t.known = false // the topic has begun anew
		return nil, nil
	}
	t.next = next
	return items, nil
}

func (t *tail) noteHealth(err error) {
	failed := err != nil && !errors.Is(err, api.ErrTrimmed)
	if failed == t.lost {
		return
	}
	t.lost = failed
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
			r.Answer(map[string]any{"topic": t.topic, "next": t.next, "known": t.known, "lost": t.lost})
		default:
		}
		if err := t.step(ctx); err != nil {
			return err
		}
	}
}
