package triage

import (
	"cmp"
	"time"
)

// Run is a run that may be stopped so that waiting work can start.
type Run struct {
	Priority    int
	Class       Class // of its job if the run goes on; InTime for long-running work
	LongRunning bool
	// Preserved means that the run resumes from a checkpoint.
	Preserved bool
	// Remaining is the time until the run returns its room by itself; 0 if it may do
	// so at any time.
	Remaining time.Duration
	// Loss is the part of the worth of its job that the stop costs.
	Loss float64
}

// MinRemaining is the least remaining time of a finite run that is stopped. A stop, the
// list that shows its end and the next start take up to a second and a half, in which
// other runs return their room too.
const MinRemaining = 3 * time.Second

// MayStop reports whether a run costs its caller less than the delay costs the caller of
// the waiting work. Nothing is stopped for work of no use. Finite runs are stopped if
// their job is of no use, or is less urgent and keeps its progress; long-running ones
// for finite work that is as urgent.
func MayStop(waiting Work, waitingLongRunning bool, r Run) bool {
	switch {
	case waiting.Class == Useless:
		return false
	case r.LongRunning:
		return !waitingLongRunning && r.Priority >= waiting.Priority
	case r.Remaining < MinRemaining:
		return false
	default:
		return r.Class == Useless || r.Preserved && r.Priority > waiting.Priority
	}
}

// Compare orders runs by what their stop costs: first those of jobs of no use, then the
// less urgent ones, then by their loss.
func (r Run) Compare(other Run) int {
	return cmp.Or(
		cmp.Compare(btoi(r.Class != Useless), btoi(other.Class != Useless)),
		-cmp.Compare(r.Priority, other.Priority),
		cmp.Compare(r.Loss, other.Loss),
	)
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
