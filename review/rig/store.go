package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// storeFault is a disruption of the store.
type storeFault struct {
	silent, busy bool
	slow         int     // times as long
	lost         float64 // share of the writes that are done and not answered
	late         float64 // share of the writes that are done 1 to 6 s later and not answered
}

// Limits of the platform's store, as DEPLOY.md shows them.
const (
	recordBytes  = 262144
	callBytes    = 2097152
	writesPerS   = 600
	readsPerS    = 2000
	appendTime   = time.Millisecond
	storeLatency = 4 * time.Millisecond
	pageItems    = 500
	pageBytes    = 1 << 20
	keptAppends  = 5
)

// store is a stand-in of the platform's store (PROTOCOL.md, "The platform's metadata
// store"). It has the calls that lacewingfork makes: log-append, log-read and
// log-newest on one partition of keyed topics.
type store struct {
	record  *record
	address string
	server  *http.Server

	mu     sync.Mutex
	topics map[string]*topic
	second int64
	writes int
	reads  int
	// refusedTooLarge counts the appends that broke the limit of a record or a call.
	refusedTooLarge int
	// fault, if set, is the disruption of the store.
	fault atomic.Pointer[storeFault]
}

type topic struct {
	records   [][]byte
	newest    map[string]keyed
	producers map[string]*producer
	changed   chan struct{} // closed at the next append
	busy      time.Time     // the partition works until then
}

type keyed struct {
	value  []byte
	offset int64
}

type producer struct {
	epoch, sequence uint64
	last            []appended
}

type appended struct {
	sequence    uint64
	offset, end int64
}

func newStore(rec *record) *store {
	s := &store{record: rec, topics: map[string]*topic{}}
	l := listen()
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("listen on a loopback address: %v", err)
	}
	return l
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]keyed{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put writes a record as the operator or a minion does; no value deletes the key.
func (s *store) put(topicName, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(topicName).append(key, value)
}

// newestValue returns the newest record of a key.
func (s *store) newestValue(topicName, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(topicName).newest[key].value
}

func (t *topic) append(key string, value []byte) {
	offset := int64(len(t.records))
	body := append([]byte{byte(len(key))}, key...)
	t.records = append(t.records, append(body, value...))
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = keyed{value: value, offset: offset}
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// allowed counts a call against the rates of the store.
func (s *store) allowed(write bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Unix(); now != s.second {
		s.second, s.writes, s.reads = now, 0, 0
	}
	if write {
		s.writes++
		return s.writes <= writesPerS
	}
	s.reads++
	return s.reads <= readsPerS
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f := s.fault.Load()
	if f == nil {
		f = &storeFault{}
	}
	switch {
	case f.silent:
		<-r.Context().Done()
		return
	case f.busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(storeLatency / 2 * time.Duration(max(1, f.slow)))
	write := r.Method == http.MethodPost
	if !s.allowed(write) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	switch r.URL.Path {
	case "/log-append":
		if rand.Float64() < f.late {
			time.AfterFunc(time.Second+time.Duration(rand.Int63n(int64(5*time.Second))), func() { s.serveAppend(r, body) })
			<-r.Context().Done()
			return
		}
		status, answer := s.serveAppend(r, body)
		if rand.Float64() < f.lost {
			<-r.Context().Done()
			return
		}
		time.Sleep(storeLatency / 2 * time.Duration(max(1, f.slow)))
		respond(w, status, answer)
	case "/log-newest":
		answer := s.serveNewest(r)
		time.Sleep(storeLatency / 2)
		respond(w, http.StatusOK, answer)
	case "/log-read":
		s.serveRead(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func respond(w http.ResponseWriter, status int, answer any) {
	data, err := json.Marshal(answer)
	if err != nil {
		fatal("encode an answer: %v", err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func number(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

func (s *store) serveAppend(r *http.Request, body []byte) (int, any) {
	q := r.URL.Query()
	name := q.Get("topic")
	if name == "keyed.op" || name == "keyed.servers" || !strings.HasPrefix(name, "keyed.") || q.Get("part") != "0" {
		return http.StatusForbidden, map[string]any{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if now := time.Now(); t.busy.Before(now) {
		t.busy = now
	}
	t.busy = t.busy.Add(appendTime)
	time.Sleep(time.Until(t.busy))
	var p *producer
	epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)
	sequence, _ := strconv.ParseUint(q.Get("sequence"), 10, 64)
	if id := q.Get("producer"); id != "" {
		if p = t.producers[id]; p == nil {
			p = &producer{}
			t.producers[id] = p
		}
		switch {
		case epoch < p.epoch:
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		case epoch == p.epoch && p.epoch > 0:
			for _, a := range p.last {
				if a.sequence == sequence {
					return http.StatusOK, map[string]any{"offset": a.offset, "end": a.end}
				}
			}
			if sequence != p.sequence+1 {
				return http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.sequence + 1}
			}
		}
	}
	if at := q.Get("at"); at != "" && number(at) != int64(len(t.records)) {
		return http.StatusPreconditionFailed, map[string]any{"end": len(t.records)}
	}
	if len(body) > callBytes {
		s.refusedTooLarge++
		return http.StatusRequestEntityTooLarge, map[string]any{}
	}
	var records [][]byte
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 {
			return http.StatusBadRequest, map[string]any{}
		}
		size := int(binary.BigEndian.Uint32(rest))
		if size > recordBytes {
			s.refusedTooLarge++
			return http.StatusRequestEntityTooLarge, map[string]any{}
		}
		if size > len(rest)-4 || size < 1 || int(rest[4])+1 > size {
			return http.StatusBadRequest, map[string]any{}
		}
		records = append(records, rest[4:4+size])
		rest = rest[4+size:]
	}
	offset := int64(len(t.records))
	for _, rec := range records {
		n := int(rec[0])
		t.append(string(rec[1:1+n]), rec[1+n:])
	}
	end := int64(len(t.records))
	if p != nil {
		if epoch > p.epoch {
			p.epoch, p.last = epoch, nil
		}
		p.sequence = sequence
		p.last = append(p.last, appended{sequence, offset, end})
		if len(p.last) > keptAppends {
			p.last = p.last[1:]
		}
	}
	return http.StatusOK, map[string]any{"offset": offset, "end": end}
}

func (s *store) serveNewest(r *http.Request) any {
	q := r.URL.Query()
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
		k := t.newest[key]
		if len(items) == pageItems || size > 0 && size+len(k.value) > pageBytes {
			more = true
			break
		}
		size += len(k.value)
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(k.value), "offset": k.offset})
	}
	return map[string]any{"items": items, "more": more, "end": len(t.records)}
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, maxBytes := number(q.Get("from")), number(q.Get("max-kb"))*1024
	if maxBytes == 0 {
		maxBytes = 1024 * 1024
	}
	timeout := time.After(time.Duration(number(q.Get("wait-ms"))) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		end, changed := int64(len(t.records)), t.changed
		body := binary.BigEndian.AppendUint64(nil, uint64(end))
		body = binary.BigEndian.AppendUint64(body, 0)
		for _, rec := range t.records[min(max(0, from), end):] {
			body = binary.BigEndian.AppendUint32(body, uint32(len(rec)))
			body = append(body, rec...)
			if int64(len(body)) >= maxBytes {
				break
			}
		}
		s.mu.Unlock()
		answer := from < end
		if !answer {
			select {
			case <-changed:
				continue
			case <-timeout:
				answer = true
			case <-r.Context().Done():
				return
			}
		}
		time.Sleep(storeLatency / 2)
		_, _ = w.Write(body)
		return
	}
}
