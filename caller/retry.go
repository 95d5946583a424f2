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
	// Each retry spends retryCost of the budget and each request returns
	// requestCredit, so retries stay at a tenth of the requests. budgetLimit
	// allows a burst of ten retries.
	requestCredit = 1
	retryCost     = 10
	budgetLimit   = 10 * retryCost

	// The pause before a retry grows from initialBackoff to maxBackoff.
	initialBackoff = 10 * time.Millisecond
	maxBackoff     = time.Second
)

// budget limits retries to a share of the requests. The zero value is a full
// budget. It is safe for concurrent use.
type budget struct{ spent atomic.Int64 }

// addRequest credits one request.
func (b *budget) addRequest() {
	for {
		spent := b.spent.Load()
		if spent == 0 || b.spent.CompareAndSwap(spent, max(0, spent-requestCredit)) {
			return
		}
	}
}

// takeRetry reports whether the budget allows a retry, and spends its cost.
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

// permanent reports whether a retry would fail for the same reason: the request
// is invalid, its deadline is too short, or its key is no longer usable.
func permanent(reason outcome.Reason) bool {
	switch reason {
	case outcome.NoSuchService, outcome.BodyTooLarge, outcome.MalformedRequest, outcome.DeadlineExceeded,
		outcome.KeyInvalid, outcome.KeyExpired, outcome.KeyOtherEpoch, outcome.AnswerNoLongerKept, outcome.Cancelled:
		return true
	}
	return false
}

// instanceSpecific reports whether a reason concerns one entry instance only, so
// that another may serve the request at once.
func instanceSpecific(reason outcome.Reason) bool {
	switch reason {
	case outcome.NotReady, outcome.Stopping, outcome.Overloaded, outcome.LinkDown, outcome.ConnectFailed, outcome.DutyFailed:
		return true
	}
	return false
}

// sendWithRetries sends an attempt until there is a response or no retry is
// allowed. Every attempt can be retried: it is idempotent, requests a key or
// carries one.
func (c *Client) sendWithRetries(ctx context.Context, a attempt) (*Response, error) {
	backoffs := backoff.NewExponentialBackOff()
	backoffs.InitialInterval, backoffs.MaxInterval = initialBackoff, maxBackoff
	backoffs.Reset()
	c.budget.addRequest()
	start := c.next.Add(1)
	mayHaveRun := false
	var last attemptResult
	for n := 1; ; n++ {
		address := c.settings.Addresses[(start+uint64(n))%uint64(len(c.settings.Addresses))]
		result := c.send(ctx, address, a)
		if result.notSent && n > 1 {
			// The pause used up the deadline; the previous attempt has the reason.
			return nil, last.toError(n-1, mayHaveRun)
		}
		last = result
		if result.response != nil {
			result.response.Attempts = n
			return result.response, nil
		}
		mayHaveRun = mayHaveRun || !result.notRun
		pause := backoffs.NextBackOff()
		if !instanceSpecific(result.reason) || n >= len(c.settings.Addresses) {
			pause = max(pause, result.retryAfter)
		}
		if permanent(result.reason) || !allowsPause(ctx, pause) || !c.budget.takeRetry() || !wait.For(ctx, pause) {
			return nil, result.toError(n, mayHaveRun)
		}
	}
}

// allowsPause reports whether the deadline leaves time after a pause.
func allowsPause(ctx context.Context, pause time.Duration) bool {
	deadline, _ := ctx.Deadline()
	return ctx.Err() == nil && time.Until(deadline) > pause
}

// toError returns the error of a request after n attempts. If an earlier attempt
// may have run, the outcome is unknown even when the last one was refused.
func (e attemptResult) toError(n int, mayHaveRun bool) error {
	if mayHaveRun {
		return &UnknownError{Reason: e.reason, Attempts: n, Cause: e.cause}
	}
	return &RefusedError{Reason: e.reason, RetryAfter: e.retryAfter, Attempts: n, Cause: e.cause}
}
