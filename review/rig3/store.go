//go:build review3

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"sync"
	"time"
)

// The limits of a small deployment, from the settings in DEPLOY.md.
const (
	recordBytes  = 262144
	callBytes    = 2097152
	pageItems    = 500
	pageBytes    = 1 << 20
	storeLatency = 4 * time.Millisecond
	writesPerS   = 600
	readsPerS    = 2000
)

type pastAppend struct {
	sequence    uint64
	offset, end int64
}

type producer struct {
	epoch  uint64
	last   uint64
	began  bool
	recent []pastAppend
}

type newest struct {
	value  []byte
	offset int64
}

type topic struct {
	records   [][]byte // key length, key, value
	newest    map[string]newest
	producers map[string]*producer
	changed   chan struct{}
}

// store is the platform's store, as PROTOCOL.md describes it. Every process has a
// listener of its own, so that the store can tell the processes apart.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	second int64
	writes int
	reads  int

	// lastWriter is the process whose last write named an epoch.
	lastWriter int
	refused    int   // appends beyond record-bytes or call-bytes
	largest    int   // largest record of an append
	longest    int   // largest append
	accepted   int64 // appends under an epoch that were accepted
	fault      map[int]string
	// lateWrite returns how much later a write is done that gets no answer; 0 for others.
	// onClaim is called with the process whose append with a condition has been accepted.
	lateWrite func(node int, q url.Values) time.Duration
	onClaim   func(node int)
}

func newStore() *store {
	return &store{topics: map[string]*topic{}, lastWriter: -1, fault: map[int]string{}}
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]newest{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topic) append(record []byte) {
	key := string(record[1 : 1+int(record[0])])
	value := record[1+int(record[0]):]
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = newest{value, int64(len(t.records))}
	}
	t.records = append(t.records, record)
}

func (t *topic) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// put writes a record as the operator and the minions do.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	record := append([]byte{byte(len(key))}, key...)
	t.append(append(record, value...))
	t.wake()
}

func (s *store) setFault(node int, fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault[node] = fault
}

func (s *store) writer() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastWriter
}

// limited counts a call against the limits of a second.
func (s *store) limited(write bool) bool {
	if now := time.Now().Unix(); now != s.second {
		s.second, s.writes, s.reads = now, 0, 0
	}
	if write {
		s.writes++
		return s.writes > writesPerS
	}
	s.reads++
	return s.reads > readsPerS
}

func reply(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// handler serves the calls of one process.
func (s *store) handler(node int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		time.Sleep(storeLatency)
		s.mu.Lock()
		fault := s.fault[node]
		over := s.limited(r.Method == http.MethodPost)
		s.mu.Unlock()
		switch {
		case fault == "busy":
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case over:
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		q := r.URL.Query()
		switch r.URL.Path {
		case "/log-append":
			s.mu.Lock()
			late := s.lateWrite
			s.mu.Unlock()
			if late != nil {
				if after := late(node, q); after > 0 {
					go func() {
						time.Sleep(after)
						_, _ = s.append(node, q, body)
					}()
					<-r.Context().Done() // the connection returns nothing further
					return
				}
			}
			status, answer := s.append(node, q, body)
			if status == http.StatusOK && q.Get("at") != "" {
				s.mu.Lock()
				claimed := s.onClaim
				s.mu.Unlock()
				if claimed != nil {
					claimed(node)
				}
			}
			reply(w, status, answer)
		case "/log-newest":
			reply(w, http.StatusOK, s.newestPage(q))
		case "/log-read":
			s.read(w, r, q)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
}

func (s *store) append(node int, q url.Values, body []byte) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name := q.Get("topic"); name == "keyed.op" || name == "keyed.servers" {
		return http.StatusForbidden, map[string]string{}
	}
	var records [][]byte
	total, largest := 0, 0
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 {
			return http.StatusBadRequest, map[string]string{"error": "cut record"}
		}
		size := int(binary.BigEndian.Uint32(rest))
		if size > len(rest)-4 || size == 0 || int(rest[4])+1 > size {
			return http.StatusBadRequest, map[string]string{"error": "cut record"}
		}
		records = append(records, rest[4:4+size])
		total, largest = total+size, max(largest, size)
		rest = rest[4+size:]
	}
	s.largest, s.longest = max(s.largest, largest), max(s.longest, total)
	if largest > recordBytes || total > callBytes {
		s.refused++
		return http.StatusRequestEntityTooLarge, map[string]string{"error": "more than record-bytes or call-bytes"}
	}
	t := s.topic(q.Get("topic"))
	end := int64(len(t.records))
	name := q.Get("producer")
	var p *producer
	epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)
	sequence, _ := strconv.ParseUint(q.Get("sequence"), 10, 64)
	if name != "" {
		if p = t.producers[name]; p == nil {
			p = &producer{}
			t.producers[name] = p
		}
		switch {
		case epoch < p.epoch:
			return http.StatusConflict, map[string]string{"reason": "fenced"}
		case epoch == p.epoch && p.began:
			for _, past := range p.recent {
				if past.sequence == sequence {
					return http.StatusOK, map[string]int64{"offset": past.offset, "end": past.end}
				}
			}
			if sequence != p.last+1 {
				return http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.last + 1}
			}
		}
	}
	if at := q.Get("at"); at != "" && at != strconv.FormatInt(end, 10) {
		return http.StatusPreconditionFailed, map[string]int64{"end": end}
	}
	for _, record := range records {
		t.append(record)
	}
	if p != nil {
		if epoch > p.epoch {
			p.recent = nil
		}
		p.epoch, p.last, p.began = epoch, sequence, true
		p.recent = append(p.recent, pastAppend{sequence, end, int64(len(t.records))})
		if len(p.recent) > 5 {
			p.recent = p.recent[1:]
		}
		s.lastWriter = node
		s.accepted++
	}
	t.wake()
	return http.StatusOK, map[string]int64{"offset": end, "end": int64(len(t.records))}
}

func (s *store) newestPage(q url.Values) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	var keys []string
	for key := range t.newest {
		if key > q.Get("depends-on") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, key := range keys {
		n := t.newest[key]
		if len(items) == pageItems || len(items) > 0 && size+len(n.value) > pageBytes {
			more = true
			break
		}
		size += len(n.value)
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(n.value), "offset": n.offset})
	}
	return map[string]any{"items": items, "more": more, "end": len(t.records)}
}

func (s *store) read(w http.ResponseWriter, r *http.Request, q url.Values) {
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	waitMs, _ := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
	maxKB := int64(1024)
	if text := q.Get("max-kb"); text != "" {
		maxKB, _ = strconv.ParseInt(text, 10, 64)
	}
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		end, changed := int64(len(t.records)), t.changed
		body := binary.BigEndian.AppendUint64(nil, uint64(end))
		body = binary.BigEndian.AppendUint64(body, 0)
		for at := max(0, from); at < end; at++ {
			record := t.records[at]
			if len(body)+len(record) > int(maxKB)<<10 && len(body) > 16 {
				break
			}
			body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
			body = append(body, record...)
		}
		s.mu.Unlock()
		if from >= end && waitMs > 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
			}
		}
		_, _ = w.Write(body)
		return
	}
}
