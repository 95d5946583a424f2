// Package breaker takes backend servers out of service that fail much more
// often than their peers.
//
// The comparison is relative: when all servers fail alike, the cause is not
// the server (a bad request mix, a shared dependency), and taking servers out
// would only add overload. At most half of the servers are out at a time. A
// server that is out gets one probe request after a pause that doubles with
// each failed probe; after a probe that succeeds its slots come back step by
// step. Errors that the caller of a request caused are not failures; the
// user of the package decides that.
//
// The package is pure: times are passed in. It doesn't allocate after SetCount.
package breaker

import (
	"math"
	"time"
)

const (
	// halfLife weighs requests by age: a server's fault shows within a second
	// at tens of requests a second, and a burst of failures is forgotten soon.
	halfLife = 5 * time.Second
	// leastWeight is the weight of requests below which a rate says nothing.
	leastWeight = 4.5
	// rateMargin is how far a failure rate must lie above that of the peers.
	rateMargin = 0.4
	// firstPause and longestPause bound the time until a probe.
	firstPause   = 2 * time.Second
	longestPause = 30 * time.Second
	// goodFor is the time in service after which the pause starts anew.
	goodFor = time.Minute
	// SlowStart is the time in which a returning server gets back its slots.
	SlowStart = 10 * time.Second
	// leastIn is the part of the servers that stay in service.
	leastIn = 0.5
)

type state uint8

const (
	closed state = iota
	opened
	probing
)

type entry struct {
	state state
	// failures and total are decayed to at.
	failures, total float64
	at              time.Time
	// since is when the server was taken out or came back.
	since time.Time
	pause time.Duration
	// slow is set while the server's slots come back.
	slow bool
}

// Breaker holds the breakers of a partition's servers by index.
type Breaker struct {
	entries []entry
	// all is the sum over the servers in service.
	all entry
	// present is the number of servers that aren't leaving.
	present int
	out     int
	// slowUntil is when the newest slow start ends.
	slowUntil time.Time
}

// SetCount sets the number of indexes and of servers that aren't leaving.
func (b *Breaker) SetCount(indexes, present int) {
	for len(b.entries) < indexes {
		b.entries = append(b.entries, entry{})
	}
	b.present = present
}

// Reset forgets a server, because its index now stands for another one or
// because it left.
func (b *Breaker) Reset(i int) {
	if i >= len(b.entries) {
		return
	}
	if b.entries[i].state != closed {
		b.out--
	}
	b.entries[i] = entry{}
}

// Out reports whether a server is out of service, waiting for a probe or
// being probed.
func (b *Breaker) Out(i int) bool { return b.entries[i].state != closed }

// Allowed returns how many of a server's slots may be used.
func (b *Breaker) Allowed(now time.Time, i, slots int) int {
	switch e := &b.entries[i]; {
	case e.state == closed && !e.slow:
		return slots
	case e.state == closed:
		back := int(float64(slots) * float64(now.Sub(e.since)) / float64(SlowStart))
		return min(slots, 1+max(0, back))
	case e.state == opened && now.Sub(e.since) >= e.pause:
		// Slots still held by earlier requests don't count against the probe.
		return slots
	default:
		return 0
	}
}

// Started takes that a request was placed on a server.
func (b *Breaker) Started(i int) {
	if e := &b.entries[i]; e.state == opened {
		e.state = probing
	}
}

// Ended takes how a request on a server ended and reports whether the server
// was taken out of service by it.
func (b *Breaker) Ended(now time.Time, i int, failed bool) bool {
	e := &b.entries[i]
	switch e.state {
	case probing:
		b.probed(now, e, failed)
		return failed
	case opened:
		return false
	}
	e.count(now, failed)
	b.all.count(now, failed)
	if e.slow && now.Sub(e.since) >= SlowStart {
		e.slow = false
	}
	if !failed || !b.worseThanPeers(now, e) || b.out+1 > b.mostOut() {
		return false
	}
	if e.pause == 0 || !e.slow && now.Sub(e.since) > goodFor {
		e.pause = firstPause
	}
	b.takeOut(now, e)
	return true
}

func (b *Breaker) mostOut() int { return b.present - int(math.Ceil(float64(b.present)*leastIn)) }

// worseThanPeers compares a server with all others in service.
func (b *Breaker) worseThanPeers(now time.Time, e *entry) bool {
	b.all.decay(now)
	peers, peerFailures := b.all.total-e.total, b.all.failures-e.failures
	if e.total < leastWeight || peers < leastWeight {
		return false
	}
	return e.failures/e.total > peerFailures/peers+rateMargin
}

func (b *Breaker) takeOut(now time.Time, e *entry) {
	b.all.failures = max(0, b.all.failures-e.failures)
	b.all.total = max(0, b.all.total-e.total)
	*e = entry{state: opened, since: now, pause: e.pause}
	b.out++
}

func (b *Breaker) probed(now time.Time, e *entry, failed bool) {
	if failed {
		*e = entry{state: opened, since: now, pause: min(2*e.pause, longestPause)}
		return
	}
	*e = entry{state: closed, since: now, pause: min(2*e.pause, longestPause), slow: true}
	b.slowUntil = now.Add(SlowStart)
	b.out--
}

// NextChange returns the next time after now at which a server can be probed or
// gets back a slot; ok is false when there is none.
func (b *Breaker) NextChange(now time.Time) (next time.Time, ok bool) {
	if b.out == 0 && now.After(b.slowUntil) {
		return next, false
	}
	for i := range b.entries {
		e := &b.entries[i]
		var at time.Time
		switch {
		case e.state == opened:
			at = e.since.Add(e.pause)
		case e.state == closed && e.slow && now.Sub(e.since) < SlowStart:
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
