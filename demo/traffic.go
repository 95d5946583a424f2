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

// Ends of a request, as shown in the table.
const (
	endAnswered = "answered"
	endRefused  = "refused, not run"
	endUnknown  = "outcome unknown"
	endWrong    = "wrong answer"
	endFailed   = "failed at the backend server"
)

// reasonMark stands between the end and the reason of it.
const reasonMark = ": "

// kind is one kind of request of the mix.
type kind struct {
	operation  fleet.Operation
	idempotent bool
	runMillis  int
	deadline   time.Duration
}

// mix gives the kind of request n: mostly short layouts, some bookings that
// must run at most once, a few long dye checks.
func mix(n int) kind {
	switch {
	case n%10 == 0:
		return kind{"dye-check", true, 1500, 15 * time.Second}
	case n%5 == 1:
		return kind{"book-order", false, 40, 5 * time.Second}
	default:
		return kind{"layout", true, 10 + n%30, 800 * time.Millisecond}
	}
}

// booking is a request with a key and how it ended.
type booking struct {
	key string
	end string
}

// traffic sends the mix through the callers' library.
type traffic struct {
	client   *caller.Client
	bookings *supervise.Ring[booking]
}

func newTraffic(b *balancer, addresses []string, requests int) (*traffic, error) {
	if err := loopback(addresses); err != nil {
		return nil, err
	}
	client, err := caller.New(caller.Settings{Addresses: addresses, Team: "cutting", Transport: b})
	if err != nil {
		return nil, err
	}
	return &traffic{client: client, bookings: supervise.NewRing[booking]("demo.bookings", requests, supervise.Refuse)}, nil
}

// runMillisKey is the context key of the run time that a request asks for.
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
			return endOf(err)
		}
		request.Key = key
	}
	answer, err := t.client.Do(ctx, request)
	end := endOf(err)
	if err == nil {
		end = check(answer, request.Body)
	}
	if request.Key != "" {
		_ = t.bookings.Put(ctx, booking{key: request.Key, end: end})
	}
	return end
}

func endOf(err error) string {
	var refused *caller.RefusedError
	var unknown *caller.UnknownError
	switch {
	case err == nil:
		return endAnswered
	case errors.As(err, &refused):
		return endRefused + reasonMark + string(refused.Reason)
	case errors.As(err, &unknown):
		return endUnknown + reasonMark + string(unknown.Reason)
	default:
		return endUnknown
	}
}

// check compares the answer with the request: the stand-in's backend servers
// return the hash of the body that they got.
func check(answer *caller.Response, body []byte) string {
	if answer.Status >= http.StatusInternalServerError {
		return endFailed
	}
	var echoed struct {
		SHA256 string `json:"body_sha256"`
	}
	sum := sha256.Sum256(body)
	if json.Unmarshal(answer.Body, &echoed) != nil || echoed.SHA256 != hex.EncodeToString(sum[:]) {
		return endWrong
	}
	return endAnswered
}
