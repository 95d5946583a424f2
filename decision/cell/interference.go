package cell

import (
	"math"
	"slices"
	"time"
)

// interferenceModel learns by how much the tasks that fill press on the tasks that
// serve, for each pair of images.
//
// A serving task behaves like a queue: its tail is that of the idle task divided
// by one less its load, and the share of the server that a filling image uses
// adds to that load in proportion. The factor differs between pairs by a hundred
// times, so that only a few images have to be kept away from a serving task.
// Tails are therefore compared as loads, where the effects add up.
type interferenceModel struct {
	imageIDs     map[string]imageID
	pressures    [][]pressure // by serving and filling image
	meanPressure []average    // the same for a filling image beside any other
	baselineLoad []average    // load of a serving image without fills
	minTail      []float64    // smallest tail seen of a serving image in ms, 0 for none
	changed      bool         // since the last record
}

// imageID numbers the images that a cell has met, so that rating a server needs
// no look-up by name.
type imageID int

// pressure is the load that a whole server of one image adds to another.
type pressure struct {
	known bool
	value float64
	count int // observations
	// trialUntil is until when a first task of the filling image is being tried
	// beside one of the serving image.
	trialUntil time.Duration
}

// average is a mean that follows slow changes.
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
	// learnRate is the share of an error that one observation corrects once many
	// have been made; the first ones correct more. A pair's pressure does not
	// change, and there are several rough figures of it in a second.
	learnRate = 0.01
	// learnSlowdown is the number of observations that lower the rate by one
	// part: figures of several tasks of a server arrive together.
	learnSlowdown = 4.0
	// priorPressure is that of an image of which nothing is known: a tenth of a
	// server adds a tenth of load, which a serving task usually bears.
	priorPressure = 1.0
	// maxPressure bounds what one pair can be taken for.
	maxPressure = 12.0
	// idleTailFactor relates the smallest tail seen to that of an idle task: even at
	// its quietest a task has a fifth of its load.
	idleTailFactor = 0.8
	// idleTailOfTarget is the idle tail in targets while none has been seen.
	idleTailOfTarget = 0.22
	// minShare is the share below which fills teach nothing about themselves.
	minShare = 0.01
	// maxLoad bounds the load that a tail is taken for.
	maxLoad = 0.99
	// measurementWindow is the time that the workers' figures cover.
	measurementWindow = 500 * time.Millisecond
)

func newInterferenceModel() *interferenceModel {
	return &interferenceModel{imageIDs: map[string]imageID{}}
}

// id returns the number of an image.
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

// pressure returns the load that a whole server of one image adds to another.
func (d *interferenceModel) pressure(serving, filling imageID) float64 {
	if p := d.pressures[serving][filling]; p.known {
		return p.value
	}
	return d.meanPressure[filling].value
}

func (d *interferenceModel) idleTail(serving imageID, target float64) float64 {
	if tail := d.minTail[serving]; tail > 0 {
		return min(tail*idleTailFactor, target*idleTailOfTarget)
	}
	return target * idleTailOfTarget
}

// load converts a tail into a load.
func (d *interferenceModel) load(serving imageID, target, tail float64) float64 {
	if tail <= 0 {
		return 0
	}
	return min(maxLoad, max(0, 1-d.idleTail(serving, target)/tail))
}

// loadLimit is the load at which a task reaches its target.
func (d *interferenceModel) loadLimit(serving imageID, target float64) float64 {
	return d.load(serving, target, target)
}

// imageShare is the share of a server's processor that an image takes.
type imageShare struct {
	image imageID
	share float64
}

// observe learns from one figure of a serving task: the tail over the time that
// the segments cover, of a task whose own load is given. It returns the load
// that is left for the task itself, and whether no filling task pressed on it.
func (d *interferenceModel) observe(serving imageID, target, tail, own float64, window []segment) (left float64, quiet bool) {
	if least := d.minTail[serving]; least == 0 || tail < least {
		d.minTail[serving] = tail
	}
	load := d.load(serving, target, tail)
	expected, shares := d.expectedLoad(serving, own, window)
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
	failure := load - expected
	for _, f := range shares {
		p := &d.pressures[serving][f.image]
		p.correct(d.pressure(serving, f.image), failure*f.share/norm)
		d.meanPressure[f.image].add(p.value)
	}
	usual := d.baselineLoad[serving].value
	return usual + pressedCorrection*(own+failure-usual), false
}

// pressedCorrection is how much of the distance from the usual load of an image the
// figure of a pressed task tells. Without figures of tasks that nothing presses
// on, load and pressure cannot be told apart, and one would drift with the other.
const pressedCorrection = 0.5

const (
	// trialObservations is the number of observations after which a pair is known: a
	// task is seen in two figures of several serving tasks.
	trialObservations = 6
	// trialDuration is the time until a first task of a pair shows in the figures.
	trialDuration = 1200 * time.Millisecond
)

// inTrial reports whether nothing is known of a pair yet and a first task of it is
// under way: until its figures arrive another one could do the same harm.
func (d *interferenceModel) inTrial(serving, filling imageID, now time.Duration) bool {
	p := d.pressures[serving][filling]
	return p.count < trialObservations && now < p.trialUntil
}

// startTrial notes that a task of a filling image starts beside a serving image.
func (d *interferenceModel) startTrial(serving, filling imageID, now time.Duration) {
	if p := &d.pressures[serving][filling]; p.count < trialObservations {
		p.trialUntil = now + trialDuration
	}
}

// correct corrects a pressure by the error of one observation.
func (p *pressure) correct(before, failure float64) {
	p.count++
	rate := max(learnRate, 1/(2+float64(p.count)/learnSlowdown))
	p.known, p.value = true, min(maxPressure, max(0, before+rate*failure))
}

// expectedLoad returns the load that the mean tail over a window stands for, and the
// share of each image by its part in that tail: where the load is high, a short
// time makes most of the tail.
func (d *interferenceModel) expectedLoad(serving imageID, own float64, window []segment) (float64, []imageShare) {
	var shares []imageShare
	tail, slope := 0.0, 0.0
	for _, part := range window {
		load := own
		for _, f := range part.shares {
			load += d.pressure(serving, f.image) * f.share
		}
		relative := 1 / (1 - min(load, maxLoad)) // to the idle tail
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

// InterferenceRecord is what a holder has learnt of the images, for the next one.
type InterferenceRecord struct {
	Images       []string           `json:"images"`
	MinTailMS    []float64          `json:"idle"` // smallest tail in ms, 0 when none was seen
	MeanPressure []float64          `json:"usual"`
	Pairs        []InterferencePair `json:"pairs"`
}

// InterferencePair is the pressure of one image on another; both are places in the
// list of images.
type InterferencePair struct {
	Serving  int     `json:"s"`
	Filling  int     `json:"f"`
	Pressure float64 `json:"p"`
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
				r.Pairs = append(r.Pairs, InterferencePair{Serving: s, Filling: f, Pressure: rounded(p.value)})
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
		if p.Serving < len(ids) && p.Filling < len(ids) && p.Serving >= 0 && p.Filling >= 0 {
			d.pressures[ids[p.Serving]][ids[p.Filling]] = pressure{known: true, value: p.Pressure, count: averageSpan}
		}
	}
}
