// Package congestion bounds the calls in flight on a path, so that more work than
// the path carries waits where it is known not to have run, rather than in the
// queue of a link.
//
// The load it answers: starts fall due faster than the link to their workers carries
// them. With a constant bound the queue of a narrow link grows until calls exceed
// their time limit. Each of them is then repeated, with a stop, a list and a new
// connection, and the link carries little else: congestion collapse.
//
// A Window follows the round-trip times of the calls on its path. The least one shows
// the path without a queue. While the mean exceeds it by more than a target, the
// window shrinks in proportion; a call without an answer shrinks it too; otherwise
// it grows while it is used up. The target is small against the time limit of a call and
// large against the jitter of the processes at both ends.
//
// The package performs no I/O and takes the time as a parameter.
package congestion

import "time"

const (
	// initialLimit is the bound before anything has been measured. Calls of 700
	// bytes then occupy a link of 2 Mbit/s for 135 ms.
	initialLimit = 48
	// MaxLimit is the highest bound: a quarter of the order duties of an instance
	// stays free.
	MaxLimit = 96
	// minLimit keeps a path in use, so that it is measured, while it has congestion.
	minLimit = 4
	// delayTarget is the mean queueing delay up to which the window grows.
	delayTarget = 60 * time.Millisecond
	// maxShrink bounds the reduction in one round. It applies to a loss while the path
	// has a queue; any other loss reduces the window by lossShrink only.
	maxShrink  = 0.5
	lossShrink = 0.875
	// fastGrowth and slowGrowth are the parts of the limit by which it grows in a
	// round with a mean queueing delay below or above a quarter of the target.
	fastGrowth = 0.5
	slowGrowth = 0.125
	// basePeriod is the time after which the least round-trip time is measured
	// anew: the path may have become longer. A window that has seen congestion
	// shrinks once for it, so that the queue drains.
	basePeriod = 10 * time.Second
	// minRound is the shortest time between two changes of the limit.
	minRound = 10 * time.Millisecond
	// smoothing is the weight of the past in the smoothed round-trip time.
	smoothing = 8
)

const (
	// minTimeout is the time limit of a call on a path without congestion. It covers
	// many round trips between regions.
	minTimeout = 700 * time.Millisecond
	// maxTimeout is less than the time after which a call without an answer is
	// carried out anyway.
	maxTimeout = 2 * time.Second
	// timeoutFactor and lateFactor are the time limit of a call and the time after
	// which its answer is late, relative to the smoothed round-trip time.
	timeoutFactor = 8
	lateFactor    = 3
	// minLate covers several round trips of 20 ms between regions.
	minLate = 150 * time.Millisecond
)

// Window bounds the calls in flight on one path. Its zero value is not usable.
type Window struct {
	limit    float64
	inFlight int
	congests bool // congestion has been seen in this period
	// base is the least round-trip time of this period, and previousBase that of
	// the one before; 0 if there was none.
	base, previousBase time.Duration
	baseSince          time.Duration
	smoothed           time.Duration
	round              round
	shrunkAt           time.Duration // calls sent before do not shrink the window again
}

// round collects the answers to the calls sent since it began.
type round struct {
	since   time.Duration
	sum     time.Duration
	answers int
	usedUp  bool // the limit was reached
}

// NewWindow returns a window with the initial limit.
func NewWindow() *Window { return &Window{limit: initialLimit} }

// Allows reports whether another call may be sent.
func (w *Window) Allows() bool { return w.inFlight < w.Limit() }

// Limit returns how many calls may be in flight.
func (w *Window) Limit() int { return int(w.limit) }

// InFlight returns the number of calls without an answer yet.
func (w *Window) InFlight() int { return w.inFlight }

// RoundTrip returns the smoothed round-trip time; 0 before the first answer.
func (w *Window) RoundTrip() time.Duration { return w.smoothed }

// Congested reports whether the calls of late had a queue before them, on the path or
// in the processes at its ends.
func (w *Window) Congested() bool {
	return w.smoothed > w.leastRoundTrip()+delayTarget
}

// Timeout returns the time limit of a call.
func (w *Window) Timeout() time.Duration {
	return min(max(minTimeout, timeoutFactor*w.smoothed), maxTimeout)
}

// LateAfter returns the time after which an answer is late.
func (w *Window) LateAfter() time.Duration {
	return min(max(minLate, lateFactor*w.smoothed), minTimeout)
}

// Sent records that a call is sent.
func (w *Window) Sent() {
	w.inFlight++
	if w.inFlight >= w.Limit() {
		w.round.usedUp = true
	}
}

// Ended records that a call is no longer in flight, whatever its outcome.
func (w *Window) Ended() { w.inFlight = max(0, w.inFlight-1) }

// Answered applies the answer to a call that was sent at the given time.
func (w *Window) Answered(now, sent time.Duration) {
	rtt := max(now-sent, time.Microsecond)
	w.measureBase(now, rtt)
	if w.smoothed == 0 {
		w.smoothed = rtt
	}
	w.smoothed += (rtt - w.smoothed) / smoothing
	if sent < w.round.since {
		return
	}
	w.round.sum += rtt
	w.round.answers++
	if now-w.round.since >= max(minRound, w.smoothed) {
		w.endRound(now)
	}
}

// Lost applies that a call sent at the given time got no answer within its time
// limit, although its worker is not known to be at fault.
func (w *Window) Lost(now, sent time.Duration) {
	if sent >= w.shrunkAt {
		factor := lossShrink
		if w.smoothed == 0 || w.smoothed > w.leastRoundTrip()+delayTarget {
			factor = maxShrink
		}
		w.shrink(now, factor)
	}
}

// measureBase keeps the least round-trip time of this period and the one before.
func (w *Window) measureBase(now, rtt time.Duration) {
	if w.base == 0 || now-w.baseSince >= basePeriod {
		w.previousBase, w.base, w.baseSince = w.base, rtt, now
		if w.congests {
			w.shrink(now, maxShrink)
			w.congests = false
		}
	}
	w.base = min(w.base, rtt)
}

// leastRoundTrip returns the round-trip time of the path without a queue.
func (w *Window) leastRoundTrip() time.Duration {
	if w.previousBase > 0 {
		return min(w.base, w.previousBase)
	}
	return w.base
}

// endRound adapts the limit to the mean round-trip time of the round.
func (w *Window) endRound(now time.Duration) {
	mean := w.round.sum / time.Duration(w.round.answers)
	least := w.leastRoundTrip()
	switch {
	case mean > least+delayTarget:
		w.shrink(now, float64(least+delayTarget)/float64(mean))
	case w.round.usedUp && mean <= least+delayTarget/4:
		w.limit = min(MaxLimit, w.limit+max(1, fastGrowth*w.limit))
	case w.round.usedUp:
		w.limit = min(MaxLimit, w.limit+max(1, slowGrowth*w.limit))
	}
	w.round = round{since: now}
}

// shrink multiplies the limit by a factor, at least maxShrink. Calls that were sent
// before do not shrink it again.
func (w *Window) shrink(now time.Duration, factor float64) {
	w.limit = max(minLimit, w.limit*max(factor, maxShrink))
	w.congests, w.shrunkAt, w.round = true, now, round{since: now}
}
