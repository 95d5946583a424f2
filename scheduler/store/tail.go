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
	// readWait is how long a read waits for a record.
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
	// limits bound each read; the zero value stands for defaultReadLimits.
	limits readLimits
	// onSnapshot receives the newest record of every key, onChange the records
	// appended after it.
	onSnapshot func(ctx context.Context, items []api.Item) error
	onChange   func(ctx context.Context, items []api.Item) error

	next       fleet.Offset
	positioned bool // next is valid
	failing    bool // the last read failed
	patient    bool // the last read failed or took long, so that defaultReadLimits apply
}

// readLimits bound the time after which a connection that has gone silent is given up:
// wait and allowance, and readRetryInterval until the next read.
type readLimits struct {
	wait      time.Duration // for a record
	allowance time.Duration // for the response
}

var defaultReadLimits = readLimits{wait: readWait, allowance: readAllowance}

// currentLimits returns the limits of the next read. A store that answers late is given the
// default ones, so that its reads do not fail again and again.
func (t *tail) currentLimits() readLimits {
	if t.limits == (readLimits{}) || t.patient || !t.positioned {
		return defaultReadLimits
	}
	return t.limits
}

// readOnce reads once. It returns an error only if ctx has ended or a callback
// has failed.
func (t *tail) readOnce(ctx context.Context) error {
	began := time.Now()
	items, err := t.read(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	t.patient = err != nil || time.Since(began) > t.limits.wait+t.limits.allowance/2
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
	limits := t.currentLimits()
	ctx, cancel := context.WithTimeout(ctx, limits.wait+limits.allowance)
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
	items, next, err := t.store.Read(ctx, t.topic, t.next, limits.wait)
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
