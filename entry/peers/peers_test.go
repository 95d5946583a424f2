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

// memoryListener hands out one end of a pipe for each dial.
type memoryListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	silent atomic.Bool // bytes written from now on are lost
	dials  atomic.Int32
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
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		l.dials.Add(1)
		return &lossyConn{Conn: near, lost: l.silent.Load, afterDials: l.dials.Load(), listener: l}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// lossyConn loses what is written while the listener is silent, but only on
// the connections that were open when the silence began.
type lossyConn struct {
	net.Conn
	lost       func() bool
	afterDials int32
	listener   *memoryListener
}

func (c *lossyConn) silent() bool { return c.lost() && c.afterDials == 1 }

func (c *lossyConn) Write(p []byte) (int, error) {
	if c.silent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *lossyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for err == nil && c.silent() {
		n, err = c.Conn.Read(p)
	}
	return n, err
}

// pair is instance a, which dials instance b.
type pair struct {
	network     *memoryListener
	transitions chan *supervise.Ring[message.Submission] // nil when the link went down
	submissions *supervise.Ring[message.Submission]      // of b
	a           *Supervisor
}

func startPair(t *testing.T, ctx context.Context) *pair {
	t.Helper()
	p := &pair{
		network:     newMemoryListener(),
		transitions: make(chan *supervise.Ring[message.Submission], 16),
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
	p.a = New(treeA, Settings{Instance: "a", Region: "accra", Dial: p.network.dial}, unused, Receivers{}, changes, hints())
	New(treeB, Settings{Instance: "b", Region: "accra"}, p.network, Receivers{
		Submissions: p.submissions,
		Hints:       supervise.NewRing[message.PeerHints]("hints", 16, supervise.DropOldest),
	}, changes, hints())
	go func() { _ = treeA.Serve(ctx) }()
	go func() { _ = treeB.Serve(ctx) }()
	_ = p.a.Snapshots.Put(ctx, message.ListSnapshot{Instances: []fleet.Instance{{ID: "a"}, {ID: "b", PeerAddress: "b:1"}}})
	return p
}

// watch passes on changes of the link and drops repeated announcements.
func (p *pair) watch(ctx context.Context, changes *supervise.Ring[message.LinkChange]) {
	var last *supervise.Ring[message.Submission]
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-changes.Items():
			if c.Forwards != last {
				last = c.Forwards
				p.transitions <- last
			}
		}
	}
}

// up waits for the link and returns the ring for requests to b.
func (p *pair) up() *supervise.Ring[message.Submission] {
	for {
		if forwards := <-p.transitions; forwards != nil {
			return forwards
		}
	}
}

func submissionOf(id fleet.RequestID, wait time.Duration) message.Submission {
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
		time.Sleep(time.Minute) // lets the stop timeouts of the trees pass
	})
}

// Guards against a field that is lost on the way, and against an answer that
// reaches another request when answers cross.
func TestForwardsAndCrossedAnswers(t *testing.T) {
	runPair(t, func(ctx context.Context, p *pair) {
		forwards := p.up()
		first, second := submissionOf("q1", time.Second), submissionOf("q2", time.Second)
		_ = forwards.Put(ctx, first)
		_ = forwards.Put(ctx, second)
		got1, got2 := <-p.submissions.Items(), <-p.submissions.Items()
		r := got1.Request
		if !got1.Forwarded || got1.Partition != first.Partition || r.ID != "q1" || r.Key != "k" || r.Class != fleet.Normal ||
			!r.Idempotent || r.Team != "cutting" || string(r.Body) != "panel" || len(r.Fields) != 1 ||
			!r.Deadline.Equal(first.Request.Deadline) {
			t.Errorf("got %+v of %+v", r, first.Request)
		}
		got2.Deliver(message.Answer{ID: "q2", Outcome: outcome.Answered, Status: 200, Body: []byte("two")})
		got1.Deliver(message.Answer{ID: "q1", Outcome: outcome.RefusedNotRun, Reason: outcome.QueueFull, KeyChecked: true})
		a1, a2 := <-first.Reply.Items(), <-second.Reply.Items()
		if a1.Reason != outcome.QueueFull || !a1.KeyChecked || string(a2.Body) != "two" || a2.Status != 200 {
			t.Errorf("answers %+v, %+v", a1, a2)
		}
	})
}

// Guards against a request that waits for ever, or is called not run, when a
// link goes silent after the request was written; and against a link that is
// not replaced.
func TestSilentLinkIsReplaced(t *testing.T) {
	runPair(t, func(ctx context.Context, p *pair) {
		forwards := p.up()
		lost := submissionOf("q1", time.Minute)
		p.network.silent.Store(true)
		began := time.Now()
		_ = forwards.Put(ctx, lost)
		a := <-lost.Reply.Items()
		if a.Outcome != outcome.Unknown || a.Reason != outcome.LinkLost {
			t.Errorf("answer %+v", a)
		}
		if took := time.Since(began); took > silenceLimit+2*heartbeatInterval {
			t.Errorf("noticed the silence after %v", took)
		}
		next := submissionOf("q2", time.Minute)
		_ = p.up().Put(ctx, next)
		got := <-p.submissions.Items()
		if got.Request.ID != "q2" {
			t.Errorf("got %s over the new link", got.Request.ID)
		}
	})
}

// Guards against "outcome unknown" for a request that never left: while a link
// is down requests are refused as not run.
func TestDownLinkRefusesAsNotRun(t *testing.T) {
	runPair(t, func(ctx context.Context, p *pair) {
		forwards := p.up()
		_ = p.network.Close() // b accepts no more
		p.network.silent.Store(true)
		if up := <-p.transitions; up != nil {
			t.Fatal("the link is still up")
		}
		s := submissionOf("q1", time.Minute)
		_ = forwards.Put(ctx, s)
		if a := <-s.Reply.Items(); a.Outcome != outcome.RefusedNotRun || a.Reason != outcome.LinkDown {
			t.Errorf("answer %+v", a)
		}
	})
}
