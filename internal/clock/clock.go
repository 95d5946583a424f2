// Package clock holds the clocks of a process.
package clock

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/cell"
)

// Clock is the steady clock of a process, beside the time of day.
type Clock struct{ start time.Time }

// New returns a clock that starts at zero. A zero reading means "never" in
// several places, so the first reading is later.
func New() *Clock { return &Clock{start: time.Now().Add(-time.Second)} }

// Steady returns the time since the start; jumps of the time of day do not
// change it.
func (c *Clock) Steady() time.Duration { return time.Since(c.start) }

// Now returns both clocks.
func (c *Clock) Now() cell.Moment {
	now := time.Now()
	return cell.Moment{Steady: now.Sub(c.start), Wall: now}
}
