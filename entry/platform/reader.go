package platform

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/platformapi"
	"lacewingfork.example/lacewingfork/records"
	"lacewingfork.example/lacewingfork/supervise"
)

const (
	// pollWait is how long a read waits for a record. A connection that stops
	// responding is detected after pollWait plus the call timeout; the sum has
	// to stay below the lease TTL (4 s).
	pollWait = 500 * time.Millisecond
	// readRetryInitial and readRetryMax bound the backoff between reads after an
	// error. Jitter of up to half the backoff is added or subtracted.
	readRetryInitial = 100 * time.Millisecond
	readRetryMax     = time.Second
)

type readRequest struct {
	stream string
	from   fleet.Offset
}

type readCallRing = callRing[readRequest, platformapi.Batch]

// readerDuties returns the reader of a stream and its call duty.
func readerDuties(stream Stream, log platformapi.Log) []supervise.Duty {
	calls := newCallRing[readRequest, platformapi.Batch]("log-read." + stream.Name + ".calls")
	rewinds := stream.Rewinds
	if rewinds == nil {
		rewinds = supervise.NewRing[message.Rewind]("log-reader."+stream.Name+".rewinds", 1, supervise.DropOldest)
	}
	return []supervise.Duty{
		{
			Name:  "log-reader/" + stream.Name,
			Rings: []supervise.AnyRing{rewinds},
			Run: func(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
				return newReader(stream, calls, rewinds).run(ctx, dumps)
			},
		},
		callDuty("log-read/"+stream.Name, calls, func(ctx context.Context, q readRequest) (platformapi.Batch, error) {
			return log.Read(ctx, q.stream, q.from, pollWait)
		}),
	}
}

// reader follows one stream. At any time either a read or the retry timer is
// pending.
type reader struct {
	stream       Stream
	calls        *readCallRing
	rewinds      *message.RewindRing
	replies      *supervise.Ring[result[platformapi.Batch]]
	retryBackoff *backoff.ExponentialBackOff
	retry        *time.Timer

	next          fleet.Offset
	truncated     bool // records before next were removed; not reported to the folds yet
	cancel        context.CancelFunc
	discardResult bool // the read in progress was started before a rewind
	state         readerState
}

// readerState is the reader's part of the state dump.
type readerState struct {
	Next                fleet.Offset `json:"next"`
	CaughtUp            bool         `json:"caught_up"`
	Reads               uint64       `json:"reads"`
	Failures            uint64       `json:"failures"`
	ConsecutiveFailures uint64       `json:"failures_in_a_row"`
	Truncations         uint64       `json:"truncations"`
	Undecodable         uint64       `json:"undecodable_records"`
	LastError           string       `json:"last_error,omitempty"`
}

func newReader(stream Stream, calls *readCallRing, rewinds *message.RewindRing) *reader {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = readRetryInitial
	retryBackoff.MaxInterval = readRetryMax
	retryBackoff.Reset()
	return &reader{
		stream: stream, calls: calls, rewinds: rewinds, retryBackoff: retryBackoff, next: stream.From,
		replies: newReplyRing[platformapi.Batch]("log-reader."+stream.Name+".replies", 1),
	}
}

func (r *reader) run(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	r.retry = time.NewTimer(0)
	defer r.retry.Stop()
	defer func() { r.cancelRead() }()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case request := <-dumps:
			r.state.Next = r.next
			request.Answer(r.state)
		case rewind := <-r.rewinds.Items():
			r.rewind(rewind.From)
		case <-r.retry.C:
			r.startRead(ctx)
		case got := <-r.replies.Items():
			r.cancelRead()
			if err := r.handleResult(ctx, got); err != nil {
				return err
			}
		}
	}
}

func (r *reader) startRead(ctx context.Context) {
	ctx, r.cancel = context.WithCancel(ctx)
	r.discardResult = false
	r.state.Reads++
	_ = r.calls.Put(ctx, call[readRequest, platformapi.Batch]{
		ctx: ctx, reply: r.replies,
		request: readRequest{stream: r.stream.Name, from: r.next},
	})
}

func (r *reader) cancelRead() {
	if r.cancel != nil {
		r.cancel()
		r.cancel = nil
	}
}

// rewind cancels the read in progress; its result is discarded on arrival.
func (r *reader) rewind(from fleet.Offset) {
	r.next = from
	r.truncated = false
	r.state.CaughtUp = false
	if r.cancel != nil {
		r.cancel()
		r.discardResult = true
	}
}

func (r *reader) handleResult(ctx context.Context, got result[platformapi.Batch]) error {
	switch {
	case r.discardResult:
		r.retry.Reset(0)
	case errors.Is(got.err, platformapi.ErrTruncated):
		r.state.Truncations++
		r.truncated = true
		r.next = got.answer.Oldest
		r.retry.Reset(0)
	case got.err != nil:
		r.state.Failures++
		r.state.ConsecutiveFailures++
		r.state.LastError = got.err.Error()
		r.retry.Reset(r.retryBackoff.NextBackOff())
	default:
		r.state.ConsecutiveFailures = 0
		r.retryBackoff.Reset()
		r.retry.Reset(0)
		return r.deliver(ctx, got)
	}
	return nil
}

// deliver passes the result of a successful read to the folds. An empty batch is
// delivered too: it shows that the log answers and whether the folds have
// caught up.
func (r *reader) deliver(ctx context.Context, got result[platformapi.Batch]) error {
	batch := message.LogRecords{
		Stream: r.stream.Name, From: r.next, Next: got.answer.Next,
		Records: r.decode(got.answer.Records), ReadAt: got.sentAt,
		CaughtUp: got.answer.Next >= got.answer.End, Truncated: r.truncated,
	}
	for _, fold := range r.stream.Folds {
		if err := fold.Put(ctx, batch); err != nil {
			return err
		}
	}
	r.next = batch.Next
	r.truncated = false
	r.state.CaughtUp = batch.CaughtUp
	return nil
}

// decode returns the entries of the records. It skips records in another
// format; every reader skips the same ones, so all folds agree.
func (r *reader) decode(list []platformapi.Record) []message.LogEntry {
	var out []message.LogEntry
	for _, record := range list {
		entries, err := records.Decode(record.Data)
		if err != nil {
			r.state.Undecodable++
			r.state.LastError = err.Error()
			continue
		}
		for i, e := range entries {
			out = append(out, message.LogEntry{Offset: record.Offset, Index: i, ID: e.ID, Data: e.Data})
		}
	}
	return out
}
