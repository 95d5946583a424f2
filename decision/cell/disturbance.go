package cell

import (
	"math"
	"slices"
	"time"
)

// disturbance learns by how much the tasks that fill press on the tasks that
// serve, for each pair of images.
//
// A serving task behaves like a queue: its tail is that of the idle task divided
// by one less its load, and the share of the server that a filling image uses
// adds to that load in proportion. The factor differs between pairs by a hundred
// times, so that only a few images have to be kept away from a serving task.
// Tails are therefore compared as loads, where the effects add up.
type disturbance struct {
	ids       map[string]imageID
	pressures [][]pressure // by serving and filling image
	images    []average    // the same for a filling image beside any other
	idle      []float64    // smallest tail seen of a serving image in ms, 0 for none
	changed   bool         // since the last record
}

// imageID numbers the images that a cell has met, so that rating a server needs
// no look-up by name.
type imageID int

// pressure is the load that a whole server of one image adds to another.
type pressure struct {
	known bool
	value float64
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
	// learnRate is the share of an error that one observation corrects. The
	// figures are rough, and there are several a second for each pair.
	learnRate = 0.12
	// priorPressure is that of an image of which nothing is known: a tenth of a
	// server adds a tenth of load, which a serving task usually bears.
	priorPressure = 1.0
	// maxPressure bounds what one pair can be taken for.
	maxPressure = 12.0
	// idleShare relates the smallest tail seen to that of an idle task: even at
	// its quietest a task has a fifth of its load.
	idleShare = 0.8
	// idleOfTarget is the idle tail in targets while none has been seen.
	idleOfTarget = 0.22
	// minShare is the share below which fills teach nothing about themselves.
	minShare = 0.01
	// maxLoad bounds the load that a tail is taken for.
	maxLoad = 0.99
	// usualLoad and usualPeak are those of a serving task that has not been
	// watched yet.
	usualLoad = 0.4
	usualPeak = 0.55
	// loadRate smooths the loads of a task over about a second.
	loadRate = 0.4
	// peakDecay is by how much the remembered peak falls in a second: the load
	// of a task swings within some ten seconds.
	peakDecay = 0.02
	// figureSpan is the time that the workers' figures cover.
	figureSpan = 500 * time.Millisecond
)

func newDisturbance() *disturbance { return &disturbance{ids: map[string]imageID{}} }

// id returns the number of an image.
func (d *disturbance) id(image string) imageID {
	if id, ok := d.ids[image]; ok {
		return id
	}
	id := imageID(len(d.ids))
	d.ids[image] = id
	d.images = append(d.images, average{value: priorPressure})
	d.idle = append(d.idle, 0)
	for i := range d.pressures {
		d.pressures[i] = append(d.pressures[i], pressure{})
	}
	d.pressures = append(d.pressures, make([]pressure, len(d.ids)))
	return id
}

// pressure returns the load that a whole server of one image adds to another.
func (d *disturbance) pressure(serving, filling imageID) float64 {
	if p := d.pressures[serving][filling]; p.known {
		return p.value
	}
	return d.images[filling].value
}

func (d *disturbance) idleTail(serving imageID, target float64) float64 {
	if tail := d.idle[serving]; tail > 0 {
		return min(tail*idleShare, target*idleOfTarget)
	}
	return target * idleOfTarget
}

// load converts a tail into a load.
func (d *disturbance) load(serving imageID, target, tail float64) float64 {
	if tail <= 0 {
		return 0
	}
	return min(maxLoad, max(0, 1-d.idleTail(serving, target)/tail))
}

// limit is the load at which a task reaches its target.
func (d *disturbance) limit(serving imageID, target float64) float64 {
	return d.load(serving, target, target)
}

// imageShare is the share of a server's processor that an image takes.
type imageShare struct {
	image imageID
	share float64
}

// served is what is known of the load of one serving task.
type served struct {
	known bool
	own   float64 // load without fills, smoothed
	peak  float64
	at    time.Duration
}

func (s *served) ownLoad() float64 {
	if !s.known {
		return usualLoad
	}
	return s.own
}

func (s *served) peakLoad() float64 {
	if !s.known {
		return usualPeak
	}
	return s.peak
}

func (s *served) add(now time.Duration, own float64) {
	own = min(max(own, 0), 1)
	if !s.known {
		s.known, s.own, s.peak, s.at = true, own, max(own, usualPeak), now
		return
	}
	s.own += loadRate * (own - s.own)
	s.peak = max(s.own, s.peak-peakDecay*(now-s.at).Seconds())
	s.at = now
}

// observe learns from one figure of a serving task.
func (d *disturbance) observe(now time.Duration, serving imageID, target, tail float64, s *served, fills []imageShare) {
	if least := d.idle[serving]; least == 0 || tail < least {
		d.idle[serving] = tail
	}
	load := d.load(serving, target, tail)
	total, norm, pressed := 0.0, 0.0, 0.0
	for _, f := range fills {
		total += f.share
		norm += f.share * f.share
		pressed += d.pressure(serving, f.image) * f.share
	}
	if total < minShare {
		s.add(now, load)
		return
	}
	d.changed = true
	failure := load - s.ownLoad() - pressed
	for _, f := range fills {
		learnt := d.pressure(serving, f.image) + learnRate*failure*f.share/norm
		learnt = min(maxPressure, max(0, learnt))
		d.pressures[serving][f.image] = pressure{known: true, value: learnt}
		d.images[f.image].add(learnt)
	}
	// Part of the error is the swing of the task's own load.
	s.add(now, s.ownLoad()+failure/2)
}

// LearntRecord is what a holder has learnt of the images, for the next one.
type LearntRecord struct {
	Images []string     `json:"images"`
	Idle   []float64    `json:"idle"` // smallest tail in ms, 0 when none was seen
	Usual  []float64    `json:"usual"`
	Pairs  []LearntPair `json:"pairs"`
}

// LearntPair is the pressure of one image on another; both are places in the
// list of images.
type LearntPair struct {
	Serving  int     `json:"s"`
	Filling  int     `json:"f"`
	Pressure float64 `json:"p"`
}

func (d *disturbance) record() *LearntRecord {
	r := &LearntRecord{Images: make([]string, len(d.ids)), Idle: slices.Clone(d.idle)}
	for image, id := range d.ids {
		r.Images[id] = image
	}
	for _, a := range d.images {
		r.Usual = append(r.Usual, rounded(a.value))
	}
	for s, row := range d.pressures {
		for f, p := range row {
			if p.known {
				r.Pairs = append(r.Pairs, LearntPair{Serving: s, Filling: f, Pressure: rounded(p.value)})
			}
		}
	}
	return r
}

// rounded keeps records short; the third digit of a pressure is noise.
func rounded(value float64) float64 { return math.Round(value*100) / 100 }

func (d *disturbance) restore(r *LearntRecord) {
	ids := make([]imageID, len(r.Images))
	for i, image := range r.Images {
		ids[i] = d.id(image)
		if i < len(r.Idle) {
			d.idle[ids[i]] = r.Idle[i]
		}
		if i < len(r.Usual) {
			d.images[ids[i]] = average{value: r.Usual[i], count: averageSpan}
		}
	}
	for _, p := range r.Pairs {
		if p.Serving < len(ids) && p.Filling < len(ids) && p.Serving >= 0 && p.Filling >= 0 {
			d.pressures[ids[p.Serving]][ids[p.Filling]] = pressure{known: true, value: p.Pressure}
		}
	}
}
