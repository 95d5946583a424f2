package cell

import (
	"math"
	"time"
)

// disturbance learns by how much the tasks that fill raise the tail of the tasks
// that serve, for each pair of images. The tail grows by about the same amount
// for each share of the server that an image takes, and that amount differs
// between pairs by a factor of a hundred, so that only a few images have to be
// kept away from a serving task.
type disturbance struct {
	slopes map[imagePair]float64 // ms of tail for the whole server's processor
	bases  map[string]float64    // ms of tail of a serving image on its own
}

type imagePair struct{ serving, filling string }

const (
	// learnRate is the share of an error that one observation corrects. The
	// figures are rough, and there are several a second for each pair.
	learnRate = 0.15
	// baseRate is the same for the tail without fills, which swings slowly.
	baseRate = 0.05
	// priorSlope is the slope of an unknown pair in targets for the whole
	// server: a tenth of a server costs three tenths of the target.
	priorSlope = 3.0
	// errorBound limits what one figure may teach, in targets.
	errorBound = 3.0
	// minShare is the share below which fills teach nothing about themselves.
	minShare = 0.01
	// figureSpan is the time that the workers' figures cover.
	figureSpan = 500 * time.Millisecond
)

func newDisturbance() *disturbance {
	return &disturbance{slopes: map[imagePair]float64{}, bases: map[string]float64{}}
}

// slope returns the tail in ms that a whole server of one image would add.
func (d *disturbance) slope(serving, filling string, target float64) float64 {
	if s, ok := d.slopes[imagePair{serving, filling}]; ok {
		return s
	}
	return priorSlope * target
}

// imageShare is the share of a server's processor that an image takes.
type imageShare struct {
	image string
	share float64
}

// observe learns from one figure of a serving task.
func (d *disturbance) observe(serving string, target, tail float64, fills []imageShare) {
	base, known := d.bases[serving]
	total, norm := 0.0, 0.0
	for _, f := range fills {
		total += f.share
		norm += f.share * f.share
	}
	if total < minShare {
		if !known {
			base = tail
		}
		d.bases[serving] = base + baseRate*(tail-base)
		return
	}
	if !known {
		base = target / 2
	}
	predicted := base
	for _, f := range fills {
		predicted += d.slope(serving, f.image, target) * f.share
	}
	failure := min(max(tail-predicted, -errorBound*target), errorBound*target)
	for _, f := range fills {
		learnt := d.slope(serving, f.image, target) + learnRate*failure*f.share/norm
		d.slopes[imagePair{serving, f.image}] = math.Max(0, learnt)
	}
}
