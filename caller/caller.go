// Package caller is a client for the services of a deployment. The calling
// program creates a Client, which owns its connections and its retry budget. A
// request has one of three outcomes: a *Response, a *RefusedError (the request
// was not run) or an *UnknownError (it may have run).
package caller

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/callerapi"
	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/fleet"
)

const (
	// DefaultDeadline applies to a request without a deadline. It is the longest
	// deadline that entry instances accept.
	DefaultDeadline = time.Minute
	// dialTimeout leaves most of a short deadline for the next address.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is below the 90 s after which entry instances close idle
	// connections.
	idleTimeout = 60 * time.Second
	// idleConnections is the maximum number of idle connections to one entry
	// instance.
	idleConnections = 16
	// maxResponseBytes bounds a response body; services return far less.
	maxResponseBytes = 64 << 20
	// maxKeyBytes bounds the response that holds a request key.
	maxKeyBytes = 4 << 10
)

// Settings configure a Client.
type Settings struct {
	// Addresses are the host:port of entry instances or of load balancers in
	// front of them; at least one is required. The first attempts of successive
	// requests go to the addresses in turn.
	Addresses []string
	Team      fleet.Team
	Caller    fleet.Caller
	// AttemptTimeout bounds one attempt, so that a request is retried when its
	// connection stops responding; 0 means that only the deadline applies.
	AttemptTimeout time.Duration
	// Transport sends the requests; nil means a connection pool of the client's
	// own.
	Transport http.RoundTripper
}

// Request is one request to a service.
type Request struct {
	Service   fleet.Service
	Operation fleet.Operation
	// ID identifies the request in the output of explain; generated when empty.
	ID fleet.RequestID
	// Idempotent must match the operation's configuration. A request that is
	// not idempotent carries a request key, so that it runs at most once.
	Idempotent bool
	// Key is a request key from Client.Key. When it is empty and the request is
	// not idempotent, Do obtains one.
	Key string
	// Deadline is the total time allowed for the request, retries included; 0
	// means the operation's configured deadline, at most DefaultDeadline. The
	// context's deadline applies as well.
	Deadline    time.Duration
	ContentType string
	Body        []byte
}

// Response is the complete response of a backend server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Server is the backend server that sent the response.
	Server fleet.BackendServerID
	// Attempts is the number of attempts made, at least 1.
	Attempts int
}

// RefusedError reports that the request was not run.
type RefusedError struct {
	Reason     outcome.Reason
	RetryAfter time.Duration // 0 when the refusal has none
	Attempts   int
	Cause      error // nil when an entry instance refused
}

// Error implements error.
func (e *RefusedError) Error() string { return describe("request was not run", e.Reason, e.Cause) }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// UnknownError reports that the request may have run: at most once, unless it
// is idempotent.
type UnknownError struct {
	Reason   outcome.Reason
	Attempts int
	Cause    error // nil when an entry instance reported it
}

// Error implements error.
func (e *UnknownError) Error() string { return describe("outcome is unknown", e.Reason, e.Cause) }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// describe joins a text with a reason and a cause, where there are any.
func describe(text string, reason outcome.Reason, cause error) string {
	if reason != outcome.NoReason {
		text += ": " + string(reason)
	}
	if cause != nil {
		text += ": " + cause.Error()
	}
	return text
}

// Client sends requests to entry instances and retries them. It is safe for
// concurrent use.
type Client struct {
	settings Settings
	http     *http.Client
	next     atomic.Uint64 // number of requests sent; selects the first address
	budget   budget
}

// New returns a client. It opens no connection before the first request.
func New(s Settings) (*Client, error) {
	if len(s.Addresses) == 0 {
		return nil, errors.New("no addresses: got 0, expected at least 1 entry instance")
	}
	for _, address := range s.Addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, errors.Wrapf(err, "invalid address %q, expected host:port", address)
		}
	}
	if s.Transport == nil {
		s.Transport = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout, DisableCompression: true,
		}
	}
	return &Client{settings: s, http: &http.Client{
		Transport:     s.Transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends a request and retries it where that is safe, within the deadline and
// the retry budget. The error is a *RefusedError or an *UnknownError.
func (c *Client) Do(parent context.Context, r Request) (*Response, error) {
	ctx, cancel := withDeadline(parent, r.Deadline)
	defer cancel()
	if r.ID == "" {
		r.ID = fleet.RequestID(rand.Text())
	}
	if !r.Idempotent && r.Key == "" {
		key, err := c.Key(ctx, r.Service)
		if err != nil {
			return nil, asRefused(err)
		}
		r.Key = key
	}
	_, hasDeadline := parent.Deadline()
	path := callerapi.PathServices + url.PathEscape(string(r.Service)) + "/" + url.PathEscape(string(r.Operation))
	return c.sendWithRetries(ctx, attempt{
		path: path, id: r.ID, key: r.Key, contentType: r.ContentType, body: r.Body, maxBytes: maxResponseBytes,
		sendDeadline: hasDeadline || r.Deadline > 0,
	})
}

// Key obtains a request key from the entry instance that holds a partition.
// With the key, a request that is not idempotent can be retried until the key
// expires, also by another process. Nothing runs, so every failure is a
// *RefusedError.
func (c *Client) Key(ctx context.Context, service fleet.Service) (string, error) {
	ctx, cancel := withDeadline(ctx, 0)
	defer cancel()
	response, err := c.sendWithRetries(ctx, attempt{
		path: callerapi.PathKeys + url.PathEscape(string(service)), id: fleet.RequestID(rand.Text()), maxBytes: maxKeyBytes,
	})
	if err != nil {
		return "", asRefused(err)
	}
	var body callerapi.KeyResponse
	if err := json.Unmarshal(response.Body, &body); err != nil || body.Key == "" {
		return "", &RefusedError{Reason: outcome.KeyInvalid, Attempts: response.Attempts, Cause: errors.New("response holds no request key")}
	}
	return body.Key, nil
}

// asRefused converts a failure to obtain a key into a *RefusedError, because
// the request itself was not sent.
func asRefused(err error) error {
	var unknown *UnknownError
	if errors.As(err, &unknown) {
		return &RefusedError{Reason: unknown.Reason, Attempts: unknown.Attempts, Cause: unknown.Cause}
	}
	return err
}

// withDeadline limits ctx to a deadline, or to DefaultDeadline if there is none.
func withDeadline(ctx context.Context, deadline time.Duration) (context.Context, context.CancelFunc) {
	if deadline <= 0 {
		deadline = DefaultDeadline
	}
	return context.WithTimeout(ctx, deadline)
}
