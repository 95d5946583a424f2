package platform

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/platformapi"
	"lacewingfork.example/lacewingfork/supervise"
)

// call asks a call duty for one call to the platform.
type call[Q, A any] struct {
	// ctx ends the call early when the duty that asked no longer needs it.
	ctx      context.Context
	question Q
	// tag comes back with the result.
	tag   int
	reply *supervise.Ring[result[A]]
}

// result is the end of one call.
type result[A any] struct {
	tag int
	// sentAt is no later than the moment that the call left the process.
	sentAt time.Time
	answer A
	err    error
}

// callRing joins a duty with its call duty. It has one place, because a duty
// has one call in progress; a call that a failed duty left there is replaced.
type callRing[Q, A any] = supervise.Ring[call[Q, A]]

func newCallRing[Q, A any](name string) *callRing[Q, A] {
	return supervise.NewRing[call[Q, A]](name, 1, supervise.DropOldest)
}

// newReplyRing has a place for each call that the duty has in progress, so
// that it is never full.
func newReplyRing[A any](name string, calls int) *supervise.Ring[result[A]] {
	return supervise.NewRing[result[A]](name, calls, supervise.Refuse)
}

// callDuty carries out one call at a time. It answers every call that it takes,
// also when it fails itself.
func callDuty[Q, A any](name string, calls *callRing[Q, A], do func(context.Context, Q) (A, error)) supervise.Duty {
	return supervise.Duty{
		Name:  name,
		Rings: []supervise.Measured{calls},
		Run: func(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
			made := 0
			for {
				select {
				case <-ctx.Done():
					return ctx.Err()
				case request := <-dumps:
					request.Answer(map[string]int{"calls": made})
				case c := <-calls.Items():
					made++
					carryOut(ctx, c, do)
				}
			}
		},
	}
}

func carryOut[Q, A any](ctx context.Context, c call[Q, A], do func(context.Context, Q) (A, error)) {
	r := result[A]{
		tag: c.tag, sentAt: time.Now(),
		err: errors.Wrap(platformapi.ErrUnavailable, "call duty failed"),
	}
	defer func() { _ = c.reply.Put(ended, r) }()
	// The call ends with the duty that asked or with this one.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(c.ctx, cancel)()
	r.answer, r.err = do(ctx, c.question)
}
