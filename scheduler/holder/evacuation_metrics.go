package holder

import (
	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/decision/cell"
)

// evacuationMetrics show the evacuated data centres, what still runs there and why, and
// the tasks that were moved. An instance that does not hold the cell has none.
type evacuationMetrics struct {
	evacuated *prometheus.GaugeVec
	runs      *prometheus.GaugeVec
	moves     prometheus.Counter
	shown     bool // a gauge has a value
}

func newEvacuationMetrics(registry prometheus.Registerer) *evacuationMetrics {
	m := &evacuationMetrics{
		evacuated: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "lacewingfork_evacuated_data_centre", Help: "1 for each evacuated data centre.",
		}, []string{"data_centre"}),
		runs: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "lacewingfork_evacuation_runs", Help: "Runs in an evacuated data centre by the reason why they are still there.",
		}, []string{"data_centre", "reason"}),
		moves: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lacewingfork_evacuation_moves_total", Help: "Runs that were stopped to move their task off an evacuated data centre.",
		}),
	}
	registry.MustRegister(m.evacuated, m.runs, m.moves)
	return m
}

// show sets the gauges.
func (m *evacuationMetrics) show(list []cell.EvacuationStats) {
	if len(list) == 0 && !m.shown {
		return
	}
	m.shown = len(list) > 0
	m.evacuated.Reset()
	m.runs.Reset()
	for _, e := range list {
		m.evacuated.WithLabelValues(string(e.DataCentre)).Set(1)
		for reason, count := range e.Reasons {
			m.runs.WithLabelValues(string(e.DataCentre), reason).Set(float64(count))
		}
	}
}
