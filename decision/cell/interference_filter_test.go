package cell

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// filteredModel returns a model that weighs observations by uncertainty.
func filteredModel() *interferenceModel {
	m := newInterferenceModel()
	m.enableFilter()
	return m
}

// Guards against estimates that need seconds of missed targets to tell a harmful image
// from a harmless one that runs beside it: two measurements of different mixes tell.
func TestFilterAttributesLoadWithFewObservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		actual := rapid.Float64Range(2, 5).Draw(t, "actual")
		m := filteredModel()
		serving, harmful, harmless := m.id("serving"), m.id("harmful"), m.id("harmless")
		for i := range 6 {
			shares := []imageShare{{harmless, 0.2}}
			load := 0.3
			if i%2 == 0 {
				shares, load = append(shares, imageShare{harmful, 0.1}), load+0.1*actual
			}
			m.observe(serving, 18, 4/(1-min(load, 0.97)), 0.3, []segment{{weight: 1, shares: shares}})
		}
		if got := m.pressure(serving, harmful); got < 0.6*actual {
			t.Errorf("pressure of the harmful image: got %.2f, want at least 0.6 of %.2f", got, actual)
		}
		if got := m.pressure(serving, harmless); got > 1 {
			t.Errorf("pressure of the harmless image: got %.2f, want at most 1", got)
		}
	})
}

// Guards against a takeover that forgets how well a pair is known: the new holder
// would admit what the old one had found to be too much, or try each pair again.
func TestPairUncertaintySurvivesTakeover(t *testing.T) {
	m := filteredModel()
	serving, known := m.id("serving"), m.id("known")
	for range 20 {
		m.observe(serving, 18, 10, 0.3, []segment{{weight: 1, shares: []imageShare{{known, 0.1}}}})
	}
	next := filteredModel()
	next.id("another") // shifts the indexes of the other images
	next.restore(m.record())
	want, got := m.cautiousPressure(serving, known), next.cautiousPressure(next.id("serving"), next.id("known"))
	if math.Abs(want-got) > 0.02 || want < 1 {
		t.Errorf("got a cautious pressure of %.2f after the takeover, want %.2f", got, want)
	}
	if got, prior := next.deviation(next.id("serving"), next.id("another")), priorDeviation; got != prior {
		t.Errorf("an unknown pair has a deviation of %.2f after the takeover, want %.2f", got, prior)
	}
}

// Guards against a record of a holder without deviations that is taken for certain.
func TestRecordWithoutDeviationIsUncertain(t *testing.T) {
	m := filteredModel()
	m.restore(&InterferenceRecord{Images: []string{"serving", "batch"}, Pairs: []InterferencePair{{Serving: 0, BestEffort: 1, Pressure: 2}}})
	if got := m.deviation(m.id("serving"), m.id("batch")); got != restoredDeviation {
		t.Errorf("got a deviation of %.2f, want %.2f", got, restoredDeviation)
	}
}
