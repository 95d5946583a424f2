package failure

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lacewingfork.example/lacewingfork/caller"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/load"
	"lacewingfork.example/lacewingfork/standin"
)

// Outcomes of a request.
const (
	answered = "answered"
	refused  = "refused as not run"
	unknown  = "outcome unknown"
	wrong    = "wrong or partial answer"
)

const (
	rate              = 100 // requests a second
	maxInFlight       = 256
	deadline          = 5 * time.Second
	readinessInterval = 200 * time.Millisecond
)

// result is the outcome of one request.
type result struct {
	at      time.Time
	key     string // empty if the request is idempotent or no key was issued
	outcome string
	reason  string
	server  fleet.BackendServerID
}

// request describes one request of a test.
type request struct {
	operation  fleet.Operation
	key        string
	idempotent bool
	run        time.Duration
	deadline   time.Duration
}

type runKey struct{}

// do sends one request and checks the answer, which contains the hash of the body
// that the backend server received.
func do(client *caller.Client, r request, body string) result {
	s := result{at: time.Now(), key: r.key}
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
	var answer *caller.Response
	if err == nil {
		answer, err = client.Do(ctx, ask)
	}
	var notRun *caller.RefusedError
	switch {
	case errors.As(err, &notRun):
		s.outcome, s.reason = refused, err.Error()
	case err != nil:
		s.outcome, s.reason = unknown, err.Error()
	default:
		s.outcome, s.server = answered, answer.Server
		if !validAnswer(answer, body) {
			s.outcome, s.reason = wrong, fmt.Sprintf("status %d, body %.200q", answer.Status, answer.Body)
		}
	}
	return s
}

func validAnswer(answer *caller.Response, body string) bool {
	var got standin.RunAnswer
	sum := sha256.Sum256([]byte(body))
	return answer.Status == http.StatusOK && json.Unmarshal(answer.Body, &got) == nil &&
		got.BodySHA256 == hex.EncodeToString(sum[:]) && got.BackendServer == answer.Server
}

// traffic sends a mix of requests through a balancer and collects the results.
type traffic struct {
	client *caller.Client
	ctx    context.Context
	stop   context.CancelFunc
	done   sync.WaitGroup

	mu  sync.Mutex
	all []result
}

// startTraffic starts traffic of 100 requests a second: mostly short layouts, some
// bookings that must run at most once, some longer dye checks.
func (s *deployment) startTraffic() *traffic {
	s.t.Helper()
	b := s.newBalancer()
	tr := &traffic{client: s.client(b, s.instances[0])}
	tr.ctx, tr.stop = context.WithCancel(context.Background())
	b.checkReadiness()
	tr.done.Go(func() { b.watch(tr.ctx) })
	tr.done.Go(func() {
		load.Run(tr.ctx, load.Plan{Rate: rate, Duration: time.Hour, Workers: maxInFlight, Do: func(_ context.Context, n int) string {
			r := do(tr.client, mix(n), fmt.Sprint("panel ", n))
			tr.mu.Lock()
			defer tr.mu.Unlock()
			tr.all = append(tr.all, r)
			return r.outcome
		}})
	})
	s.t.Cleanup(func() { tr.end() })
	s.awaitAnswers(tr, "")
	return tr
}

// client returns a client of one instance; a balancer that checks readiness
// overrides the address.
func (s *deployment) client(b *balancer, to *instance) *caller.Client {
	client, err := caller.New(caller.Settings{Addresses: []string{to.Callers}, Team: "cutting", Transport: b})
	must(s.t, err)
	return client
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

func (tr *traffic) count(selected func(result) bool) int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return len(slices.DeleteFunc(slices.Clone(tr.all), func(s result) bool { return !selected(s) }))
}

func answeredSince(t time.Time) func(result) bool {
	return func(s result) bool { return s.outcome == answered && s.at.After(t) }
}

// end stops the traffic, waits for the requests in flight and returns all results.
func (tr *traffic) end() []result {
	tr.stop()
	tr.done.Wait()
	return tr.all
}

// checkGuarantees checks what must hold after every failure: callers get whole
// answers of their own, a booking runs at most once, does not run if refused and
// runs if answered, and the stand-in counted no violation.
func (s *deployment) checkGuarantees(all []result) {
	s.t.Helper()
	outcomes := map[string]int{}
	for _, r := range all {
		outcomes[r.outcome]++
		if r.outcome == wrong {
			s.t.Errorf("a caller got a partial answer or that of another request: %s", r.reason)
		}
		runs := s.standIn.Runs("", r.key).Key
		if r.key != "" && (runs > 1 || r.outcome == refused && runs > 0 || r.outcome == answered && runs == 0) {
			s.t.Errorf("got %d runs of a booking with the outcome %s %s, want none if refused, one if answered, at most one otherwise", runs, r.outcome, r.reason)
		}
	}
	s.t.Logf("requests: %v", outcomes)
	if v := s.standIn.Violations(); v != (standin.Violations{}) {
		s.t.Errorf("got violations %+v, want none", v)
	}
}

// balancer stands in for the load balancer of the platform. It sends requests in
// turn to the instances that passed their last readiness check, or to the address
// in the request if readiness was never checked.
type balancer struct {
	deployment *deployment
	base       *http.Transport
	ready      atomic.Pointer[[]string]
	next       atomic.Uint64
}

func (s *deployment) newBalancer() *balancer {
	b := &balancer{deployment: s, base: &http.Transport{MaxIdleConnsPerHost: maxInFlight}}
	s.t.Cleanup(b.base.CloseIdleConnections)
	return b
}

func (b *balancer) watch(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(readinessInterval) {
		b.checkReadiness()
	}
}

func (b *balancer) checkReadiness() {
	var ready []string
	for _, i := range b.deployment.instances {
		if status, ok := b.deployment.status(i); ok && status.Ready {
			ready = append(ready, i.Callers)
		}
	}
	b.ready.Store(&ready)
}

// RoundTrip implements http.RoundTripper. It passes a run time in the context on
// to the backend servers.
func (b *balancer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	if run, ok := r.Context().Value(runKey{}).(time.Duration); ok {
		r.Header.Set(standin.HeaderRunMillis, strconv.FormatInt(run.Milliseconds(), 10))
	}
	if ready := b.ready.Load(); ready != nil {
		if len(*ready) == 0 {
			return nil, errors.New("no entry instance is ready")
		}
		r.URL.Host = (*ready)[b.next.Add(1)%uint64(len(*ready))]
	}
	return b.base.RoundTrip(r)
}
