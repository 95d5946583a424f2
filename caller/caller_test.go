package caller

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/callerapi"
	"lacewingfork.example/lacewingfork/decision/outcome"
)

// scriptedServer is a fake entry instance that gives each request the next of
// its responses; the last one repeats.
type scriptedServer struct {
	*httptest.Server
	responses []string
	calls     atomic.Int64
	keys      chan string // request keys in the order of the calls
}

func newScriptedServer(t *testing.T, responses ...string) *scriptedServer {
	s := &scriptedServer{responses: responses, keys: make(chan string, 1000)}
	s.Server = httptest.NewServer(http.HandlerFunc(s.serve))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s
}

func (s *scriptedServer) address() string { return strings.TrimPrefix(s.URL, "http://") }

func (s *scriptedServer) serve(w http.ResponseWriter, r *http.Request) {
	call := int(s.calls.Add(1)) - 1
	s.keys <- r.Header.Get(callerapi.HeaderRequestKey)
	header := w.Header()
	header.Set(callerapi.HeaderRequestID, r.Header.Get(callerapi.HeaderRequestID))
	switch response := s.responses[min(call, len(s.responses)-1)]; response {
	case "answer":
		header.Set(callerapi.HeaderOutcome, "answered")
		header.Set(callerapi.HeaderBackendServer, "rack1-3")
		_, _ = w.Write([]byte("whole answer"))
	case "key":
		header.Set(callerapi.HeaderOutcome, "answered")
		_, _ = w.Write([]byte(`{"key":"k1"}`))
	case "short":
		header.Set(callerapi.HeaderOutcome, "answered")
		header.Set("Content-Length", "100")
		_, _ = w.Write([]byte("part"))
	case "crossed":
		header.Set(callerapi.HeaderOutcome, "answered")
		header.Set(callerapi.HeaderRequestID, "another")
		_, _ = w.Write([]byte("answer of another request"))
	case "balancer":
		w.WriteHeader(http.StatusBadGateway)
	case "silent":
		<-r.Context().Done()
	case "unknown":
		header.Set(callerapi.HeaderOutcome, "outcome-unknown")
		header.Set(callerapi.HeaderReason, string(outcome.BackendFailed))
		w.WriteHeader(http.StatusGatewayTimeout)
	default: // "REASON" or "REASON RETRY-AFTER-SECONDS"
		reason, seconds, _ := strings.Cut(response, " ")
		header.Set(callerapi.HeaderOutcome, "refused-not-run")
		header.Set(callerapi.HeaderReason, reason)
		if seconds != "" {
			header.Set(callerapi.HeaderRetryAfter, seconds)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func newTestClient(t *testing.T, addresses ...string) *Client {
	t.Helper()
	c, err := New(Settings{Addresses: addresses, AttemptTimeout: 300 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// Guards against a wrong outcome, an unsafe retry and a missing retry.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name, end string // answer, refused or unknown
		responses string
		reason    outcome.Reason
		calls     int64
	}{
		{"answered", "answer", "answer", "", 1},
		{"temporary refusal", "answer", "queue-full,answer", "", 2},
		{"permanent refusal", "refused", "no-such-service", outcome.NoSuchService, 1},
		{"deadline too short on every attempt", "refused", "deadline-cannot-be-met", outcome.DeadlineExceeded, 1},
		{"Retry-After beyond the deadline", "refused", "no-capacity 30", outcome.NoCapacity, 1},
		{"unknown, then answered", "answer", "unknown,answer", "", 2},
		{"unknown, then refused", "unknown", "unknown,no-such-service", outcome.NoSuchService, 2},
		{"truncated answer", "answer", "short,answer", "", 2},
		{"answer of another request", "answer", "crossed,answer", "", 2},
		{"load balancer's error page", "answer", "balancer,answer", "", 2},
		{"load balancer's error page, then refused", "unknown", "balancer,body-too-large", outcome.BodyTooLarge, 2},
		{"connection without a response", "answer", "silent,answer", "", 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newScriptedServer(t, strings.Split(c.responses, ",")...)
			answer, err := newTestClient(t, s.address()).Do(t.Context(), Request{
				Service: "stitch-planner", Operation: "layout", Idempotent: true, Deadline: 5 * time.Second,
			})
			var refused *RefusedError
			var unknown *UnknownError
			end, reason := "answer", outcome.NoReason
			switch {
			case errors.As(err, &refused):
				end, reason = "refused", refused.Reason
			case errors.As(err, &unknown):
				end, reason = "unknown", unknown.Reason
			case string(answer.Body) != "whole answer" || answer.Server != "rack1-3" || int64(answer.Attempts) != c.calls:
				t.Errorf("got answer %+v, want body %q from server %q after %d attempts", answer, "whole answer", "rack1-3", c.calls)
			}
			if end != c.end || reason != c.reason || s.calls.Load() != c.calls {
				t.Errorf("got %s (reason %q) after %d calls, want %s (reason %q) after %d", end, reason, s.calls.Load(), c.end, c.reason, c.calls)
			}
		})
	}
}

// Guards against a non-idempotent request that is sent without a request key or
// retried under a different one.
func TestNonIdempotentRequestKeepsItsKey(t *testing.T) {
	s := newScriptedServer(t, "key", "unknown", "short", "answer")
	_, err := newTestClient(t, s.address()).Do(t.Context(), Request{Service: "turnos", Operation: "booking"})
	close(s.keys)
	var keys []string
	for key := range s.keys {
		keys = append(keys, key)
	}
	if err != nil || !slices.Equal(keys, []string{"", "k1", "k1", "k1"}) {
		t.Errorf("got keys %q and error %v, want one call without a key, three with k1 and no error", keys, err)
	}
	s = newScriptedServer(t, "unknown", "no-such-service")
	_, err = newTestClient(t, s.address()).Do(t.Context(), Request{Service: "turnos", Operation: "booking"})
	var refused *RefusedError
	if !errors.As(err, &refused) {
		t.Errorf("got error %v after the key request failed, want a RefusedError", err)
	}
}

// Guards against a client that does not move on from an address where nothing
// listens, or from an instance that is stopping, although others serve.
func TestOtherAddressesAreTried(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	stopping, serving := newScriptedServer(t, "stopping 30"), newScriptedServer(t, "answer")
	c := newTestClient(t, closed.Addr().String(), stopping.address(), serving.address())
	for range 3 {
		if _, err := c.Do(t.Context(), Request{Service: "a", Operation: "b", Idempotent: true, Deadline: 5 * time.Second}); err != nil {
			t.Error(err)
		}
	}
	_, err = newTestClient(t, closed.Addr().String()).Do(t.Context(), Request{
		Service: "a", Operation: "b", Idempotent: true, Deadline: 100 * time.Millisecond,
	})
	var refused *RefusedError
	if !errors.As(err, &refused) || refused.Reason != outcome.ConnectFailed {
		t.Errorf("got error %v from an address where nothing listens, want a RefusedError with reason %s", err, outcome.ConnectFailed)
	}
}

// Guards against retries that multiply the load when every request fails. After
// the initial burst, retries are at most a tenth of the requests.
func TestRetryBudget(t *testing.T) {
	s := newScriptedServer(t, "queue-full")
	c := newTestClient(t, s.address())
	const requests = 200
	for range requests {
		_, _ = c.Do(t.Context(), Request{Service: "a", Operation: "b", Idempotent: true, Deadline: 30 * time.Second})
	}
	if calls := s.calls.Load(); calls > requests+requests/10+budgetLimit/retryCost {
		t.Errorf("got %d calls for %d requests, want at most %d", calls, requests, requests+requests/10+budgetLimit/retryCost)
	}
}

// Guards against a request that runs past its deadline, and against a deadline
// that is not sent to the entry instance.
func TestDeadline(t *testing.T) {
	sent := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		sent <- r.Header.Get(callerapi.HeaderDeadline)
		<-r.Context().Done()
	}))
	defer server.Close()
	c, err := New(Settings{Addresses: []string{strings.TrimPrefix(server.URL, "http://")}})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, err = c.Do(t.Context(), Request{Service: "a", Operation: "b", Idempotent: true, Deadline: 200 * time.Millisecond})
	var unknown *UnknownError
	if !errors.As(err, &unknown) || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got error %v, want an UnknownError caused by the deadline", err)
	}
	if millis, err := strconv.Atoi(<-sent); err != nil || millis < 1 || millis > 200 {
		t.Errorf("got deadline header of %d ms (%v), want 1 to 200 ms", millis, err)
	}
}
