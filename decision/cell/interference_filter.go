package cell

import (
	"math"
	"time"
)

// pressureFilter is the covariance of the errors of the pressures of all best-effort
// images on one serving image. One measurement shows the sum of the loads that several
// images add; the covariance tells which of the estimates it corrects, and by how much.
type pressureFilter struct {
	covariance [][]float64 // by best-effort images
}

const (
	// priorDeviation is the standard deviation of the pressure of an unknown pair:
	// most pairs are between 0 and 4.
	priorDeviation = 2.0
	// restoredDeviation is that of a pair in the record of an earlier holder that has
	// none.
	restoredDeviation = 0.5
	// minDeviation is the least that is assumed of a pair: the estimate of the load
	// of the task itself has an error that does not average out.
	minDeviation = 0.1
	// observationDeviation is the standard deviation of a load that was observed,
	// less the estimated one of the task itself.
	observationDeviation = 0.1
	// saturatedLoad is the load above which a tail tells only that the load is at
	// least as high.
	saturatedLoad = 0.95
	// caution is the number of standard deviations by which a pressure is assumed to
	// exceed its estimate when work is placed.
	caution = 1.0
	// risenPressure is the rise of an estimate after which the model is recorded early:
	// half of it is lost in the noise of one observation.
	risenPressure = 0.5
	// risenRecordInterval is the least time between two records of which one is early. A
	// record of 180 pairs has five kilobytes.
	risenRecordInterval = 500 * time.Millisecond
)

// enableFilter makes the model weigh each observation by the uncertainty of the pairs.
func (m *interferenceModel) enableFilter() { m.filtered = true }

// recordInterval returns the least time since the last record of the model. What a
// holder has found to be too much is recorded soon, so that the next one does not admit
// it.
func (m *interferenceModel) recordInterval() time.Duration {
	if m.risen {
		return risenRecordInterval
	}
	return interferenceRecordInterval
}

// markRecorded notes that the model is in a record.
func (m *interferenceModel) markRecorded() {
	for _, row := range m.pressures {
		for i := range row {
			row[i].recorded = row[i].value
		}
	}
}

// filterOf returns the filter of a serving image, extended to all images.
func (m *interferenceModel) filterOf(serving imageID) *pressureFilter {
	for len(m.filters) < len(m.names) {
		m.filters = append(m.filters, pressureFilter{})
	}
	f := &m.filters[serving]
	for i := range f.covariance {
		for len(f.covariance[i]) < len(m.names) {
			f.covariance[i] = append(f.covariance[i], 0)
		}
	}
	for len(f.covariance) < len(m.names) {
		row := make([]float64, len(m.names))
		row[len(f.covariance)] = priorDeviation * priorDeviation
		f.covariance = append(f.covariance, row)
	}
	return f
}

// correctPressures corrects the pressures on a serving image by the error of one
// observation of its load.
func (m *interferenceModel) correctPressures(serving imageID, load, residual float64, shares []imageShare) {
	if load >= saturatedLoad && residual <= 0 {
		return
	}
	f := m.filterOf(serving)
	gain := make([]float64, len(f.covariance))
	variance := observationDeviation * observationDeviation
	for _, s := range shares {
		for i, row := range f.covariance {
			gain[i] += row[s.image] * s.share
		}
	}
	for _, s := range shares {
		variance += s.share * gain[s.image]
	}
	for _, s := range shares {
		p := &m.pressures[serving][s.image]
		p.count++
		if !p.known {
			p.known, p.value = true, m.meanPressure[s.image].value
		}
	}
	for i := range gain {
		if p := &m.pressures[serving][i]; p.known {
			p.value = min(maxPressure, max(0, p.value+residual*gain[i]/variance))
			m.risen = m.risen || p.value > p.recorded+risenPressure
		}
	}
	for i, row := range f.covariance {
		for k := range row {
			row[k] -= gain[i] * gain[k] / variance
		}
		row[i] = max(row[i], minDeviation*minDeviation)
	}
	for _, s := range shares {
		m.meanPressure[s.image].add(m.pressures[serving][s.image].value)
	}
}

// deviation returns the standard deviation of the pressure of a pair.
func (m *interferenceModel) deviation(serving, bestEffort imageID) float64 {
	if int(serving) >= len(m.filters) || int(bestEffort) >= len(m.filters[serving].covariance) {
		return priorDeviation
	}
	return math.Sqrt(m.filters[serving].covariance[bestEffort][bestEffort])
}

// restoreDeviation sets the standard deviation of a pair from a record.
func (m *interferenceModel) restoreDeviation(serving, bestEffort imageID, deviation float64) {
	if deviation <= 0 {
		deviation = restoredDeviation
	}
	deviation = min(max(deviation, minDeviation), priorDeviation)
	m.filterOf(serving).covariance[bestEffort][bestEffort] = deviation * deviation
}

// cautiousPressure returns the pressure of a pair that work is placed by.
func (m *interferenceModel) cautiousPressure(serving, bestEffort imageID) float64 {
	p := m.pressure(serving, bestEffort)
	if m.filtered {
		p = min(maxPressure, p+caution*m.deviation(serving, bestEffort))
	}
	return p
}
