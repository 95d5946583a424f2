package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/callerapi"
	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/fleet"
)

// attempt is what is sent each time.
type attempt struct {
	path, key   string
	id          fleet.RequestID
	contentType string
	body        []byte
	maxBytes    int64 // most bytes of an answer
	// sendDeadline is false when the operation's own deadline applies.
	sendDeadline bool
}

// attemptResult is how one attempt ended: with an answer, or with a reason or cause.
type attemptResult struct {
	answer     *Answer
	notRun     bool
	reason     outcome.Reason
	retryAfter time.Duration
	cause      error
	// notSent means that no time was left to send the attempt.
	notSent bool
}

func (c *Client) send(ctx context.Context, address string, a attempt) attemptResult {
	deadline, _ := ctx.Deadline()
	remaining := time.Until(deadline)
	if ctx.Err() != nil || remaining < time.Millisecond {
		return attemptResult{notRun: true, notSent: true, reason: outcome.DeadlineExceeded, cause: context.Cause(ctx)}
	}
	if limit := c.settings.AttemptTimeout; limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	request, err := c.newRequest(ctx, address, a, remaining)
	if err != nil {
		return attemptResult{notRun: true, reason: outcome.MalformedRequest, cause: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		// Other idle connections may have gone silent in the same way.
		c.http.CloseIdleConnections()
		if !connected {
			return attemptResult{notRun: true, reason: outcome.ConnectFailed, cause: err}
		}
		return attemptResult{cause: err}
	}
	defer response.Body.Close()
	return parseResponse(response, a)
}

func (c *Client) newRequest(ctx context.Context, address string, a attempt, remaining time.Duration) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+a.path, bytes.NewReader(a.body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	// Without GetBody the transport does not repeat a request by itself, which
	// it would do for one with an Idempotency-Key.
	request.GetBody = nil
	set := func(name, value string) {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	set("Content-Type", a.contentType)
	if a.sendDeadline {
		set(callerapi.HeaderDeadline, strconv.FormatInt(remaining.Milliseconds(), 10))
	}
	set(callerapi.HeaderTeam, string(c.settings.Team))
	set(callerapi.HeaderCaller, string(c.settings.Caller))
	set(callerapi.HeaderRequestID, string(a.id))
	set(callerapi.HeaderRequestKey, a.key)
	return request, nil
}

// parseResponse takes the outcome from the headers. An answer without them, such as a
// balancer's error page, says nothing about the request.
func parseResponse(response *http.Response, a attempt) attemptResult {
	body, err := io.ReadAll(io.LimitReader(response.Body, a.maxBytes+1))
	header := response.Header
	word := header.Get(callerapi.HeaderOutcome)
	e := attemptResult{reason: outcome.Reason(header.Get(callerapi.HeaderReason)), retryAfter: retryAfter(header)}
	switch {
	case word == outcome.RefusedNotRun.String():
		e.notRun = true
	case word != outcome.Answered.String() && word != outcome.Unknown.String():
		e.cause = errors.Errorf("status %d without an outcome", response.StatusCode)
	case word == outcome.Unknown.String():
	case header.Get(callerapi.HeaderRequestID) != string(a.id):
		e.cause = errors.Errorf("answer belongs to request %q", header.Get(callerapi.HeaderRequestID))
	case err != nil:
		e.cause = errors.Wrap(err, "answer is incomplete")
	case int64(len(body)) > a.maxBytes:
		e.cause = errors.Errorf("answer is longer than %d bytes", a.maxBytes)
	default:
		e.answer = &Answer{
			Status: response.StatusCode, Header: header, Body: body,
			Server: fleet.BackendServerID(header.Get(callerapi.HeaderBackendServer)),
		}
	}
	return e
}

// retryAfter reads seconds; a date is not used by entry instances.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get(callerapi.HeaderRetryAfter))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
