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

// modelSizes make two entries exceed a flush often and one by itself sometimes.
var modelSizes = []int{1, 1, 1000, 1000, 100_000, 100_000, 100_000, 100_000, records.MaxDataBytes, records.MaxDataBytes + 1}

// writerModel drives a writer without goroutines, on a clock of its own.
type writerModel struct {
	*rapid.T
	w       *writer
	calls   []*appendRing
	now     time.Time
	added   int
	first   []time.Time // when the oldest waiting entry of each stream came
	order   [][]string  // accepted entries of each stream, not yet sent
	pending map[string]*supervise.Ring[message.AppendResult]
}

func newWriterModel(t *rapid.T) *writerModel {
	streams := []Stream{{Name: "a"}, {Name: "b"}}
	m := &writerModel{T: t, now: time.Unix(0, 0), pending: map[string]*supervise.Ring[message.AppendResult]{}}
	for _, s := range streams {
		m.calls = append(m.calls, newCallRing[appendQuestion, fleet.Offset](s.Name))
	}
	m.first = make([]time.Time, len(streams))
	m.order = make([][]string, len(streams))
	m.w = newWriter(streams, m.calls)
	return m
}

func (m *writerModel) add(t *rapid.T) {
	stream := rapid.IntRange(0, 1).Draw(t, "stream")
	size := rapid.SampledFrom(modelSizes).Draw(t, "size")
	m.added++
	id := fmt.Sprint(m.added)
	ring := supervise.NewRing[message.AppendResult](id, 1, supervise.Wait)
	idle := len(m.order[stream]) == 0
	m.w.add(message.Append{Stream: []string{"a", "b"}[stream], ID: id, Data: make([]byte, size), Result: ring}, m.now)
	select {
	case r := <-ring.Items():
		if r.Err == nil || r.Indeterminate || r.ID != id {
			t.Fatalf("refused with %+v", r)
		}
		return
	default:
	}
	if idle {
		m.first[stream] = m.now
	}
	m.order[stream] = append(m.order[stream], id)
	m.pending[id] = ring
}

// flush checks every append that the writer starts.
func (m *writerModel) flush(t *rapid.T) {
	inFlight := []bool{m.w.streams[0].inFlight != nil, m.w.streams[1].inFlight != nil}
	bytes := []int{m.w.streams[0].bytes, m.w.streams[1].bytes}
	m.w.flushDue(context.Background(), m.now)
	for i, s := range m.w.streams {
		if inFlight[i] || s.inFlight == nil {
			if due := len(m.order[i]) > 0 && m.now.Sub(m.first[i]) >= flushAfter; due && s.inFlight == nil {
				t.Fatalf("stream %d holds entries for %v", i, m.now.Sub(m.first[i]))
			}
			continue
		}
		if bytes[i] < flushBytes && m.now.Sub(m.first[i]) < flushAfter {
			t.Fatalf("%d bytes were sent after %v", bytes[i], m.now.Sub(m.first[i]))
		}
		m.checkCall(t, i)
	}
}

func (m *writerModel) checkCall(t *rapid.T, stream int) {
	c := <-m.calls[stream].Items()
	entries, err := records.Decode(c.question.data)
	if err != nil || (len(entries) > 1 && len(c.question.data) > flushBytes) {
		t.Fatalf("record of %d bytes and %d entries: %v", len(c.question.data), len(entries), err)
	}
	for i, e := range entries {
		if e.ID != m.order[stream][i] {
			t.Fatalf("entry %s was sent where %s is due", e.ID, m.order[stream][i])
		}
	}
	m.order[stream] = m.order[stream][len(entries):]
}

func (m *writerModel) finish(t *rapid.T) {
	stream := rapid.IntRange(0, 1).Draw(t, "stream")
	s := m.w.streams[stream]
	if s.inFlight == nil {
		t.Skip("no append in progress")
	}
	err := rapid.SampledFrom([]error{nil, platformapi.ErrUnavailable, platformapi.ErrInvalid}).Draw(t, "err")
	batch := s.inFlight
	s.finish(result[fleet.Offset]{tag: stream, answer: 7, err: err})
	for _, a := range batch {
		r := <-m.pending[a.ID].Items()
		if r.ID != a.ID || !errors.Is(r.Err, err) || r.Indeterminate != errors.Is(err, platformapi.ErrUnavailable) {
			t.Fatalf("append ended with %v, reported as %+v", err, r)
		}
		if err == nil && r.Offset != 7 {
			t.Fatalf("offset %d", r.Offset)
		}
		delete(m.pending, a.ID)
	}
}

// Guards against a writer that loses, reorders, repeats or holds back entries,
// exceeds a record's size, or reports an entry wrongly or not at all.
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
		m.w.abandon()
		for id, ring := range m.pending {
			if r := <-ring.Items(); !errors.Is(r.Err, ErrWriterStopped) {
				t.Fatalf("entry %s: %+v after the writer ended", id, r)
			}
		}
	})
}
