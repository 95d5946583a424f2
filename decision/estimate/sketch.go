// Package estimate estimates run times. Each operation of a service has a
// decaying quantile sketch: a histogram with logarithmic buckets whose weights
// are halved as observations are added and time passes. Memory is fixed, and a
// change in run times shows within tens of observations.
//
// A declared run time is only a prior, because declared values are wrong by up
// to 10 times: it is used until MinObservations runs were observed and has no
// weight afterwards. Work with neither counts as long, because long work that
// counts as short blocks the work behind it, while short work that counts as
// long delays only itself.
//
// The package has no I/O and takes the time as a parameter. Observe doesn't
// allocate.
package estimate

import (
	"math"
	"time"
)

const (
	// MinObservations is the number of runs from which the sketch replaces the
	// declared value.
	MinObservations = 5
	// HalfLife is the time after which an observation counts half. Demand and
	// interference change within seconds, the mix of requests to an operation
	// within minutes.
	HalfLife = 2 * time.Minute
	// FreshFor is the time after the last observation for which a run time may
	// be used to refuse work. Without this limit, an operation that was slow
	// once would be refused for ever, because no run would correct the
	// estimate.
	FreshFor = 5 * time.Second

	bucketCount = 64
	// firstBound is the upper bound of the first bucket.
	firstBound = 100 * time.Microsecond
	// bucketsPerDoubling gives a relative error of at most 26%. The last bucket
	// starts at 166 s, above the longest deadline of 60 s.
	bucketsPerDoubling = 3
	// weightLimit is the total weight at which all weights are halved. With
	// 512, the mean of an operation of which one run in 500 takes 100 times
	// longer moved by 30%.
	weightLimit = 4096
)

// Sketch is the run time distribution of one operation. The zero value is
// empty.
type Sketch struct {
	buckets [bucketCount]float32
	total   float32
	// sum is the weighted sum of run times, in seconds.
	sum float64
	// observations is the number of runs observed, at most MinObservations.
	observations int
	// lastAt is the time of the last observation, decayedAt that of the last
	// halving by time.
	lastAt    time.Time
	decayedAt time.Time
}

// Observe adds a run time.
func (s *Sketch) Observe(now time.Time, run time.Duration) {
	s.decay(now)
	run = max(run, 0)
	s.buckets[bucketOf(run)]++
	s.total++
	s.sum += run.Seconds()
	s.observations = min(s.observations+1, MinObservations)
	s.lastAt = now
	if s.total >= weightLimit {
		s.halve()
	}
}

// Sufficient reports whether enough runs were observed to replace the prior.
func (s *Sketch) Sufficient() bool { return s.observations >= MinObservations }

// Fresh reports whether the last observation is recent enough to refuse work
// based on the sketch.
func (s *Sketch) Fresh(now time.Time) bool {
	return s.Sufficient() && now.Sub(s.lastAt) <= FreshFor
}

// Mean returns the decayed mean, or 0 if the sketch is empty.
func (s *Sketch) Mean() time.Duration {
	if s.total <= 0 {
		return 0
	}
	return time.Duration(s.sum / float64(s.total) * float64(time.Second))
}

// Quantile returns an upper bound of the q-quantile (q from 0 to 1), or 0 if
// the sketch is empty.
func (s *Sketch) Quantile(q float64) time.Duration {
	if s.total <= 0 {
		return 0
	}
	rank := float32(q) * s.total
	last := 0
	for i, weight := range s.buckets {
		if weight == 0 {
			continue
		}
		last = i
		if rank -= weight; rank <= 0 {
			break
		}
	}
	return upperBound(last)
}

// FractionAbove returns the fraction of the runs that took longer than limit,
// with the precision of a bucket.
func (s *Sketch) FractionAbove(limit time.Duration) float64 {
	if s.total <= 0 {
		return 0
	}
	var above float32
	for _, weight := range s.buckets[bucketOf(limit)+1:] {
		above += weight
	}
	return float64(above / s.total)
}

func (s *Sketch) decay(now time.Time) {
	if s.decayedAt.IsZero() {
		s.decayedAt = now
		return
	}
	halvings := int(now.Sub(s.decayedAt) / HalfLife)
	if halvings <= 0 {
		return
	}
	s.decayedAt = s.decayedAt.Add(time.Duration(halvings) * HalfLife)
	// After 32 halvings even weightLimit is negligible.
	for range min(halvings, 32) {
		s.halve()
	}
}

func (s *Sketch) halve() {
	s.total = 0
	for i := range s.buckets {
		s.buckets[i] /= 2
		s.total += s.buckets[i]
	}
	s.sum /= 2
}

// bucketOf returns the first bucket whose upper bound is at least run.
func bucketOf(run time.Duration) int {
	if run <= firstBound {
		return 0
	}
	i := int(math.Ceil(bucketsPerDoubling*math.Log2(float64(run)/float64(firstBound)) - 1e-9))
	return min(i, bucketCount-1)
}

func upperBound(bucket int) time.Duration { return bounds[bucket] }

// bounds holds the upper bounds of the buckets.
var bounds = func() (b [bucketCount]time.Duration) {
	for i := range b {
		b[i] = time.Duration(float64(firstBound) * math.Exp2(float64(i)/bucketsPerDoubling))
	}
	return b
}()
