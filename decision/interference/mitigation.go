package interference

import (
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

const (
	// highThreshold and lowThreshold are the smoothed slowdowns, as a fraction of
	// the baseline, at which pressure begins and ends.
	highThreshold = 0.5
	lowThreshold  = 0.2
	// smoothingWeight is the weight of a new sample in the smoothed slowdown.
	smoothingWeight = 0.3
	// minSamplesAboveHigh is the number of consecutive samples at or above
	// highThreshold at which pressure begins.
	minSamplesAboveHigh = 3
	// settlingTime is the time after which an action shows in a sample, besides
	// the lag of the report: a mean service time covers up to a second.
	settlingTime = 2 * time.Second
	// unthrottleDelay is how long the smoothed slowdown must have been below
	// lowThreshold before a task is unthrottled. Load peaks last for tens of
	// seconds.
	unthrottleDelay = 30 * time.Second
	// minThrottleGain and minEvictionGain are the minimum expected reductions of
	// the slowdown for which a task is throttled or evicted; an eviction costs
	// more. The gain of an eviction is the slowdown that the throttled task is
	// still expected to cause. A slowdown that the tasks don't explain has
	// another cause, such as a load peak on all servers, and evictions wouldn't
	// reduce it.
	minThrottleGain = 0.1
	minEvictionGain = 0.2
	// halvingLostWork is the lost work that halves the score of an eviction.
	halvingLostWork = time.Minute
	// evictionRetryDelay is the time after which an eviction without effect may
	// be requested again.
	evictionRetryDelay = time.Minute
	// actionHistoryLength is the number of actions kept for each server. Reports
	// lag by 5 s and actions are at least settlingTime apart.
	actionHistoryLength = 8
)

// ActionKind is a mitigating action on a task.
type ActionKind uint8

const (
	// NoAction leaves all tasks as they are.
	NoAction ActionKind = iota
	// Throttle slows a task down.
	Throttle
	// Unthrottle lets a task run at full speed again.
	Unthrottle
	// Evict stops a task after a checkpoint.
	Evict
)

// Task is a batch task that may be throttled or evicted.
type Task struct {
	ID        fleet.TaskID
	Throttled bool
	// EvictedAt is when an eviction was last requested, or zero.
	EvictedAt time.Time
	// Slowdown is the expected slowdown that the task causes at full speed.
	Slowdown float64
	// LostWork is the run time that an eviction loses.
	LostWork time.Duration
}

// ServerPressure tracks the slowdown on one backend server and the actions
// taken against it.
type ServerPressure struct {
	// smoothed is the smoothed slowdown, and aboveHigh the number of consecutive
	// samples after which it was at or above highThreshold.
	smoothed      float64
	aboveHigh     int
	underPressure bool
	// belowLowSince is when the smoothed slowdown fell below lowThreshold, or
	// the last unthrottling after that; zero while it is above.
	belowLowSince time.Time
	// actions is a ring of the last throttling and unthrottling actions.
	actions      [actionHistoryLength]action
	next         int
	lastActionAt time.Time
}

// action is the throttling or unthrottling of a task.
type action struct {
	at        time.Time
	task      fleet.TaskID
	throttled bool
}

// ThrottlingConstant reports whether no throttling changed or took effect
// between two times, so that a sample covering them can be used.
func (s *ServerPressure) ThrottlingConstant(from, to time.Time) bool {
	for _, a := range s.actions {
		if !a.at.IsZero() && a.at.Before(to) && a.at.Add(settlingTime).After(from) {
			return false
		}
	}
	return true
}

// ThrottledAt reports whether a task was throttled at a time, given whether it
// is throttled now.
func (s *ServerPressure) ThrottledAt(task fleet.TaskID, at time.Time, throttledNow bool) bool {
	throttled, earliest := throttledNow, time.Time{}
	for _, a := range s.actions {
		// The first action after at reversed the state that the task had at that
		// time.
		if a.task == task && a.at.After(at) && (earliest.IsZero() || a.at.Before(earliest)) {
			throttled, earliest = !a.throttled, a.at
		}
	}
	return throttled
}

// Observe records the slowdown of a sample. Samples from before the last action
// took effect are ignored.
func (s *ServerPressure) Observe(sampledAt time.Time, slowdown float64) {
	if sampledAt.Before(s.lastActionAt.Add(settlingTime)) {
		return
	}
	s.smoothed += smoothingWeight * (slowdown - s.smoothed)
	if s.smoothed < highThreshold {
		s.aboveHigh = 0
	} else if s.aboveHigh++; s.aboveHigh >= minSamplesAboveHigh {
		s.underPressure = true
	}
	if s.smoothed >= lowThreshold {
		s.belowLowSince = time.Time{}
	} else if s.belowLowSince.IsZero() {
		s.underPressure, s.belowLowSince = false, sampledAt
	}
}

// UnderPressure reports whether tasks on the server are to be throttled or
// evicted.
func (s *ServerPressure) UnderPressure() bool { return s.underPressure }

// SmoothedSlowdown returns the slowdown averaged over the last samples, as a
// fraction of the baseline.
func (s *ServerPressure) SmoothedSlowdown() float64 { return s.smoothed }

// Plan returns the next action for a server and the index of its task. The next
// action is planned only after samples that show the effect of the last one.
func (s *ServerPressure) Plan(now time.Time, tasks []Task, budget *EvictionBudget, perMinute int) (ActionKind, int) {
	if !s.underPressure {
		return s.unthrottle(now, tasks)
	}
	if s.aboveHigh < minSamplesAboveHigh {
		return NoAction, 0
	}
	if i := indexOfMax(tasks, func(t Task) float64 {
		if t.Throttled {
			return 0
		}
		return t.Slowdown
	}, minThrottleGain); i >= 0 {
		s.recordAction(now, tasks[i].ID, true)
		return Throttle, i
	}
	i := indexOfMax(tasks, func(t Task) float64 {
		gain := throttledFraction * t.Slowdown
		if !t.EvictedAt.IsZero() && now.Sub(t.EvictedAt) < evictionRetryDelay || gain < minEvictionGain {
			return 0
		}
		return gain / (1 + float64(t.LostWork)/float64(halvingLostWork))
	}, 0)
	if i < 0 || !budget.take(now, perMinute) {
		return NoAction, 0
	}
	s.recordAction(now, "", false)
	return Evict, i
}

// unthrottle returns a throttled task to full speed after unthrottleDelay, the
// one with the least expected slowdown first.
func (s *ServerPressure) unthrottle(now time.Time, tasks []Task) (ActionKind, int) {
	if s.belowLowSince.IsZero() || now.Sub(s.belowLowSince) < unthrottleDelay {
		return NoAction, 0
	}
	i := indexOfMax(tasks, func(t Task) float64 {
		if !t.Throttled {
			return 0
		}
		return 1 / (1 + t.Slowdown)
	}, 0)
	if i < 0 {
		return NoAction, 0
	}
	s.recordAction(now, tasks[i].ID, false)
	s.belowLowSince = now
	return Unthrottle, i
}

// recordAction records an action; an empty task stands for an eviction. Samples
// count again once they show its effect.
func (s *ServerPressure) recordAction(now time.Time, task fleet.TaskID, throttled bool) {
	s.lastActionAt, s.aboveHigh = now, 0
	if task != "" {
		s.actions[s.next] = action{now, task, throttled}
		s.next = (s.next + 1) % actionHistoryLength
	}
}

// indexOfMax returns the index of the task with the highest score above
// threshold, or -1.
func indexOfMax(tasks []Task, score func(Task) float64, threshold float64) int {
	best := -1
	for i := range tasks {
		if v := score(tasks[i]); v > threshold {
			best, threshold = i, v
		}
	}
	return best
}

// EvictionBudget limits the evictions of a partition in any minute.
type EvictionBudget struct{ times []time.Time }

// take counts an eviction and reports whether the limit allows it.
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
