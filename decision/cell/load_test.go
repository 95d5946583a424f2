package cell

import (
	"math"
	"slices"
	"testing"
	"time"
)

// periodicLoad returns the load of a serving task whose traffic has a period of 10 s.
func periodicLoad(at time.Duration) float64 {
	return 0.42 * (1 + 0.5*math.Sin(2*math.Pi*at.Seconds()/10))
}

// meanTailLatency returns the tail latency that a server reports: the mean over the
// measurement window that ends at until, for a queue with the given idle tail latency
// and a load that varies with time.
func meanTailLatency(until time.Duration, idle float64, load func(time.Duration) float64) float64 {
	const parts = 20
	sum := 0.0
	for i := range parts {
		sum += idle / (1 - min(load(until-measurementWindow+time.Duration(i)*measurementWindow/parts), 0.985))
	}
	return sum / parts
}

// Guards against a load estimate that lags behind a periodic load: a best-effort task
// would be placed at the end of a trough and the latency target missed at the peak.
// Measurements are half a second old on average and have 5 % noise. The baseline
// takes the newest measurement of the same run as the load. The placement margin
// covers the remaining error.
func TestLoadEstimateFollowsPeriodicLoad(t *testing.T) {
	const idle = 4.0
	var s loadEstimate
	estimate, baseline, count := 0.0, 0.0, 0.0
	for i := 1; i < 160; i++ {
		at := time.Duration(i) * 250 * time.Millisecond
		noise := 1 + 0.05*float64(i%3-1)
		newest := 1 - idle/(noise*meanTailLatency(at, idle, periodicLoad))
		s.add(at, newest, 1)
		if at < 10*time.Second {
			continue
		}
		ahead := at + placementHorizon
		estimate += math.Abs(s.load(ahead) - periodicLoad(ahead))
		baseline += math.Abs(newest - periodicLoad(ahead))
		count++
	}
	if estimate/count > placementMargin || estimate > baseline {
		t.Errorf("mean error one second ahead: got %.3f for the estimate and %.3f for the newest measurement, want the estimate at least as good and within the placement margin", estimate/count, baseline/count)
	}
}

// Guards against a load estimate that, without new measurements, is extrapolated
// without bound along its last slope.
func TestLoadEstimateStaysBounded(t *testing.T) {
	var s loadEstimate
	for i := range 8 {
		s.add(time.Duration(i)*250*time.Millisecond, 0.3+0.04*float64(i), 1)
	}
	if got := s.load(time.Minute); got > s.peak {
		t.Errorf("got load %.2f a minute after the last measurement, want at most the peak of %.2f", got, s.peak)
	}
}

// Guards against attributing a measurement to the best-effort tasks that run now
// instead of those that ran while it was taken, and against using one measurement
// twice. Tasks start and end several times within a measurement window, and
// each end brings another list. The load is periodic and the measurements have 5 %
// noise.
func TestInterferenceEstimateUsesTasksDuringMeasurement(t *testing.T) {
	const idle, target, high, low = 4.0, 18.0, 3.0, 0.3
	m := newInterferenceModel()
	serving, interfering, harmless := m.id("serving"), m.id("interfering"), m.id("harmless")
	w := &worker{}
	bestEffort := func(at time.Duration) (shares []imageShare) {
		interval := at / (100 * time.Millisecond)
		if interval%23 < 5 {
			shares = addShare(shares, interfering, 0.08)
		}
		if interval%17 < 11 {
			shares = addShare(shares, harmless, 0.15)
		}
		return shares
	}
	load := func(at time.Duration) float64 {
		total := periodicLoad(at)
		for _, s := range bestEffort(at) {
			total += s.share * map[imageID]float64{interfering: high, harmless: low}[s.image]
		}
		return total
	}
	var s loadEstimate
	for at := 100 * time.Millisecond; at < 60*time.Second; at += 100 * time.Millisecond {
		if shares := bestEffort(at); len(w.shareHistory) == 0 || !slices.Equal(shares, w.shareHistory[len(w.shareHistory)-1].shares) {
			w.shareHistory = append(w.shareHistory, shareChange{at: at, shares: shares})
		}
		if at%(200*time.Millisecond) != 0 {
			continue
		}
		noise := 1 + 0.05*float64(at/(200*time.Millisecond)%3-1)
		ownLoad, isolated := m.observe(serving, target, noise*meanTailLatency(at, idle, load), s.load(at-measurementLag), w.segments(at))
		weight := colocatedWeight
		if isolated {
			weight = 1
		}
		s.add(at, ownLoad, weight)
	}
	if got := m.pressure(serving, interfering); math.Abs(got-high) > high/3 {
		t.Errorf("pressure of the interfering image: got %.2f, want %.2f within a third", got, high)
	}
	if got := m.pressure(serving, harmless); got > 1 {
		t.Errorf("pressure of the harmless image: got %.2f, want at most 1 (actual %.2f)", got, low)
	}
}
