// Package triage is the cost model of a cell with too little room: what its caller
// loses when a piece of work is delayed, rejected or stopped. The work that costs its
// caller least waits, is rejected or is stopped first.
//
// The worth of a job is measured in mean jobs of its queue. A fixed part is earned by
// any completed job, the rest grows with its work up to maxSize times the mean. All of
// it is earned by a job that completes within its objective, lateShare of it up to
// LateFactor times its objective, and nothing after that. Jobs of different priorities
// are not compared by worth: the priority of their queues orders them.
package triage

import "time"

// Class is what a job can still earn if the piece of work starts now.
type Class int

// The classes, in the order in which work starts.
const (
	Starving Class = iota // its turn has come, whatever it earns
	InTime                // its job can still meet its objective
	Late                  // its job can complete within LateFactor times its objective
	Useless               // neither
)

// String returns the name of the class in the log.
func (c Class) String() string { return [...]string{"starving", "in_time", "late", "no_use"}[c] }

// LateFactor is the multiple of its objective after which the completion of a
// job is of no use to its caller.
const LateFactor = 3

// ClassOf returns the class of a job that will have taken the given time when it
// completes.
func ClassOf(took, objective time.Duration) Class {
	switch {
	case took <= objective:
		return InTime
	case took <= LateFactor*objective:
		return Late
	default:
		return Useless
	}
}

const (
	// fixedShare is the part of the worth of a mean job that does not depend on its
	// work: a caller waits for a small job too. Without it the smallest jobs would
	// count for nothing, and with nothing else the largest would always wait.
	fixedShare = 0.3
	// maxSize bounds the size that counts, so that a single huge job does not come
	// before many others.
	maxSize = 4.0
	// lateShare is the part of its worth that a late job earns. It is small because
	// most callers have given up or tried again by then.
	lateShare = 0.15
)

// earned is the part of the worth that each class earns.
var earned = [...]float64{InTime: 1, Late: lateShare, Useless: 0}

// Worth returns the worth of a completed job of the given size, which is its work
// relative to the mean of its queue.
func Worth(size float64) float64 { return fixedShare + (1-fixedShare)*min(maxSize, max(0, size)) }

// LossOfDelay returns what the caller of a job of the given worth loses when its class
// becomes the later one.
func LossOfDelay(worth float64, now, later Class) float64 {
	return worth * max(0, earned[now]-earned[later])
}

// meanSpan is the number of jobs after which the mean work of a queue gives each new
// one a constant weight. A burst of jobs of one size shifts it slowly.
const meanSpan = 500

// Sizes is the mean work of the jobs of a queue.
type Sizes struct {
	mean  float64
	count int
}

// Observe adds a job and returns its size.
func (s *Sizes) Observe(work float64) float64 {
	s.count = min(s.count+1, meanSpan)
	s.mean += (work - s.mean) / float64(s.count)
	return s.Size(work)
}

// Size returns the size of an amount of work. It is 1 while no work is known.
func (s *Sizes) Size(work float64) float64 {
	if s.mean <= 0 {
		return 1
	}
	return work / s.mean
}
