// Package breaker implements circuit breakers that take backend servers out of
// service when they fail much more often than their peers.
//
// The comparison is relative: if all servers fail alike, the cause is not the
// server (a bad request mix, a shared dependency), and taking servers out would
// only add overload. At most half of the servers are out of service at a time.
// A server that is out of service gets one probe request after a pause, which
// doubles with each failed probe. After a successful probe its slots come back
// gradually. Errors that the caller of a request caused must not be reported as
// failures; the user of the package makes that distinction.
//
// The package has no I/O and takes the time as a parameter. It doesn't allocate
// after SetCount.
package breaker

import (
	"math"
	"time"
)

const (
	// halfLife is the time after which a request counts half. At tens of
	// requests a second, a faulty server is detected within a second, and a
	// burst of failures has little weight after a few half-lives.
	halfLife = 5 * time.Second
	// minWeight is the total weight of requests below which a failure rate is
	// not significant.
	minWeight = 4.5
	// rateMargin is the difference to the peers' failure rate above which a
	// server is taken out of service.
	rateMargin = 0.4
	// minPause and maxPause bound the pause before a probe.
	minPause = 2 * time.Second
	maxPause = 30 * time.Second
	// pauseResetAfter is the time in service after which the pause is reset to
	// minPause.
	pauseResetAfter = time.Minute
	// SlowStart is the time over which a returning server gets back its slots.
	SlowStart = 10 * time.Second
	// minInService is the fraction of the servers that stays in service.
	minInService = 0.5
)

type state uint8

const (
	closed  state = iota // in service
	opened               // out of service until the pause ends
	probing              // out of service with a probe in progress
)

// entry is the circuit breaker of one server.
type entry struct {
	state state
	// failures and total are weights of requests, decayed up to the time at.
	failures, total float64
	at              time.Time
	// since is when the server was taken out of service or came back.
	since time.Time
	// pause is the time out of service before the next probe.
	pause time.Duration
	// slowStart is set while the server's slots come back.
	slowStart bool
}

// Breaker holds the circuit breakers of a partition's backend servers, by
// server index.
type Breaker struct {
	entries []entry
	// inService is the sum over the servers in service.
	inService entry
	// present is the number of servers that aren't leaving.
	present int
	// out is the number of servers out of service.
	out int
	// slowStartUntil is the end of the newest slow start.
	slowStartUntil time.Time
}

// SetCount sets the number of server indexes and the number of servers that
// aren't leaving.
func (b *Breaker) SetCount(indexes, present int) {
	for len(b.entries) < indexes {
		b.entries = append(b.entries, entry{})
	}
	b.present = present
}

// Reset clears the state of an index, because the index was reassigned or its
// server left.
func (b *Breaker) Reset(i int) {
	if i >= len(b.entries) {
		return
	}
	if b.entries[i].state != closed {
		b.out--
	}
	b.entries[i] = entry{}
}

// Out reports whether a server is out of service, which includes the time of
// its probe.
func (b *Breaker) Out(i int) bool { return b.entries[i].state != closed }

// Allowed returns how many of a server's slots may be used.
func (b *Breaker) Allowed(now time.Time, i, slots int) int {
	switch e := &b.entries[i]; {
	case e.state == closed && !e.slowStart:
		return slots
	case e.state == closed:
		back := int(float64(slots) * float64(now.Sub(e.since)) / float64(SlowStart))
		return min(slots, 1+max(0, back))
	case e.state == opened && now.Sub(e.since) >= e.pause:
		// Earlier requests that still run don't count against the probe.
		return slots
	default:
		return 0
	}
}

// Started records that a request was placed on a server; on a server that is
// out of service it is the probe.
func (b *Breaker) Started(i int) {
	if e := &b.entries[i]; e.state == opened {
		e.state = probing
	}
}

// Ended records the result of a request on a server and reports whether this
// result took the server out of service.
func (b *Breaker) Ended(now time.Time, i int, failed bool) bool {
	e := &b.entries[i]
	switch e.state {
	case probing:
		b.probeEnded(now, e, failed)
		return failed
	case opened:
		return false
	}
	e.count(now, failed)
	b.inService.count(now, failed)
	if e.slowStart && now.Sub(e.since) >= SlowStart {
		e.slowStart = false
	}
	if !failed || !b.worseThanPeers(now, e) || b.out+1 > b.maxOut() {
		return false
	}
	if e.pause == 0 || !e.slowStart && now.Sub(e.since) > pauseResetAfter {
		e.pause = minPause
	}
	b.takeOut(now, e)
	return true
}

// maxOut returns how many servers may be out of service.
func (b *Breaker) maxOut() int { return b.present - int(math.Ceil(float64(b.present)*minInService)) }

// worseThanPeers reports whether a server fails more often than all others in
// service by more than rateMargin.
func (b *Breaker) worseThanPeers(now time.Time, e *entry) bool {
	b.inService.decay(now)
	peers, peerFailures := b.inService.total-e.total, b.inService.failures-e.failures
	if e.total < minWeight || peers < minWeight {
		return false
	}
	return e.failures/e.total > peerFailures/peers+rateMargin
}

func (b *Breaker) takeOut(now time.Time, e *entry) {
	b.inService.failures = max(0, b.inService.failures-e.failures)
	b.inService.total = max(0, b.inService.total-e.total)
	*e = entry{state: opened, since: now, pause: e.pause}
	b.out++
}

func (b *Breaker) probeEnded(now time.Time, e *entry, failed bool) {
	if failed {
		*e = entry{state: opened, since: now, pause: min(2*e.pause, maxPause)}
		return
	}
	*e = entry{state: closed, since: now, pause: min(2*e.pause, maxPause), slowStart: true}
	b.slowStartUntil = now.Add(SlowStart)
	b.out--
}

// NextChange returns the next time after now at which a server can be probed or
// gets back a slot; ok is false if there is none.
func (b *Breaker) NextChange(now time.Time) (next time.Time, ok bool) {
	if b.out == 0 && now.After(b.slowStartUntil) {
		return next, false
	}
	for i := range b.entries {
		e := &b.entries[i]
		var at time.Time
		switch {
		case e.state == opened:
			at = e.since.Add(e.pause)
		case e.state == closed && e.slowStart && now.Sub(e.since) < SlowStart:
			// A server of 8 slots gets back one of them in this time.
			at = now.Add(SlowStart / 8)
		default:
			continue
		}
		if at.After(now) && (!ok || at.Before(next)) {
			next, ok = at, true
		}
	}
	return next, ok
}

func (e *entry) count(now time.Time, failed bool) {
	e.decay(now)
	e.total++
	if failed {
		e.failures++
	}
}

func (e *entry) decay(now time.Time) {
	if d := now.Sub(e.at); d > 0 {
		if e.total > 0 {
			factor := math.Exp2(-float64(d) / float64(halfLife))
			e.failures *= factor
			e.total *= factor
		}
		e.at = now
	}
}
