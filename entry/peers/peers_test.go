package peers

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/supervise"
)

// memoryListener accepts one end of an in-memory pipe for each dial.
type memoryListener struct {
	conns     chan net.Conn
	closed    chan struct{}
	once      sync.Once
	loseBytes atomic.Bool // the first connection loses all bytes while set
	dials     atomic.Int32
}

func newMemoryListener() *memoryListener {
	return &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *memoryListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	local, remote := net.Pipe()
	select {
	case l.conns <- remote:
		l.dials.Add(1)
		return &lossyConn{Conn: local, losing: l.loseBytes.Load, dialNumber: l.dials.Load(), listener: l}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// lossyConn loses all bytes in both directions while its listener's loseBytes is
// set. Only the first dialled connection does, so that a later one can replace it.
type lossyConn struct {
	net.Conn
	losing     func() bool
	dialNumber int32
	listener   *memoryListener
}

func (c *lossyConn) loses() bool { return c.losing() && c.dialNumber == 1 }

func (c *lossyConn) Write(p []byte) (int, error) {
	if c.loses() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *lossyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for err == nil && c.loses() {
		n, err = c.Conn.Read(p)
	}
	return n, err
}

// pair is instance a, which dials instance b.
type pair struct {
	listener    *memoryListener
	linkChanges chan *supervise.Ring[message.Submission] // nil when the link goes down
	submissions *supervise.Ring[message.Submission]      // of b
	a           *Supervisor
}

func startPair(t *testing.T, ctx context.Context) *pair {
	t.Helper()
	p := &pair{
		listener:    newMemoryListener(),
		linkChanges: make(chan *supervise.Ring[message.Submission], 16),
		submissions: supervise.NewRing[message.Submission]("submissions", 16, supervise.Refuse),
	}
	changes := supervise.NewRing[message.LinkChange]("changes", 16, supervise.Wait)
	go p.watch(ctx, changes)
	hints := func() *supervise.Ring[[]message.LoadHint] {
		return supervise.NewRing[[]message.LoadHint]("hints", 1, supervise.DropOldest)
	}
	treeA := supervise.NewTree("a", supervise.DefaultIntensity, func(supervise.Event) {})
	treeB := supervise.NewTree("b", supervise.DefaultIntensity, func(supervise.Event) {})
	unused := newMemoryListener()
	p.a = New(treeA, Settings{Instance: "a", Region: "accra", Dial: p.listener.dial}, unused, Receivers{}, changes, hints())
	New(treeB, Settings{Instance: "b", Region: "accra"}, p.listener, Receivers{
		Submissions: p.submissions,
		Hints:       supervise.NewRing[message.PeerHints]("hints", 16, supervise.DropOldest),
	}, changes, hints())
	go func() { _ = treeA.Serve(ctx) }()
	go func() { _ = treeB.Serve(ctx) }()
	_ = p.a.Snapshots.Put(ctx, message.ListSnapshot{Instances: []fleet.Instance{{ID: "a"}, {ID: "b", PeerAddress: "b:1"}}})
	return p
}

// watch forwards changes of the link state and drops repeated announcements.
func (p *pair) watch(ctx context.Context, changes *supervise.Ring[message.LinkChange]) {
	var last *supervise.Ring[message.Submission]
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-changes.Items():
			if c.Forwards != last {
				last = c.Forwards
				p.linkChanges <- last
			}
		}
	}
}

// waitUp waits until the link is up and returns the ring for requests to b.
func (p *pair) waitUp() *supervise.Ring[message.Submission] {
	for {
		if forwards := <-p.linkChanges; forwards != nil {
			return forwards
		}
	}
}

func testSubmission(id fleet.RequestID, wait time.Duration) message.Submission {
	return message.Submission{
		Partition: "accra-1/r1", Reply: supervise.NewRing[message.Answer]("reply", 1, supervise.Refuse),
		Request: &message.Request{
			ID: id, Service: "planner", Operation: "layout", Class: fleet.Normal, Idempotent: true, Key: "k",
			Team: "cutting", Deadline: time.Now().Add(wait), Body: []byte("panel"),
			Fields: []message.Field{{Name: "Content-Type", Value: "text/plain"}},
		},
	}
}

func runPair(t *testing.T, test func(ctx context.Context, p *pair)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := startPair(t, ctx)
		test(ctx, p)
		cancel()
		synctest.Wait()
		time.Sleep(time.Minute) // longer than the stop timeouts of the trees
	})
}

// Guards against a request field that is lost in forwarding, and against an answer
// that is delivered to the wrong request when answers arrive out of order.
func TestForwardsAndOutOfOrderAnswers(t *testing.T) {
	runPair(t, func(ctx context.Context, p *pair) {
		forwards := p.waitUp()
		first, second := testSubmission("q1", time.Second), testSubmission("q2", time.Second)
		_ = forwards.Put(ctx, first)
		_ = forwards.Put(ctx, second)
		got1, got2 := <-p.submissions.Items(), <-p.submissions.Items()
		r := got1.Request
		if !got1.Forwarded || got1.Partition != first.Partition || r.ID != "q1" || r.Key != "k" || r.Class != fleet.Normal ||
			!r.Idempotent || r.Team != "cutting" || string(r.Body) != "panel" || len(r.Fields) != 1 ||
			!r.Deadline.Equal(first.Request.Deadline) {
			t.Errorf("forwarded request: got %+v, want %+v with its partition and the forwarded mark", r, first.Request)
		}
		got2.Deliver(message.Answer{ID: "q2", Outcome: outcome.Answered, Status: 200, Body: []byte("two")})
		got1.Deliver(message.Answer{ID: "q1", Outcome: outcome.RefusedNotRun, Reason: outcome.QueueFull, KeyChecked: true})
		a1, a2 := <-first.Reply.Items(), <-second.Reply.Items()
		if a1.Reason != outcome.QueueFull || !a1.KeyChecked || string(a2.Body) != "two" || a2.Status != 200 {
			t.Errorf("answers: got %+v and %+v, want the refusal for q1 and the response for q2", a1, a2)
		}
	})
}

// Guards against a request that waits forever, or is reported as not run, when the
// link stops delivering frames after the request was written; and against a link
// that is not replaced afterwards.
func TestUnresponsiveLinkIsReplaced(t *testing.T) {
	runPair(t, func(ctx context.Context, p *pair) {
		forwards := p.waitUp()
		lost := testSubmission("q1", time.Minute)
		p.listener.loseBytes.Store(true)
		began := time.Now()
		_ = forwards.Put(ctx, lost)
		a := <-lost.Reply.Items()
		if a.Outcome != outcome.Unknown || a.Reason != outcome.LinkLost {
			t.Errorf("answer: got %+v, want an unknown outcome for a lost link", a)
		}
		if elapsed := time.Since(began); elapsed > linkTimeout+2*heartbeatInterval {
			t.Errorf("dead link detected after %v, want at most the link timeout and two heartbeat intervals", elapsed)
		}
		next := testSubmission("q2", time.Minute)
		_ = p.waitUp().Put(ctx, next)
		got := <-p.submissions.Items()
		if got.Request.ID != "q2" {
			t.Errorf("request over the new link: got %s, want q2", got.Request.ID)
		}
	})
}

// Guards against an unknown outcome for a request that was never sent. While a link
// is down, requests are refused as not run.
func TestDownLinkRefusesAsNotRun(t *testing.T) {
	runPair(t, func(ctx context.Context, p *pair) {
		forwards := p.waitUp()
		_ = p.listener.Close() // b accepts no further connections
		p.listener.loseBytes.Store(true)
		if change := <-p.linkChanges; change != nil {
			t.Fatal("link change: got the link up, want it down")
		}
		s := testSubmission("q1", time.Minute)
		_ = forwards.Put(ctx, s)
		if a := <-s.Reply.Items(); a.Outcome != outcome.RefusedNotRun || a.Reason != outcome.LinkDown {
			t.Errorf("answer: got %+v, want a refusal for a link that is down", a)
		}
	})
}
