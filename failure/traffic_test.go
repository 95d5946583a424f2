package failure

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/caller"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/standin"
)

// Ends of a request.
const (
	answered = "answered"
	refused  = "refused as not run"
	unknown  = "outcome unknown"
	failed   = "failed at the backend server"
	wrong    = "wrong or partial answer"
)

const (
	sendEvery    = 10 * time.Millisecond
	mostInFlight = 512
	deadline     = 5 * time.Second
	checkEvery   = 200 * time.Millisecond
)

// sent is one request and how it ended.
type sent struct {
	at     time.Time
	key    string // empty when the request is idempotent or got no key
	end    string
	reason string
	server fleet.BackendServerID
}

// request is what a test asks for.
type request struct {
	operation  fleet.Operation
	key        string
	idempotent bool
	run        time.Duration
	deadline   time.Duration
}

type runKey struct{}

// do sends one request. The backend servers of the stand-in answer with the
// hash of the body that they got.
func do(client *caller.Client, r request, body string) sent {
	s := sent{at: time.Now(), key: r.key}
	ctx := context.WithValue(context.Background(), runKey{}, r.run)
	ask := caller.Request{
		Service: "stitch-planner", Operation: r.operation, Idempotent: r.idempotent,
		Deadline: r.deadline, Key: r.key, Body: []byte(body),
	}
	var err error
	if !r.idempotent && r.key == "" {
		s.key, err = client.Key(ctx, ask.Service)
		ask.Key = s.key
	}
	var answer *caller.Answer
	if err == nil {
		answer, err = client.Do(ctx, ask)
	}
	var notRun *caller.RefusedError
	var mayHaveRun *caller.UnknownError
	switch {
	case errors.As(err, &notRun):
		s.end, s.reason = refused, err.Error()
	case errors.As(err, &mayHaveRun):
		s.end, s.reason = unknown, err.Error()
	case err != nil:
		s.end, s.reason = unknown, err.Error()
	default:
		s.end, s.server = answered, answer.Server
		if answer.Status >= http.StatusInternalServerError {
			s.end = failed
		} else if !whole(answer, body) {
			s.end, s.reason = wrong, fmt.Sprintf("status %d, body %.200q", answer.Status, answer.Body)
		}
	}
	return s
}

func whole(answer *caller.Answer, body string) bool {
	var got standin.RunAnswer
	sum := sha256.Sum256([]byte(body))
	return answer.Status == http.StatusOK && json.Unmarshal(answer.Body, &got) == nil &&
		got.BodySHA256 == hex.EncodeToString(sum[:]) && got.BackendServer == answer.Server
}

// traffic sends a mix of requests through a stand-in for the balancer.
type traffic struct {
	client *caller.Client
	quit   chan struct{}
	done   sync.WaitGroup

	mu  sync.Mutex
	all []sent
}

// load starts traffic of 100 requests a second: mostly short layouts, some
// bookings that must run once, some longer dye checks.
func (s *site) load() *traffic {
	s.t.Helper()
	b := &balancer{site: s, base: &http.Transport{MaxIdleConnsPerHost: mostInFlight}}
	tr := &traffic{client: s.client(b), quit: make(chan struct{})}
	tr.done.Go(func() { b.watch(tr.quit) })
	tr.done.Go(tr.run)
	s.t.Cleanup(func() { tr.end(); b.base.CloseIdleConnections() })
	await(s.t, "answers", func() bool { return tr.count(ended(answered)) > 20 })
	return tr
}

func (s *site) client(transport http.RoundTripper, addresses ...string) *caller.Client {
	if len(addresses) == 0 {
		addresses = []string{s.instances[0].Callers} // the transport chooses
	}
	client, err := caller.New(caller.Settings{Addresses: addresses, Team: "cutting", Transport: transport})
	if err != nil {
		s.t.Fatal(err)
	}
	return client
}

func (tr *traffic) run() {
	ticker := time.NewTicker(sendEvery)
	defer ticker.Stop()
	inFlight := make(chan struct{}, mostInFlight)
	for n := 0; ; n++ {
		select {
		case <-tr.quit:
			return
		case <-ticker.C:
		}
		select {
		case inFlight <- struct{}{}:
		case <-tr.quit:
			return
		}
		tr.done.Go(func() {
			tr.add(do(tr.client, mix(n), fmt.Sprint("panel ", n)))
			<-inFlight
		})
	}
}

func mix(n int) request {
	switch {
	case n%4 == 0:
		return request{operation: "book-order", run: 40 * time.Millisecond, deadline: deadline}
	case n%10 == 3:
		return request{operation: "dye-check", idempotent: true, run: 800 * time.Millisecond, deadline: 2 * deadline}
	default:
		return request{operation: "layout", idempotent: true, run: 20 * time.Millisecond, deadline: deadline}
	}
}

func (tr *traffic) add(s sent) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.all = append(tr.all, s)
}

func (tr *traffic) count(selected func(sent) bool) int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	n := 0
	for _, s := range tr.all {
		if selected(s) {
			n++
		}
	}
	return n
}

func ended(end string) func(sent) bool { return func(s sent) bool { return s.end == end } }

func answeredSince(t time.Time) func(sent) bool {
	return func(s sent) bool { return s.end == answered && s.at.After(t) }
}

// end stops sending and waits for the requests in progress.
func (tr *traffic) end() []sent {
	select {
	case <-tr.quit:
	default:
		close(tr.quit)
	}
	tr.done.Wait()
	return tr.all
}

// checkPromises asserts what must hold after every failure.
func (s *site) checkPromises(all []sent) {
	s.t.Helper()
	ends := map[string]int{}
	for _, r := range all {
		ends[r.end]++
		if r.end == wrong {
			s.t.Errorf("a caller got an answer that is not whole or not its own: %s", r.reason)
		}
		if r.key == "" {
			continue
		}
		runs := s.standIn.Runs("", r.key).Key
		if runs > 1 || r.end == refused && runs > 0 || r.end == answered && runs == 0 {
			s.t.Errorf("a booking ran %d times and ended as %s %s", runs, r.end, r.reason)
		}
	}
	s.t.Logf("requests: %v", ends)
	if v := s.standIn.Violations(); v != (standin.Violations{}) {
		s.t.Errorf("violations: %+v", v)
	}
}

// balancer stands for the platform's balancer: it sends each request to an
// instance that was ready when last asked.
type balancer struct {
	site  *site
	base  *http.Transport
	ready atomic.Pointer[[]string]
	next  atomic.Uint64
}

func (b *balancer) watch(quit <-chan struct{}) {
	ticker := time.NewTicker(checkEvery)
	defer ticker.Stop()
	for {
		var ready []string
		for _, i := range b.site.instances {
			if status, ok := b.site.status(i); ok && status.Ready {
				ready = append(ready, i.Callers)
			}
		}
		b.ready.Store(&ready)
		select {
		case <-ticker.C:
		case <-quit:
			return
		}
	}
}

// RoundTrip implements http.RoundTripper.
func (b *balancer) RoundTrip(r *http.Request) (*http.Response, error) {
	ready := b.ready.Load()
	if ready == nil || len(*ready) == 0 {
		return nil, errors.New("no entry instance is ready")
	}
	r = withRun(r)
	r.URL.Host = (*ready)[b.next.Add(1)%uint64(len(*ready))]
	return b.base.RoundTrip(r)
}

// direct sends requests to the address that they name.
type direct struct{ base *http.Transport }

func newDirect(t *testing.T) direct {
	d := direct{base: &http.Transport{MaxIdleConnsPerHost: mostInFlight}}
	t.Cleanup(d.base.CloseIdleConnections)
	return d
}

// RoundTrip implements http.RoundTripper.
func (d direct) RoundTrip(r *http.Request) (*http.Response, error) {
	return d.base.RoundTrip(withRun(r))
}

// withRun passes the run time in the context to the backend servers.
func withRun(r *http.Request) *http.Request {
	r = r.Clone(r.Context())
	if run, ok := r.Context().Value(runKey{}).(time.Duration); ok {
		r.Header.Set(standin.HeaderRunMillis, strconv.FormatInt(run.Milliseconds(), 10))
	}
	return r
}
