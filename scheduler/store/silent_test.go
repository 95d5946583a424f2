package store

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lacewingfork.example/lacewingfork/decision/cell"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/scheduler/api"
	"lacewingfork.example/lacewingfork/scheduler/logs"
	"lacewingfork.example/lacewingfork/scheduler/message"
	"lacewingfork.example/lacewingfork/supervise"
)

// silentStore is a store on whose connections reads go without an answer for a time. Later
// reads are answered with one entry after a delay.
type silentStore struct {
	api.Store
	silent   int           // reads that get no answer
	delay    time.Duration // of the answers
	reads    int
	answered int // reads that were answered
}

func (s *silentStore) Newest(context.Context, api.Topic) ([]api.Item, fleet.Offset, error) {
	return nil, 1, nil
}

func (s *silentStore) Read(ctx context.Context, _ api.Topic, from fleet.Offset, _ time.Duration) ([]api.Item, fleet.Offset, error) {
	s.reads++
	if s.reads <= s.silent {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	select {
	case <-time.After(s.delay):
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	s.answered++
	return []api.Item{{Key: "server-1", Value: []byte("draining")}}, from + 1, nil
}

// drainingEntries decodes every entry as that of a draining server.
type drainingEntries struct{ api.RecordDecoder }

func (drainingEntries) Server(api.Item) (cell.Server, bool, string) {
	return cell.Server{ID: "server-1", Draining: true}, true, ""
}

// followServers runs the duty that follows the server list for a time and returns when the
// first change after the list arrived, 0 if none did.
func followServers(t *testing.T, store *silentStore, duration time.Duration) (noticed time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		changes := supervise.NewRing[message.ServerChange]("changes", 64, supervise.Wait)
		s := &Servers{
			store: store, records: drainingEntries{}, log: logs.New(), changes: changes,
			Follow: supervise.NewRing[bool]("servers.wanted", 1, supervise.DropOldest),
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = s.run(ctx, nil)
		}()
		began := time.Now()
		_ = s.Follow.Put(ctx, true)
		for time.Since(began) < duration {
			select {
			case c := <-changes.Items():
				if !c.Full && noticed == 0 {
					noticed = time.Since(began)
				}
			case <-time.After(100 * time.Millisecond):
			}
		}
		cancel()
		<-done
	})
	return noticed
}

// Guards against starts on a draining server because the connection on which its report
// would arrive has gone silent (DRAIN).
func TestDrainingServerIsNoticedOnSilentConnection(t *testing.T) {
	const drainTime, timeToAct = 2500 * time.Millisecond, 300 * time.Millisecond
	noticed := followServers(t, &silentStore{silent: 1}, 8*time.Second)
	if limit := drainTime - timeToAct; noticed == 0 || noticed > limit { // the silence begins right after a read
		t.Errorf("noticed after %v, want at most %v", noticed, limit)
	}
}

// Guards against a server list that is never read from a store that answers late.
func TestServerListIsReadFromSlowStore(t *testing.T) {
	store := &silentStore{delay: 1800 * time.Millisecond}
	if noticed := followServers(t, store, 20*time.Second); noticed == 0 || noticed > 5*time.Second {
		t.Errorf("first change after %v, want one within 5 s", noticed)
	}
	if store.answered < 6 || store.answered < store.reads-3 {
		t.Errorf("%d of %d reads were answered in 20 s, want nearly all", store.answered, store.reads)
	}
}
