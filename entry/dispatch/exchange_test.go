package dispatch

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/supervise"
)

// script is a scripted backend server. It answers the n-th request of a
// connection with the n-th text, in which ID is replaced by the request's
// identifier, and closes the connection after the last text.
type script []string

func (s script) serve(t *testing.T, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, text := range s {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body) // unread bytes would reset the connection
		if _, err := fmt.Fprint(conn, strings.ReplaceAll(text, "ID", request.Header.Get(HeaderRequestID))); err != nil {
			t.Logf("write scripted answer: %v", err)
		}
	}
}

// startBackend starts a backend server that serves the n-th accepted connection
// with the n-th script.
func startBackend(t *testing.T, scripts ...script) fleet.BackendServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for _, s := range scripts {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.serve(t, conn)
		}
	}()
	return fleet.BackendServer{ID: "b1", Address: listener.Addr().String(), Capacity: fleet.Resources{Slots: 1}, Connections: 1}
}

func completeAnswer(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nLacewingfork-Request-Id: ID\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func newRequest(id string, timeout time.Duration) *message.Request {
	return &message.Request{
		ID: fleet.RequestID(id), Service: "planner", Operation: "layout",
		Deadline: time.Now().Add(timeout), Body: []byte("panel"),
	}
}

func newExchange(r *message.Request, lease time.Duration) message.Exchange {
	return message.Exchange{
		Request: r, Partition: "accra-1/r1", Epoch: 3, LeaseUntil: time.Now().Add(lease), Attempt: 1,
		Done: supervise.NewRing[message.ExchangeDone]("done", 1, supervise.Wait),
	}
}

// Guards against taking a partial, ambiguous or another request's answer for
// the complete answer, and against reporting "not run" after bytes were written.
func TestExchangeOutcomes(t *testing.T) {
	const noAnswer = "" // the server closes the connection without sending
	cases := []struct {
		name     string
		script   script
		lease    time.Duration
		outcome  outcome.Outcome
		reason   outcome.Reason
		written  bool
		released bool
	}{
		{"complete answer", script{completeAnswer("fine")}, time.Hour, outcome.Answered, outcome.NoReason, true, true},
		{"chunked answer", script{"HTTP/1.1 200 OK\r\nLacewingfork-Request-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n"}, time.Hour, outcome.Answered, outcome.NoReason, true, true},
		{"informational answer first", script{"HTTP/1.1 103 Early Hints\r\n\r\n" + completeAnswer("fine")}, time.Hour, outcome.Answered, outcome.NoReason, true, true},
		{"truncated answer", script{"HTTP/1.1 200 OK\r\nLacewingfork-Request-Id: ID\r\nContent-Length: 9\r\n\r\nhalf"}, time.Hour, outcome.Unknown, outcome.BackendFailed, true, false},
		{"truncated chunk", script{"HTTP/1.1 200 OK\r\nLacewingfork-Request-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf"}, time.Hour, outcome.Unknown, outcome.BackendFailed, true, false},
		{"no length", script{"HTTP/1.1 200 OK\r\nLacewingfork-Request-Id: ID\r\n\r\nall?"}, time.Hour, outcome.Unknown, outcome.BackendFailed, true, false},
		{"another request's answer", script{strings.ReplaceAll(completeAnswer("fine"), "ID", "other")}, time.Hour, outcome.Unknown, outcome.BackendFailed, true, false},
		{"no identifier", script{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine"}, time.Hour, outcome.Unknown, outcome.BackendFailed, true, false},
		{"not HTTP", script{"fine\r\n\r\n"}, time.Hour, outcome.Unknown, outcome.BackendFailed, true, false},
		{"closed without an answer", script{noAnswer}, time.Hour, outcome.Unknown, outcome.BackendFailed, true, false},
		{"lease has ended", script{completeAnswer("fine")}, -time.Second, outcome.RefusedNotRun, outcome.LeaseExpired, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newExchanger(startBackend(t, c.script), time.Minute)
			defer e.close()
			done := e.exchange(context.Background(), newExchange(newRequest("q1", time.Minute), c.lease))
			if done.Answer.Outcome != c.outcome || done.Answer.Reason != c.reason || done.Written != c.written || done.SlotReleased != c.released {
				t.Fatalf("got %v %q written=%v released=%v, want %v %q written=%v released=%v",
					done.Answer.Outcome, done.Answer.Reason, done.Written, done.SlotReleased, c.outcome, c.reason, c.written, c.released)
			}
			if c.outcome == outcome.Answered && string(done.Answer.Body) != "fine" {
				t.Fatalf(`body %q, want "fine"`, done.Answer.Body)
			}
		})
	}
}

// Guards against taking an unsolicited answer for the answer to the next
// request on the same connection.
func TestUnrequestedAnswerReplacesConnection(t *testing.T) {
	backend := startBackend(t, script{completeAnswer("one") + strings.ReplaceAll(completeAnswer("stray"), "ID", "q2")}, script{completeAnswer("two")})
	e := newExchanger(backend, time.Minute)
	defer e.close()
	first := e.exchange(context.Background(), newExchange(newRequest("q1", time.Minute), time.Hour))
	second := e.exchange(context.Background(), newExchange(newRequest("q2", time.Minute), time.Hour))
	if string(first.Answer.Body) != "one" || string(second.Answer.Body) != "two" {
		t.Fatalf(`answers %q and %q, want "one" and "two"`, first.Answer.Body, second.Answer.Body)
	}
}

// Guards against a request that ends with an unknown outcome because the server
// had closed the idle connection. The check before reuse must detect the close
// and open a new connection.
func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	e := newExchanger(startBackend(t, script{completeAnswer("one")}, script{completeAnswer("two")}), time.Minute)
	defer e.close()
	first := e.exchange(context.Background(), newExchange(newRequest("q1", time.Minute), time.Hour))
	// The server closes the connection after the last text; wait for the close.
	if _, err := e.connection.reader.Peek(1); err == nil {
		t.Fatal("read from the connection succeeded, want it closed by the server")
	}
	second := e.exchange(context.Background(), newExchange(newRequest("q2", time.Minute), time.Hour))
	if first.Answer.Outcome != outcome.Answered || second.Answer.Outcome != outcome.Answered {
		t.Fatalf("outcomes %v and %v, want %v for both", first.Answer.Outcome, second.Answer.Outcome, outcome.Answered)
	}
}

// Guards against reuse of a connection whose state a middlebox on the path may
// have dropped.
func TestConnectionReuse(t *testing.T) {
	backend := startBackend(t, script{completeAnswer("one"), completeAnswer("two")})
	now := time.Now()
	cases := []struct {
		name       string
		opened     time.Duration
		used       time.Duration
		idempotent bool
		want       bool
	}{
		{"fresh, non-idempotent", 0, 0, false, true},
		{"idle for 2 s, idempotent", -2 * time.Second, -2 * time.Second, true, true},
		{"idle for 2 s, non-idempotent", -2 * time.Second, -2 * time.Second, false, false},
		{"too old", -2 * time.Minute, 0, true, false},
	}
	c, err := dial(context.Background(), backend.Address, now.Add(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	for _, test := range cases {
		c.openedAt, c.usedAt = now.Add(test.opened), now.Add(test.used)
		if got := c.reusable(now, time.Minute, test.idempotent); got != test.want {
			t.Errorf("%s: reusable = %v, want %v", test.name, got, test.want)
		}
	}
}

// Guards against a slot that counts as free while a server that does not answer
// may still be running the request.
func TestUnresponsiveServerTimesOut(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // the kernel accepts into the backlog; nothing answers
	e := newExchanger(fleet.BackendServer{ID: "b1", Address: listener.Addr().String()}, time.Minute)
	defer e.close()
	done := e.exchange(context.Background(), newExchange(newRequest("q1", 50*time.Millisecond), time.Hour))
	if done.Answer.Outcome != outcome.Unknown || done.Answer.Reason != outcome.BackendTimeout || done.SlotReleased {
		t.Fatalf("got %+v, want %v %q and the slot not released", done, outcome.Unknown, outcome.BackendTimeout)
	}
}

// Guards against reporting a request as anything but not run when the backend
// server refuses the connection.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	e := newExchanger(fleet.BackendServer{ID: "b1", Address: address}, time.Minute)
	done := e.exchange(context.Background(), newExchange(newRequest("q1", time.Minute), time.Hour))
	if done.Answer.Outcome != outcome.RefusedNotRun || done.Answer.Reason != outcome.ConnectFailed || done.Written {
		t.Fatalf("got %+v, want %v %q and nothing written", done, outcome.RefusedNotRun, outcome.ConnectFailed)
	}
}
