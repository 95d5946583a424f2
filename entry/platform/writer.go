package platform

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/platformapi"
	"lacewingfork.example/lacewingfork/records"
	"lacewingfork.example/lacewingfork/supervise"
)

const (
	// flushAfter is the longest time that an entry waits to be committed together
	// with others. It keeps seven writers under 300 appends a second.
	flushAfter = 25 * time.Millisecond
	// flushBytes is the size of a record that is appended before flushAfter has
	// passed.
	flushBytes = 256 << 10
	// maxWaitingBytes and maxWaitingEntries bound the entries of a stream that
	// wait while an append is in progress: four full records, and as many
	// entries as the input ring holds.
	maxWaitingBytes   = 4 * flushBytes
	maxWaitingEntries = appendCapacity
)

var (
	// ErrWriterFull means that too many entries are waiting for the log service.
	// The entry is not in the log.
	ErrWriterFull = errors.New("too many entries are waiting in the log writer")
	// ErrWriterStopped means that the log writer ended before the append was
	// acknowledged.
	ErrWriterStopped = errors.New("log writer stopped before the append was acknowledged")
	// ErrUnknownStream means that the instance does not write to the stream.
	ErrUnknownStream = errors.New("log writer is not configured for the stream")
)

type appendRequest struct {
	stream string
	data   []byte
}

type appendCallRing = callRing[appendRequest, fleet.Offset]

// writerDuties returns the log writer and a call duty for each stream.
func writerDuties(appends *supervise.Ring[message.Append], streams []Stream, log platformapi.Log, metrics *Metrics) []supervise.Duty {
	var calls []*appendCallRing
	var duties []supervise.Duty
	for _, stream := range streams {
		ring := newCallRing[appendRequest, fleet.Offset]("stream-append." + stream.Name + ".calls")
		calls = append(calls, ring)
		duties = append(duties, callDuty("stream-append/"+stream.Name, ring, func(ctx context.Context, q appendRequest) (fleet.Offset, error) {
			return log.Append(ctx, q.stream, q.data)
		}))
	}
	return append(duties, supervise.Duty{
		Name:  "log-writer",
		Rings: []supervise.AnyRing{appends},
		Run: func(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
			w := newWriter(streams, calls)
			w.metrics = metrics
			return w.run(ctx, appends, dumps)
		},
	})
}

// writer group-commits the entries of each stream. It has at most one append in
// progress per stream, which keeps the entries in order.
type writer struct {
	streams []*streamWriter
	replies *supervise.Ring[result[fleet.Offset]]
	flush   *time.Timer
	metrics *Metrics
}

// streamWriter is the writer's state of one stream.
type streamWriter struct {
	calls        *appendCallRing
	waiting      []message.Append
	waitingBytes int       // encoded size of waiting entries
	flushAt      time.Time // when the first waiting entry has to be appended
	inFlight     []message.Append
	state        streamState
}

// streamState is a stream's part of the state dump.
type streamState struct {
	Stream    string `json:"stream"`
	Waiting   int    `json:"waiting"`
	InFlight  int    `json:"in_flight"`
	Entries   uint64 `json:"entries"`
	Appends   uint64 `json:"appends"`
	Failures  uint64 `json:"failures"`
	Refused   uint64 `json:"refused"`
	LastError string `json:"last_error,omitempty"`
}

func newWriter(streams []Stream, calls []*appendCallRing) *writer {
	w := &writer{
		replies: newReplyRing[fleet.Offset]("log-writer.replies", len(streams)),
		flush:   time.NewTimer(flushAfter),
	}
	for i, stream := range streams {
		w.streams = append(w.streams, &streamWriter{calls: calls[i], state: streamState{Stream: stream.Name}})
	}
	return w
}

func (w *writer) run(ctx context.Context, appends *supervise.Ring[message.Append], dumps <-chan supervise.DumpRequest) error {
	ctx, cancel := context.WithCancel(ctx) // ends the appends in progress on a panic
	defer cancel()
	defer w.flush.Stop()
	defer w.failAll()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case request := <-dumps:
			request.Answer(w.dump())
		case a := <-appends.Items():
			w.add(a, time.Now())
		case got := <-w.replies.Items():
			s := w.streams[got.tag]
			w.metrics.observeAppend(s.state.Stream, time.Since(got.sentAt), got.err)
			s.handleResult(got)
		case <-w.flush.C:
		}
		w.flushDue(ctx, time.Now())
	}
}

func (w *writer) dump() []streamState {
	states := make([]streamState, 0, len(w.streams))
	for _, s := range w.streams {
		s.state.Waiting, s.state.InFlight = len(s.waiting), len(s.inFlight)
		states = append(states, s.state)
	}
	return states
}

func (w *writer) add(a message.Append, now time.Time) {
	for _, s := range w.streams {
		if s.state.Stream == a.Stream {
			s.add(a, now)
			return
		}
	}
	reportResult(a, message.AppendResult{Err: errors.Wrap(ErrUnknownStream, a.Stream)})
}

func entryOf(a message.Append) records.Entry { return records.Entry{ID: a.ID, Data: a.Data} }

func (s *streamWriter) add(a message.Append, now time.Time) {
	entry := entryOf(a)
	if err := entry.Check(); err != nil {
		s.state.Refused++
		reportResult(a, message.AppendResult{Err: err})
		return
	}
	if len(s.waiting) >= maxWaitingEntries || s.waitingBytes+entry.Size() > maxWaitingBytes {
		s.state.Refused++
		reportResult(a, message.AppendResult{Err: errors.Wrap(ErrWriterFull, s.state.Stream)})
		return
	}
	if len(s.waiting) == 0 {
		s.flushAt = now.Add(flushAfter)
	}
	s.waiting = append(s.waiting, a)
	s.waitingBytes += entry.Size()
}

// flushDue starts every append that is due and sets the timer for the next one.
func (w *writer) flushDue(ctx context.Context, now time.Time) {
	next := time.Duration(-1)
	for i, s := range w.streams {
		if len(s.waiting) == 0 || s.inFlight != nil {
			continue // called again when the append in progress ends
		}
		if s.waitingBytes >= flushBytes || !now.Before(s.flushAt) {
			s.startAppend(ctx, i, w.replies)
			continue
		}
		if left := s.flushAt.Sub(now); next < 0 || left < next {
			next = left
		}
	}
	w.flush.Stop()
	if next >= 0 {
		w.flush.Reset(next)
	}
}

// startAppend starts an append of the first entries that fit into one record.
func (s *streamWriter) startAppend(ctx context.Context, tag int, replies *supervise.Ring[result[fleet.Offset]]) {
	batch := s.takeBatch()
	entries := make([]records.Entry, len(batch))
	for i, a := range batch {
		entries[i] = entryOf(a)
	}
	data, err := records.Encode(entries)
	if err != nil {
		s.fail(batch, err, false)
		return
	}
	s.inFlight = batch
	s.state.Appends++
	s.state.Entries += uint64(len(batch))
	_ = s.calls.Put(ctx, call[appendRequest, fleet.Offset]{
		ctx: ctx, tag: tag, reply: replies,
		request: appendRequest{stream: s.state.Stream, data: data},
	})
}

// takeBatch removes and returns at least one waiting entry, and more up to
// flushBytes.
func (s *streamWriter) takeBatch() []message.Append {
	n, size := 0, 0
	for n < len(s.waiting) {
		next := entryOf(s.waiting[n]).Size()
		if n > 0 && size+next > flushBytes {
			break
		}
		size += next
		n++
	}
	batch := append([]message.Append(nil), s.waiting[:n]...)
	s.waiting = append([]message.Append(nil), s.waiting[n:]...)
	s.waitingBytes -= size
	return batch
}

// handleResult reports the result of the append in progress. The writer never
// repeats an append, because only the sender can decide whether its entry is
// still valid.
func (s *streamWriter) handleResult(got result[fleet.Offset]) {
	batch := s.inFlight
	s.inFlight = nil
	if got.err != nil {
		// The log service rejects an invalid record without effect; after any
		// other error the record may be in the stream.
		s.fail(batch, got.err, !errors.Is(got.err, platformapi.ErrInvalid))
		return
	}
	for _, a := range batch {
		reportResult(a, message.AppendResult{Offset: got.answer})
	}
}

func (s *streamWriter) fail(batch []message.Append, err error, indeterminate bool) {
	if len(batch) == 0 {
		return
	}
	s.state.Failures++
	s.state.LastError = err.Error()
	for _, a := range batch {
		reportResult(a, message.AppendResult{Err: err, Indeterminate: indeterminate})
	}
}

// failAll reports every entry that the writer still holds when it ends.
func (w *writer) failAll() {
	for _, s := range w.streams {
		s.fail(s.inFlight, ErrWriterStopped, true)
		s.fail(s.waiting, ErrWriterStopped, false)
	}
}

func reportResult(a message.Append, r message.AppendResult) {
	if a.Result != nil {
		r.ID = a.ID
		_ = a.Result.Put(cancelledContext, r)
	}
}
