package election

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/internal/clock"
	"lacewingfork.example/lacewingfork/records/cellrecord"
	"lacewingfork.example/lacewingfork/scheduler/api"
	"lacewingfork.example/lacewingfork/scheduler/logs"
	"lacewingfork.example/lacewingfork/scheduler/message"
	"lacewingfork.example/lacewingfork/supervise"
)

// fakeStore is a store in which another instance holds the cell.
type fakeStore struct {
	mu        sync.Mutex
	holder    fleet.InstanceID
	end       fleet.Offset
	cellReads int
	claims    int
}

func (s *fakeStore) Append(_ context.Context, a api.Append) (fleet.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Topic != cellrecord.CellTopic {
		return 1, nil
	}
	if a.ExpectedEnd != s.end {
		return s.end, api.ErrEndMismatch
	}
	s.claims++
	s.end++
	return s.end, nil
}

func (s *fakeStore) Newest(_ context.Context, topic api.Topic) ([]api.Item, fleet.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	holder, err := cellrecord.EncodeValue(cellrecord.HolderKey, cellrecord.Holder{Epoch: 1 << 16, Round: 1, Instance: s.holder, Address: "holder"})
	if err != nil {
		return nil, 0, err
	}
	if topic == cellrecord.CellTopic {
		s.cellReads++
	}
	return []api.Item{holder}, s.end, nil
}

func (s *fakeStore) Read(context.Context, api.Topic, fleet.Offset, time.Duration) ([]api.Item, fleet.Offset, error) {
	return nil, 0, api.ErrUnavailable
}

func (s *fakeStore) End(ctx context.Context, _ api.Topic, beyond fleet.Offset, wait time.Duration) (fleet.Offset, error) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		end := s.end
		s.mu.Unlock()
		if end > beyond {
			return end, nil
		}
		select {
		case <-deadline:
			return end, nil
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (s *fakeStore) append() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end++
}

func (s *fakeStore) counts() (cellReads, claims int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cellReads, s.claims
}

// Guards against instances that read all records of the cell while its holder
// still appends. After a power loss of all instances, fifteen of them did so
// and saturated the link between the regions for half a minute (scenario
// asante-sockyard-grown, trouble-1, seed 207946457509). A holder that has
// stopped appending must still be replaced.
func TestCellIsReadOnlyAfterHolderStopsAppending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{end: 40, holder: "other"}
		defer startElection(store)()
		for range 100 { // the holder appends every 100 ms, but no link to it exists
			time.Sleep(100 * time.Millisecond)
			store.append()
		}
		if reads, claims := store.counts(); reads != 0 || claims != 0 {
			t.Errorf("cell was read %d times and claimed %d times while its holder appended, want 0 and 0", reads, claims)
		}
		time.Sleep(5 * time.Second)
		if reads, claims := store.counts(); reads != 1 || claims != 1 {
			t.Errorf("cell was read %d times and claimed %d times after its holder stopped appending, want 1 and 1", reads, claims)
		}
	})
}

// Guards against a cell without a holder for two seconds after a power loss of
// all instances, or after a kill of the holder's process, because the restarted
// instance waits for appends of its own earlier process.
func TestRestartedHolderClaimsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{end: 40, holder: "self"}
		defer startElection(store)()
		time.Sleep(300 * time.Millisecond)
		if _, claims := store.counts(); claims != 1 {
			t.Errorf("cell was claimed %d times within 300 ms of the start, want 1", claims)
		}
	})
}

// startElection runs the duty of the instance "self" until stop is called.
func startElection(store *fakeStore) (stop func()) {
	rings := NewRings()
	rings.Elected = supervise.NewRing[message.Elected]("elected", 1, supervise.DropOldest)
	rings.StoreOutage = supervise.NewRing[time.Duration]("silent", 1, supervise.DropOldest)
	rings.Members = []*supervise.Ring[[]cellrecord.Member]{supervise.NewRing[[]cellrecord.Member]("members", 1, supervise.DropOldest)}
	tree := supervise.NewTree("test", supervise.DefaultIntensity, func(supervise.Event) {})
	lines := logs.New()
	lines.Start(tree, io.Discard, "self", log.InfoLevel)
	New(rings, Settings{Instance: "self", Processor: 1}, store, clock.New(), lines).Start(tree)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = tree.Serve(ctx) // ends with the context
	}()
	return func() {
		cancel()
		<-ended
	}
}
