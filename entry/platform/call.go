package platform

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/platformapi"
	"lacewingfork.example/lacewingfork/supervise"
)

// call asks a call duty to make one call to the platform.
type call[Q, A any] struct {
	// ctx ends the call when the requesting duty no longer needs its result.
	ctx     context.Context
	request Q
	// tag is copied to the result.
	tag   int
	reply *supervise.Ring[result[A]]
}

// result is the outcome of one call.
type result[A any] struct {
	tag int
	// sentAt is no later than the time at which the call was sent.
	sentAt time.Time
	answer A
	err    error
}

// callRing leads from a duty to its call duty. Its capacity is 1, because a duty
// has at most one call in progress. A call left over from a failed run of the
// duty is replaced.
type callRing[Q, A any] = supervise.Ring[call[Q, A]]

func newCallRing[Q, A any](name string) *callRing[Q, A] {
	return supervise.NewRing[call[Q, A]](name, 1, supervise.DropOldest)
}

// newReplyRing returns a ring with a place for each call that the duty can have
// in progress, so that it is never full.
func newReplyRing[A any](name string, calls int) *supervise.Ring[result[A]] {
	return supervise.NewRing[result[A]](name, calls, supervise.Refuse)
}

// callDuty returns a duty that makes one call at a time. It replies to every
// call that it receives, even if it panics during the call.
func callDuty[Q, A any](name string, calls *callRing[Q, A], do func(context.Context, Q) (A, error)) supervise.Duty {
	return supervise.Duty{
		Name:  name,
		Rings: []supervise.AnyRing{calls},
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
					execute(ctx, c, do)
				}
			}
		},
	}
}

func execute[Q, A any](ctx context.Context, c call[Q, A], do func(context.Context, Q) (A, error)) {
	r := result[A]{
		tag: c.tag, sentAt: time.Now(),
		err: errors.Wrap(platformapi.ErrUnavailable, "call duty failed during the call"),
	}
	defer func() { _ = c.reply.Put(cancelledContext, r) }()
	// The call ends when either the requesting duty or this one ends.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(c.ctx, cancel)()
	r.answer, r.err = do(ctx, c.request)
}
