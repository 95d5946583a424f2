package store

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/scheduler/api"
	"lacewingfork.example/lacewingfork/scheduler/logs"
)

// countedStore is a store with one topic. It counts the records that are read.
type countedStore struct {
	api.Store
	end         atomic.Int64
	recordsRead int
}

func (s *countedStore) Newest(context.Context, api.Topic) ([]api.Item, fleet.Offset, error) {
	return nil, fleet.Offset(s.end.Load()), nil
}

func (s *countedStore) Read(_ context.Context, _ api.Topic, from fleet.Offset, wait time.Duration) ([]api.Item, fleet.Offset, error) {
	end := fleet.Offset(s.end.Load())
	if from >= end {
		time.Sleep(wait) // in a synctest bubble
		return nil, from, nil
	}
	s.recordsRead += int(end - from)
	return []api.Item{{Key: "publication", Value: []byte("{}"), Offset: end - 1}}, end, nil
}

func (s *countedStore) End(_ context.Context, _ api.Topic, beyond fleet.Offset, wait time.Duration) (fleet.Offset, error) {
	if beyond >= fleet.Offset(s.end.Load()) {
		time.Sleep(wait) // in a synctest bubble
	}
	return fleet.Offset(s.end.Load()), nil
}

// tailOutcome is what a tail has done some time after a publication.
type tailOutcome struct {
	recordsRead int
	forwarded   int
}

// followPublication runs a tail that follows a linked instance, publishes a record
// and lets a peer pass it on if passOn is set. unlink ends the link right before.
func followPublication(t *testing.T, passOn, unlink bool, after time.Duration) (outcome tailOutcome) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := &countedStore{}
		store.end.Store(3)
		c := NewConfigurations(nil, logs.New())
		forward := func(_ context.Context, items []api.Item) error {
			outcome.forwarded += len(items)
			return nil
		}
		tail := configurationTail{
			tail:     tail{store: store, log: c.log, topic: api.OperatorTopic, onSnapshot: forward, onChange: forward},
			followed: c.Followed, received: c.received,
		}
		_ = c.Followed.Put(ctx, true)
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = tail.run(ctx, nil)
		}()
		time.Sleep(10 * time.Second)
		if unlink {
			_ = c.Followed.Put(ctx, false)
		}
		store.end.Store(4)
		if passOn {
			time.Sleep(300 * time.Millisecond)
			_ = c.received.Put(ctx, 4)
		}
		time.Sleep(after)
		cancel()
		<-done
		outcome.recordsRead = store.recordsRead
	})
	return outcome
}

// Guards against reading from the store what the holder has passed on.
func TestPassedOnConfigurationIsNotRead(t *testing.T) {
	if got := followPublication(t, true, false, 10*time.Second); got.recordsRead != 0 {
		t.Errorf("got %d records read, want 0", got.recordsRead)
	}
}

// Guards against a configuration that stays unknown because the holder does not pass
// it on: it has to be in force 2.5 s after its publication.
func TestConfigurationThatIsNotPassedOnIsRead(t *testing.T) {
	for _, unlink := range []bool{false, true} {
		if got := followPublication(t, false, unlink, 2*time.Second); got.forwarded != 1 {
			t.Errorf("link ended %t: got %d records forwarded 2 s after the publication, want 1", unlink, got.forwarded)
		}
	}
}
