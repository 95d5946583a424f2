package callers

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"

	"lacewingfork.example/lacewingfork/callerapi"
	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/internal/frontend"
)

// keyDeadline is the deadline of a call that issues a request key, from its
// arrival.
const keyDeadline = 2 * time.Second

// maxNameBytes is the maximum length of team and caller names, in bytes.
const maxNameBytes = 128

// decode returns either the decoded request or, if it is refused, the answer to
// it.
func (s *Supervisor) decode(w http.ResponseWriter, r *http.Request) (*message.Request, *message.Answer) {
	id := s.nextID()
	refuse := func(reason outcome.Reason, retryAfter time.Duration) (*message.Request, *message.Answer) {
		a := message.Refusal(id, reason, retryAfter)
		return nil, &a
	}
	c := s.configuration.Load()
	if c == nil || s.stopping.Load() {
		return refuse(s.unavailableReason(), time.Second)
	}
	service, operation := fleet.Service(mux.Vars(r)["service"]), fleet.Operation(mux.Vars(r)["operation"])
	op := c.Value.Find(service, operation)
	if op == nil {
		return refuse(outcome.NoSuchService, 0)
	}
	deadline, ok := deadlineOf(r, op, min(c.Value.Limits.MaxDeadline, s.settings.MaxDeadline))
	if !ok || len(r.Header.Get(callerapi.HeaderTeam)) > maxNameBytes || len(r.Header.Get(callerapi.HeaderCaller)) > maxNameBytes {
		return refuse(outcome.MalformedRequest, 0)
	}
	body, refusal := s.readBody(w, r, id)
	if refusal != nil {
		return nil, refusal
	}
	return &message.Request{
		ID: id, Caller: fleet.Caller(r.Header.Get(callerapi.HeaderCaller)), Team: fleet.Team(r.Header.Get(callerapi.HeaderTeam)),
		Service: service, Operation: operation, Class: op.Class, Idempotent: op.Idempotent,
		Key: r.Header.Get(callerapi.HeaderRequestKey), Deadline: deadline, Fields: forwardedFields(r.Header), Body: body,
	}, nil
}

// readBody returns either the body or, if it is refused, the answer to the request.
func (s *Supervisor) readBody(w http.ResponseWriter, r *http.Request, id fleet.RequestID) ([]byte, *message.Answer) {
	body, err := frontend.ReadAll(http.MaxBytesReader(w, r.Body, s.settings.MaxBodyBytes))
	var refusal message.Answer
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		refusal = message.Refusal(id, outcome.BodyTooLarge, 0)
	case errors.Is(err, frontend.ErrCut):
		refusal = message.Refusal(id, outcome.Overloaded, time.Second)
	default:
		refusal = message.Refusal(id, outcome.MalformedRequest, 0)
	}
	return nil, &refusal
}

// deadlineOf returns the deadline of the header or, without one, that of the
// operation, which the limit caps. It returns false for a header that is malformed
// or exceeds the limit.
func deadlineOf(r *http.Request, op *configuration.Operation, limit time.Duration) (time.Time, bool) {
	timeout := op.Deadline
	if text := r.Header.Get(callerapi.HeaderDeadline); text != "" {
		millis, err := strconv.ParseInt(text, 10, 64)
		if err != nil || millis <= 0 || millis > limit.Milliseconds() {
			return time.Time{}, false
		}
		timeout = time.Duration(millis) * time.Millisecond
	}
	return time.Now().Add(min(timeout, limit)), true
}

// notForwarded lists the header fields that are not copied between the caller and
// the backend server: hop-by-hop fields, and fields that this system sets itself.
var notForwarded = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Expect": true, callerapi.HeaderRequestKey: true, callerapi.HeaderRequestID: true, callerapi.HeaderTeam: true, callerapi.HeaderDeadline: true,
	callerapi.HeaderOutcome: true, callerapi.HeaderReason: true,
}

// forwardedFields returns the header fields that are sent on to the backend server.
func forwardedFields(header http.Header) []message.Field {
	fields := make([]message.Field, 0, len(header))
	for name, values := range header {
		if notForwarded[name] {
			continue
		}
		for _, v := range values {
			fields = append(fields, message.Field{Name: name, Value: v})
		}
	}
	return fields
}

// write encodes the answer. Status and header carry the outcome.
func (s *Supervisor) write(w http.ResponseWriter, r *http.Request, a message.Answer) {
	header := w.Header()
	for _, f := range a.Fields {
		if !notForwarded[f.Name] {
			header.Add(f.Name, f.Value)
		}
	}
	header.Set(callerapi.HeaderOutcome, a.Outcome.String())
	header.Set(callerapi.HeaderTraceID, string(a.ID))
	if callerID := r.Header.Get(callerapi.HeaderRequestID); callerID != "" {
		header.Set(callerapi.HeaderRequestID, callerID)
	}
	if a.Server != "" {
		header.Set(callerapi.HeaderBackendServer, string(a.Server))
	}
	if a.Reason != outcome.NoReason {
		header.Set(callerapi.HeaderReason, string(a.Reason))
	}
	if a.RetryAfter > 0 {
		seconds := (a.RetryAfter + time.Second - 1) / time.Second
		header.Set(callerapi.HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
	}
	body, status := a.Body, a.Status
	if a.Outcome != outcome.Answered {
		status = statusOf(a)
		header.Set("Content-Type", "application/json")
		body, _ = json.Marshal(map[string]string{"outcome": a.Outcome.String(), "reason": string(a.Reason)})
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func statusOf(a message.Answer) int {
	if a.Outcome == outcome.Unknown {
		return http.StatusGatewayTimeout
	}
	switch a.Reason {
	case outcome.NoSuchService:
		return http.StatusNotFound
	case outcome.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case outcome.MalformedRequest, outcome.KeyInvalid:
		return http.StatusBadRequest
	case outcome.Quota, outcome.QueueFull, outcome.DeadlineExceeded:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

func encodeKey(key string) []byte {
	body, _ := json.Marshal(callerapi.KeyResponse{Key: key})
	return body
}
