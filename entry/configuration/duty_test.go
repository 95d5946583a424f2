package configuration

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	records "lacewingfork.example/lacewingfork/records/configuration"
	"lacewingfork.example/lacewingfork/supervise"
)

// bench runs one duty under a tree with rings that the test holds.
type bench struct {
	t          *testing.T
	rings      Rings
	tree       *supervise.Tree
	subscriber *message.ConfigurationRing
	duty       supervise.Duty
	running    supervise.Running
	done       chan error
	stop       context.CancelFunc
}

func start(t *testing.T, settings Settings) *bench {
	b := &bench{
		t: t, rings: NewRings(), done: make(chan error, 1),
		subscriber: supervise.NewRing[message.ConfigurationInForce]("subscriber", 1, supervise.DropOldest),
		tree:       supervise.NewTree("test", supervise.DefaultIntensity, func(supervise.Event) {}),
	}
	b.rings.Subscribers = []*message.ConfigurationRing{b.subscriber}
	b.rings.Rewinds = supervise.NewRing[message.Rewind]("rewinds", 1, supervise.DropOldest)
	b.rings.PeerRequests = supervise.NewRing[message.ConfigurationRequest]("asks", 1, supervise.DropOldest)
	b.rings.Appends = supervise.NewRing[message.Append]("appends", 4, supervise.Refuse)
	b.duty = New(settings, b.rings)
	b.running = b.tree.Start(b.duty)
	ctx, cancel := context.WithCancel(t.Context())
	b.stop = cancel
	go func() { b.done <- b.tree.Serve(ctx) }()
	return b
}

func (b *bench) end() {
	b.stop()
	<-b.done
}

// read delivers entries from an offset on as one batch and waits until they
// are folded.
func (b *bench) read(from int, batch message.LogRecords, entries ...[]byte) {
	for i, data := range entries {
		batch.Records = append(batch.Records, message.LogEntry{Offset: fleet.Offset(from + i), Data: data})
	}
	batch.From, batch.Next = fleet.Offset(from), fleet.Offset(from+len(entries))
	_ = b.rings.Log.Put(b.t.Context(), batch)
	synctest.Wait()
}

// taken returns what a ring holds, or the zero value.
func taken[T any](ring *supervise.Ring[T]) (item T) {
	synctest.Wait()
	select {
	case item = <-ring.Items():
	default:
	}
	return item
}

func (b *bench) state() State {
	dump, err := b.tree.Directory().Dump(b.t.Context(), func(path string) bool { return path == "test/configuration" })
	if err != nil || len(dump) != 1 || dump[0].Busy {
		b.t.Fatalf("dump = %+v, %v", dump, err)
	}
	return dump[0].State.(State)
}

func publication(t *testing.T, replaces int64) []byte {
	data, err := records.EncodePublication(configuration.Publication{
		ID: fmt.Sprint("publication-", replaces), Replaces: replaces, Operator: "abena",
		Text: fmt.Sprintf("[limits]\nevictions_per_minute = %d\n", replaces),
	})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func snapshotAfter(t *testing.T, version int, through fleet.Offset) []byte {
	f := configuration.NewFold()
	for i := range version {
		entry, err := records.DecodeEntry(publication(t, int64(i)))
		if err != nil {
			t.Fatal(err)
		}
		f, _ = f.Publish(*entry.Publication, configuration.Position{Offset: through - fleet.Offset(version-1-i)})
	}
	data, err := records.EncodeSnapshot(f.State)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against subscribers that see the old versions of a stream while it is
// read for the first time or again after a restart.
func TestSubscribersNeverGoBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, DefaultSettings("entry-1"))
		defer b.end()
		b.read(0, message.LogRecords{}, publication(t, 0), publication(t, 1))
		if got := taken(b.subscriber); got.Version != 0 || b.state().Ready {
			t.Fatalf("version %d was published before the stream was read", got.Version)
		}
		b.read(2, message.LogRecords{CaughtUp: true}, publication(t, 2))
		if got := taken(b.subscriber); got.Version != 3 || got.Value.Limits.EvictionsPerMinute != 2 {
			t.Fatalf("got %+v, want version 3", got)
		}
		taken(b.rings.Rewinds)
		_ = b.running.Stop()
		b.running = b.tree.Start(b.duty)
		synctest.Wait()
		if got := b.state(); got.Version != 0 {
			t.Fatalf("state after the restart = %+v, want an empty one", got)
		}
		b.read(3, message.LogRecords{CaughtUp: true}, publication(t, 0)) // read for the first run
		b.read(0, message.LogRecords{CaughtUp: true}, publication(t, 0), publication(t, 1))
		if got := taken(b.subscriber); got.Version != 0 || b.state().Version != 2 {
			t.Fatalf("version %d was published after version 3; state %+v", got.Version, b.state())
		}
		if len(b.rings.Rewinds.Items()) != 1 {
			t.Error("the stream was not asked for again")
		}
		b.read(2, message.LogRecords{CaughtUp: true}, publication(t, 2), publication(t, 3))
		if got := taken(b.subscriber); got.Version != 4 {
			t.Fatalf("got version %d, want 4", got.Version)
		}
		_ = b.rings.Resends.Put(t.Context(), message.ResendConfiguration{Ring: b.subscriber})
		if got := taken(b.subscriber); got.Version != 4 {
			t.Fatalf("a subscriber that started again got version %d, want 4", got.Version)
		}
	})
}

// Guards against an instance that starts while the log is out and never gets
// ready, and against a peer that answers what the other already has.
func TestStartsFromPeerWhileLogIsOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, DefaultSettings("entry-1"))
		defer b.end()
		if ask := taken(b.rings.PeerRequests); ask.Offset != -1 {
			t.Fatalf("ask = %+v, want one for anything", ask)
		}
		time.Sleep(1500 * time.Millisecond)
		if ask := taken(b.rings.PeerRequests); ask.Offset != -1 {
			t.Fatalf("the question was not asked again: %+v", ask)
		}
		_ = b.rings.Offers.Put(t.Context(), message.ConfigurationOffer{Snapshot: snapshotAfter(t, 5, 40)})
		if got := taken(b.subscriber); got.Version != 5 || !b.state().Ready {
			t.Fatalf("got version %d, want 5", got.Version)
		}
		replies := supervise.NewRing[message.ConfigurationOffer]("replies", 1, supervise.DropOldest)
		_ = b.rings.Requests.Put(t.Context(), message.ConfigurationRequest{Offset: 40, Reply: replies})
		if got := taken(replies); got.Version != 0 {
			t.Errorf("offered version %d to a peer that has it", got.Version)
		}
		_ = b.rings.Requests.Put(t.Context(), message.ConfigurationRequest{Offset: 39, Reply: replies})
		if got := taken(replies); got.Version != 5 || got.Offset != 40 {
			t.Errorf("offer = %+v, want version 5 at 40", got)
		}
		// The log is back and starts before what the peer had folded.
		b.read(36, message.LogRecords{Truncated: true, CaughtUp: true},
			publication(t, 0), publication(t, 1), publication(t, 2), publication(t, 3), publication(t, 4), publication(t, 5))
		if got := taken(b.subscriber); got.Version != 6 {
			t.Errorf("got version %d, want 6", got.Version)
		}
	})
}

// Guards against a version that is computed from a stream whose beginning is
// gone, and against a malformed entry that stops the fold.
func TestTruncatedStreamWaitsForSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, DefaultSettings("entry-1"))
		defer b.end()
		b.read(90, message.LogRecords{Truncated: true, CaughtUp: true}, []byte("{"), publication(t, 0), publication(t, 2))
		if got := b.state(); got.Version != 0 || !got.Missing || got.Waiting != 2 || got.Malformed != 1 {
			t.Fatalf("state = %+v, want 2 publications held back", got)
		}
		b.read(93, message.LogRecords{CaughtUp: true}, snapshotAfter(t, 2, 90))
		if got := taken(b.subscriber); got.Version != 3 {
			t.Fatalf("got version %d, want 3", got.Version)
		}
	})
}

// Guards against a state that retention drops because nobody rewrites it, and
// against every instance writing it.
func TestSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := DefaultSettings("entry-1")
		b := start(t, settings)
		defer b.end()
		b.read(0, message.LogRecords{CaughtUp: true}, publication(t, 0))
		time.Sleep(settings.SnapshotInterval / 2)
		b.read(1, message.LogRecords{CaughtUp: true}, snapshotAfter(t, 1, 0))
		time.Sleep(settings.SnapshotInterval * 9 / 10)
		if got := taken(b.rings.Appends); got.ID != "" {
			t.Fatal("a snapshot was appended although another instance's is recent")
		}
		time.Sleep(settings.SnapshotInterval/10 + settings.SnapshotStagger + settings.PeerRequestInterval)
		got := taken(b.rings.Appends)
		entry, err := records.DecodeEntry(got.Data)
		if err != nil || got.Stream != records.Stream || entry.Snapshot.Version != 1 || entry.Snapshot.InForce.Value == nil {
			t.Fatalf("append = %+v, entry %+v, %v", got, entry, err)
		}
	})
}
