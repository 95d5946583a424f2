package callers

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/callerapi"
	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/decision/intake"
	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/internal/frontend"
	"lacewingfork.example/lacewingfork/supervise"
)

// maxTestBytes bounds the bodies of all requests of a test's front end.
const maxTestBytes = 8 << 10

// frontEnd is a running front end. The test answers its submissions in place of
// the routing duty.
type frontEnd struct {
	*Supervisor
	address string
}

func startFrontEnd(t *testing.T) *frontEnd {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tree := supervise.NewTree("test", supervise.DefaultIntensity, func(supervise.Event) {})
	registry := prometheus.NewRegistry()
	submissions := supervise.NewRing[message.Submission]("submissions", 8, supervise.Refuse)
	s := New(tree, Settings{
		Instance: "e1", StopTimeout: 5 * time.Second, MaxBodyBytes: 1 << 10, MaxHeaderBytes: 16 << 10, MaxDeadline: time.Minute,
		HeaderTimeout: time.Minute, IdleTimeout: time.Minute, Log: func(string, ...any) {},
		Limits: frontend.Limits{WriteTimeout: time.Minute, Limits: intake.Limits{
			Connections: 64, Bytes: maxTestBytes, OrdinaryBytes: 512, OrdinaryTime: time.Minute, BodyTime: time.Minute, RateGrace: time.Minute,
		}},
	}, listener, submissions, NewMetrics(registry), registry)
	s.Resends = supervise.NewRing[message.ResendConfiguration]("wanted", 1, supervise.DropOldest)
	s.configuration.Store(&message.ConfigurationInForce{Version: 1, Value: &configuration.Configuration{
		Limits: configuration.DefaultLimits,
		Services: []configuration.Service{{Name: "planner", Operations: []configuration.Operation{
			{Name: "layout", Idempotent: true, Deadline: time.Second}, {Name: "book", Deadline: time.Second},
		}}},
	}})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = tree.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return &frontEnd{s, listener.Addr().String()}
}

// answerAll answers every submission with a and counts the submissions in the
// returned variable.
func (f *frontEnd) answerAll(t *testing.T, a message.Answer) *int {
	ctx, cancel := context.WithCancel(context.Background())
	count, ended := new(int), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-ctx.Done():
				return
			case s := <-f.submissions.Items():
				if !s.Cancel {
					*count++
					a.ID = s.Request.ID
					s.Deliver(a)
				}
			}
		}
	}()
	t.Cleanup(func() { cancel(); <-ended })
	return count
}

// send writes a raw request, so that a header may contradict the body, and returns
// the response. closeWrite closes the sending side after the request; net/http
// treats that as a caller that disconnected once the request is complete.
func (f *frontEnd) send(t *testing.T, raw string, closeWrite bool) *http.Response {
	t.Helper()
	response, err := f.sendRaw(raw, closeWrite)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

func (f *frontEnd) sendRaw(raw string, closeWrite bool) (*http.Response, error) {
	conn, err := net.Dial("tcp", f.address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := fmt.Fprint(conn, raw); err != nil {
		return nil, err
	}
	if tcpConn, ok := conn.(*net.TCPConn); ok && closeWrite {
		_ = tcpConn.CloseWrite()
	}
	return http.ReadResponse(bufio.NewReader(conn), nil)
}

// awaitClosed waits until the front end accepts no more connections.
func (f *frontEnd) awaitClosed(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		conn, err := net.Dial("tcp", f.address)
		if err != nil {
			return
		}
		_ = conn.Close()
	}
	t.Fatal("the front end still accepts connections after 10 s")
}

func post(path string, body string, headers ...string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n%s\r\n%s", path, len(body), strings.Join(headers, ""), body)
}

// Guards against invalid input that is submitted, that is not refused with a
// precise reason, or whose outcome is anything but not run.
func TestBadInputIsRefusedAsNotRun(t *testing.T) {
	const layout = "/v1/services/planner/layout"
	cases := []struct {
		name   string
		raw    string
		status int
		reason outcome.Reason
	}{
		{"no such service", post("/v1/services/other/layout", "x"), 404, outcome.NoSuchService},
		{"no such operation", post("/v1/services/planner/other", "x"), 404, outcome.NoSuchService},
		{"key for no such service", post("/v1/keys/other", ""), 404, outcome.NoSuchService},
		{"body over the limit", post(layout, strings.Repeat("x", 1<<10+1)), 413, outcome.BodyTooLarge},
		{"deadline that is no number", post(layout, "x", "Lacewingfork-Deadline-Ms: soon\r\n"), 400, outcome.MalformedRequest},
		{"deadline of zero", post(layout, "x", "Lacewingfork-Deadline-Ms: 0\r\n"), 400, outcome.MalformedRequest},
		{"deadline over the limit", post(layout, "x", "Lacewingfork-Deadline-Ms: 999999999\r\n"), 400, outcome.MalformedRequest},
		{"team name too long", post(layout, "x", "Lacewingfork-Team: "+strings.Repeat("t", 200)+"\r\n"), 400, outcome.MalformedRequest},
		{"body shorter than its length", "POST " + layout + " HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf", 400, outcome.MalformedRequest},
		{"broken chunk", "POST " + layout + " HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400, outcome.MalformedRequest},
		{"malformed key", post("/v1/services/planner/book", "x", "Idempotency-Key: nonsense\r\n"), 400, outcome.KeyInvalid},
	}
	f := startFrontEnd(t)
	submitted := f.answerAll(t, message.Answer{Outcome: outcome.Answered, Status: 200})
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			response := f.send(t, c.raw, strings.HasSuffix(c.raw, "half"))
			header := response.Header
			if response.StatusCode != c.status || header.Get(callerapi.HeaderReason) != string(c.reason) ||
				header.Get(callerapi.HeaderOutcome) != outcome.RefusedNotRun.String() {
				t.Errorf("got %d %q %q, want %d %q %q", response.StatusCode, header.Get(callerapi.HeaderOutcome),
					header.Get(callerapi.HeaderReason), c.status, outcome.RefusedNotRun, c.reason)
			}
		})
	}
	if *submitted != 0 {
		t.Errorf("%d invalid requests were submitted, want none", *submitted)
	}
}

// Guards against reporting "not run" for a refusal although an earlier request
// with the same key may have run.
func TestRefusalOfRequestWithKey(t *testing.T) {
	const key = "1.YWNjcmEtMS9yMQ.3.c2wfoqo1.1dw26dhos2xk9.jqrmjt0at6tk"
	for _, checked := range []bool{false, true} {
		f := startFrontEnd(t)
		f.answerAll(t, message.Answer{Outcome: outcome.RefusedNotRun, Reason: outcome.NoHolder, KeyChecked: checked})
		want := outcome.Unknown
		if checked {
			want = outcome.RefusedNotRun
		}
		response := f.send(t, post("/v1/services/planner/book", "x", "Idempotency-Key: "+key+"\r\n"), false)
		if got := response.Header.Get(callerapi.HeaderOutcome); got != want.String() {
			t.Errorf("key checked by the holder: %v, outcome %q, want %q", checked, got, want)
		}
	}
}

// Guards against a request that keeps waiting after its caller disconnected.
func TestCallerDisconnectCancelsRequest(t *testing.T) {
	f := startFrontEnd(t)
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.address+"/v1/services/planner/layout", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
		}
	}()
	submitted := <-f.submissions.Items()
	cancel()
	if cancelled := <-f.submissions.Items(); !cancelled.Cancel || cancelled.Request.ID != submitted.Request.ID {
		t.Errorf("got %+v after the caller disconnected, want a cancellation of request %s", cancelled, submitted.Request.ID)
	}
}

// Guards against request bodies that exhaust the memory of an instance: those of
// requests in progress, which are complete, and those that are not complete.
func TestBufferedBodiesAreBounded(t *testing.T) {
	const layout = "/v1/services/planner/layout"
	large := post(layout, strings.Repeat("x", 1<<10))
	f := startFrontEnd(t)
	held := []message.Submission{}
	for range maxTestBytes >> 10 {
		go func() { _, _ = f.sendRaw(large, false) }() // its answer is not checked
		held = append(held, <-f.submissions.Items())
	}
	full := f.send(t, large, false)
	if full.StatusCode != 503 || full.Header.Get(callerapi.HeaderReason) != string(outcome.Overloaded) || full.Header.Get("Retry-After") == "" ||
		full.Header.Get(callerapi.HeaderOutcome) != outcome.RefusedNotRun.String() || !full.Close {
		t.Errorf("at the limit: got %d %v, want 503, not run, overloaded, with Retry-After and Connection: close", full.StatusCode, full.Header)
	}
	f.answerAll(t, message.Answer{Outcome: outcome.Answered, Status: 200})
	for _, s := range held {
		s.Deliver(message.Answer{ID: s.Request.ID, Outcome: outcome.Answered, Status: 200})
	}
	for range 3 * maxTestBytes >> 10 { // more than the budget, none of them complete
		conn, err := net.Dial("tcp", f.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		if _, err := conn.Write([]byte(large[:len(large)-1])); err != nil {
			t.Fatal(err)
		}
	}
	if free := f.send(t, large, false); free.StatusCode != 200 {
		t.Errorf("beside incomplete bodies: got status %d, want 200", free.StatusCode)
	}
}

// Guards against a planned stop that aborts a request in progress or accepts a new
// one.
func TestShutdownCompletesRequestsInProgress(t *testing.T) {
	f := startFrontEnd(t)
	done := make(chan error, 1)
	go func() {
		response, err := f.sendRaw(post("/v1/services/planner/layout", "x"), false)
		if err == nil && response.StatusCode != http.StatusOK {
			err = fmt.Errorf("status %d, want 200", response.StatusCode)
		}
		done <- err
	}()
	inProgress := <-f.submissions.Items()
	f.RefuseRequests()
	if response := f.send(t, post("/v1/services/planner/layout", "x"), false); response.Header.Get(callerapi.HeaderReason) != string(outcome.Stopping) {
		t.Errorf("new request while stopping: status %d and reason %q, want reason %q",
			response.StatusCode, response.Header.Get(callerapi.HeaderReason), outcome.Stopping)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- f.Shutdown(context.Background()) }()
	f.awaitClosed(t)
	inProgress.Deliver(message.Answer{ID: inProgress.Request.ID, Outcome: outcome.Answered, Status: 200, Server: fleet.BackendServerID("b1")})
	if err := <-done; err != nil {
		t.Errorf("request in progress: %v", err)
	}
	if err := <-stopped; err != nil {
		t.Errorf("shutdown: %v", err)
	}
}
