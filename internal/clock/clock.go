// Package clock reads the clocks of a process.
package clock

import (
	"time"

	"golang.org/x/sys/unix"

	"lacewingfork.example/lacewingfork/decision/cell"
)

// Clock is the monotonic clock of a process together with the time of day. The
// monotonic clock is called steady, as in cell.Moment.
type Clock struct {
	start      time.Time
	bootOffset time.Duration // boot clock minus steady clock, at the start or the last suspension detected
}

// minSuspension is the shortest suspension that is detected. The two clocks are
// read one after the other, which takes less than this.
const minSuspension = 200 * time.Millisecond

// New returns a clock whose first reading is about one second. A reading of zero
// means "never" in several places, so the clock never returns it.
func New() *Clock {
	return &Clock{start: time.Now().Add(-time.Second), bootOffset: readBootOffset()}
}

// Steady returns the reading of the monotonic clock. Changes to the time of day do
// not affect it.
func (c *Clock) Steady() time.Duration { return time.Since(c.start) }

// Now returns the readings of both clocks.
func (c *Clock) Now() cell.Moment {
	now := time.Now()
	return cell.Moment{Steady: now.Sub(c.start), Wall: now}
}

// Suspended returns how long the machine was suspended since the last call. The
// steady clock does not include that time. Only one duty may call it.
func (c *Clock) Suspended() time.Duration {
	offset := readBootOffset()
	suspended := offset - c.bootOffset
	if suspended < minSuspension {
		return 0
	}
	c.bootOffset = offset
	return suspended
}

// readBootOffset returns the boot clock, which includes suspensions, minus the
// steady clock. It returns 0 when a clock cannot be read, and no suspension is then
// detected.
func readBootOffset() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}
