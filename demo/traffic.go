package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/caller"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/load"
	"lacewingfork.example/lacewingfork/supervise"
)

// Outcomes of a request, as shown in the table.
const (
	outcomeAnswered = "answered"
	outcomeRefused  = "refused, not run"
	outcomeUnknown  = "outcome unknown"
	outcomeWrong    = "wrong answer"
	outcomeFailed   = "failed at the backend server"
)

// reasonSeparator separates an outcome from its reason.
const reasonSeparator = ": "

// requestKind describes one kind of request in the mix.
type requestKind struct {
	operation  fleet.Operation
	idempotent bool
	runMillis  int
	deadline   time.Duration
}

// mix returns the kind of request n: mostly short layouts, some bookings that
// must run at most once, a few long dye checks.
func mix(n int) requestKind {
	switch {
	case n%10 == 0:
		return requestKind{"dye-check", true, 1500, 15 * time.Second}
	case n%5 == 1:
		return requestKind{"book-order", false, 40, 5 * time.Second}
	default:
		return requestKind{"layout", true, 10 + n%30, 800 * time.Millisecond}
	}
}

// booking is the key of a request that must run at most once, and its outcome.
type booking struct {
	key     string
	outcome string
}

// traffic sends the mix of requests with the client library and records the
// bookings.
type traffic struct {
	client   *caller.Client
	bookings *supervise.Ring[booking]
}

func newTraffic(b *balancer, addresses []string, requests int) (*traffic, error) {
	if err := requireLoopback(addresses); err != nil {
		return nil, err
	}
	client, err := caller.New(caller.Settings{Addresses: addresses, Team: "cutting", Transport: b})
	if err != nil {
		return nil, err
	}
	return &traffic{client: client, bookings: supervise.NewRing[booking]("demo.bookings", requests, supervise.Refuse)}, nil
}

// runMillisKey is the context key of the simulated run time, in milliseconds.
type runMillisKey struct{}

func (t *traffic) run(ctx context.Context, rate int, duration time.Duration) load.Result {
	return load.Run(ctx, load.Plan{Rate: rate, Duration: duration, Workers: 256, Do: t.send})
}

func (t *traffic) send(ctx context.Context, n int) string {
	k := mix(n)
	ctx = context.WithValue(ctx, runMillisKey{}, k.runMillis)
	request := caller.Request{
		Service: "stitch-planner", Operation: k.operation, Idempotent: k.idempotent,
		Deadline: k.deadline, Body: fmt.Appendf(nil, "panel %d", n),
	}
	if !k.idempotent {
		key, err := t.client.Key(ctx, request.Service)
		if err != nil {
			return outcomeOf(err)
		}
		request.Key = key
	}
	answer, err := t.client.Do(ctx, request)
	outcome := outcomeOf(err)
	if err == nil {
		outcome = checkAnswer(answer, request.Body)
	}
	if request.Key != "" {
		_ = t.bookings.Put(ctx, booking{key: request.Key, outcome: outcome})
	}
	return outcome
}

func outcomeOf(err error) string {
	var refused *caller.RefusedError
	var unknown *caller.UnknownError
	switch {
	case err == nil:
		return outcomeAnswered
	case errors.As(err, &refused):
		return outcomeRefused + reasonSeparator + string(refused.Reason)
	case errors.As(err, &unknown):
		return outcomeUnknown + reasonSeparator + string(unknown.Reason)
	default:
		return outcomeUnknown
	}
}

// checkAnswer returns the outcome of an answered request. The backend servers of the
// stand-in return the hash of the body, which must match the request's.
func checkAnswer(answer *caller.Response, body []byte) string {
	if answer.Status >= http.StatusInternalServerError {
		return outcomeFailed
	}
	var echoed struct {
		SHA256 string `json:"body_sha256"`
	}
	sum := sha256.Sum256(body)
	if json.Unmarshal(answer.Body, &echoed) != nil || echoed.SHA256 != hex.EncodeToString(sum[:]) {
		return outcomeWrong
	}
	return outcomeAnswered
}
