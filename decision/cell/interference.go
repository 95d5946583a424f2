package cell

import (
	"math"
	"slices"
	"time"
)

// interferenceModel estimates how much best-effort tasks raise the load of
// serving tasks, for each pair of images.
//
// A serving task behaves like a queue: its tail latency is that of the idle
// task divided by one minus its load, and the share of the server that a
// best-effort image uses adds to that load in proportion. The factor, called
// pressure, differs between pairs by up to a hundred times, so only a few
// images have to be kept away from a serving task. Tail latencies are therefore
// converted to loads, in which the effects are additive.
type interferenceModel struct {
	imageIDs     map[string]imageID
	pressures    [][]pressure // by serving and best-effort image
	meanPressure []average    // mean pressure of a best-effort image over all serving images
	baselineLoad []average    // load of a serving image without best-effort tasks beside it
	minTail      []float64    // smallest tail observed of a serving image in ms, 0 for none
	changed      bool         // since the last record
}

// imageID is the index of an image in the model, so that rating a server needs
// no look-up by name.
type imageID int

// pressure is the load that one image adds to another when it uses a whole
// server.
type pressure struct {
	known bool
	value float64
	count int // observations
	// trialUntil is the end of the trial of a first task of the best-effort
	// image beside one of the serving image.
	trialUntil time.Duration
}

// average is a moving mean.
type average struct {
	value float64
	count int
}

func (a *average) add(value float64) {
	a.count++
	a.value += (value - a.value) / float64(min(a.count, averageSpan))
}

const (
	averageSpan = 40 // observations
	// learnRate is the fraction of an error that one observation corrects after
	// many observations; early ones correct more. The pressure of a pair is
	// constant, and each second brings several noisy measurements of it.
	learnRate = 0.01
	// learnSlowdown is the number of observations that increase the divisor of
	// the rate by one: measurements of several tasks of a server arrive
	// together.
	learnSlowdown = 4.0
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
	// minShare is the total share below which a measurement says nothing about
	// the best-effort images.
	minShare = 0.01
	// maxLoad bounds the load that a tail is converted to.
	maxLoad = 0.99
	// measurementWindow is the time that one measurement of a worker covers.
	measurementWindow = 500 * time.Millisecond
)

func newInterferenceModel() *interferenceModel {
	return &interferenceModel{imageIDs: map[string]imageID{}}
}

// id returns the index of an image, adding the image if it is new.
func (d *interferenceModel) id(image string) imageID {
	if id, ok := d.imageIDs[image]; ok {
		return id
	}
	id := imageID(len(d.imageIDs))
	d.imageIDs[image] = id
	d.meanPressure = append(d.meanPressure, average{value: priorPressure})
	d.minTail = append(d.minTail, 0)
	d.baselineLoad = append(d.baselineLoad, average{value: defaultLoad})
	for i := range d.pressures {
		d.pressures[i] = append(d.pressures[i], pressure{})
	}
	d.pressures = append(d.pressures, make([]pressure, len(d.imageIDs)))
	return id
}

// pressure returns the load that one image adds to another when it uses a whole
// server.
func (d *interferenceModel) pressure(serving, bestEffort imageID) float64 {
	if p := d.pressures[serving][bestEffort]; p.known {
		return p.value
	}
	return d.meanPressure[bestEffort].value
}

func (d *interferenceModel) idleTail(serving imageID, target float64) float64 {
	if tail := d.minTail[serving]; tail > 0 {
		return min(tail*idleTailFactor, target*idleTailOfTarget)
	}
	return target * idleTailOfTarget
}

// load converts a tail latency to a load.
func (d *interferenceModel) load(serving imageID, target, tail float64) float64 {
	if tail <= 0 {
		return 0
	}
	return min(maxLoad, max(0, 1-d.idleTail(serving, target)/tail))
}

// loadLimit returns the load at which a task reaches its target.
func (d *interferenceModel) loadLimit(serving imageID, target float64) float64 {
	return d.load(serving, target, target)
}

// imageShare is the fraction of a server's processor that an image uses.
type imageShare struct {
	image imageID
	share float64
}

// observe updates the model with one measurement of a serving task: its tail
// over the time of the segments and its estimated own load. It returns the part
// of the load that is attributed to the task itself, and whether the task ran
// without interference.
func (d *interferenceModel) observe(serving imageID, target, tail, ownLoad float64, window []segment) (attributed float64, undisturbed bool) {
	if least := d.minTail[serving]; least == 0 || tail < least {
		d.minTail[serving] = tail
	}
	load := d.load(serving, target, tail)
	expected, shares := d.expectedLoad(serving, ownLoad, window)
	total, norm := 0.0, 0.0
	for _, f := range shares {
		total += f.share
		norm += f.share * f.share
	}
	if total < minShare {
		d.baselineLoad[serving].add(load)
		return load, true
	}
	d.changed = true
	residual := load - expected
	for _, f := range shares {
		p := &d.pressures[serving][f.image]
		p.correct(d.pressure(serving, f.image), residual*f.share/norm)
		d.meanPressure[f.image].add(p.value)
	}
	baseline := d.baselineLoad[serving].value
	return baseline + pressedCorrection*(ownLoad+residual-baseline), false
}

// pressedCorrection is the fraction of the distance from the usual load of an
// image that a measurement under pressure contributes. Without measurements
// free of interference, load and pressure cannot be separated, and one would
// drift with the other.
const pressedCorrection = 0.5

const (
	// trialObservations is the number of observations after which a pair counts
	// as known: a task appears in two measurements of several serving tasks.
	trialObservations = 6
	// trialDuration is the time until a first task of a pair shows in the
	// measurements.
	trialDuration = 1200 * time.Millisecond
)

// inTrial reports whether a pair is not known yet and a first task of it is
// running. Until its measurements arrive, a second task could cause the same
// interference.
func (d *interferenceModel) inTrial(serving, bestEffort imageID, now time.Duration) bool {
	p := d.pressures[serving][bestEffort]
	return p.count < trialObservations && now < p.trialUntil
}

// startTrial records that a task of a best-effort image starts beside a serving
// image.
func (d *interferenceModel) startTrial(serving, bestEffort imageID, now time.Duration) {
	if p := &d.pressures[serving][bestEffort]; p.count < trialObservations {
		p.trialUntil = now + trialDuration
	}
}

// correct adjusts a pressure by the error of one observation.
func (p *pressure) correct(before, residual float64) {
	p.count++
	rate := max(learnRate, 1/(2+float64(p.count)/learnSlowdown))
	p.known, p.value = true, min(maxPressure, max(0, before+rate*residual))
}

// expectedLoad returns the load that corresponds to the mean tail over a
// window, and the share of each image weighted by its part in that tail: short
// periods of high load account for most of the tail.
func (d *interferenceModel) expectedLoad(serving imageID, ownLoad float64, window []segment) (float64, []imageShare) {
	var shares []imageShare
	tail, slope := 0.0, 0.0
	for _, part := range window {
		load := ownLoad
		for _, f := range part.shares {
			load += d.pressure(serving, f.image) * f.share
		}
		relative := 1 / (1 - min(load, maxLoad)) // relative to the idle tail
		weight := part.weight * relative * relative
		tail += part.weight * relative
		slope += weight
		for _, f := range part.shares {
			shares = addShare(shares, f.image, weight*f.share)
		}
	}
	for i := range shares {
		shares[i].share /= slope
	}
	return 1 - 1/tail, shares
}

// InterferenceRecord is the interference model of a holder, stored for the next
// holder.
type InterferenceRecord struct {
	Images       []string           `json:"images"`
	MinTailMS    []float64          `json:"idle"` // smallest tail in ms, 0 if none was observed
	MeanPressure []float64          `json:"usual"`
	Pairs        []InterferencePair `json:"pairs"`
}

// InterferencePair is the pressure of one image on another. Both images are
// indexes into the list of images.
type InterferencePair struct {
	Serving    int     `json:"s"`
	BestEffort int     `json:"f"`
	Pressure   float64 `json:"p"`
}

func (d *interferenceModel) record() *InterferenceRecord {
	r := &InterferenceRecord{Images: make([]string, len(d.imageIDs)), MinTailMS: slices.Clone(d.minTail)}
	for image, id := range d.imageIDs {
		r.Images[id] = image
	}
	for _, a := range d.meanPressure {
		r.MeanPressure = append(r.MeanPressure, rounded(a.value))
	}
	for s, row := range d.pressures {
		for f, p := range row {
			if p.known {
				r.Pairs = append(r.Pairs, InterferencePair{Serving: s, BestEffort: f, Pressure: rounded(p.value)})
			}
		}
	}
	return r
}

// rounded keeps records short; the third digit of a pressure is noise.
func rounded(value float64) float64 { return math.Round(value*100) / 100 }

func (d *interferenceModel) restore(r *InterferenceRecord) {
	ids := make([]imageID, len(r.Images))
	for i, image := range r.Images {
		ids[i] = d.id(image)
		if i < len(r.MinTailMS) {
			d.minTail[ids[i]] = r.MinTailMS[i]
		}
		if i < len(r.MeanPressure) {
			d.meanPressure[ids[i]] = average{value: r.MeanPressure[i], count: averageSpan}
		}
	}
	for _, p := range r.Pairs {
		if p.Serving < len(ids) && p.BestEffort < len(ids) && p.Serving >= 0 && p.BestEffort >= 0 {
			d.pressures[ids[p.Serving]][ids[p.BestEffort]] = pressure{known: true, value: p.Pressure, count: averageSpan}
		}
	}
}
