package cell

import (
	"cmp"
	"math"
	"slices"
)

const (
	// maxRecordedPairs and maxRecordedName bound a record to 230,000 bytes, less than the
	// largest record that the platform's store takes.
	maxRecordedPairs = 3500
	maxRecordedName  = 200
)

// InterferenceRecord is the stored interference model, from which the next
// holder continues.
type InterferenceRecord struct {
	Images       []string           `json:"images"`
	MinTailMS    []float64          `json:"idle"`  // smallest tail in ms, 0 if none was observed
	MeanPressure []float64          `json:"usual"` // of each image on all serving images
	Pairs        []InterferencePair `json:"pairs"`
}

// InterferencePair is the pressure of a best-effort image on a serving image.
// Both are indexes into InterferenceRecord.Images.
type InterferencePair struct {
	Serving    int     `json:"s"`
	BestEffort int     `json:"f"`
	Pressure   float64 `json:"p"`
	// Deviation is the standard deviation of the pressure; 0 if it is not known.
	Deviation float64 `json:"d,omitempty"`
}

// record returns what the model knows. The pairs that were observed most come first if there
// are too many.
func (m *interferenceModel) record() *InterferenceRecord {
	r := &InterferenceRecord{}
	at := make([]int, len(m.names))
	for id, name := range m.names {
		at[id] = -1
		if m.holds(imageID(id)) && len(name) <= maxRecordedName {
			at[id] = len(r.Images)
			r.Images = append(r.Images, name)
			r.MinTailMS = append(r.MinTailMS, m.minTail[id])
			r.MeanPressure = append(r.MeanPressure, rounded(m.meanPressure[id].value))
		}
	}
	type counted struct {
		InterferencePair
		observations int
	}
	var pairs []counted
	for serving, row := range m.pressures {
		for bestEffort, p := range row {
			if !p.known || at[serving] < 0 || at[bestEffort] < 0 {
				continue
			}
			pair := counted{InterferencePair{Serving: at[serving], BestEffort: at[bestEffort], Pressure: rounded(p.value)}, p.count}
			if m.filtered {
				pair.Deviation = rounded(m.deviation(imageID(serving), imageID(bestEffort)))
			}
			pairs = append(pairs, pair)
		}
	}
	if len(pairs) > maxRecordedPairs {
		slices.SortStableFunc(pairs, func(a, b counted) int { return cmp.Compare(b.observations, a.observations) })
		pairs = pairs[:maxRecordedPairs]
	}
	for _, p := range pairs {
		r.Pairs = append(r.Pairs, p.InterferencePair)
	}
	return r
}

// rounded keeps records short; the third digit of a pressure is noise.
func rounded(value float64) float64 { return math.Round(value*100) / 100 }

// restore adds what a record knows. Of a record with more images than the model holds, those
// with most pairs are used.
func (m *interferenceModel) restore(r *InterferenceRecord) {
	pairs := make([]int, len(r.Images))
	valid := func(p InterferencePair) bool {
		return p.Serving >= 0 && p.BestEffort >= 0 && p.Serving < len(r.Images) && p.BestEffort < len(r.Images)
	}
	for _, p := range r.Pairs {
		if valid(p) {
			pairs[p.Serving]++
			pairs[p.BestEffort]++
		}
	}
	order := make([]int, len(r.Images))
	for i := range order {
		order[i] = i
	}
	if len(order) > maxImages-1 {
		slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(pairs[b], pairs[a]) })
		order = order[:maxImages-1]
	}
	slices.Sort(order)
	ids := make([]imageID, len(r.Images))
	for _, i := range order {
		id := m.id(r.Images[i])
		ids[i] = id
		if i < len(r.MinTailMS) {
			m.minTail[id] = r.MinTailMS[i]
		}
		if i < len(r.MeanPressure) {
			m.meanPressure[id] = average{value: r.MeanPressure[i], count: averageSpan}
		}
	}
	for _, p := range r.Pairs {
		if !valid(p) || ids[p.Serving] == otherImages || ids[p.BestEffort] == otherImages {
			continue
		}
		m.pressures[ids[p.Serving]][ids[p.BestEffort]] = pressure{known: true, value: p.Pressure, count: averageSpan, recorded: p.Pressure}
		if m.filtered {
			m.restoreDeviation(ids[p.Serving], ids[p.BestEffort], p.Deviation)
		}
	}
}
