package triage

import (
	"math"
	"time"
)

// Demand is a new job of a service as admission sees it.
type Demand struct {
	// Ahead is the work that waits and starts before it, in core-seconds. Arriving is
	// the work of new jobs that will come before it, and Rate the work that the service
	// completes, both in core-seconds a second.
	Ahead, Arriving, Rate float64
	Objective             time.Duration
	// Returns means that the job was rejected before and comes again when it was told
	// to.
	Returns bool
}

// maxLoad bounds the load of a service without capacity.
const maxLoad = 100.0

// useful returns the time after which the job is of no use, in seconds.
func (d Demand) useful() float64 { return (LateFactor * d.Objective).Seconds() }

// Load returns the work that comes before the job in the time in which it is of use,
// relative to the work that the service completes in this time.
func (d Demand) Load() float64 {
	completed := d.Rate * d.useful()
	if completed <= 0 {
		return maxLoad
	}
	return min(maxLoad, (d.Ahead+d.Arriving*d.useful())/completed)
}

// Excess returns the time in which the service completes what comes before the job and
// does not fit into the time in which it is of use.
func (d Demand) Excess() time.Duration {
	return time.Duration(max(0, d.Load()-1) * d.useful() * float64(time.Second))
}

const (
	// rejectFrom and acceptBelow are the loads from which a gate closes and below which
	// it opens again. A job that is rejected with room free loses all of its worth, one
	// that waits in vain loses no more, so the load must be far above what the service
	// completes: it knows neither work that is cancelled nor tasks that end early.
	rejectFrom  = 2.0
	acceptBelow = 1.5
)

// Gate decides on the admission of similar jobs of a service.
type Gate struct{ closed bool }

// Admits reports whether a job is accepted.
func (g *Gate) Admits(d Demand) bool {
	limit := rejectFrom
	if g.closed && !d.Returns {
		limit = acceptBelow
	}
	admits := d.Load() <= limit
	if !d.Returns {
		g.closed = !admits
	}
	return admits
}

// ArrivalSpan is the time constant of the mean of what arrives. It is several times a
// burst, which lasts for 3 to 7 s: a burst alone must not count as the load to come.
const ArrivalSpan = 20 * time.Second

// Arrivals is the work of new jobs by place, as an exponential mean.
type Arrivals struct {
	work map[Key]float64
	at   time.Duration
}

// Add adds the work of a job.
func (a *Arrivals) Add(now time.Duration, k Key, work float64) {
	a.decay(now)
	if a.work == nil {
		a.work = map[Key]float64{}
	}
	a.work[k] += work
}

// Before returns the work of the jobs that arrive in a second and come before a place.
// Those at the same place come later, as their objectives are later.
func (a *Arrivals) Before(now time.Duration, k Key) float64 {
	a.decay(now)
	work := 0.0
	for other, w := range a.work {
		if other.Compare(&k) < 0 {
			work += w
		}
	}
	return work / ArrivalSpan.Seconds()
}

func (a *Arrivals) decay(now time.Duration) {
	factor := math.Exp(-float64(now-a.at) / float64(ArrivalSpan))
	a.at = now
	for k := range a.work {
		a.work[k] *= factor
	}
}
