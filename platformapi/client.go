package platformapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	// DefaultCallTimeout bounds one call, without the wait of a read.
	DefaultCallTimeout = 2 * time.Second
	// dialTimeout is below the call timeout so that a call can fail by itself.
	dialTimeout = time.Second
	// idleTimeout closes connections that no call has used.
	idleTimeout = 30 * time.Second
	// idleConnections covers the concurrent calls of an entry instance: a
	// reader and a writer per stream, and the two watchers.
	idleConnections = 16
	// maxAnswerBytes bounds an answer: a batch of MaxBatchBytes plus one whole
	// record, in base64 with its JSON frame.
	maxAnswerBytes = 2 * (MaxBatchBytes + MaxRecordBytes)
	// maxHeaderBytes bounds the headers of an answer.
	maxHeaderBytes = 16 << 10
)

// ClientSettings say where the platform is and how long a call may take.
type ClientSettings struct {
	// BaseURL is the platform's address, such as http://127.0.0.1:7000.
	BaseURL string
	// CallTimeout bounds each call; a read may take its wait in addition.
	// Zero means DefaultCallTimeout.
	CallTimeout time.Duration
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls the platform over HTTP. It implements Log, InstanceList and
// Workers and may be used by any number of goroutines.
type Client struct {
	base      *url.URL
	timeout   time.Duration
	transport *http.Transport
	http      *http.Client
	list      atomic.Pointer[taggedList]
}

var (
	_ Log          = (*Client)(nil)
	_ InstanceList = (*Client)(nil)
	_ Workers      = (*Client)(nil)
)

// NewClient returns a client. It opens no connection before the first call.
func NewClient(s ClientSettings) (*Client, error) {
	base, err := url.Parse(s.BaseURL)
	if err != nil {
		return nil, errors.Wrap(err, "platform address")
	}
	if base.Scheme != "http" || base.Host == "" {
		return nil, errors.Errorf("platform address %q is not of the form http://host:port", s.BaseURL)
	}
	if s.CallTimeout <= 0 {
		s.CallTimeout = DefaultCallTimeout
	}
	if s.Dial == nil {
		s.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	transport := &http.Transport{
		DialContext:            s.Dial,
		MaxIdleConnsPerHost:    idleConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &Client{
		base: base, timeout: s.CallTimeout, transport: transport,
		http: &http.Client{
			Transport: transport,
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// request is one call before it is encoded.
type request struct {
	method      string
	path        []string // unescaped segments
	query       url.Values
	contentType string
	body        []byte
	extra       time.Duration // added to the call timeout
	knownTag    string        // entity tag of the answer that the client has
}

// answer is what came back to one call.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// decode reads the body of a successful answer into the value, unless that is
// nil.
func (a answer) decode(into any) error {
	if a.status < 200 || a.status > 299 {
		return decodeError(a.status, a.body)
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(a.body, into); err != nil {
		return errors.Wrapf(ErrUnavailable, "answer is not valid JSON (%v)", err)
	}
	return nil
}

// do sends the call and decodes a successful answer into the value, unless that
// is nil. Every error wraps one of the package's errors.
func (c *Client) do(ctx context.Context, r request, into any) error {
	got, err := c.call(ctx, r)
	if err != nil {
		return err
	}
	return got.decode(into)
}

// call sends the call once: net/http repeats a POST by itself only when no byte
// of it was written.
func (c *Client) call(ctx context.Context, r request) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+r.extra)
	defer cancel()
	got, err := c.roundTrip(ctx, r)
	if err != nil {
		// The other idle connections lead to the same place and may be as
		// silent as the one that failed, so the next call opens a fresh one.
		c.transport.CloseIdleConnections()
		return answer{}, &callError{call: r.method + " " + r.path[len(r.path)-1], cause: err}
	}
	return got, nil
}

func (c *Client) roundTrip(ctx context.Context, r request) (answer, error) {
	target := c.base.JoinPath(escaped(r.path)...)
	target.RawQuery = r.query.Encode()
	req, err := http.NewRequestWithContext(ctx, r.method, target.String(), bytes.NewReader(r.body))
	if err != nil {
		return answer{}, err
	}
	if r.contentType != "" {
		req.Header.Set("Content-Type", r.contentType)
	}
	if r.knownTag != "" {
		req.Header.Set("If-None-Match", r.knownTag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return answer{}, errors.Wrap(err, "read answer")
	}
	if len(body) > maxAnswerBytes {
		return answer{}, errors.Errorf("answer is longer than %d bytes", maxAnswerBytes)
	}
	return answer{resp.StatusCode, resp.Header, body}, nil
}

func escaped(segments []string) []string {
	out := make([]string, len(segments))
	for i, s := range segments {
		out[i] = url.PathEscape(s)
	}
	return out
}

// decodeError takes only a body with a known code at its word; anything else,
// such as an error page, says nothing about the effect of the call.
func decodeError(status int, body []byte) error {
	var b ErrorBody
	if err := json.Unmarshal(body, &b); err != nil || b.Code == "" {
		return errors.Wrapf(ErrUnavailable, "status %d", status)
	}
	if b.Code == CodeTruncated {
		return &truncatedError{body: b}
	}
	return b.Err()
}

// callError is ErrUnavailable and keeps the cause, so that a caller can tell a
// timeout from the end of its own context.
type callError struct {
	call  string
	cause error
}

func (e *callError) Error() string {
	return e.call + ": " + ErrUnavailable.Error() + ": " + e.cause.Error()
}
func (e *callError) Unwrap() []error { return []error{ErrUnavailable, e.cause} }

type truncatedError struct{ body ErrorBody }

func (e *truncatedError) Error() string { return e.body.Message }
func (e *truncatedError) Unwrap() error { return ErrTruncated }
