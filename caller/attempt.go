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

// attempt holds the parameters of a request that every attempt sends.
type attempt struct {
	path, key   string
	id          fleet.RequestID
	contentType string
	body        []byte
	maxBytes    int64 // size limit of the response body
	// sendDeadline reports whether the deadline header is sent. Without it the
	// operation's configured deadline applies.
	sendDeadline bool
}

// attemptResult is the result of one attempt: a response, or a reason or cause.
type attemptResult struct {
	response   *Response
	notRun     bool // the request was certainly not run
	reason     outcome.Reason
	retryAfter time.Duration
	cause      error
	// notSent is set when the deadline left no time to send the attempt.
	notSent bool
}

// send makes one attempt at an address.
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
		// Other idle connections may be broken in the same way.
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
	// Without GetBody the transport does not retry a request on its own, as it
	// does for requests with an Idempotency-Key header.
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

// parseResponse reads the outcome from the headers. A response without an
// outcome header, such as an error page of a load balancer, leaves it open
// whether the request was run.
func parseResponse(response *http.Response, a attempt) attemptResult {
	body, err := io.ReadAll(io.LimitReader(response.Body, a.maxBytes+1))
	header := response.Header
	value := header.Get(callerapi.HeaderOutcome)
	result := attemptResult{reason: outcome.Reason(header.Get(callerapi.HeaderReason)), retryAfter: retryAfter(header)}
	switch {
	case value == outcome.RefusedNotRun.String():
		result.notRun = true
	case value != outcome.Answered.String() && value != outcome.Unknown.String():
		result.cause = errors.Errorf("response with status %d has no valid outcome header", response.StatusCode)
	case value == outcome.Unknown.String():
	case header.Get(callerapi.HeaderRequestID) != string(a.id):
		result.cause = errors.Errorf("response belongs to request %q", header.Get(callerapi.HeaderRequestID))
	case err != nil:
		result.cause = errors.Wrap(err, "read response body")
	case int64(len(body)) > a.maxBytes:
		result.cause = errors.Errorf("response body exceeds the limit of %d bytes", a.maxBytes)
	default:
		result.response = &Response{
			Status: response.StatusCode, Header: header, Body: body,
			Server: fleet.BackendServerID(header.Get(callerapi.HeaderBackendServer)),
		}
	}
	return result
}

// retryAfter parses a Retry-After header in seconds. Entry instances do not
// send the date form, which is ignored.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get(callerapi.HeaderRetryAfter))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
