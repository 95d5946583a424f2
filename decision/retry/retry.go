// Package retry decides whether a request gets another attempt.
//
// A request of which nothing was written can be retried; one that was written
// can be retried only if it is idempotent. Retries are paid from a budget that
// first attempts fill, so that a failure of all backend servers multiplies the
// load by at most 1.1. The budget counts requests instead of time, because a
// budget per second is too large if traffic is low and the failure lasts. It
// starts empty, so the bound holds from the first request on.
package retry

import "time"

const (
	// attemptsPerRetry is the number of first attempts that pay for one retry:
	// retries add at most 10%.
	attemptsPerRetry = 10
	// maxSavedRetries bounds the retries that accumulate for a burst of
	// failures.
	maxSavedRetries = 20
	// MaxAttempts bounds the attempts of one request, including the first.
	MaxAttempts = 3
	// baseDelay is the mean delay before the second attempt; it doubles with
	// each further one. It is short compared with deadlines of a second, and
	// long enough to spread requests that failed together.
	baseDelay = 5 * time.Millisecond
)

// Budget is a retry budget. The zero value is empty.
type Budget struct{ credit int }

// CountFirst adds the credit of a first attempt.
func (b *Budget) CountFirst() { b.credit = min(b.credit+1, maxSavedRetries*attemptsPerRetry) }

// Take takes the credit for one retry; it returns false if the budget is too
// small.
func (b *Budget) Take() bool {
	if b.credit < attemptsPerRetry {
		return false
	}
	b.credit -= attemptsPerRetry
	return true
}

// Attempt describes the attempt that ended.
type Attempt struct {
	// Number counts from 1.
	Number int
	// Written is set if any byte of any attempt reached a backend server.
	Written    bool
	Idempotent bool
	Deadline   time.Time
	// MinRunTime is the shortest time that another attempt needs.
	MinRunTime time.Duration
}

// Allowed returns the delay before the next attempt and whether there may be one
// after a. random is uniformly distributed over its range and spreads the delay from half of its mean to one and
// a half times the mean. The budget is not considered.
func Allowed(now time.Time, a Attempt, random uint32) (time.Duration, bool) {
	if a.Number >= MaxAttempts || a.Written && !a.Idempotent {
		return 0, false
	}
	mean := baseDelay << (a.Number - 1)
	delay := mean/2 + time.Duration(uint64(mean)*uint64(random)>>32)
	return delay, now.Add(delay + a.MinRunTime).Before(a.Deadline)
}
