package cell

import (
	"slices"
	"time"
)

// shareChange is a change of the processor use of the best-effort runs of a
// worker.
type shareChange struct {
	at     time.Duration
	shares []imageShare // from then on
}

// segment is a part of the time that a measurement covers.
type segment struct {
	weight float64 // fraction of the time; all of them add up to 1
	shares []imageShare
}

// shareHistoryRetention is how long changes are kept: no measurement begins
// earlier.
const shareHistoryRetention = 2 * measurementWindow

// recordShares adds the present processor use of the best-effort runs to the
// history if it has changed.
func (w *worker) recordShares(now time.Duration) {
	var shares []imageShare
	scale := w.bestEffortScale()
	for _, r := range w.runsInOrder {
		if r.bestEffort && r.active() {
			shares = addShare(shares, r.image, scale*r.fullShare()*float64(r.speed)/fullSpeed)
		}
	}
	if n := len(w.shareHistory); n > 0 && slices.Equal(w.shareHistory[n-1].shares, shares) {
		return
	}
	w.shareHistory = append(w.shareHistory, shareChange{at: now, shares: shares})
	for len(w.shareHistory) > 1 && now-w.shareHistory[1].at > shareHistoryRetention {
		w.shareHistory = w.shareHistory[1:]
	}
}

// active reports whether a run is known to be running on its worker.
func (r *run) active() bool {
	return r.state == runConfirmed || r.state == runStopping && r.confirmedAt > 0
}

// bestEffortScale returns the fraction of their processor needs that the
// best-effort runs get.
func (w *worker) bestEffortScale() float64 {
	left := float64(w.server.Capacity.MilliCPU) - servingUtilization*float64(w.used.MilliCPU)
	return min(1, max(0, left)/float64(max(1, w.bestEffortCPU)))
}

// segments returns the processor use of the best-effort runs over the time that
// a measurement covers.
func (w *worker) segments(until time.Duration) []segment {
	begin := until - measurementWindow
	var parts []segment
	for i, change := range w.shareHistory {
		from, to := max(change.at, begin), until
		if i+1 < len(w.shareHistory) {
			to = min(to, w.shareHistory[i+1].at)
		}
		if i == 0 {
			from = begin
		}
		if to > from {
			parts = append(parts, segment{weight: float64(to-from) / float64(measurementWindow), shares: change.shares})
		}
	}
	if len(parts) == 0 {
		parts = append(parts, segment{weight: 1})
	}
	return parts
}
