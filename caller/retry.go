package caller

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/internal/wait"
)

const (
	// A retry costs retryCost and a request earns requestCredit, so retries stay
	// at a tenth of the requests; budgetMost lets ten follow each other.
	requestCredit = 1
	retryCost     = 10
	budgetLimit   = 10 * retryCost

	initialBackoff = 10 * time.Millisecond
	maxBackoff     = time.Second
)

// budget bounds retries to a share of the requests. Its zero value is full.
type budget struct{ spent atomic.Int64 }

func (b *budget) addRequest() {
	for {
		spent := b.spent.Load()
		if spent == 0 || b.spent.CompareAndSwap(spent, max(0, spent-requestCredit)) {
			return
		}
	}
}

func (b *budget) takeRetry() bool {
	for {
		spent := b.spent.Load()
		if spent+retryCost > budgetLimit {
			return false
		}
		if b.spent.CompareAndSwap(spent, spent+retryCost) {
			return true
		}
	}
}

// permanent reasons are the same on every try: the request itself is at fault,
// its time is too short, or its key is used up.
func permanent(reason outcome.Reason) bool {
	switch reason {
	case outcome.NoSuchService, outcome.BodyTooLarge, outcome.MalformedRequest, outcome.DeadlineExceeded,
		outcome.KeyInvalid, outcome.KeyExpired, outcome.KeyOtherEpoch, outcome.AnswerNoLongerKept, outcome.Cancelled:
		return true
	}
	return false
}

// instanceSpecific reasons concern one entry instance; another one may serve at once.
func instanceSpecific(reason outcome.Reason) bool {
	switch reason {
	case outcome.NotReady, outcome.Stopping, outcome.RingFull, outcome.LinkDown, outcome.ConnectFailed, outcome.DutyFailed:
		return true
	}
	return false
}

// sendWithRetries tries until an answer is there or a repetition is not allowed. Every
// attempt may be repeated: it is idempotent, asks for a key or carries one.
func (c *Client) sendWithRetries(ctx context.Context, a attempt) (*Answer, error) {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = initialBackoff, maxBackoff
	pauses.Reset()
	c.budget.addRequest()
	start := c.next.Add(1)
	maybeRun := false
	var last attemptResult
	for n := 1; ; n++ {
		address := c.settings.Addresses[(start+uint64(n))%uint64(len(c.settings.Addresses))]
		end := c.send(ctx, address, a)
		if end.notSent && n > 1 {
			// The pause took the rest of the time; the attempt before it says why.
			return nil, last.toError(n-1, maybeRun)
		}
		last = end
		if end.answer != nil {
			end.answer.Attempts = n
			return end.answer, nil
		}
		maybeRun = maybeRun || !end.notRun
		pause := pauses.NextBackOff()
		if !instanceSpecific(end.reason) || n >= len(c.settings.Addresses) {
			pause = max(pause, end.retryAfter)
		}
		if permanent(end.reason) || !allowsPause(ctx, pause) || !c.budget.takeRetry() || !wait.For(ctx, pause) {
			return nil, end.toError(n, maybeRun)
		}
	}
}

// allowsPause reports whether time is left after a pause.
func allowsPause(ctx context.Context, pause time.Duration) bool {
	deadline, _ := ctx.Deadline()
	return ctx.Err() == nil && time.Until(deadline) > pause
}

// toError is the end of a request after n attempts. A refusal of the last attempt
// says nothing about an earlier one that may have run.
func (e attemptResult) toError(n int, maybeRun bool) error {
	if maybeRun {
		return &UnknownError{Reason: e.reason, Attempts: n, Cause: e.cause}
	}
	return &RefusedError{Reason: e.reason, RetryAfter: e.retryAfter, Attempts: n, Cause: e.cause}
}
