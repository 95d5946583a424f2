package triage

import (
	"cmp"
	"math"
	"time"
)

// Work is a step that waits for room, as the order of waiting steps sees it.
type Work struct {
	// Priority is that of the queue; 0 comes first.
	Priority int
	Class    Class
	// Crowds marks new long-running work on a service that such work crowds. It never
	// returns its room, so it would take whatever other work returns.
	Crowds bool
	// Worth is that of the job, and Left the work of the job that has not started yet,
	// both in mean jobs of its queue. They count for work that is not urgent.
	Worth, Left float64
	ObjectiveAt time.Duration
}

// Key is the place of a step in the order. The zero value comes first among those of
// priority 0.
type Key struct {
	group    group
	priority int
	rest     uint64 // crowding, class and density
	at       time.Duration
}

// group is the part of the order that comes before the priority.
type group int

const (
	starving group = iota
	useful
	useless
)

const (
	crowdsBit  = 1 << 40
	classShift = 32
	// densityShift leaves the exponent and the first bit of the mantissa of a density,
	// so that a step is 1.33 or 1.5 times the one below. Within a step the earliest
	// objective comes first: a finer order would change with each end of a task.
	densityShift = 51
	maxDensity   = 1 << (64 - densityShift)
	// minLeft is the work that counts as left of any job. It bounds the densities.
	minLeft = 1.0 / 64
	// Urgent is the priority of the most urgent queues.
	Urgent = 0
)

// ByPriority returns the place by priority, then crowding, class and objective.
func ByPriority(w Work) Key {
	return Key{priority: w.Priority, rest: crowding(w) | uint64(w.Class)<<classShift, at: w.ObjectiveAt}
}

// ByCost returns the place by what the caller loses. Delay costs work that is of no use
// nothing, whatever its priority, so all other work comes before it. Then come the
// priority, crowding, the class, and the worth that each unit of the work left earns:
// jobs that are nearly complete come before those that have just begun, and small ones
// before large ones as far as their worth is not in proportion to their work. That does
// not apply to urgent work, of which large jobs must be served at least half as often
// as all: of 1,273 urgent jobs at 1.7 times the capacity it served the largest tenth at
// 0.28 and all at 0.80.
func ByCost(w Work) Key {
	k := Key{group: useful, priority: w.Priority, rest: crowding(w) | uint64(w.Class)<<classShift | (maxDensity - density(w)), at: w.ObjectiveAt}
	switch w.Class {
	case Starving:
		k.group = starving
	case Useless:
		k.group = useless
	}
	return k
}

func crowding(w Work) uint64 {
	if w.Crowds {
		return crowdsBit
	}
	return 0
}

// density returns the coarse worth of each unit of the work left.
func density(w Work) uint64 {
	if w.Priority <= Urgent {
		return 0
	}
	return math.Float64bits(max(0, w.Worth)/max(minLeft, w.Left)) >> densityShift
}

// Compare orders two places. Steps at the same place are ordered by the caller.
func (k *Key) Compare(other *Key) int {
	switch {
	case k.group != other.group:
		return cmp.Compare(k.group, other.group)
	case k.priority != other.priority:
		return cmp.Compare(k.priority, other.priority)
	case k.rest != other.rest:
		return cmp.Compare(k.rest, other.rest)
	default:
		return cmp.Compare(k.at, other.at)
	}
}
