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

// harness runs one duty in a supervisor tree, connected to rings of the test.
type harness struct {
	t          *testing.T
	rings      Rings
	tree       *supervise.Tree
	subscriber *message.ConfigurationRing
	duty       supervise.Duty
	running    supervise.Handle
	done       chan error
	stop       context.CancelFunc
}

func start(t *testing.T, settings Settings) *harness {
	h := &harness{
		t: t, rings: NewRings(), done: make(chan error, 1),
		subscriber: supervise.NewRing[message.ConfigurationInForce]("subscriber", 1, supervise.DropOldest),
		tree:       supervise.NewTree("test", supervise.DefaultIntensity, func(supervise.Event) {}),
	}
	h.rings.Subscribers = []*message.ConfigurationRing{h.subscriber}
	h.rings.Rewinds = supervise.NewRing[message.Rewind]("rewinds", 1, supervise.DropOldest)
	h.rings.PeerRequests = supervise.NewRing[message.ConfigurationRequest]("asks", 1, supervise.DropOldest)
	h.rings.Appends = supervise.NewRing[message.Append]("appends", 4, supervise.Refuse)
	h.duty = New(settings, h.rings)
	h.running = h.tree.Start(h.duty)
	ctx, cancel := context.WithCancel(t.Context())
	h.stop = cancel
	go func() { h.done <- h.tree.Serve(ctx) }()
	return h
}

func (h *harness) close() {
	h.stop()
	<-h.done
}

// deliver sends entries to the duty as one batch that starts at the offset from,
// and waits until they are folded.
func (h *harness) deliver(from int, batch message.LogRecords, entries ...[]byte) {
	for i, data := range entries {
		batch.Records = append(batch.Records, message.LogEntry{Offset: fleet.Offset(from + i), Data: data})
	}
	batch.From, batch.Next = fleet.Offset(from), fleet.Offset(from+len(entries))
	_ = h.rings.Log.Put(h.t.Context(), batch)
	synctest.Wait()
}

// tryReceive returns the next item of a ring, or the zero value if it is empty.
func tryReceive[T any](ring *supervise.Ring[T]) (item T) {
	synctest.Wait()
	select {
	case item = <-ring.Items():
	default:
	}
	return item
}

func (h *harness) state() State {
	dump, err := h.tree.Directory().Dump(h.t.Context(), func(path string) bool { return path == "test/configuration" })
	if err != nil || len(dump) != 1 || dump[0].Busy {
		h.t.Fatalf("state dump = %+v, %v, want the state of the duty", dump, err)
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

// snapshotAfter returns the encoded snapshot of a stream after version
// publications, the last of which has the offset through.
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

// Guards against subscribers that receive old versions while the stream is read
// for the first time or again after a restart.
func TestSubscribersGetNoOlderVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := start(t, DefaultSettings("entry-1"))
		defer h.close()
		h.deliver(0, message.LogRecords{}, publication(t, 0), publication(t, 1))
		if got := tryReceive(h.subscriber); got.Version != 0 || h.state().Ready {
			t.Fatalf("version %d, ready %t before the whole stream was read, want no version, not ready", got.Version, h.state().Ready)
		}
		h.deliver(2, message.LogRecords{CaughtUp: true}, publication(t, 2))
		if got := tryReceive(h.subscriber); got.Version != 3 || got.Value.Limits.EvictionsPerMinute != 2 {
			t.Fatalf("got %+v, want version 3", got)
		}
		tryReceive(h.rings.Rewinds)
		_ = h.running.Stop()
		h.running = h.tree.Start(h.duty)
		synctest.Wait()
		if got := h.state(); got.Version != 0 {
			t.Fatalf("state after the restart = %+v, want an empty one", got)
		}
		h.deliver(3, message.LogRecords{CaughtUp: true}, publication(t, 0)) // read for the earlier run
		h.deliver(0, message.LogRecords{CaughtUp: true}, publication(t, 0), publication(t, 1))
		if got := tryReceive(h.subscriber); got.Version != 0 || h.state().Version != 2 {
			t.Fatalf("version %d was published after version 3, state %+v; want none, state of version 2", got.Version, h.state())
		}
		if len(h.rings.Rewinds.Items()) != 1 {
			t.Error("the restarted duty sent no rewind, want one")
		}
		h.deliver(2, message.LogRecords{CaughtUp: true}, publication(t, 2), publication(t, 3))
		if got := tryReceive(h.subscriber); got.Version != 4 {
			t.Fatalf("got version %d, want 4", got.Version)
		}
		_ = h.rings.Resends.Put(t.Context(), message.ResendConfiguration{Ring: h.subscriber})
		if got := tryReceive(h.subscriber); got.Version != 4 {
			t.Fatalf("a restarted subscriber got version %d, want 4", got.Version)
		}
	})
}

// Guards against an instance that starts during an outage of the log and does
// not become ready, and against an offer to a peer that already has the state.
func TestStartsFromPeerDuringLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := start(t, DefaultSettings("entry-1"))
		defer h.close()
		if request := tryReceive(h.rings.PeerRequests); request.Offset != -1 {
			t.Fatalf("request = %+v, want offset -1", request)
		}
		time.Sleep(1500 * time.Millisecond)
		if request := tryReceive(h.rings.PeerRequests); request.Offset != -1 {
			t.Fatalf("repeated request = %+v, want offset -1", request)
		}
		_ = h.rings.Offers.Put(t.Context(), message.ConfigurationOffer{Snapshot: snapshotAfter(t, 5, 40)})
		if got := tryReceive(h.subscriber); got.Version != 5 || !h.state().Ready {
			t.Fatalf("got version %d, ready %t, want 5, true", got.Version, h.state().Ready)
		}
		replies := supervise.NewRing[message.ConfigurationOffer]("replies", 1, supervise.DropOldest)
		_ = h.rings.Requests.Put(t.Context(), message.ConfigurationRequest{Offset: 40, Reply: replies})
		if got := tryReceive(replies); got.Version != 0 {
			t.Errorf("offered version %d to a peer that has it, want no offer", got.Version)
		}
		_ = h.rings.Requests.Put(t.Context(), message.ConfigurationRequest{Offset: 39, Reply: replies})
		if got := tryReceive(replies); got.Version != 5 || got.Offset != 40 {
			t.Errorf("offer = %+v, want version 5, offset 40", got)
		}
		// The log answers again, from an offset before the end of the peer's state.
		h.deliver(36, message.LogRecords{Truncated: true, CaughtUp: true},
			publication(t, 0), publication(t, 1), publication(t, 2), publication(t, 3), publication(t, 4), publication(t, 5))
		if got := tryReceive(h.subscriber); got.Version != 6 {
			t.Errorf("got version %d, want 6", got.Version)
		}
	})
}

// Guards against a version computed from a stream whose first entries were
// removed by retention, and against a malformed entry that stops the fold.
func TestTruncatedStreamWaitsForSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := start(t, DefaultSettings("entry-1"))
		defer h.close()
		h.deliver(90, message.LogRecords{Truncated: true, CaughtUp: true}, []byte("{"), publication(t, 0), publication(t, 2))
		if got := h.state(); got.Version != 0 || !got.Missing || got.Waiting != 2 || got.Malformed != 1 {
			t.Fatalf("state = %+v, want version 0, entries missing, 2 publications waiting, 1 malformed entry", got)
		}
		h.deliver(93, message.LogRecords{CaughtUp: true}, snapshotAfter(t, 2, 90))
		if got := tryReceive(h.subscriber); got.Version != 3 {
			t.Fatalf("got version %d, want 3", got.Version)
		}
	})
}

// Guards against a state that retention removes because no instance appends a
// snapshot, and against a snapshot from every instance.
func TestAppendsSnapshotUnlessRecent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := DefaultSettings("entry-1")
		h := start(t, settings)
		defer h.close()
		h.deliver(0, message.LogRecords{CaughtUp: true}, publication(t, 0))
		time.Sleep(settings.SnapshotInterval / 2)
		h.deliver(1, message.LogRecords{CaughtUp: true}, snapshotAfter(t, 1, 0))
		time.Sleep(settings.SnapshotInterval * 9 / 10)
		if got := tryReceive(h.rings.Appends); got.ID != "" {
			t.Fatal("a snapshot was appended although another instance has appended one recently, want none")
		}
		time.Sleep(settings.SnapshotInterval/10 + settings.SnapshotStagger + settings.PeerRequestInterval)
		got := tryReceive(h.rings.Appends)
		entry, err := records.DecodeEntry(got.Data)
		if err != nil || got.Stream != records.Stream || entry.Snapshot.Version != 1 || entry.Snapshot.InForce.Value == nil {
			t.Fatalf("append = %+v, entry %+v, error %v; want a snapshot of version 1 in stream %s", got, entry, err, records.Stream)
		}
	})
}
