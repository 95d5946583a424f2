package dispatch

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/supervise"
)

// Header names of the protocol with backend servers.
const (
	HeaderRequestID  = "Lacewingfork-Request-Id"
	HeaderDeadline   = "Lacewingfork-Deadline-Ms"
	HeaderPartition  = "Lacewingfork-Partition"
	HeaderEpoch      = "Lacewingfork-Epoch"
	HeaderTeam       = "Lacewingfork-Team"
	HeaderLeaving    = "Lacewingfork-Leaving"
	HeaderRequestKey = "Idempotency-Key"
)

// MaxAnswerBytes is the maximum body size of a backend server's answer, in
// bytes.
const MaxAnswerBytes = 1 << 20

// reportTimeout bounds the wait for room on the done ring, which a partition
// duty that has stopped no longer reads.
const reportTimeout = 5 * time.Second

var (
	errOtherRequest = errors.New("answer carries another request's identifier")
	errNoLength     = errors.New("answer has neither a length nor chunked encoding")
	errTooLarge     = errors.New("answer exceeds the size limit")
	errLeaseEnded   = errors.New("lease ended before the request was written")
)

// exchanger is the state of an exchange duty. It sends requests over one
// connection, one at a time.
type exchanger struct {
	server     fleet.BackendServer
	maxAge     time.Duration // of the connection
	connection *connection
	served     uint64 // exchanges that have ended
	mismatched uint64 // answers that carried another request's identifier
	metrics    *Metrics
}

func newExchanger(server fleet.BackendServer, maxAge time.Duration) *exchanger {
	return &exchanger{server: server, maxAge: maxAge}
}

type exchangerDump struct {
	Server     fleet.BackendServerID `json:"server"`
	Open       bool                  `json:"open"`
	Served     uint64                `json:"carried"`
	Mismatched uint64                `json:"crossed"`
}

func (e *exchanger) run(ctx context.Context, ring *supervise.Ring[message.Exchange], dumps <-chan supervise.DumpRequest) error {
	defer e.close()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case x := <-ring.Items():
			e.serve(ctx, x)
		case r := <-dumps:
			r.Answer(exchangerDump{e.server.ID, e.connection != nil, e.served, e.mismatched})
		}
	}
}

// serve runs an exchange and always reports its end, even when the exchange
// panics: the partition duty counts the slot as used until the report arrives.
func (e *exchanger) serve(ctx context.Context, x message.Exchange) {
	done := message.ExchangeDone{
		Server: e.server.ID, Attempt: x.Attempt, Written: true,
		Answer: message.UnknownOutcome(x.Request.ID, outcome.DutyFailed),
	}
	started := time.Now()
	defer func() {
		done.Duration = time.Since(started)
		e.metrics.observeRun(x.Request, done)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
		defer cancel()
		_ = x.Done.Put(ctx, done)
	}()
	done = e.exchange(ctx, x)
	e.served++
}

func (e *exchanger) exchange(ctx context.Context, x message.Exchange) message.ExchangeDone {
	done := message.ExchangeDone{Server: e.server.ID, Attempt: x.Attempt}
	if err := e.connect(ctx, x); err != nil {
		done.Answer = message.Refusal(x.Request.ID, outcome.ConnectFailed, 0)
		done.SlotReleased = true
		return done
	}
	written, err := e.write(x)
	done.Written = written
	if !written {
		done.Answer = message.Refusal(x.Request.ID, refusalReason(err), 0)
		done.SlotReleased = true
		e.close()
		return done
	}
	if err == nil {
		done.Answer, err = e.read(x)
	}
	if err != nil {
		done.Answer = message.UnknownOutcome(x.Request.ID, unknownReason(err))
		e.close()
		return done
	}
	done.SlotReleased = true
	done.Leaving = hasField(done.Answer.Fields, HeaderLeaving, "true")
	if e.connection != nil {
		e.connection.usedAt = time.Now()
	}
	return done
}

func (e *exchanger) connect(ctx context.Context, x message.Exchange) error {
	if e.connection != nil && e.connection.reusable(time.Now(), e.maxAge, x.Request.Idempotent) {
		return nil
	}
	e.close()
	conn, err := dial(ctx, e.server.Address, x.Request.Deadline)
	if err != nil {
		return err
	}
	e.connection = conn
	return nil
}

// write sends the request in one call. It checks the lease immediately before
// the call, and a write that blocks fails when the lease ends. written is false
// when no byte of the request was sent.
func (e *exchanger) write(x message.Exchange) (written bool, err error) {
	var encoded bytes.Buffer
	if err := e.encode(x).Write(&encoded); err != nil {
		return false, errors.Wrap(err, "encode request")
	}
	limit := earlier(x.Request.Deadline, x.LeaseUntil)
	if err := e.connection.SetWriteDeadline(limit); err != nil {
		return false, errors.Wrap(err, "set write deadline")
	}
	if !time.Now().Before(limit) {
		return false, errLeaseEnded
	}
	n, err := e.connection.Write(encoded.Bytes())
	if err != nil {
		return n > 0, errors.Wrap(err, "write request")
	}
	return true, nil
}

func (e *exchanger) encode(x message.Exchange) *http.Request {
	r := x.Request
	header := http.Header{}
	for _, f := range r.Fields {
		header.Add(f.Name, f.Value)
	}
	header.Set(HeaderRequestID, string(r.ID))
	header.Set(HeaderPartition, string(x.Partition))
	header.Set(HeaderEpoch, strconv.FormatUint(uint64(x.Epoch), 10))
	header.Set(HeaderDeadline, strconv.FormatInt(time.Until(r.Deadline).Milliseconds(), 10))
	if r.Team != "" {
		header.Set(HeaderTeam, string(r.Team))
	}
	if r.Key != "" {
		header.Set(HeaderRequestKey, r.Key)
	}
	return &http.Request{
		Method: http.MethodPost, Host: e.server.Address,
		URL:    &url.URL{Scheme: "http", Host: e.server.Address, Path: "/run/" + string(r.Service) + "/" + string(r.Operation)},
		Proto:  "HTTP/1.1",
		Header: header, Body: io.NopCloser(bytes.NewReader(r.Body)), ContentLength: int64(len(r.Body)),
	}
}

// read returns the complete answer or an error, never a partial answer.
func (e *exchanger) read(x message.Exchange) (message.Answer, error) {
	if err := e.connection.SetReadDeadline(x.Request.Deadline); err != nil {
		return message.Answer{}, errors.Wrap(err, "set read deadline")
	}
	response, err := e.readFinal()
	if err != nil {
		return message.Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if id := response.Header.Get(HeaderRequestID); id != string(x.Request.ID) {
		e.mismatched++
		e.metrics.countMismatched()
		return message.Answer{}, errOtherRequest
	}
	body, err := readBody(response)
	if err != nil {
		return message.Answer{}, err
	}
	answer := message.Answer{
		ID: x.Request.ID, Outcome: outcome.Answered, Status: response.StatusCode,
		Body: body, Server: e.server.ID, Partition: x.Partition,
	}
	for name, values := range response.Header {
		for _, v := range values {
			answer.Fields = append(answer.Fields, message.Field{Name: name, Value: v})
		}
	}
	if response.Close {
		e.close()
	}
	return answer, nil
}

// readFinal skips informational (1xx) responses.
func (e *exchanger) readFinal() (*http.Response, error) {
	for {
		response, err := http.ReadResponse(e.connection.reader, &http.Request{Method: http.MethodPost})
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// readBody reads the whole body. It fails for an answer with neither a length
// nor chunked encoding, because its end would look like a broken connection.
func readBody(response *http.Response) ([]byte, error) {
	chunked := len(response.TransferEncoding) > 0
	if response.ContentLength < 0 && !chunked {
		return nil, errNoLength
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read answer body")
	}
	if len(body) > MaxAnswerBytes {
		return nil, errTooLarge
	}
	return body, nil
}

func (e *exchanger) close() {
	if e.connection != nil {
		_ = e.connection.Close()
		e.connection = nil
	}
}

func refusalReason(err error) outcome.Reason {
	if errors.Is(err, errLeaseEnded) {
		return outcome.LeaseExpired
	}
	return outcome.ConnectFailed
}

func unknownReason(err error) outcome.Reason {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return outcome.BackendTimeout
	}
	return outcome.BackendFailed
}

func hasField(fields []message.Field, name, value string) bool {
	for _, f := range fields {
		if f.Name == name && f.Value == value {
			return true
		}
	}
	return false
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
