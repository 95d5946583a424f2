// Package retry decides whether a request gets another attempt.
//
// A request that wasn't written may be tried again; one that was written only
// if it is idempotent. Attempts beyond the first come out of a budget that
// first attempts fill, so that a fault of everything behind the scheduler
// multiplies the work by 1.1 at most. The budget counts requests instead of
// time, because a budget per second is too large when traffic is low and a
// fault lasts. It starts empty, which makes the bound hold from the first
// request on.
package retry

import "time"

const (
	// share is how many first attempts pay for one more attempt: 10%.
	share = 10
	// mostSaved bounds the attempts that a quiet time saves for a burst.
	mostSaved = 20
	// MaxAttempts bounds the attempts of one request, with the first.
	MaxAttempts = 3
	// baseDelay is the mean delay before the second attempt; it doubles with
	// each further one. It is short against deadlines of a second and long
	// enough to part requests that failed together.
	baseDelay = 5 * time.Millisecond
)

// Budget counts first attempts and further ones. The zero value is empty.
type Budget struct{ credit int }

// CountFirst counts a first attempt.
func (b *Budget) CountFirst() { b.credit = min(b.credit+1, mostSaved*share) }

// Take pays for one more attempt, if the budget allows it.
func (b *Budget) Take() bool {
	if b.credit < share {
		return false
	}
	b.credit -= share
	return true
}

// Attempt describes the attempt that ended.
type Attempt struct {
	// Number counts from 1.
	Number int
	// Written is set when any byte of any attempt reached a backend server.
	Written    bool
	Idempotent bool
	Deadline   time.Time
	// MinRunTime is the least time that another attempt needs.
	MinRunTime time.Duration
}

// Allowed reports whether another attempt may be made, and after which delay.
// random is uniform over its range; it spreads the delay from half of its mean
// to one and a half. The budget is not considered.
func Allowed(now time.Time, a Attempt, random uint32) (time.Duration, bool) {
	if a.Number >= MaxAttempts || a.Written && !a.Idempotent {
		return 0, false
	}
	mean := baseDelay << (a.Number - 1)
	delay := mean/2 + time.Duration(uint64(mean)*uint64(random)>>32)
	return delay, now.Add(delay + a.MinRunTime).Before(a.Deadline)
}
