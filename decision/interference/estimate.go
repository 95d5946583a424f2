// Package interference estimates how much batch tasks slow down services on the
// same backend server, and plans throttling and evictions to limit it.
//
// Estimation: usage reports carry mean service times with a lag. A report is
// matched with the tasks that ran while it was sampled, and with how they were
// throttled then, not with the tasks that run now. A sample during which the
// throttling changed is not used. An online linear regression for each service
// and load band attributes the slowdown to the kinds of tasks, because a server
// usually runs several kinds at a time.
//
// Mitigation: a server comes under pressure when the smoothed slowdown stays
// above a high threshold for several samples, and stops being under pressure
// when it falls below a low threshold. Under pressure, the task with the
// greatest expected slowdown is throttled. Once every task with a significant
// slowdown is throttled and the effect has had time to show, one is evicted:
// the one that removes the most slowdown for the least lost work. Samples from before the
// last action took effect are ignored and evictions are limited per minute, so
// that a burst of noisy reports doesn't cause a burst of evictions.
//
// The package does no I/O and takes the time as a parameter.
package interference

import (
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

const (
	// maxServices and maxKinds limit the estimates to about 100 KB. Further
	// services are not estimated; further kinds share one estimate.
	maxServices = 64
	maxKinds    = 64
	// bandCount is the number of load bands: up to one third, up to two thirds
	// and more than two thirds of the slots used by requests.
	bandCount = 3
	// baselineStep is the weight of a new sample without tasks in the baseline.
	baselineStep = 0.1
	// minSlowdownStep is the minimum weight of a new sample in the slowdown of a
	// kind; the first samples weigh more. A rack sends about 10 samples a second,
	// so the weight averages over about 20 s. With 0.15, every load peak was
	// attributed to the tasks.
	minSlowdownStep = 0.005
	// initialSamples is the number of samples after which the initial weight has
	// halved.
	initialSamples = 3
	// baselineStepWithTasks is the weight in the baseline of a sample taken while
	// tasks ran, after removing their expected slowdown. Using the smallest such
	// sample as the baseline made noise look like interference.
	baselineStepWithTasks = 0.02
	// maxSlowdown limits the estimates and the influence of one sample, as a
	// fraction of the baseline.
	maxSlowdown = 4.0
	// throttledFraction is the fraction of its full-speed slowdown that a
	// throttled task is expected to cause.
	throttledFraction = 0.3
)

// Band is a range of load, by the fraction of the slots used by requests.
type Band uint8

// BandOf returns the load band of a server on which requests use the given
// number of its slots.
func BandOf(used, slots int) Band {
	if slots <= 0 {
		return bandCount - 1
	}
	return Band(min(bandCount-1, used*bandCount/(slots+1)))
}

// Kind is the index of a kind of batch task, and ServiceIndex that of a
// service, in an Estimator.
type (
	Kind         int32
	ServiceIndex int32
)

// NoService is the index of every service beyond maxServices. It has no
// estimates.
const NoService ServiceIndex = -1

// otherKinds is shared by all kinds beyond maxKinds.
const otherKinds Kind = 0

// KindLoad is a kind of task on a server and the number of its tasks, where a
// throttled task counts as throttledFraction.
type KindLoad struct {
	Kind  Kind
	Tasks float64
}

// Estimator holds the slowdown estimates of a partition.
type Estimator struct {
	services map[fleet.Service]ServiceIndex
	kinds    map[string]Kind
	// baseline is the service time without tasks in seconds, 0 while unknown.
	baseline [maxServices][bandCount]float64
	// slowdown is the slowdown caused by one task, as a fraction of baseline.
	slowdown [maxServices][maxKinds][bandCount]float32
	// sampleCount is the number of samples behind each slowdown.
	sampleCount [maxServices][maxKinds][bandCount]uint32
}

// NewEstimator returns an Estimator without estimates.
func NewEstimator() *Estimator {
	return &Estimator{
		services: make(map[fleet.Service]ServiceIndex), kinds: map[string]Kind{"": otherKinds},
	}
}

// Service returns the index of a service, or NoService if there are maxServices
// others.
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

// Kind returns the index of a kind of task, which kinds beyond maxKinds share.
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

// LoadOfTask returns the load of one task of a kind.
func LoadOfTask(kind Kind, throttled bool) KindLoad {
	if throttled {
		return KindLoad{kind, throttledFraction}
	}
	return KindLoad{kind, 1}
}

// Observe updates the estimates with a sample of a service's mean service time,
// taken while loads ran. It returns the slowdown in the sample as a fraction of
// the baseline.
func (e *Estimator) Observe(service ServiceIndex, band Band, mean time.Duration, loads []KindLoad) float64 {
	if service == NoService || mean <= 0 {
		return 0
	}
	seconds := mean.Seconds()
	baseline, step, expected := &e.baseline[service][band], baselineStep, 0.0
	if len(loads) > 0 {
		step, expected = baselineStepWithTasks, e.ExpectedSlowdown(service, band, loads)
	}
	if *baseline == 0 {
		*baseline = seconds
	}
	*baseline += step * (seconds/(1+expected) - *baseline)
	slowdown := min(seconds / *baseline - 1, maxSlowdown)
	e.update(service, band, slowdown, loads)
	return slowdown
}

// update takes one step of normalised least mean squares.
func (e *Estimator) update(service ServiceIndex, band Band, slowdown float64, loads []KindLoad) {
	norm := 0.0
	for _, l := range loads {
		norm += l.Tasks * l.Tasks
	}
	if norm == 0 {
		return
	}
	residual := (slowdown - e.ExpectedSlowdown(service, band, loads)) / norm
	for _, l := range loads {
		count := &e.sampleCount[service][l.Kind][band]
		*count++
		step := residual * max(minSlowdownStep, 1/float64(initialSamples+*count))
		weight := &e.slowdown[service][l.Kind][band]
		*weight = min(max(*weight+float32(step*l.Tasks), 0), maxSlowdown)
	}
}

// ExpectedSlowdown returns the estimated slowdown of a service next to loads, as
// a fraction of the baseline.
func (e *Estimator) ExpectedSlowdown(service ServiceIndex, band Band, loads []KindLoad) (sum float64) {
	if service == NoService {
		return 0
	}
	for _, l := range loads {
		sum += l.Tasks * float64(e.slowdown[service][l.Kind][band])
	}
	return sum
}

// MaxSlowdown returns the greatest estimated slowdown that one task of a kind
// causes to any service in a load band.
func (e *Estimator) MaxSlowdown(kind Kind, band Band) (greatest float64) {
	for i := range e.services {
		greatest = max(greatest, float64(e.slowdown[e.services[i]][kind][band]))
	}
	return greatest
}
