package peers

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lacewingfork.example/lacewingfork/cellpb"
	"lacewingfork.example/lacewingfork/internal/clock"
	"lacewingfork.example/lacewingfork/scheduler/holder"
	"lacewingfork.example/lacewingfork/scheduler/logs"
	"lacewingfork.example/lacewingfork/scheduler/message"
	"lacewingfork.example/lacewingfork/supervise"
)

// testRouterRings returns rings whose outputs are read by the test.
func testRouterRings() *Rings {
	rings := NewRings()
	rings.LinkChanges = supervise.NewRing[message.LinkChange]("test.links", 8, supervise.DropOldest)
	rings.HolderHeartbeats = supervise.NewRing[message.Heartbeat]("test.heartbeats", 1, supervise.DropOldest)
	rings.Followed = supervise.NewRing[bool]("test.followed", 1, supervise.DropOldest)
	rings.Linked = supervise.NewRing[bool]("test.linked", 1, supervise.DropOldest)
	rings.HolderRequests = supervise.NewRing[message.Request]("test.asks", 8, supervise.Refuse)
	return rings
}

// Guards against an instance that stays ready without a link after its router has
// failed: the election duty publishes a holder only when it changes.
func TestRestartedRouterServesRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rings := testRouterRings()
		s := &Supervisor{rings: rings, clock: clock.New(), log: logs.New()}
		run := func() (end func()) {
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = newRouter(s).run(ctx, nil)
			}()
			return func() { cancel(); <-done }
		}
		end := run()
		_ = rings.Holders.Put(t.Context(), message.Holder{Epoch: 3, Instance: "entry-1", Self: true})
		_ = rings.RouterStatus.Put(t.Context(), holder.Status{Epoch: 3, IsHolder: true})
		time.Sleep(time.Second)
		if linked := <-rings.Linked.Items(); !linked {
			t.Fatal("got no link to the local holder")
		}
		end() // as after a panic, the supervisor starts a new router
		end = run()
		defer end()
		time.Sleep(5 * time.Second)
		request := message.Request{Reply: supervise.NewRing[message.Response]("test.reply", 1, supervise.Refuse), Deadline: s.clock.Steady() + 10*time.Second}
		_ = rings.Requests.Put(t.Context(), request)
		time.Sleep(5 * time.Second)
		if rings.HolderRequests.Stats().Depth != 1 {
			t.Errorf("got no request at the holder 10 s after the restart of the router, want 1; readiness corrected: %t", rings.Linked.Stats().Depth > 0)
		}
	})
}

// Guards against a sound link that is closed, and whose requests are all sent again,
// because the router itself was busy with a slow send.
func TestLinkWithQueuedFramesIsNotSilent(t *testing.T) {
	ctx := context.Background()
	r := newRouter(&Supervisor{rings: testRouterRings(), clock: clock.New(), log: logs.New()})
	tree := supervise.NewTree("test", supervise.DefaultIntensity, func(supervise.Event) {})
	closed := false
	r.holder = message.Holder{Epoch: 3}
	r.session = &session{
		stream: &countingStream{}, close: func() error { closed = true; return nil },
		receiver:   tree.Start(supervise.Duty{Name: "receiver", Run: func(context.Context, <-chan supervise.DumpRequest) error { return nil }}),
		received:   supervise.NewRing[*cellpb.Frame]("test.received", 8, supervise.Wait),
		failed:     supervise.NewRing[error]("test.broken", 1, supervise.DropOldest),
		receivedAt: r.supervisor.clock.Steady() - 2*linkTimeout,
	}
	_ = r.session.received.Put(ctx, encodeHeartbeat(message.Heartbeat{Epoch: 3, IsHolder: true}))
	r.tick(ctx)
	if closed {
		t.Error("the router closed a link on which a heartbeat had arrived while it was busy, want it open")
	}
}
