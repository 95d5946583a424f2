// Package frontend keeps what the clients of an HTTP front end can make a process
// hold within bounds. The intake duty owns the state of decision/intake. The
// goroutines of net/http's connections count the bytes of bodies as they arrive,
// ask the duty through a bounded ring and wait for its answer; the duty closes the
// connections of clients that are cut off. When the duty fails, it is restarted with
// clean state, which takes over each connection with its next request; those that
// stay idle are closed by net/http's idle time.
package frontend

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/decision/intake"
	"lacewingfork.example/lacewingfork/supervise"
)

// ErrCut is the error of reading a body that has been cut off. The request has not
// run.
var ErrCut = errors.New("the request was cut off before it was complete; it was not run")

const (
	// requestCapacity is the number of questions on the ring; further goroutines
	// wait. Each is handled in some microseconds.
	requestCapacity = 64
	// answerTimeout bounds the wait for the duty, which takes 50 ms to restart.
	answerTimeout = 2 * time.Second
	// expireInterval is the time between two checks of the time and the rate of
	// bodies.
	expireInterval = 250 * time.Millisecond
	// logInterval is the least time between two log lines.
	logInterval = time.Second
)

// Log logs an event with key-value pairs. It must not block.
type Log func(event string, pairs ...any)

// Gate is the intake duty of one front end, with the listener and the handler that
// ask it.
type Gate struct {
	limits       Limits
	log          Log
	requests     *supervise.Ring[request]
	nextID       atomic.Uint64
	start        time.Time
	cuts         *prometheus.CounterVec
	bytes        prometheus.Gauge
	connections  prometheus.Gauge
	incompletes  prometheus.Gauge
	rejectUnread http.HandlerFunc
}

// New adds the duty below tree. rejectUnread rejects a request that has been cut
// off before its handler was called. name is that of the supervisor.
func New(tree *supervise.Tree, name string, limits Limits, log Log, registry prometheus.Registerer, rejectUnread http.HandlerFunc) *Gate {
	g := &Gate{
		limits: limits, log: log, start: time.Now(), rejectUnread: rejectUnread,
		requests: supervise.NewRing[request](name+".intake", requestCapacity, supervise.Wait),
		cuts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lacewingfork_intake_cut_total", Help: "Clients that were cut off or refused, by reason.",
		}, []string{"reason"}),
		bytes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "lacewingfork_intake_body_bytes", Help: "Bytes of bodies of requests that are not answered.",
		}),
		connections: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "lacewingfork_intake_connections", Help: "Open connections of clients.",
		}),
		incompletes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "lacewingfork_intake_incomplete_bodies", Help: "Bodies that are arriving.",
		}),
	}
	registry.MustRegister(g.cuts, g.bytes, g.connections, g.incompletes)
	for _, reason := range intake.Reasons() {
		g.cuts.WithLabelValues(string(reason))
	}
	tree.Start(supervise.Duty{Name: "intake", Rings: []supervise.AnyRing{g.requests}, Run: g.run})
	return g
}

// kind is what a connection tells the duty.
type kind int

const (
	opened    kind = iota
	began          // the header of a request is complete
	grew           // bytes of its body have arrived
	completed      // its body is complete
	ended          // it has been answered
	closed
)

// request is a question or a notice of a connection; a notice has no reply.
type request struct {
	kind  kind
	conn  *conn
	bytes int64
	reply *supervise.Ring[bool]
}

// answer answers a question. It has no effect on a notice.
func (r request) answer(kept bool) {
	if r.reply != nil {
		_ = r.reply.Put(context.Background(), kept) // has room for the only answer
	}
}

// ask asks the duty and returns its answer, or false if there is none.
func (g *Gate) ask(r request) bool {
	r.reply = supervise.NewRing[bool](g.requests.Stats().Name+"-reply", 1, supervise.Refuse)
	ctx, cancel := context.WithTimeout(r.conn.ctx, answerTimeout)
	defer cancel()
	if g.requests.Put(ctx, r) != nil {
		return false
	}
	select {
	case kept := <-r.reply.Items():
		return kept
	case <-ctx.Done():
		return false
	}
}

// tell puts a notice on the ring. It is lost only if the front end is stopping.
func (g *Gate) tell(r request) { _ = g.requests.Put(r.conn.ctx, r) }

// conn is a connection of a client.
type conn struct {
	net.Conn // nil in a test without a network
	id       intake.ID
	gate     *Gate
	ctx      context.Context // of the duty that serves the connection
	closed   atomic.Bool
	cut      bool // only the intake duty uses it
}

// Close closes the connection and tells the intake duty.
func (c *conn) Close() error {
	err := c.Conn.Close()
	if c.closed.CompareAndSwap(false, true) {
		c.gate.tell(request{kind: closed, conn: c})
	}
	return err
}

// CloseWrite closes the sending side. net/http calls it so that a client gets the
// last response before the connection is closed.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// stopReading makes pending and future reads fail.
func (c *conn) stopReading() {
	if c.Conn != nil {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only if it is closed
	}
}

// listener asks the intake duty about each connection.
type listener struct {
	net.Listener
	gate *Gate
	ctx  context.Context
}

// Listen returns a listener whose connections are counted. ctx is that of the duty
// that serves them.
func (g *Gate) Listen(ctx context.Context, l net.Listener) net.Listener {
	return &listener{Listener: l, gate: g, ctx: ctx}
}

// Accept returns the next connection that the duty admits.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := l.gate.newConn(l.ctx, accepted)
		if l.gate.ask(request{kind: opened, conn: c}) {
			return c, nil
		}
		_ = c.Close() // the client notices, whether or not this fails
	}
}

func (g *Gate) newConn(ctx context.Context, c net.Conn) *conn {
	return &conn{Conn: c, id: intake.ID(g.nextID.Add(1)), gate: g, ctx: ctx}
}

type connKey struct{}

// ConnContext is the ConnContext of the server.
func (g *Gate) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
