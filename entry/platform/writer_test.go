package platform

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/platformapi"
	"lacewingfork.example/lacewingfork/records"
	"lacewingfork.example/lacewingfork/supervise"
)

// entrySizes are chosen so that two entries often exceed flushBytes and a single
// one sometimes does.
var entrySizes = []int{1, 1, 1000, 1000, 100_000, 100_000, 100_000, 100_000, records.MaxDataBytes, records.MaxDataBytes + 1}

// writerModel drives a writer without goroutines, on its own clock.
type writerModel struct {
	*rapid.T
	w        *writer
	calls    []*appendCallRing
	now      time.Time
	added    int
	oldestAt []time.Time // when the oldest waiting entry of each stream was added
	waiting  [][]string  // accepted entries of each stream that are not sent yet
	pending  map[string]*supervise.Ring[message.AppendResult]
}

func newWriterModel(t *rapid.T) *writerModel {
	streams := []Stream{{Name: "a"}, {Name: "b"}}
	m := &writerModel{T: t, now: time.Unix(0, 0), pending: map[string]*supervise.Ring[message.AppendResult]{}}
	for _, s := range streams {
		m.calls = append(m.calls, newCallRing[appendRequest, fleet.Offset](s.Name))
	}
	m.oldestAt = make([]time.Time, len(streams))
	m.waiting = make([][]string, len(streams))
	m.w = newWriter(streams, m.calls)
	return m
}

func (m *writerModel) add(t *rapid.T) {
	stream := rapid.IntRange(0, 1).Draw(t, "stream")
	size := rapid.SampledFrom(entrySizes).Draw(t, "size")
	m.added++
	id := fmt.Sprint(m.added)
	ring := supervise.NewRing[message.AppendResult](id, 1, supervise.Wait)
	idle := len(m.waiting[stream]) == 0
	m.w.add(message.Append{Stream: []string{"a", "b"}[stream], ID: id, Data: make([]byte, size), Result: ring}, m.now)
	select {
	case r := <-ring.Items():
		if r.Err == nil || r.Indeterminate || r.ID != id {
			t.Fatalf("refused entry %s with %+v, want an error that is not indeterminate", id, r)
		}
		return
	default:
	}
	if idle {
		m.oldestAt[stream] = m.now
	}
	m.waiting[stream] = append(m.waiting[stream], id)
	m.pending[id] = ring
}

// flush checks every append that the writer starts.
func (m *writerModel) flush(t *rapid.T) {
	inFlight := []bool{m.w.streams[0].inFlight != nil, m.w.streams[1].inFlight != nil}
	bytes := []int{m.w.streams[0].waitingBytes, m.w.streams[1].waitingBytes}
	m.w.flushDue(context.Background(), m.now)
	for i, s := range m.w.streams {
		if inFlight[i] || s.inFlight == nil {
			if due := len(m.waiting[i]) > 0 && m.now.Sub(m.oldestAt[i]) >= flushAfter; due && s.inFlight == nil {
				t.Fatalf("stream %d holds entries for %v, want less than %v", i, m.now.Sub(m.oldestAt[i]), flushAfter)
			}
			continue
		}
		if bytes[i] < flushBytes && m.now.Sub(m.oldestAt[i]) < flushAfter {
			t.Fatalf("%d bytes were sent after %v, want %d bytes or %v", bytes[i], m.now.Sub(m.oldestAt[i]), flushBytes, flushAfter)
		}
		m.checkCall(t, i)
	}
}

func (m *writerModel) checkCall(t *rapid.T, stream int) {
	c := <-m.calls[stream].Items()
	entries, err := records.Decode(c.request.data)
	if err != nil || (len(entries) > 1 && len(c.request.data) > flushBytes) {
		t.Fatalf("record of %d bytes and %d entries (error %v), want at most %d bytes for several entries", len(c.request.data), len(entries), err, flushBytes)
	}
	for i, e := range entries {
		if e.ID != m.waiting[stream][i] {
			t.Fatalf("entry %s was sent, want %s", e.ID, m.waiting[stream][i])
		}
	}
	m.waiting[stream] = m.waiting[stream][len(entries):]
}

func (m *writerModel) finish(t *rapid.T) {
	stream := rapid.IntRange(0, 1).Draw(t, "stream")
	s := m.w.streams[stream]
	if s.inFlight == nil {
		t.Skip("no append in progress")
	}
	err := rapid.SampledFrom([]error{nil, platformapi.ErrUnavailable, platformapi.ErrInvalid}).Draw(t, "err")
	batch := s.inFlight
	s.handleResult(result[fleet.Offset]{tag: stream, answer: 7, err: err})
	for _, a := range batch {
		r := <-m.pending[a.ID].Items()
		if r.ID != a.ID || !errors.Is(r.Err, err) || r.Indeterminate != errors.Is(err, platformapi.ErrUnavailable) {
			t.Fatalf("append ended with %v, reported as %+v", err, r)
		}
		if err == nil && r.Offset != 7 {
			t.Fatalf("offset %d, want 7", r.Offset)
		}
		delete(m.pending, a.ID)
	}
}

// Guards against a writer that loses, reorders, repeats or delays entries,
// exceeds the size of a record, or reports a wrong result or none. The writer
// runs random steps and is compared with a model.
func TestWriterAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newWriterModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"add": m.add,
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "ms")) * time.Millisecond)
			},
			"finish": m.finish,
			"":       m.flush,
		})
		m.w.failAll()
		for id, ring := range m.pending {
			if r := <-ring.Items(); !errors.Is(r.Err, ErrWriterStopped) {
				t.Fatalf("entry %s has result %+v after the writer ended, want ErrWriterStopped", id, r)
			}
		}
	})
}
