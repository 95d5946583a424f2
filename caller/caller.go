// Package caller is a client with which callers use services of a deployment.
// The caller's program starts it; it owns its connections and its retry
// budget, and it tells the three outcomes of a request apart: an *Answer, a
// *RefusedError (the request was not run) or an *UnknownError (it may have run).
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
	// DefaultDeadline is that of a request that names none; it is the longest
	// that entry instances accept.
	DefaultDeadline = time.Minute
	// dialTimeout leaves most of a short deadline to the next address.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is below the 90 s after which entry instances close idle
	// connections.
	idleTimeout = 60 * time.Second
	// idleConnections bounds the idle connections to one entry instance.
	idleConnections = 16
	// maxAnswerBytes bounds an answer, far above what services return.
	maxAnswerBytes = 64 << 20
	maxKeyBytes    = 4 << 10
)

// Settings configure a Client.
type Settings struct {
	// Addresses are host:port of entry instances or of balancers in front of
	// them; at least one. Requests start at each of them in turn.
	Addresses []string
	Team      fleet.Team
	Caller    fleet.Caller
	// AttemptTimeout bounds one attempt of a request that may be repeated; 0
	// means only the deadline. It frees a request from a connection that went
	// silent.
	AttemptTimeout time.Duration
	// Transport sends the requests; nil means pooled connections of its own.
	Transport http.RoundTripper
}

// Request is one request to a service.
type Request struct {
	Service   fleet.Service
	Operation fleet.Operation
	// ID identifies the request in explanations; one is chosen when empty.
	ID fleet.RequestID
	// Idempotent has to match the operation's configuration. A request that is
	// not idempotent is sent under a request key, with which it runs once.
	Idempotent bool
	// Key is a request key from Key; one is obtained when it is needed and
	// empty.
	Key string
	// Deadline is how long the caller waits in all; 0 leaves it to the
	// operation's configuration, up to DefaultDeadline. The context's deadline
	// counts as well.
	Deadline    time.Duration
	ContentType string
	Body        []byte
}

// Answer is the whole answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Server is the backend server that answered.
	Server fleet.BackendServerID
	// Attempts counts from 1.
	Attempts int
}

// RefusedError says that the request was not run.
type RefusedError struct {
	Reason     outcome.Reason
	RetryAfter time.Duration // 0 when the refusal names none
	Attempts   int
	Cause      error // nil when an entry instance refused
}

func (e *RefusedError) Error() string { return describe("request was not run", e.Reason, e.Cause) }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// UnknownError says that the request may have run, once at most unless it is
// idempotent.
type UnknownError struct {
	Reason   outcome.Reason
	Attempts int
	Cause    error // nil when an entry instance said so
}

func (e *UnknownError) Error() string { return describe("outcome is unknown", e.Reason, e.Cause) }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

func describe(text string, reason outcome.Reason, cause error) string {
	if reason != outcome.NoReason {
		text += ": " + string(reason)
	}
	if cause != nil {
		text += ": " + cause.Error()
	}
	return text
}

// Client may be used by any number of goroutines.
type Client struct {
	settings Settings
	http     *http.Client
	next     atomic.Uint64
	budget   budget
}

// New returns a client. It opens no connection before the first request.
func New(s Settings) (*Client, error) {
	if len(s.Addresses) == 0 {
		return nil, errors.New("no address of an entry instance was given")
	}
	for _, address := range s.Addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, errors.Wrapf(err, "address %q, expected host:port", address)
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

// Do sends a request and repeats it where that is safe, within the deadline
// and the retry budget. The error is a *RefusedError or an *UnknownError.
func (c *Client) Do(parent context.Context, r Request) (*Answer, error) {
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
	_, named := parent.Deadline()
	path := callerapi.PathServices + url.PathEscape(string(r.Service)) + "/" + url.PathEscape(string(r.Operation))
	return c.sendWithRetries(ctx, attempt{
		path: path, id: r.ID, key: r.Key, contentType: r.ContentType, body: r.Body, maxBytes: maxAnswerBytes,
		sendDeadline: named || r.Deadline > 0,
	})
}

// Key obtains a request key from the holder of a partition. With it a request
// that is not idempotent may be repeated until the key expires, also by
// another process. Nothing runs, so a failure is a *RefusedError.
func (c *Client) Key(ctx context.Context, service fleet.Service) (string, error) {
	ctx, cancel := withDeadline(ctx, 0)
	defer cancel()
	answer, err := c.sendWithRetries(ctx, attempt{
		path: callerapi.PathKeys + url.PathEscape(string(service)), id: fleet.RequestID(rand.Text()), maxBytes: maxKeyBytes,
	})
	if err != nil {
		return "", asRefused(err)
	}
	var body callerapi.KeyResponse
	if err := json.Unmarshal(answer.Body, &body); err != nil || body.Key == "" {
		return "", &RefusedError{Reason: outcome.KeyInvalid, Attempts: answer.Attempts, Cause: errors.New("answer holds no request key")}
	}
	return body.Key, nil
}

// asRefused turns the failure to obtain a key into that of the request, which
// was not sent yet.
func asRefused(err error) error {
	var unknown *UnknownError
	if errors.As(err, &unknown) {
		return &RefusedError{Reason: unknown.Reason, Attempts: unknown.Attempts, Cause: unknown.Cause}
	}
	return err
}

func withDeadline(ctx context.Context, deadline time.Duration) (context.Context, context.CancelFunc) {
	if deadline <= 0 {
		deadline = DefaultDeadline
	}
	return context.WithTimeout(ctx, deadline)
}
