// Package clock holds the clocks of a process.
package clock

import (
	"time"

	"golang.org/x/sys/unix"

	"lacewingfork.example/lacewingfork/decision/cell"
)

// Clock is the steady clock of a process, beside the time of day.
type Clock struct {
	start time.Time
	ahead time.Duration // boot clock less steady clock at the last look
}

// suspendedBound is the least time of a suspension that counts; reading the two
// clocks one after the other takes less.
const suspendedBound = 200 * time.Millisecond

// New returns a clock that starts at zero. A zero reading means "never" in
// several places, so the first reading is later.
func New() *Clock {
	return &Clock{start: time.Now().Add(-time.Second), ahead: bootAhead()}
}

// Steady returns the time since the start; jumps of the time of day do not
// change it.
func (c *Clock) Steady() time.Duration { return time.Since(c.start) }

// Now returns both clocks.
func (c *Clock) Now() cell.Moment {
	now := time.Now()
	return cell.Moment{Steady: now.Sub(c.start), Wall: now}
}

// Suspended returns for how long the machine was suspended since the last call,
// which the steady clock does not count. Only one duty may call it.
func (c *Clock) Suspended() time.Duration {
	ahead := bootAhead()
	slept := ahead - c.ahead
	if slept < suspendedBound {
		return 0
	}
	c.ahead = ahead
	return slept
}

// bootAhead is by how much the boot clock, which counts suspensions, is ahead of
// the steady clock. Where the clocks cannot be read no suspension is seen.
func bootAhead() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}
