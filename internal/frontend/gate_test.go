package frontend

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/decision/intake"
	"lacewingfork.example/lacewingfork/supervise"
)

const testTimeout = 10 * time.Second

// server is a front end. A request to /hold waits until release is closed, /large
// gets a response that exceeds the buffers of a connection, and /refuse reads no body.
type server struct {
	t       *testing.T
	gate    *Gate
	metrics *prometheus.Registry
	address string
	release chan struct{}
	ran     atomic.Int64 // complete requests
}

func testLimits() Limits {
	return Limits{WriteTimeout: testTimeout, Limits: intake.Limits{
		Connections: 8, Bytes: 64 << 10, ReservedBytes: 16 << 10, OrdinaryBytes: 8 << 10, OrdinaryTime: time.Minute,
		BodyTime: time.Minute, RateGrace: time.Minute,
	}}
}

func startServer(t *testing.T, limits Limits) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tree := supervise.NewTree("test", supervise.DefaultIntensity, func(supervise.Event) {})
	s := &server{t: t, address: l.Addr().String(), release: make(chan struct{}), metrics: prometheus.NewRegistry()}
	s.gate = New(tree, "test", limits, func(string, ...any) {}, s.metrics, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	h := &http.Server{Handler: s.gate.Handler(http.HandlerFunc(s.handle)), ConnContext: s.gate.ConnContext, ReadHeaderTimeout: testTimeout}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	tree.Start(supervise.Duty{Name: "server", Run: func(ctx context.Context, _ <-chan supervise.DumpRequest) error {
		defer context.AfterFunc(ctx, func() { _ = h.Close() })()
		_ = h.Serve(s.gate.Listen(ctx, l))
		return nil
	}})
	go func() { defer close(ended); _ = tree.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return s
}

func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/refuse" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := ReadAll(r.Body)
	switch {
	case errors.Is(err, ErrCut):
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.ran.Add(1)
	switch r.URL.Path {
	case "/hold":
		<-s.release
	case "/large":
		body = make([]byte, 32<<20)
	}
	_, _ = w.Write(body)
}

func (s *server) dial() net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

// send sends a POST with the given part of a body of a declared length.
func (s *server) send(path string, length int, part string) net.Conn {
	s.t.Helper()
	c := s.dial()
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, length, part); err != nil {
		s.t.Fatal(err)
	}
	return c
}

func (s *server) expect(c net.Conn, status int) *http.Response {
	s.t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || response.StatusCode != status {
		s.t.Fatalf("got response %+v and error %v, want status %d", response, err, status)
	}
	return response
}

// Names of metrics. A reason after the name of the counter selects one of its values.
const (
	cutTotal    = "lacewingfork_intake_cut_total"
	bodyBytes   = "lacewingfork_intake_body_bytes"
	connections = "lacewingfork_intake_connections"
	incompletes = "lacewingfork_intake_incomplete_bodies"
)

// await waits until a metric has a value.
func (s *server) await(name string, want float64, reason ...intake.Reason) {
	s.t.Helper()
	for end := time.Now().Add(testTimeout); s.metric(name, reason...) != want; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("%s%v: got %v, want %v", name, reason, s.metric(name, reason...), want)
		}
	}
}

func (s *server) metric(name string, reason ...intake.Reason) float64 {
	s.t.Helper()
	families, err := s.metrics.Gather()
	if err != nil {
		s.t.Fatal(err)
	}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			selected := len(reason) == 0
			for _, l := range m.GetLabel() {
				selected = selected || l.GetName() == "reason" && l.GetValue() == string(reason[0])
			}
			if f.GetName() == name && selected {
				return m.GetGauge().GetValue() + m.GetCounter().GetValue()
			}
		}
	}
	return -1
}

// Guards against a slow client that is cut off although nobody else needs its place,
// whatever the form of its body.
func TestSlowClientIsServedWithoutCrowd(t *testing.T) {
	s := startServer(t, testLimits())
	for _, header := range []string{"Content-Length: 40", "Transfer-Encoding: chunked"} {
		c := s.dial()
		_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n", header)
		for range 40 {
			time.Sleep(time.Millisecond)
			if strings.HasPrefix(header, "C") {
				_, _ = io.WriteString(c, "x")
			} else {
				_, _ = io.WriteString(c, "1\r\nx\r\n")
			}
		}
		if !strings.HasPrefix(header, "C") {
			_, _ = io.WriteString(c, "0\r\n\r\n")
		}
		body, _ := io.ReadAll(io.LimitReader(s.expect(c, http.StatusOK).Body, 40))
		if string(body) != strings.Repeat("x", 40) {
			t.Errorf("%s: got %q", header, body)
		}
	}
}

// Guards against a body that is cut off without a response, that runs, or that goes
// before an older one.
func TestOldestBodyIsCutOffForANewOne(t *testing.T) {
	s := startServer(t, testLimits())
	part := strings.Repeat("x", 20<<10)
	first := s.send("/", 20<<10+1, part)
	s.await(incompletes, 1)
	second := s.send("/", 20<<10+1, part)
	s.await(incompletes, 2)
	s.expect(s.send("/", len(part), part), http.StatusOK)
	if response := s.expect(first, http.StatusServiceUnavailable); !response.Close {
		t.Error("the connection of a body that was cut off stays open")
	}
	_, _ = io.WriteString(second, "x")
	s.expect(second, http.StatusOK)
	if ran := s.ran.Load(); ran != 2 {
		t.Errorf("%d requests ran, want 2", ran)
	}
	s.await(cutTotal, 1, intake.ReasonBytes)
	s.await(bodyBytes, 0)
}

// Guards against idle and unfinished connections that keep new ones out, and against
// a complete request that is cut off for a new connection.
func TestNewConnectionTakesPlaceOfUnfinishedOne(t *testing.T) {
	s := startServer(t, testLimits())
	held := s.send("/hold", 1, "x")
	s.await(connections, 1)
	for range 3 * testLimits().Connections {
		_, _ = io.WriteString(s.dial(), "POST / HTTP/1.1\r\nX-")
	}
	s.expect(s.send("/", 1, "x"), http.StatusOK)
	s.await(connections, float64(testLimits().Connections))
	close(s.release)
	s.expect(held, http.StatusOK)
}

// Guards against connections beyond the limit while all others carry complete
// requests.
func TestConnectionIsRefusedBesideCompleteRequests(t *testing.T) {
	s := startServer(t, testLimits())
	held := []net.Conn{}
	for range testLimits().Connections {
		held = append(held, s.send("/hold", 1, "x"))
	}
	for end := time.Now().Add(testTimeout); s.ran.Load() < int64(len(held)) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	c := s.dial()
	if n, err := c.Read(make([]byte, 1)); err == nil {
		t.Errorf("got %d bytes on a connection beyond the limit, want it closed", n)
	}
	close(s.release)
	for _, c := range held {
		s.expect(c, http.StatusOK)
	}
	s.await(cutTotal, 1, intake.ReasonFull)
}

// Guards against a handler that waits for a body that its response made useless.
func TestUnreadBodyClosesConnection(t *testing.T) {
	s := startServer(t, testLimits())
	if response := s.expect(s.send("/refuse", 2, "x"), http.StatusNotFound); !response.Close {
		t.Error("the connection stays open, want it closed")
	}
	s.await(connections, 0)
}

// Guards against bodies that take too long or arrive too slowly.
func TestBodyTimeAndRate(t *testing.T) {
	for reason, change := range map[intake.Reason]func(*intake.Limits){
		intake.ReasonBodyTime: func(l *intake.Limits) { l.BodyTime = 100 * time.Millisecond },
		intake.ReasonBodyRate: func(l *intake.Limits) { l.RateGrace, l.MinRate = 100*time.Millisecond, 1<<20 },
	} {
		limits := testLimits()
		change(&limits.Limits)
		s := startServer(t, limits)
		s.expect(s.send("/", 2, "x"), http.StatusServiceUnavailable)
		s.await(cutTotal, 1, reason)
	}
}

// Guards against a client that does not read its response and holds it for ever, and
// against a connection that counts for ever because it closed before its handler
// ended.
func TestResponseThatIsNotReadEnds(t *testing.T) {
	limits := testLimits()
	limits.WriteTimeout = time.Second
	s := startServer(t, limits)
	c := s.dial()
	_ = c.(*net.TCPConn).SetReadBuffer(4 << 10) // the kernel must not take all of the response
	_, _ = io.WriteString(c, "POST /large HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx")
	s.await(connections, 1)
	s.await(connections, 0)
}

// newTestDuty returns the state of a duty without a network.
func newTestDuty() *duty {
	g := &Gate{limits: testLimits(), cuts: prometheus.NewCounterVec(prometheus.CounterOpts{}, []string{"reason"})}
	return &duty{gate: g, state: intake.New(g.limits.Limits), conns: map[intake.ID]*conn{}, cuts: map[intake.Reason]int{}}
}

// Guards against a body that grows while those that were cut off for it are still
// held, and against one that waits for ever.
func TestBodyWaitsForThoseThatWereCutOff(t *testing.T) {
	const most = 48 << 10 // of bodies that are not ordinary
	d := newTestDuty()
	first, second, third := &conn{id: 1}, &conn{id: 2}, &conn{id: 3}
	answers := map[*conn]*supervise.Ring[bool]{}
	grow := func(c *conn) {
		answers[c] = supervise.NewRing[bool]("reply", 1, supervise.Refuse)
		d.serve(request{kind: began, conn: c})
		d.serve(request{kind: grew, conn: c, bytes: most, reply: answers[c]})
	}
	expect := func(c *conn, want string) {
		t.Helper()
		got := "none"
		select {
		case kept := <-answers[c].Items():
			got = fmt.Sprint(kept)
		default:
		}
		if got != want {
			t.Errorf("connection %d: got answer %s, want %s", c.id, got, want)
		}
	}
	grow(first)
	expect(first, "true")
	grow(second) // cuts off the first
	expect(second, "none")
	grow(third) // cuts off the second, which waits
	expect(second, "false")
	d.serve(request{kind: ended, conn: first})
	expect(third, "none")
	d.serve(request{kind: ended, conn: second})
	expect(third, "true")
}

// Guards against requests that fail after a restart of the intake duty, which has
// forgotten their connections, and against one that runs although it was cut off.
func TestRestartedDutyTakesOverConnections(t *testing.T) {
	d := newTestDuty()
	known, cut := &conn{id: 1}, &conn{id: 2, cut: true}
	if !d.handle(request{kind: completed, conn: known}) || d.state.Usage().Complete != 1 {
		t.Errorf("got usage %+v, want a complete request", d.state.Usage())
	}
	if d.handle(request{kind: completed, conn: cut}) {
		t.Error("a request that was cut off before the restart may run")
	}
}

// Guards against a body that is changed or cut short, and an error that is lost.
func TestReadAll(t *testing.T) {
	for _, size := range []int{0, 1, firstSegment, firstSegment + 1, 3 * lastSegment} {
		want := bytes.Repeat([]byte("abc"), size)
		got, err := ReadAll(iotest.HalfReader(bytes.NewReader(want)))
		if err != nil || !bytes.Equal(got, want) {
			t.Errorf("%d bytes: got %d bytes and error %v", len(want), len(got), err)
		}
	}
	if _, err := ReadAll(io.MultiReader(strings.NewReader("x"), iotest.ErrReader(io.ErrUnexpectedEOF))); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got error %v, want that of the reader", err)
	}
}
