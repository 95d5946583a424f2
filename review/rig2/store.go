package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Limits of the platform's store, as the settings of a process name them.
const (
	recordBytes = 262144
	callBytes   = 2 << 20
	keepTime    = 20 * time.Second
	answerTime  = 2 * time.Millisecond
	pageItems   = 500
	pageBytes   = 1 << 20
	repeats     = 5 // appends of a producer whose first response is repeated
)

// store is a stand-in of the platform's store with partition 0 of each topic.
type store struct {
	rec     *record
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{} // closed at each append

	loseOne   bool // the answer of the next write with a producer is lost
	done      int  // writes that were done
	lost      int  // writes whose answer was lost
	lastCond  int  // process that last wrote under a condition
	oversized int  // appends refused because of their size
	refusedAt time.Duration
}

type topic struct {
	first    int64
	records  []storedRecord
	newest   map[string]newestRecord
	epochs   map[string]uint64
	sequence map[string]uint64
	last     map[string][]doneAppend
}

type storedRecord struct {
	data []byte
	at   time.Time
}

type newestRecord struct {
	value  []byte
	offset int64
}

// doneAppend is an append of a producer and its response.
type doneAppend struct {
	epoch, sequence uint64
	offset, end     int64
}

func newStore(rec *record) *store {
	return &store{rec: rec, topics: map[string]*topic{}, changed: make(chan struct{}), lastCond: -1}
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]newestRecord{}, epochs: map[string]uint64{}, sequence: map[string]uint64{}, last: map[string][]doneAppend{}}
		s.topics[name] = t
	}
	return t
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

// append adds a keyed record; the caller holds the lock.
func (s *store) append(t *topic, data []byte) {
	t.records = append(t.records, storedRecord{data, time.Now()})
	if len(data) > 0 && len(data) > int(data[0]) {
		key, value := string(data[1:1+int(data[0])]), data[1+int(data[0]):]
		t.newest[key] = newestRecord{value, t.end() - 1}
		if len(value) == 0 {
			delete(t.newest, key)
		}
	}
	for len(t.records) > 0 && time.Since(t.records[0].at) > keepTime {
		t.records, t.first = t.records[1:], t.first+1
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a record as an operator or a server does; an empty value drops the key.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(s.topic(name), append(append([]byte{byte(len(key))}, key...), value...))
}

// has reports whether a topic has a record of a key.
func (s *store) has(name, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.topic(name).newest[key]
	return ok
}

// loseNext makes the store lose the answer of the next write of the system's records.
func (s *store) loseNext() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseOne = true
}

// writes returns how many answers of writes were lost, and how many writes were done.
func (s *store) writes() (lost, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost, s.done
}

// lastWriter returns the process that last wrote under a condition.
func (s *store) lastWriter() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastCond
}

// handler serves the calls of one process.
func (s *store) handler(process int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		time.Sleep(answerTime)
		switch r.URL.Path {
		case "/log-append":
			status, answer, lost := s.serveAppend(process, r, body)
			if lost {
				silence(w, r)
				return
			}
			writeJSON(w, status, answer)
		case "/log-newest":
			writeJSON(w, http.StatusOK, s.serveNewest(r))
		case "/log-read":
			s.serveRead(w, r)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
}

// silence leaves a connection open on which nothing more is returned.
func silence(w http.ResponseWriter, r *http.Request) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	go func(c net.Conn) {
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	}(conn)
}

func (s *store) serveAppend(process int, r *http.Request, body []byte) (status int, answer any, lost bool) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	name := query.Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		return http.StatusForbidden, map[string]any{}, false
	}
	t, producer := s.topic(name), query.Get("producer")
	epoch, sequence := number(query.Get("epoch")), number(query.Get("sequence"))
	if producer != "" || query.Has("at") {
		s.lastCond = process
	}
	answer = map[string]any{}
	status, answer = s.executeAppend(t, query.Has("at"), query.Get("at"), producer, epoch, sequence, body)
	if status != http.StatusOK {
		return status, answer, false
	}
	s.done++
	if s.loseOne && producer != "" {
		s.loseOne = false
		s.lost++
		s.rec.add("store: answer lost: process %d topic %s sequence %d", process, name, sequence)
		return 0, nil, true
	}
	return status, answer, false
}

func (s *store) executeAppend(t *topic, conditional bool, at, producer string, epoch, sequence uint64, body []byte) (int, any) {
	records, ok := split(body)
	if !ok {
		s.oversized++
		s.refusedAt = s.rec.now()
		if s.oversized <= 20 || s.oversized%50 == 0 {
			largest := 0
			for _, r := range records {
				largest = max(largest, len(r))
			}
			s.rec.add("store: append refused with 400: %d bytes in %d records, the largest of %d bytes; record-bytes is %d, call-bytes %d", len(body), len(records), largest, recordBytes, callBytes)
		}
		return http.StatusBadRequest, map[string]any{"error": "record or call too large"}
	}
	if producer != "" {
		if epoch < t.epochs[producer] {
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		}
		if epoch == t.epochs[producer] {
			for _, d := range t.last[producer] {
				if d.epoch == epoch && d.sequence == sequence {
					return http.StatusOK, map[string]any{"offset": d.offset, "end": d.end}
				}
			}
			if _, known := t.sequence[producer]; known && sequence != t.sequence[producer]+1 {
				return http.StatusConflict, map[string]any{"reason": "seq", "sequence": t.sequence[producer] + 1}
			}
		}
	}
	if conditional && at != strconv.FormatInt(t.end(), 10) {
		return http.StatusPreconditionFailed, map[string]any{"end": t.end()}
	}
	offset := t.end()
	for _, data := range records {
		s.append(t, data)
	}
	if producer != "" {
		t.epochs[producer], t.sequence[producer] = epoch, sequence
		t.last[producer] = append(t.last[producer], doneAppend{epoch, sequence, offset, t.end()})
		if len(t.last[producer]) > repeats {
			t.last[producer] = t.last[producer][1:]
		}
	}
	return http.StatusOK, map[string]any{"offset": offset, "end": t.end()}
}

// split returns the records of an append; ok is false if one of them, or all of them
// together, are larger than the store takes.
func split(body []byte) (records [][]byte, ok bool) {
	ok = true
	total := 0
	for rest := body; len(rest) >= 4; {
		size := int(binary.BigEndian.Uint32(rest))
		if size > len(rest)-4 {
			return records, false
		}
		records = append(records, slices.Clone(rest[4:4+size]))
		ok = ok && size <= recordBytes
		total += size
		rest = rest[4+size:]
	}
	return records, ok && total <= callBytes
}

func (s *store) serveNewest(r *http.Request) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, after := s.topic(r.URL.Query().Get("topic")), r.URL.Query().Get("depends-on")
	var keys []string
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size, more := []any{}, 0, false
	for _, key := range keys {
		if len(items) == pageItems || size > pageBytes {
			more = true
			break
		}
		n := t.newest[key]
		size += len(key) + len(n.value)
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(n.value), "offset": n.offset})
	}
	return map[string]any{"items": items, "more": more, "end": t.end()}
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, limit := int64(number(query.Get("from"))), 1024<<10
	if kb := number(query.Get("max-kb")); kb > 0 {
		limit = int(kb) << 10
	}
	deadline := time.After(time.Duration(number(query.Get("wait-ms"))) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		if from < t.first {
			first := t.first
			s.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]any{"first": first})
			return
		}
		body := binary.BigEndian.AppendUint64(nil, uint64(t.end()))
		body = binary.BigEndian.AppendUint64(body, uint64(t.first))
		found := from < t.end()
		for _, record := range t.records[min(int64(len(t.records)), from-t.first):] {
			if len(body) > 16 && len(body)+len(record.data) > limit {
				break
			}
			body = binary.BigEndian.AppendUint32(body, uint32(len(record.data)))
			body = append(body, record.data...)
		}
		changed := s.changed
		s.mu.Unlock()
		if found {
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			_, _ = w.Write(body)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func number(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func writeJSON(w http.ResponseWriter, status int, answer any) {
	data, err := json.Marshal(answer)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// serve starts an HTTP server on a free loopback port and returns its address.
func serve(handler http.Handler) (address string, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), func() { _ = server.Close() }, nil
}
