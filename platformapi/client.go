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
	// DefaultCallTimeout limits one call. The wait of a read is added to it.
	DefaultCallTimeout = 2 * time.Second
	// dialTimeout is below DefaultCallTimeout, so that a failed dial is reported
	// before the call times out.
	dialTimeout = time.Second
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 30 * time.Second
	// idleConnections is the number of idle connections that are kept. It
	// covers the concurrent calls of an entry instance: a reader and a writer
	// for each stream, and the two watchers.
	idleConnections = 16
	// maxAnswerBytes limits the body of a response: a batch of MaxBatchBytes
	// plus one record of MaxRecordBytes, in base64 within JSON.
	maxAnswerBytes = 2 * (MaxBatchBytes + MaxRecordBytes)
	// maxHeaderBytes limits the headers of a response.
	maxHeaderBytes = 16 << 10
)

// ClientSettings configures a Client.
type ClientSettings struct {
	// BaseURL is the platform's address, such as http://127.0.0.1:7000.
	BaseURL string
	// CallTimeout limits each call. The wait of a read is added to it. Zero
	// means DefaultCallTimeout.
	CallTimeout time.Duration
	// Dial opens a connection. Nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls the platform over HTTP. It implements Log, InstanceList and
// Workers and is safe for concurrent use.
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

// NewClient returns a client. It opens its first connection with the first call.
func NewClient(s ClientSettings) (*Client, error) {
	base, err := url.Parse(s.BaseURL)
	if err != nil {
		return nil, errors.Wrap(err, "parse platform address")
	}
	if base.Scheme != "http" || base.Host == "" {
		return nil, errors.Errorf("platform address %q, expected http://host:port", s.BaseURL)
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

// request is a call to the platform before it is encoded.
type request struct {
	method       string
	path         []string // unescaped segments
	query        url.Values
	contentType  string
	body         []byte
	extraTimeout time.Duration // added to the call timeout
	knownTag     string        // entity tag of the cached response
}

// answer is the response to a call.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// decode decodes the body of a successful response into the value, unless the
// value is nil. For any other response it returns the error.
func (a answer) decode(into any) error {
	if a.status < 200 || a.status > 299 {
		return decodeError(a.status, a.body)
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(a.body, into); err != nil {
		return errors.Wrapf(ErrUnavailable, "decode response (%v)", err)
	}
	return nil
}

// do sends the request and decodes a successful response into the value, unless
// the value is nil. Every error wraps one of the errors of this package.
func (c *Client) do(ctx context.Context, r request, into any) error {
	got, err := c.call(ctx, r)
	if err != nil {
		return err
	}
	return got.decode(into)
}

// call sends the request once: net/http retries a POST only if no byte of it was
// written.
func (c *Client) call(ctx context.Context, r request) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+r.extraTimeout)
	defer cancel()
	got, err := c.roundTrip(ctx, r)
	if err != nil {
		// The other idle connections lead to the same peer and may be stalled
		// as well, so the next call opens a new connection.
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
		return answer{}, errors.Wrap(err, "read response")
	}
	if len(body) > maxAnswerBytes {
		return answer{}, errors.Errorf("response exceeds %d bytes", maxAnswerBytes)
	}
	return answer{resp.StatusCode, resp.Header, body}, nil
}

// escaped returns the path segments with URL escapes.
func escaped(segments []string) []string {
	out := make([]string, len(segments))
	for i, s := range segments {
		out[i] = url.PathEscape(s)
	}
	return out
}

// decodeError returns the error that the body of a response describes. A body
// without an error code, such as an error page, says nothing about the effect
// of the call, so it counts as ErrUnavailable.
func decodeError(status int, body []byte) error {
	var b ErrorBody
	if err := json.Unmarshal(body, &b); err != nil || b.Code == "" {
		return errors.Wrapf(ErrUnavailable, "response has status %d and no error code", status)
	}
	if b.Code == CodeTruncated {
		return &truncatedError{body: b}
	}
	return b.Err()
}

// callError wraps ErrUnavailable and the cause, so that a caller can distinguish
// a timeout from the end of its own context.
type callError struct {
	call  string
	cause error
}

func (e *callError) Error() string {
	return e.call + ": " + ErrUnavailable.Error() + ": " + e.cause.Error()
}
func (e *callError) Unwrap() []error { return []error{ErrUnavailable, e.cause} }

// truncatedError wraps ErrTruncated and keeps the offsets of the response.
type truncatedError struct{ body ErrorBody }

func (e *truncatedError) Error() string { return e.body.Message }
func (e *truncatedError) Unwrap() error { return ErrTruncated }
