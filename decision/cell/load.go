package cell

import "time"

// loadEstimate estimates the load of the serving tasks of one step without the
// best-effort tasks beside them. The tasks of a step serve the same users, so
// their loads rise and fall together: tasks without a best-effort task beside
// them show the load of the others.
type loadEstimate struct {
	known      bool
	fast, slow float64 // the load, smoothed over two time spans
	peak       float64
	at         time.Duration // time that the newest measurement stands for
}

const (
	// defaultLoad and defaultPeak apply to a serving task without measurements.
	defaultLoad = 0.4
	defaultPeak = 0.55
	// fastSpan and slowSpan are the time spans of the smoothed loads. A load
	// cycle takes about ten seconds, and the difference of the two gives its
	// slope.
	fastSpan = 200 * time.Millisecond
	slowSpan = 500 * time.Millisecond
	// slopeWeight is the fraction of the slope used for extrapolation:
	// measurements are noisy, and the slope changes over a cycle.
	slopeWeight = 0.7
	// minSampleInterval is added to the time between two measurements, as those
	// of several servers arrive almost together and would otherwise have no
	// weight.
	minSampleInterval = 40 * time.Millisecond
	// measurementLag is the mean age of a measurement: half of the time that it
	// covers plus half of the time until the next list.
	measurementLag = 300 * time.Millisecond
	// maxSlope bounds the change of a load per second: half of the load within
	// a quarter of a cycle of ten seconds.
	maxSlope = 0.15
	// maxExtrapolation bounds how far a load is extrapolated without a new
	// measurement.
	maxExtrapolation = 1500 * time.Millisecond
	// peakDecay is the decrease of the remembered peak per second.
	peakDecay = 0.02
	// placementHorizon is how far ahead the load is checked when a best-effort
	// task is placed: tasks take a second or two.
	placementHorizon = time.Second
)

// add applies the load derived from a measurement, with a weight from 0 to 1.
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

// load returns the load at a time near that of the last measurement.
func (s *loadEstimate) load(at time.Duration) float64 {
	if !s.known {
		return defaultLoad
	}
	slope := (s.fast - s.slow) / (slowSpan - fastSpan).Seconds()
	slope = slopeWeight * min(max(slope, -maxSlope), maxSlope)
	ahead := min(at-s.at, maxExtrapolation) + fastSpan
	return min(max(s.fast+slope*ahead.Seconds(), 0), max(s.peak, s.fast))
}

// upcomingMax returns the highest load until a best-effort task that starts now
// ends.
func (s *loadEstimate) upcomingMax(now time.Duration) float64 {
	return max(s.load(now), s.load(now+placementHorizon))
}
