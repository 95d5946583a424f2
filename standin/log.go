package standin

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/platformapi"
)

// logService holds the streams of the append-only log service.
type logService struct {
	retention Retention
	limiter   *rate.Limiter

	mu      sync.Mutex
	streams map[string]*stream
	faults  LogFaults
	closed  bool
	// changed is closed and replaced on each append, change of faults and close,
	// to wake waiting readers.
	changed chan struct{}
}

// stream is one stream of the log.
type stream struct {
	oldest  fleet.Offset
	records []storedRecord
	appends int // number of appends so far
}

type storedRecord struct {
	data []byte
	at   time.Time
}

func newLogService(retention Retention, appendsPerSecond int) *logService {
	limit := rate.Inf
	if appendsPerSecond > 0 {
		limit = rate.Limit(appendsPerSecond)
	}
	return &logService{
		retention: retention, limiter: rate.NewLimiter(limit, max(1, appendsPerSecond)),
		streams: map[string]*stream{}, changed: make(chan struct{}),
	}
}

// stream returns the stream of the name and creates it if needed. The caller
// holds the lock.
func (l *logService) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{}
		l.streams[name] = s
	}
	return s
}

// end returns the offset after the newest record.
func (s *stream) end() fleet.Offset { return s.oldest + fleet.Offset(len(s.records)) }

// trim drops the records that exceed the retention.
func (s *stream) trim(r Retention, now time.Time) {
	drop := 0
	if r.Records > 0 {
		drop = max(0, len(s.records)-r.Records)
	}
	if r.AgeMillis > 0 {
		oldest := now.Add(-time.Duration(r.AgeMillis) * time.Millisecond)
		for drop < len(s.records) && s.records[drop].at.Before(oldest) {
			drop++
		}
	}
	s.oldest += fleet.Offset(drop)
	clear(s.records[:drop]) // frees the data while the array is still in use
	s.records = s.records[drop:]
}

// append adds a record and returns its offset. The log retains data, so the
// caller must not modify it afterwards.
func (l *logService) append(name string, data []byte) fleet.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	now := time.Now()
	offset := s.end()
	s.records = append(s.records, storedRecord{data: data, at: now})
	s.appends++
	s.trim(l.retention, now)
	l.wakeReaders()
	return offset
}

// wakeReaders ends the waits of all readers, which then read again. The caller
// holds the lock.
func (l *logService) wakeReaders() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// read returns the records from an offset on. If there are none yet, it waits
// for one for up to wait; an outage ends the wait early. It reports true when
// the offset is older than the oldest retained record.
func (l *logService) read(ctx context.Context, name string, from fleet.Offset, wait time.Duration) (platformapi.Batch, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, truncated, changed := l.readNow(name, from)
		if truncated || len(batch.Records) > 0 || l.outage() != OutageNone {
			return batch, truncated
		}
		select {
		case <-changed:
		case <-timer.C:
			return batch, false
		case <-ctx.Done():
			return batch, false
		}
	}
}

// readNow reads without waiting. The returned channel is closed on the next
// change.
func (l *logService) readNow(name string, from fleet.Offset) (batch platformapi.Batch, truncated bool, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.trim(l.retention, time.Now())
	batch = platformapi.Batch{Oldest: s.oldest, Next: from, End: s.end()}
	if from < s.oldest {
		return batch, true, l.changed
	}
	size := 0
	for i := int(from - s.oldest); i < len(s.records); i++ {
		size += len(s.records[i].data)
		if size > platformapi.MaxBatchBytes && len(batch.Records) > 0 {
			break
		}
		batch.Records = append(batch.Records, platformapi.Record{Offset: batch.Next, Data: s.records[i].data})
		batch.Next++
	}
	return batch, false, l.changed
}

// close ends the waits of all readers. Later calls fail as unavailable.
func (l *logService) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.wakeReaders()
}

// StreamState is the state of a stream as reported by the control API.
type StreamState struct {
	Stream  string       `json:"stream"`
	Oldest  fleet.Offset `json:"oldest"`
	End     fleet.Offset `json:"end"`
	Appends int          `json:"appends"`
}

// states returns the state of each stream, sorted by name.
func (l *logService) states() []StreamState {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]StreamState, 0, len(l.streams))
	for _, name := range slices.Sorted(maps.Keys(l.streams)) {
		s := l.streams[name]
		list = append(list, StreamState{Stream: name, Oldest: s.oldest, End: s.end(), Appends: s.appends})
	}
	return list
}
