package frontend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
)

const (
	// firstSegment and lastSegment are the sizes of the parts in which ReadAll reads
	// a body. One array that grows would be copied while both copies are held.
	firstSegment = 4 << 10
	lastSegment  = 64 << 10
	// stepBytes is the least number of bytes that a body is charged with at a time,
	// and stepShare the part of what has arrived, so that a body of 1 MiB asks the
	// duty about 20 times.
	stepBytes = 4 << 10
	stepShare = 4
	// maxUnusedBody bounds the body of a request whose method needs none.
	maxUnusedBody = 64 << 10
)

// Handler returns a handler that counts the bodies of requests and passes them on to
// next. A handler that gets ErrCut from the body must reject the request as not run.
func (g *Gate) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok { // in a test without a network
			c = g.newConn(context.Background(), nil)
			defer g.tell(request{kind: closed, conn: c})
		}
		b := &body{gate: g, conn: c, source: r.Body, length: r.ContentLength}
		response := &response{ResponseWriter: w, body: b, writeTimeout: g.limits.WriteTimeout}
		defer func() {
			g.tell(request{kind: ended, conn: c})
			if !b.complete {
				c.stopReading() // net/http would wait for the rest of the body
			}
		}()
		if !b.begin(r) {
			g.rejectUnread(response, r)
			return
		}
		if b.source != http.NoBody {
			r.Body = b
		}
		next.ServeHTTP(response, r)
	})
}

// body counts a body as it arrives. Only the goroutine of its connection uses it.
type body struct {
	gate             *Gate
	conn             *conn
	source           io.ReadCloser
	length           int64 // declared; -1 if it is not known
	arrived, charged int64
	complete         bool
	err              error
}

// begin tells the duty about a request whose header is complete. It returns false if
// the connection has been cut off.
func (b *body) begin(r *http.Request) bool {
	if b.source == nil || b.source == http.NoBody || b.length == 0 {
		b.source = http.NoBody
		b.complete = b.gate.ask(request{kind: completed, conn: b.conn})
		return b.complete
	}
	if !b.gate.ask(request{kind: began, conn: b.conn}) {
		return false
	}
	if r.Method == http.MethodPost {
		return true
	}
	// A request that runs must be complete, also if nobody reads its body.
	_, err := io.Copy(io.Discard, io.LimitReader(b, maxUnusedBody))
	return err == nil && b.complete
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.source.Read(p)
	b.arrived += int64(n)
	if b.arrived > b.charged {
		b.charged = b.arrived + max(stepBytes, b.arrived/stepShare)
		if b.length > 0 {
			b.charged = min(b.charged, b.length)
		}
		if !b.gate.ask(request{kind: grew, conn: b.conn, bytes: b.charged}) {
			b.err = ErrCut
			return 0, b.err
		}
	}
	switch {
	case errors.Is(err, io.EOF):
		if !b.gate.ask(request{kind: completed, conn: b.conn, bytes: b.arrived}) {
			err = ErrCut
			break
		}
		b.complete = true
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = ErrCut // the only deadline while a body arrives is that of stopReading
	}
	b.err = err
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error { return b.source.Close() }

// response closes the connection after the response to a request whose body was not
// read, and bounds the time of writing it.
type response struct {
	http.ResponseWriter
	body         *body
	writeTimeout time.Duration
	wroteHeader  bool
}

// WriteHeader implements http.ResponseWriter.
func (r *response) WriteHeader(status int) {
	r.wroteHeader = true
	if !r.body.complete {
		r.Header().Set("Connection", "close")
	}
	// Fails only in a test without a network.
	_ = http.NewResponseController(r.ResponseWriter).SetWriteDeadline(time.Now().Add(r.writeTimeout))
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *response) Write(p []byte) (int, error) {
	if !r.wroteHeader {
		r.WriteHeader(http.StatusOK)
	}
	return r.ResponseWriter.Write(p)
}

// Unwrap supports http.ResponseController.
func (r *response) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// ReadAll reads until the end, as io.ReadAll does. It holds at most twice what it
// has read, and only at the end.
func ReadAll(r io.Reader) ([]byte, error) {
	var segments [][]byte
	for size := firstSegment; ; size = min(2*size, lastSegment) {
		segment := make([]byte, 0, size)
		for len(segment) < size {
			n, err := r.Read(segment[len(segment):size])
			segment = segment[:len(segment)+n]
			switch {
			case errors.Is(err, io.EOF):
				if len(segments) == 0 {
					return segment, nil
				}
				return bytes.Join(append(segments, segment), nil), nil
			case err != nil:
				return nil, err
			}
		}
		segments = append(segments, segment)
	}
}
