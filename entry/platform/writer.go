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
	// flushAfter is the longest time that an entry waits for company. Seven
	// writers then stay under 300 appends a second.
	flushAfter = 25 * time.Millisecond
	// flushBytes closes a record before the time is up.
	flushBytes = 256 << 10
	// waitingBytes and waitingEntries bound what a stream holds while an
	// append is in progress: four full records, and as many entries as the
	// input ring.
	waitingBytes   = 4 * flushBytes
	waitingEntries = appendCapacity
)

var (
	// ErrWriterFull means that too many entries wait for the log service. The
	// entry is not in the log.
	ErrWriterFull = errors.New("log writer is full")
	// ErrWriterStopped means that the log writer ended before it wrote.
	ErrWriterStopped = errors.New("log writer stopped")
	// ErrUnknownStream means that the instance does not write the stream.
	ErrUnknownStream = errors.New("log writer does not know the stream")
)

type appendQuestion struct {
	stream string
	data   []byte
}

type appendRing = callRing[appendQuestion, fleet.Offset]

// writerDuties returns the log writer and a call duty for each stream.
func writerDuties(appends *supervise.Ring[message.Append], streams []Stream, log platformapi.Log, metrics *Metrics) []supervise.Duty {
	var calls []*appendRing
	var duties []supervise.Duty
	for _, stream := range streams {
		ring := newCallRing[appendQuestion, fleet.Offset]("stream-append." + stream.Name + ".calls")
		calls = append(calls, ring)
		duties = append(duties, callDuty("stream-append/"+stream.Name, ring, func(ctx context.Context, q appendQuestion) (fleet.Offset, error) {
			return log.Append(ctx, q.stream, q.data)
		}))
	}
	return append(duties, supervise.Duty{
		Name:  "log-writer",
		Rings: []supervise.Measured{appends},
		Run: func(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
			w := newWriter(streams, calls)
			w.metrics = metrics
			return w.run(ctx, appends, dumps)
		},
	})
}

// writer collects entries and commits those of a stream together. It has at
// most one append in progress per stream, which keeps the entries in order.
type writer struct {
	streams []*streamWriter
	replies *supervise.Ring[result[fleet.Offset]]
	flush   *time.Timer
	metrics *Metrics
}

// streamWriter is the writer's state of one stream.
type streamWriter struct {
	calls    *appendRing
	waiting  []message.Append
	bytes    int       // encoded size of waiting
	due      time.Time // when the first of waiting has waited long enough
	inFlight []message.Append
	state    streamState
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

func newWriter(streams []Stream, calls []*appendRing) *writer {
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
	defer w.abandon()
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
			w.metrics.appended(s.state.Stream, time.Since(got.sentAt), got.err)
			s.finish(got)
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
	report(a, message.AppendResult{Err: errors.Wrap(ErrUnknownStream, a.Stream)})
}

func entryOf(a message.Append) records.Entry { return records.Entry{ID: a.ID, Data: a.Data} }

func (s *streamWriter) add(a message.Append, now time.Time) {
	entry := entryOf(a)
	if err := entry.Check(); err != nil {
		s.state.Refused++
		report(a, message.AppendResult{Err: err})
		return
	}
	if len(s.waiting) >= waitingEntries || s.bytes+entry.Size() > waitingBytes {
		s.state.Refused++
		report(a, message.AppendResult{Err: errors.Wrap(ErrWriterFull, s.state.Stream)})
		return
	}
	if len(s.waiting) == 0 {
		s.due = now.Add(flushAfter)
	}
	s.waiting = append(s.waiting, a)
	s.bytes += entry.Size()
}

// flushDue starts every append that is due and sets the timer for the next.
func (w *writer) flushDue(ctx context.Context, now time.Time) {
	next := time.Duration(-1)
	for i, s := range w.streams {
		if len(s.waiting) == 0 || s.inFlight != nil {
			continue // the end of the append in progress comes back here
		}
		if s.bytes >= flushBytes || !now.Before(s.due) {
			s.send(ctx, i, w.replies)
			continue
		}
		if left := s.due.Sub(now); next < 0 || left < next {
			next = left
		}
	}
	w.flush.Stop()
	if next >= 0 {
		w.flush.Reset(next)
	}
}

// send starts one append with the first entries that fit one record.
func (s *streamWriter) send(ctx context.Context, tag int, replies *supervise.Ring[result[fleet.Offset]]) {
	batch := s.take()
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
	_ = s.calls.Put(ctx, call[appendQuestion, fleet.Offset]{
		ctx: ctx, tag: tag, reply: replies,
		question: appendQuestion{stream: s.state.Stream, data: data},
	})
}

// take removes entries up to flushBytes, at least one.
func (s *streamWriter) take() []message.Append {
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
	s.bytes -= size
	return batch
}

// finish reports the end of the append in progress. The writer never repeats
// an append: only the sender can tell whether its entry still makes sense.
func (s *streamWriter) finish(got result[fleet.Offset]) {
	batch := s.inFlight
	s.inFlight = nil
	if got.err != nil {
		// The log service rejects an invalid record without effect; after any
		// other error the record may be in the stream.
		s.fail(batch, got.err, !errors.Is(got.err, platformapi.ErrInvalid))
		return
	}
	for _, a := range batch {
		report(a, message.AppendResult{Offset: got.answer})
	}
}

func (s *streamWriter) fail(batch []message.Append, err error, possible bool) {
	if len(batch) == 0 {
		return
	}
	s.state.Failures++
	s.state.LastError = err.Error()
	for _, a := range batch {
		report(a, message.AppendResult{Err: err, Indeterminate: possible})
	}
}

// abandon answers what the writer holds when it ends.
func (w *writer) abandon() {
	for _, s := range w.streams {
		s.fail(s.inFlight, ErrWriterStopped, true)
		s.fail(s.waiting, ErrWriterStopped, false)
	}
}

func report(a message.Append, r message.AppendResult) {
	if a.Result != nil {
		r.ID = a.ID
		_ = a.Result.Put(ended, r)
	}
}
