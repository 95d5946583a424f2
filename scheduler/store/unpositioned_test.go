package store

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/scheduler/api"
	"lacewingfork.example/lacewingfork/scheduler/logs"
)

// slowStore is a store behind a full link: the newest records take longer than the
// timeout of a read.
type slowStore struct {
	countedStore
	newestCalls int
}

func (s *slowStore) Newest(ctx context.Context, _ api.Topic) ([]api.Item, fleet.Offset, error) {
	s.newestCalls++
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// Guards against an instance that reads the whole configuration again and again over a
// full link, although the holder has passed it on.
func TestUnpositionedTailStopsReadingWhatIsPassedOn(t *testing.T) {
	store := &slowStore{}
	store.end.Store(4)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := NewConfigurations(nil, logs.New())
		ignore := func(context.Context, []api.Item) error { return nil }
		tail := configurationTail{
			tail:     tail{store: store, log: c.log, topic: api.OperatorTopic, onSnapshot: ignore, onChange: ignore},
			followed: c.Followed, received: c.received,
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = tail.run(ctx, nil)
		}()
		time.Sleep(time.Second)
		_ = c.Followed.Put(ctx, true)
		_ = c.received.Put(ctx, 4)
		time.Sleep(30 * time.Second)
		cancel()
		<-done
	})
	if store.newestCalls > 1 {
		t.Errorf("got %d reads of the newest records, want 1: the holder has passed on all records 1 s after the start", store.newestCalls)
	}
}
