// Package interference learns how much batch tasks slow services down on the
// same backend server, and plans relief.
//
// Learning: usage reports carry mean service times with a lag. A report is
// compared with the tasks that ran, and how they were throttled, while it was
// sampled, not with those that run now; a sample during which that changed is
// not used. The slowdown is split among the kinds of tasks by an online linear
// regression for each service and load band, because a server usually runs
// several kinds at a time.
//
// Relief: a server is under pressure when the smoothed slowdown stays above a
// high mark for several samples, and until it stays below a low mark for a
// while. Under pressure the task with the most expected relief is throttled;
// only when every such task is throttled and the effect has had time to show,
// one is evicted: the most relief for the least lost work. A sample from before
// the last action took effect counts for nothing, and evictions are bounded per
// minute, so that a noisy wave of reports doesn't become a storm of evictions.
//
// The package is pure: times are passed in.
package interference

import (
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

const (
	// maxServices and maxKinds bound the estimates to about 100 KB. Services
	// beyond are not estimated; kinds beyond share one estimate.
	maxServices = 64
	maxKinds    = 64
	// bandCount is the number of load bands: up to a third, up to two thirds
	// and above of the slots in use by requests.
	bandCount = 3
	// baseStep and slowdownStep are the weights of a new sample.
	baseStep = 0.1
	// slowdownStep is the least weight of a new sample of a kind; the first ones
	// weigh more. A rack sends about 10 samples a second, so the weight covers
	// about 20 s: with 0.15 every wave of load was blamed on the tasks.
	slowdownStep = 0.005
	// firstSamples is the number of samples after which the weight of the first
	// ones has fallen to half.
	firstSamples = 3
	// baseBesideTasks is the weight for the base of a sample beside tasks, from
	// which their expected slowdown is taken out first. Taking the least such
	// sample as base made noise look like interference.
	baseBesideTasks = 0.02
	// mostSlowdown bounds estimates and the influence of one sample.
	mostSlowdown = 4.0
	// throttledPart is the part of its interference that a throttled task is
	// expected to cause.
	throttledPart = 0.3
)

// Band is a load band.
type Band uint8

// BandOf returns the load band of a server by the slots that requests use.
func BandOf(used, slots int) Band {
	if slots <= 0 {
		return bandCount - 1
	}
	return Band(min(bandCount-1, used*bandCount/(slots+1)))
}

// Kind refers to a kind of batch task. ServiceIndex refers to a service;
// NoService has no estimates.
type (
	Kind         int32
	ServiceIndex int32
)

// NoService stands for a service beyond the bound.
const NoService ServiceIndex = -1

// otherKinds is shared by the kinds beyond the bound.
const otherKinds Kind = 0

// KindLoad is a kind of task that ran, with the number of tasks; a throttled
// task counts for less than one.
type KindLoad struct {
	Kind  Kind
	Tasks float64
}

// Estimator holds the slowdown estimates of a partition.
type Estimator struct {
	services map[fleet.Service]ServiceIndex
	kinds    map[string]Kind
	// base is the service time without tasks in seconds, 0 while unknown.
	base [maxServices][bandCount]float64
	// slow is the slowdown through one task, as a part of base.
	slow [maxServices][maxKinds][bandCount]float32
	// seen counts the samples of slow.
	seen [maxServices][maxKinds][bandCount]uint32
}

// NewEstimator returns an Estimator without estimates.
func NewEstimator() *Estimator {
	return &Estimator{
		services: make(map[fleet.Service]ServiceIndex), kinds: map[string]Kind{"": otherKinds},
	}
}

// Service returns the index of a service, or NoService beyond the bound.
func (e *Estimator) Service(name fleet.Service) ServiceIndex {
	i, known := e.services[name]
	if !known {
		if len(e.services) >= maxServices {
			return NoService
		}
		i = ServiceIndex(len(e.services))
		e.services[name] = i
	}
	return i
}

// Kind returns the index of a kind of task.
func (e *Estimator) Kind(name string) Kind {
	i, known := e.kinds[name]
	if !known {
		if len(e.kinds) >= maxKinds {
			return otherKinds
		}
		i = Kind(len(e.kinds))
		e.kinds[name] = i
	}
	return i
}

// LoadOfTask returns what one task counts for.
func LoadOfTask(kind Kind, throttled bool) KindLoad {
	if throttled {
		return KindLoad{kind, throttledPart}
	}
	return KindLoad{kind, 1}
}

// Observe learns from a sample of a service's mean service time and returns
// the slowdown that it shows, as a part of the time without tasks.
func (e *Estimator) Observe(service ServiceIndex, band Band, mean time.Duration, present []KindLoad) float64 {
	if service == NoService || mean <= 0 {
		return 0
	}
	seconds := mean.Seconds()
	base, step, expected := &e.base[service][band], baseStep, 0.0
	if len(present) > 0 {
		step, expected = baseBesideTasks, e.ExpectedSlowdown(service, band, present)
	}
	if *base == 0 {
		*base = seconds
	}
	*base += step * (seconds/(1+expected) - *base)
	slowdown := min(seconds / *base - 1, mostSlowdown)
	e.learn(service, band, slowdown, present)
	return slowdown
}

// learn is a normalised least mean squares step.
func (e *Estimator) learn(service ServiceIndex, band Band, slowdown float64, present []KindLoad) {
	norm := 0.0
	for _, p := range present {
		norm += p.Tasks * p.Tasks
	}
	if norm == 0 {
		return
	}
	excess := (slowdown - e.ExpectedSlowdown(service, band, present)) / norm
	for _, p := range present {
		seen := &e.seen[service][p.Kind][band]
		*seen++
		step := excess * max(slowdownStep, 1/float64(firstSamples+*seen))
		weight := &e.slow[service][p.Kind][band]
		*weight = min(max(*weight+float32(step*p.Tasks), 0), mostSlowdown)
	}
}

// ExpectedSlowdown returns the slowdown that a service is expected to have beside
// tasks.
func (e *Estimator) ExpectedSlowdown(service ServiceIndex, band Band, present []KindLoad) (sum float64) {
	if service == NoService {
		return 0
	}
	for _, p := range present {
		sum += p.Tasks * float64(e.slow[service][p.Kind][band])
	}
	return sum
}

// MaxSlowdown returns the greatest slowdown that one task of a kind causes to any
// service in a load band.
func (e *Estimator) MaxSlowdown(kind Kind, band Band) (worst float64) {
	for i := range e.services {
		worst = max(worst, float64(e.slow[e.services[i]][kind][band]))
	}
	return worst
}
