package store

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/scheduler/logs"
	"lacewingfork.example/lacewingfork/scheduler/message"
	"lacewingfork.example/lacewingfork/supervise"
)

// Guards against an instance that leaves out a version which it does not have, and
// against work for each heartbeat that repeats what is known.
func TestPeerProgressSkipsOnlyWhatIsInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := NewConfigurations(versionRecords{}, logs.New())
		c.Progress = supervise.NewRing[message.ConfigurationProgress]("test.progress", 8, supervise.DropOldest)
		go func() { _ = c.run(ctx, nil) }()
		tell := func(version int64, end int) {
			_ = c.PeerProgress.Put(ctx, message.ConfigurationProgress{Version: version, End: fleet.Offset(end)})
			time.Sleep(time.Millisecond) // in a synctest bubble
		}
		_ = c.Offers.Put(ctx, message.Publication{Document: []byte("7"), Offset: 11})
		time.Sleep(time.Millisecond) // in a synctest bubble
		if got := <-c.received.Items(); got != 12 {
			t.Fatalf("got records before offset %d left out after version 7 at 11, want 12", got)
		}
		tell(8, 20)
		if depth := c.received.Stats().Depth; depth != 0 {
			t.Error("left out records up to a version that is not in force")
		}
		tell(7, 15)
		if depth := c.received.Stats().Depth; depth != 1 || <-c.received.Items() != 15 {
			t.Error("did not leave out records up to offset 15 of the version in force")
		}
		tell(7, 15)
		if depth := c.received.Stats().Depth; depth != 0 {
			t.Error("handled what a heartbeat repeats")
		}
	})
}
