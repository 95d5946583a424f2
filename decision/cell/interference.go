package cell

import (
	"time"
)

// interferenceModel estimates how much best-effort tasks raise the load of
// serving tasks, for each pair of images.
//
// A serving task behaves like a queue: its tail latency is that of the idle
// task divided by one minus its load, and the share of the server that a
// best-effort image uses adds to that load in proportion. The factor, called
// pressure, differs between pairs by up to a hundred times, so only a few
// images have to be kept away from a serving task. The model converts tail
// latencies to loads because the effects of several images on a load add up.
type interferenceModel struct {
	images
	pressures    [][]pressure     // by serving and best-effort image
	meanPressure []average        // mean pressure of a best-effort image over all serving images
	baselineLoad []average        // load of a serving image without best-effort tasks beside it
	minTail      []float64        // smallest tail observed of a serving image in ms, 0 for none
	changed      bool             // the model has changed since its last record
	filtered     bool             // observations are weighed by filters
	filters      []pressureFilter // by serving image
	risen        bool             // an estimate has risen by risenPressure since the last record
}

// imageID is the index of an image in the model. It saves a look-up by name when
// a server is rated.
type imageID int

// pressure is the load that one image adds to another when it uses a whole
// server.
type pressure struct {
	known    bool
	value    float64
	count    int     // observations
	recorded float64 // value in the last record
	// trialUntil is the end of the trial of a first task of the best-effort
	// image beside one of the serving image.
	trialUntil time.Duration
}

// average is a moving mean over about averageSpan values.
type average struct {
	value float64
	count int
}

func (a *average) add(value float64) {
	a.count++
	a.value += (value - a.value) / float64(min(a.count, averageSpan))
}

const (
	// averageSpan is the number of observations after which an average gives
	// each new one a constant weight.
	averageSpan = 40
	// learningRate is the fraction of an error that one observation corrects
	// after many observations; early ones correct more. The pressure of a pair
	// is constant, and each second brings several noisy measurements of it.
	learningRate = 0.01
	// learningRateDecay is the number of observations after which the divisor of
	// the early rate grows by one: measurements of several tasks of a server
	// arrive together.
	learningRateDecay = 4.0
	// priorPressure is the pressure assumed for an unknown image: a tenth of a
	// server adds a load of a tenth, which a serving task usually tolerates.
	priorPressure = 1.0
	// maxPressure bounds the estimate for one pair.
	maxPressure = 12.0
	// idleTailFactor converts the smallest tail observed to that of an idle
	// task: even at its minimum the load of a task is a fifth.
	idleTailFactor = 0.8
	// idleTailOfTarget is the idle tail as a fraction of the target while no
	// tail has been observed.
	idleTailOfTarget = 0.22
	// minShare is the total share of the best-effort images below which a
	// serving task counts as isolated.
	minShare = 0.01
	// maxLoad bounds the load that a tail is converted to.
	maxLoad = 0.99
	// measurementWindow is the time that one measurement of a worker covers.
	measurementWindow = 500 * time.Millisecond
)

func newInterferenceModel() *interferenceModel {
	m := &interferenceModel{images: newImages()}
	m.addSlot()
	return m
}

// id returns the index of an image, adding the image if it is new and there is room for it.
func (m *interferenceModel) id(image string) imageID {
	id, added := m.index(image)
	if added && int(id) == len(m.pressures) {
		m.addSlot()
	}
	return id
}

// addSlot adds an image of which nothing is known.
func (m *interferenceModel) addSlot() {
	m.meanPressure = append(m.meanPressure, average{value: priorPressure})
	m.minTail = append(m.minTail, 0)
	m.baselineLoad = append(m.baselineLoad, average{value: defaultLoad})
	for i := range m.pressures {
		m.pressures[i] = append(m.pressures[i], pressure{})
	}
	m.pressures = append(m.pressures, make([]pressure, len(m.pressures)+1))
}

// pressure returns the load that one image adds to another when it uses a whole
// server.
func (m *interferenceModel) pressure(serving, bestEffort imageID) float64 {
	if p := m.pressures[serving][bestEffort]; p.known {
		return p.value
	}
	return m.meanPressure[bestEffort].value
}

// idleTail returns the tail latency of a serving image at no load, in the unit
// of target.
func (m *interferenceModel) idleTail(serving imageID, target float64) float64 {
	if tail := m.minTail[serving]; tail > 0 {
		return min(tail*idleTailFactor, target*idleTailOfTarget)
	}
	return target * idleTailOfTarget
}

// load converts a tail latency to a load.
func (m *interferenceModel) load(serving imageID, target, tail float64) float64 {
	if tail <= 0 {
		return 0
	}
	return min(maxLoad, max(0, 1-m.idleTail(serving, target)/tail))
}

// loadLimit returns the load at which a task reaches its target.
func (m *interferenceModel) loadLimit(serving imageID, target float64) float64 {
	return m.load(serving, target, target)
}

// imageShare is the fraction of a server's processor that an image uses.
type imageShare struct {
	image imageID
	share float64
}

// observe updates the model with one measurement of a serving task: its tail
// over the time of the segments and its estimated own load. It returns the part
// of the load that is attributed to the task itself, and whether the task ran
// isolated, which means with hardly any best-effort task beside it.
func (m *interferenceModel) observe(serving imageID, target, tail, ownLoad float64, window []segment) (attributed float64, isolated bool) {
	if least := m.minTail[serving]; least == 0 || tail < least {
		m.minTail[serving] = tail
	}
	load := m.load(serving, target, tail)
	expected, shares := m.expectedLoad(serving, ownLoad, window)
	total, norm := 0.0, 0.0
	for _, s := range shares {
		total += s.share
		norm += s.share * s.share
	}
	if total < minShare {
		m.baselineLoad[serving].add(load)
		return load, true
	}
	m.changed = true
	residual := load - expected
	if m.filtered {
		m.correctPressures(serving, load, residual, shares)
		shares = nil
	}
	for _, s := range shares {
		p := &m.pressures[serving][s.image]
		p.correct(m.pressure(serving, s.image), residual*s.share/norm)
		m.meanPressure[s.image].add(p.value)
	}
	baseline := m.baselineLoad[serving].value
	return baseline + colocatedCorrection*(ownLoad+residual-baseline), false
}

// colocatedCorrection is the fraction of the deviation from the baseline load of
// an image that is attributed to a serving task with best-effort tasks beside
// it. Load and pressure cannot be told apart in such measurements, so the
// estimates of both would drift together if the whole deviation counted.
const colocatedCorrection = 0.5

const (
	// trialObservations is the number of observations after which a pair counts
	// as known: a task appears in two measurements of several serving tasks.
	trialObservations = 6
	// trialDuration is the time until the measurements show the effect of the
	// first task of a pair.
	trialDuration = 1200 * time.Millisecond
)

// inTrial reports whether the pressure of a pair is not known yet and its first
// task is running. Until the measurements show its effect, a second task could
// cause the same interference again.
func (m *interferenceModel) inTrial(serving, bestEffort imageID, now time.Duration) bool {
	p := m.pressures[serving][bestEffort]
	return p.count < trialObservations && now < p.trialUntil
}

// startTrial records that a task of a best-effort image starts beside a serving
// image.
func (m *interferenceModel) startTrial(serving, bestEffort imageID, now time.Duration) {
	if p := &m.pressures[serving][bestEffort]; p.count < trialObservations {
		p.trialUntil = now + trialDuration
	}
}

// correct adjusts a pressure by the error of one observation. before is the
// estimate that the observation was compared with.
func (p *pressure) correct(before, residual float64) {
	p.count++
	rate := max(learningRate, 1/(2+float64(p.count)/learningRateDecay))
	p.known, p.value = true, min(maxPressure, max(0, before+rate*residual))
}

// expectedLoad returns the load that corresponds to the expected mean tail over
// a window, and the share of each best-effort image, weighted by its effect on
// that tail: short periods of high load account for most of it.
func (m *interferenceModel) expectedLoad(serving imageID, ownLoad float64, window []segment) (float64, []imageShare) {
	var shares []imageShare
	tail, slope := 0.0, 0.0
	for _, part := range window {
		load := ownLoad
		for _, s := range part.shares {
			load += m.pressure(serving, s.image) * s.share
		}
		relative := 1 / (1 - min(load, maxLoad)) // relative to the idle tail
		weight := part.weight * relative * relative
		tail += part.weight * relative
		slope += weight
		for _, s := range part.shares {
			shares = addShare(shares, s.image, weight*s.share)
		}
	}
	for i := range shares {
		shares[i].share /= slope
	}
	return 1 - 1/tail, shares
}
