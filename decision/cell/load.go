package cell

import "time"

// loadEstimate estimates the load of the serving tasks of one step without the
// best-effort tasks beside them. The tasks of a step serve the same users, so
// their loads rise and fall together: tasks without a best-effort task beside
// them show the load of the others.
type loadEstimate struct {
	known      bool
	fast, slow float64 // the load, smoothed over two time spans
	mean       float64 // the load, smoothed over a cycle
	peak       float64
	at         time.Duration // middle of the time that the newest measurement covers
	// upcoming is the result of upcomingMax at upcomingAt; 0 if it is not known.
	upcoming   float64
	upcomingAt time.Duration
}

const (
	// defaultLoad and defaultPeak apply to a serving task without measurements.
	defaultLoad = 0.4
	defaultPeak = 0.55
	// fastSpan and slowSpan are the time spans of the smoothed loads; the
	// difference of the two loads gives the slope. A load cycle takes about ten
	// seconds.
	fastSpan = 200 * time.Millisecond
	slowSpan = 500 * time.Millisecond
	// slopeWeight is the fraction of the slope used for extrapolation:
	// measurements are noisy, and the slope changes over a cycle.
	slopeWeight = 0.7
	// minSampleInterval is added to the time between two measurements. Those of
	// several servers arrive almost together and would otherwise have no weight.
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
	// peakDecay is the decrease of the stored peak per second.
	peakDecay = 0.02
	// placementHorizon is how far ahead the load is checked when a best-effort
	// task is placed: tasks take a second or two.
	placementHorizon = time.Second
)

// add applies the load derived from a measurement, with a weight from 0 to 1.
func (e *loadEstimate) add(now time.Duration, load, weight float64) {
	e.upcomingAt = 0
	load = min(max(load, 0), 1)
	at := now - measurementLag
	if !e.known {
		e.known, e.fast, e.slow, e.at = true, load, load, at
		e.peak, e.mean = max(load, defaultPeak), (load+defaultLoad)/2
		return
	}
	passed := at - e.at + minSampleInterval
	e.fast += weight * gain(passed, fastSpan) * (load - e.fast)
	e.slow += weight * gain(passed, slowSpan) * (load - e.slow)
	e.peak = max(e.fast, e.peak-peakDecay*(at-e.at).Seconds())
	e.addToMean(load, weight, passed)
	e.at = at
}

// gain returns the weight of a new value in a mean smoothed over a span.
func gain(passed, span time.Duration) float64 { return float64(passed) / float64(passed+span) }

// load returns the load at a time, extrapolated from the last measurement by at
// most maxExtrapolation.
func (e *loadEstimate) load(at time.Duration) float64 {
	if !e.known {
		return defaultLoad
	}
	slope := (e.fast - e.slow) / (slowSpan - fastSpan).Seconds()
	slope = slopeWeight * min(max(slope, -maxSlope), maxSlope)
	ahead := min(at-e.at, maxExtrapolation) + fastSpan
	return min(max(e.fast+slope*ahead.Seconds(), 0), max(e.peak, e.fast))
}

// upcomingMax returns the higher of the loads now and at the placement horizon.
func (e *loadEstimate) upcomingMax(now time.Duration) float64 {
	if e.upcomingAt != now || now == 0 {
		e.upcoming, e.upcomingAt = max(e.load(now), e.load(now+placementHorizon)), now
	}
	return e.upcoming
}
