package callers

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/decision/cell"
	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/internal/frontend"
	"lacewingfork.example/lacewingfork/scheduler/api"
	"lacewingfork.example/lacewingfork/scheduler/message"
	"lacewingfork.example/lacewingfork/scheduler/peers"
	"lacewingfork.example/lacewingfork/supervise"
)

// result is the HTTP response to one call.
type result struct {
	status     int
	body       []byte
	retryAfter time.Duration
	reason     string // set for failures that the caller did not cause
}

// cutOff returns the response to a call that was cut off before it was complete. It
// is not logged: a crowd has many, which the intake duty logs in one line a second.
func cutOff() result {
	return result{status: http.StatusServiceUnavailable, retryAfter: time.Second}
}

func (s *Supervisor) handle(w http.ResponseWriter, r *http.Request) {
	start := s.clock.Steady()
	table := s.routes.Load()
	if table == nil {
		s.write(w, r, start, result{status: http.StatusServiceUnavailable, retryAfter: time.Second, reason: "no_configuration"})
		return
	}
	route, rest, ok := table.find(r.Host, r.URL.Path)
	if !ok {
		s.write(w, r, start, result{status: http.StatusNotFound})
		return
	}
	s.write(w, r, start, s.serveCall(w, r, start, table, route, rest))
}

// serveCall serves a call of a route; rest is the path after the route's prefix.
// An empty rest asks for the number of pending jobs, any other is a job
// identifier.
func (s *Supervisor) serveCall(w http.ResponseWriter, r *http.Request, start time.Duration, table *routeTable, route api.Route, rest string) result {
	if rest == "" {
		if r.Method != http.MethodGet {
			return result{status: http.StatusMethodNotAllowed}
		}
		return s.pendingCount(r.Context(), route.Queue.Name)
	}
	if !job.ValidID(rest) {
		return result{status: http.StatusBadRequest, body: s.format.ErrorBody(errors.Errorf("%q is no job identifier: expected 16 hexadecimal digits", rest))}
	}
	request := message.Request{
		Queue: route.Queue.Name, Job: fleet.JobID(rest), Deadline: start + s.waitTime(r, route),
		Reply: supervise.NewRing[message.Response]("callers.answer", 1, supervise.Refuse),
	}
	switch r.Method {
	case http.MethodPost:
		submitted, failure := s.decodeSubmission(w, r, table, request)
		if failure != nil {
			return *failure
		}
		request.Kind, request.Body = message.RequestSubmit, submitted
	case http.MethodGet:
		request.Kind = message.RequestState
	case http.MethodDelete:
		request.Kind = message.RequestCancel
	default:
		return result{status: http.StatusMethodNotAllowed}
	}
	return s.sendRequest(r.Context(), request)
}

// waitTime returns how long the caller waits for a response.
func (s *Supervisor) waitTime(r *http.Request, route api.Route) time.Duration {
	wait := s.format.Deadline(r.Header)
	if wait == 0 || route.Timeout > 0 && route.Timeout < wait {
		wait = route.Timeout
	}
	if wait == 0 {
		wait = defaultWait
	}
	return max(responseMargin, wait-responseMargin)
}

// decodeSubmission reads and decodes a submitted job, or returns the failure to
// respond with.
func (s *Supervisor) decodeSubmission(w http.ResponseWriter, r *http.Request, table *routeTable, request message.Request) (*job.Job, *result) {
	limit := table.limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := frontend.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &result{status: http.StatusRequestEntityTooLarge, body: s.format.ErrorBody(err)}
	case errors.Is(err, frontend.ErrCut):
		failure := cutOff()
		return nil, &failure
	case err != nil:
		return nil, &result{status: http.StatusBadRequest, body: s.format.ErrorBody(err)}
	}
	submitted, err := s.format.Submission(request.Job, request.Queue, body)
	if err != nil {
		s.log.Event(string(cell.NoteJobUnreadable), "job", request.Job, "error", firstBytes(err.Error(), maxLoggedError))
		return nil, &result{status: http.StatusBadRequest, body: s.format.ErrorBody(err)}
	}
	return &submitted, nil
}

// maxLoggedError bounds the findings in a log line, in bytes: a submission may have
// a hundred.
const maxLoggedError = 500

func firstBytes(text string, most int) string { return text[:min(len(text), most)] }

// sendRequest sends the request to the holder and waits for the response.
func (s *Supervisor) sendRequest(ctx context.Context, request message.Request) result {
	if err := s.requests.Put(ctx, request); err != nil {
		return result{status: http.StatusServiceUnavailable, retryAfter: time.Second, reason: "asks_ring_full"}
	}
	timer := time.NewTimer(request.Deadline - s.clock.Steady())
	defer timer.Stop()
	select {
	case response := <-request.Reply.Items():
		return s.resultOf(request, response.Reply)
	case <-timer.C:
		return result{status: http.StatusGatewayTimeout, reason: "deadline"}
	case <-ctx.Done():
		return result{status: http.StatusGatewayTimeout, reason: "caller_left"}
	}
}

func (s *Supervisor) resultOf(request message.Request, reply cell.JobReply) result {
	switch reply.Verdict {
	case cell.Accepted:
		return result{status: http.StatusOK, body: s.format.StateBody(reply.State)}
	case cell.NoSuchQueue:
		return result{status: http.StatusNotFound}
	case cell.NoSuchJob:
		return result{status: http.StatusGone}
	case cell.NotStored:
		return result{status: http.StatusServiceUnavailable, retryAfter: max(time.Second, reply.RetryAfter), reason: reply.Reason}
	default:
		return result{status: http.StatusGatewayTimeout, reason: reply.Reason}
	}
}

// pendingCount returns the number of pending jobs of a queue.
func (s *Supervisor) pendingCount(ctx context.Context, queue job.Queue) result {
	reply := supervise.NewRing[int]("callers.count", 1, supervise.Refuse)
	if err := s.countRequests.Put(ctx, peers.CountRequest{Queue: queue, Reply: reply}); err != nil {
		return result{status: http.StatusServiceUnavailable, retryAfter: time.Second, reason: "counts_ring_full"}
	}
	select {
	case count := <-reply.Items():
		return result{status: http.StatusOK, body: s.format.PendingBody(count)}
	case <-ctx.Done():
		return result{status: http.StatusGatewayTimeout, reason: "caller_left"}
	}
}

// write writes the response and logs a failure that the caller did not cause.
func (s *Supervisor) write(w http.ResponseWriter, r *http.Request, start time.Duration, response result) {
	if response.body != nil {
		w.Header().Set("Content-Type", s.format.ContentType())
	}
	if response.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(response.retryAfter.Seconds()))))
	}
	took := s.clock.Steady() - start
	if response.reason != "" {
		s.log.Event("call_not_served", "path", r.URL.Path, "method", r.Method, "status", response.status,
			"reason", response.reason, "took_ms", took.Milliseconds())
	}
	s.callSeconds.WithLabelValues(methodLabel(r.Method), strconv.Itoa(response.status)).Observe(took.Seconds())
	w.WriteHeader(response.status)
	if _, err := w.Write(response.body); err != nil {
		s.log.Event("answer_not_written", "path", r.URL.Path, "error", err)
	}
}

// methodLabel returns the metric's label value for an HTTP method, which limits
// the number of label values.
func methodLabel(name string) string {
	switch name {
	case http.MethodGet, http.MethodPost, http.MethodDelete:
		return name
	default:
		return "other"
	}
}
