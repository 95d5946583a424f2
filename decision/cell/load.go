package cell

import "time"

// loadEstimate is what is known of the load of the serving tasks of one step without
// the tasks that fill beside them. The tasks of a step serve the same users, so
// that their loads swing together: those without a filling task beside them tell
// the load of the others.
type loadEstimate struct {
	known      bool
	fast, slow float64 // the load, smoothed over two spans
	peak       float64
	at         time.Duration // that the newest figure stands for
}

const (
	// defaultLoad and usualPeak are those of a serving task that has not been
	// watched yet.
	defaultLoad = 0.4
	defaultPeak = 0.55
	// fastSpan and slowSpan smooth the load. A swing takes some ten seconds, and
	// the difference of the two tells its slope.
	fastSpan = 200 * time.Millisecond
	slowSpan = 500 * time.Millisecond
	// slopeWeight is the part of the slope that is carried on: figures are rough,
	// and a swing bends.
	slopeWeight = 0.7
	// minSampleInterval is the least weight of a figure, as figures of several servers
	// arrive at about the same time.
	minSampleInterval = 40 * time.Millisecond
	// measurementLag is the mean age of a figure: half of the time that it covers and
	// of the time until the next list.
	measurementLag = 300 * time.Millisecond
	// maxSlope bounds the change of a load in a second: half of it within a
	// quarter of a swing of ten seconds.
	maxSlope = 0.15
	// maxExtrapolation bounds how far a load is carried on without a new figure.
	maxExtrapolation = 1500 * time.Millisecond
	// peakDecay is by how much the remembered peak falls in a second.
	peakDecay = 0.02
	// placementHorizon is how far ahead a filling task is placed: tasks take a second or
	// two.
	placementHorizon = time.Second
)

// add takes in the load that a figure tells; weight is the trust in it.
func (s *loadEstimate) add(now time.Duration, load, weight float64) {
	load = min(max(load, 0), 1)
	at := now - measurementLag
	if !s.known {
		s.known, s.fast, s.slow, s.at = true, load, load, at
		s.peak = max(load, defaultPeak)
		return
	}
	passed := at - s.at + minSampleInterval
	s.fast += weight * gain(passed, fastSpan) * (load - s.fast)
	s.slow += weight * gain(passed, slowSpan) * (load - s.slow)
	s.peak = max(s.fast, s.peak-peakDecay*(at-s.at).Seconds())
	s.at = at
}

func gain(passed, span time.Duration) float64 { return float64(passed) / float64(passed+span) }

// load returns the load at a time near that of the last figure.
func (s *loadEstimate) load(at time.Duration) float64 {
	if !s.known {
		return defaultLoad
	}
	slope := (s.fast - s.slow) / (slowSpan - fastSpan).Seconds()
	slope = slopeWeight * min(max(slope, -maxSlope), maxSlope)
	ahead := min(at-s.at, maxExtrapolation) + fastSpan
	return min(max(s.fast+slope*ahead.Seconds(), 0), max(s.peak, s.fast))
}

// upcomingMax returns the upcomingMax load until a filling task that starts now ends.
func (s *loadEstimate) upcomingMax(now time.Duration) float64 {
	return max(s.load(now), s.load(now+placementHorizon))
}
