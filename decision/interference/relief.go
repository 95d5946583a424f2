package interference

import (
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

const (
	// highMark and lowMark are the smoothed slowdowns at which pressure begins
	// and ends.
	highMark = 0.5
	lowMark  = 0.2
	// levelStep is the weight of a new sample in the smoothed slowdown.
	levelStep = 0.3
	// samplesOver is the number of samples in a row above the high mark at
	// which pressure begins.
	samplesOver = 3
	// settle is the time that an action needs to show in a sample, besides the
	// lag of the report: a mean service time covers up to a second.
	settle = 2 * time.Second
	// calm is how long pressure must be over before a task is unthrottled.
	// Waves of load last for tens of seconds.
	calm = 30 * time.Second
	// leastRelief is the expected relief below which throttling isn't worth it,
	// and leastEvictRelief the same for an eviction, which costs more. What
	// throttled tasks are still expected to cause is the relief of an eviction:
	// a slowdown that they don't explain has another cause, such as a wave of
	// load on all servers, and evicting them would bring nothing.
	leastRelief      = 0.1
	leastEvictRelief = 0.2
	// lostWorkUnit is the lost work that halves the worth of an eviction.
	lostWorkUnit = time.Minute
	// evictAgain is when an eviction without effect may be asked for again.
	evictAgain = time.Minute
	// actionLength is the number of actions remembered for each server. Reports
	// lag by 5 s and actions are at least settle apart.
	actionLength = 8
)

// ActionKind is a step of relief.
type ActionKind uint8

const (
	// NoAction is no action.
	NoAction ActionKind = iota
	// Throttle slows a task down.
	Throttle
	// Unthrottle lets a task run at full speed again.
	Unthrottle
	// Evict stops a task after a checkpoint.
	Evict
)

// Task is a batch task as relief sees it.
type Task struct {
	ID        fleet.TaskID
	Throttled bool
	// EvictedAt is when an eviction was asked for, or zero.
	EvictedAt time.Time
	// Slowdown is the slowdown that the task causes at full speed.
	Slowdown float64
	// LostWork is the work that an eviction loses.
	LostWork time.Duration
}

// ServerPressure follows the pressure on one backend server.
type ServerPressure struct {
	level  float64
	over   int
	under  bool // under pressure
	calmAt time.Time
	// actions are the last throttling actions, as a ring.
	actions [actionLength]action
	next    int
	actedAt time.Time
}

type action struct {
	at        time.Time
	task      fleet.TaskID
	throttled bool
}

// ThrottlingConstant reports whether a sample that covers the time from from to to shows
// one state of throttling, so that it can be learnt from.
func (s *ServerPressure) ThrottlingConstant(from, to time.Time) bool {
	for _, a := range s.actions {
		if !a.at.IsZero() && a.at.Before(to) && a.at.Add(settle).After(from) {
			return false
		}
	}
	return true
}

// ThrottledAt reports whether a task was throttled at a time, given whether it
// is now.
func (s *ServerPressure) ThrottledAt(task fleet.TaskID, at time.Time, now bool) bool {
	state, oldest := now, time.Time{}
	for _, a := range s.actions {
		// The first action after the time undid the state at that time.
		if a.task == task && a.at.After(at) && (oldest.IsZero() || a.at.Before(oldest)) {
			state, oldest = !a.throttled, a.at
		}
	}
	return state
}

// Observe takes the slowdown that a sample shows. Samples from before the last
// action took effect are ignored.
func (s *ServerPressure) Observe(sampledAt time.Time, slowdown float64) {
	if sampledAt.Before(s.actedAt.Add(settle)) {
		return
	}
	s.level += levelStep * (slowdown - s.level)
	if s.level < highMark {
		s.over = 0
	} else if s.over++; s.over >= samplesOver {
		s.under = true
	}
	if s.level >= lowMark {
		s.calmAt = time.Time{}
	} else if s.calmAt.IsZero() {
		s.under, s.calmAt = false, sampledAt
	}
}

// UnderPressure reports whether the server needs relief, and SmoothedSlowdown the
// smoothed slowdown.
func (s *ServerPressure) UnderPressure() bool { return s.under }

// SmoothedSlowdown returns the smoothed slowdown.
func (s *ServerPressure) SmoothedSlowdown() float64 { return s.level }

// Plan returns the next action for a server and the index of its task. After
// an action the next one waits for a sample that shows its effect.
func (s *ServerPressure) Plan(now time.Time, tasks []Task, budget *EvictionBudget, perMinute int) (ActionKind, int) {
	if !s.under {
		return s.unthrottle(now, tasks)
	}
	if s.over < samplesOver {
		return NoAction, 0
	}
	if i := most(tasks, func(t Task) float64 {
		if t.Throttled {
			return 0
		}
		return t.Slowdown
	}, leastRelief); i >= 0 {
		s.act(now, tasks[i].ID, true)
		return Throttle, i
	}
	i := most(tasks, func(t Task) float64 {
		relief := throttledPart * t.Slowdown
		if !t.EvictedAt.IsZero() && now.Sub(t.EvictedAt) < evictAgain || relief < leastEvictRelief {
			return 0
		}
		return relief / (1 + float64(t.LostWork)/float64(lostWorkUnit))
	}, 0)
	if i < 0 || !budget.take(now, perMinute) {
		return NoAction, 0
	}
	s.act(now, "", false)
	return Evict, i
}

// unthrottle returns a throttled task to full speed after a calm time, the one
// with the least interference first.
func (s *ServerPressure) unthrottle(now time.Time, tasks []Task) (ActionKind, int) {
	if s.calmAt.IsZero() || now.Sub(s.calmAt) < calm {
		return NoAction, 0
	}
	i := most(tasks, func(t Task) float64 {
		if !t.Throttled {
			return 0
		}
		return 1 / (1 + t.Slowdown)
	}, 0)
	if i < 0 {
		return NoAction, 0
	}
	s.act(now, tasks[i].ID, false)
	s.calmAt = now
	return Unthrottle, i
}

// act remembers an action. The level starts again from samples that show its
// effect.
func (s *ServerPressure) act(now time.Time, task fleet.TaskID, throttled bool) {
	s.actedAt, s.over = now, 0
	if task != "" {
		s.actions[s.next] = action{now, task, throttled}
		s.next = (s.next + 1) % actionLength
	}
}

// most returns the index of the task with the greatest worth above least, or
// -1.
func most(tasks []Task, worth func(Task) float64, least float64) int {
	best := -1
	for i := range tasks {
		if w := worth(tasks[i]); w > least {
			best, least = i, w
		}
	}
	return best
}

// EvictionBudget bounds the evictions of a partition in any minute.
type EvictionBudget struct{ times []time.Time }

func (b *EvictionBudget) take(now time.Time, perMinute int) bool {
	kept := b.times[:0]
	for _, at := range b.times {
		if now.Sub(at) < time.Minute {
			kept = append(kept, at)
		}
	}
	b.times = kept
	if len(kept) >= perMinute {
		return false
	}
	b.times = append(b.times, now)
	return true
}
