package store

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/internal/clock"
	"lacewingfork.example/lacewingfork/scheduler/api"
	"lacewingfork.example/lacewingfork/scheduler/logs"
	"lacewingfork.example/lacewingfork/scheduler/message"
	"lacewingfork.example/lacewingfork/supervise"
)

// requestStore is a store with requests to evacuate data centres.
type requestStore struct {
	api.Store
	mu    sync.Mutex // guards the rest, which the test changes while the duty reads
	items []api.Item
	end   fleet.Offset
	fails bool
	reads int
}

func (s *requestStore) Newest(context.Context, api.Topic) ([]api.Item, fleet.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.fails {
		return nil, 0, errors.New("store fails")
	}
	return s.items, s.end, nil
}

// set replaces the requests and the end of the store.
func (s *requestStore) set(items []api.Item, end fleet.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.end = items, end
}

// fail makes all further reads fail.
func (s *requestStore) fail() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fails = true
}

func (s *requestStore) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// keyRecords decodes keys that are names of data centres.
type keyRecords struct{ api.RecordDecoder }

func (keyRecords) Evacuation(item api.Item) (fleet.DataCentre, bool, string) {
	return fleet.DataCentre(item.Key), true, ""
}

// Guards against a request that reaches the decisions late or not at all, against one
// that comes back after its withdrawal, and against a single failed read, as of a process
// that stood still, that counts as a silent store.
func TestEvacuationRequestsReachHolder(t *testing.T) {
	east := api.Item{Key: "east", Value: []byte("{}"), Offset: 4}
	withdrawn := api.Item{Key: "east", Offset: 5}
	for _, c := range []struct {
		name      string
		items     []api.Item // in the store at the first read, which ends at 5
		event     func(s *requestStore, records func(...api.Item))
		after     time.Duration
		evacuated string
		silent    bool
	}{
		{"requested before the role", []api.Item{east}, nil, time.Millisecond, "east", false},
		{"read by the tail", nil, func(_ *requestStore, records func(...api.Item)) {
			records(api.Item{Key: "west", Value: []byte("{}"), Offset: 5})
		}, time.Millisecond, "west", false},
		{"left out by the tail", nil, func(s *requestStore, _ func(...api.Item)) {
			s.set([]api.Item{{Key: "west", Value: []byte("{}"), Offset: 5}}, 6)
		}, evacuationReadInterval, "west", false},
		{"withdrawn", []api.Item{east}, func(_ *requestStore, records func(...api.Item)) { records(withdrawn) }, time.Millisecond, "", false},
		{"withdrawn and left out", []api.Item{east}, func(s *requestStore, _ func(...api.Item)) { s.set(nil, 6) }, evacuationReadInterval, "", false},
		{"tail repeats a request that was withdrawn", []api.Item{east}, func(s *requestStore, records func(...api.Item)) {
			s.set(nil, 6)
			time.Sleep(evacuationReadInterval)
			records(east)
		}, time.Millisecond, "", false},
		{"older page of the store", nil, func(_ *requestStore, records func(...api.Item)) {
			records(api.Item{Key: "west", Value: []byte("{}"), Offset: 5}) // the store still ends at 5
		}, 3 * evacuationReadInterval, "west", false},
		{"one read fails", []api.Item{east}, func(s *requestStore, _ func(...api.Item)) { s.fail() }, evacuationReadInterval, "east", false},
		{"reads fail", []api.Item{east}, func(s *requestStore, _ func(...api.Item)) { s.fail() }, evacuationReadInterval + readRetryInterval, "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				follow := supervise.NewRing[bool]("test.follow", 1, supervise.DropOldest)
				changes := supervise.NewStateRing[message.Evacuations]("test.changes")
				store := &requestStore{items: c.items, end: 5}
				tree := supervise.NewTree("test", supervise.DefaultIntensity, func(supervise.Event) {})
				e := NewEvacuations(tree, store, keyRecords{}, clock.New(), logs.New(), follow, changes)
				go func() { _ = e.run(ctx, nil) }()
				time.Sleep(time.Second)
				if reads := store.readCount(); reads > 0 {
					t.Errorf("got %d reads by an instance that is not the holder, want none", reads)
				}
				_ = follow.Put(ctx, true)
				time.Sleep(time.Millisecond)
				if c.event != nil {
					c.event(store, func(items ...api.Item) { _ = e.Records.Put(ctx, items) })
				}
				time.Sleep(c.after)
				got := <-changes.Items()
				var names []string
				for _, name := range got.DataCentres {
					names = append(names, string(name))
				}
				if strings.Join(names, " ") != c.evacuated || got.Unavailable != c.silent {
					t.Errorf("got %+v, want %q evacuated, store silent %t", got, c.evacuated, c.silent)
				}
			})
		})
	}
}

// Guards against memory that grows with each request and withdrawal of another name.
func TestWithdrawnRequestsAreForgotten(t *testing.T) {
	e := &Evacuations{records: keyRecords{}, log: logs.New()}
	state := newEvacuationState()
	for n := range 3 * maxWithdrawn {
		state.requests[fleet.DataCentre(rune(n))] = request{offset: fleet.Offset(n)}
	}
	e.applyNewest(state, []api.Item{{Key: "east", Value: []byte("{}"), Offset: 1}}, 1<<20)
	if len(state.requests) != 1 || !slices.Equal(state.evacuated(), []fleet.DataCentre{"east"}) {
		t.Errorf("got %d requests, want only the one in force", len(state.requests))
	}
}
