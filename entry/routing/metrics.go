package routing

import (
	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/decision/outcome"
)

// Metrics holds the metrics of the routing duty. The methods of a nil Metrics
// do nothing.
type Metrics struct {
	reroutes    *prometheus.CounterVec
	lateAnswers prometheus.Counter
	regionBytes prometheus.Counter
}

// NewMetrics returns the metrics, registered with registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		reroutes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lacewingfork_reroutes_total",
			Help: "Requests sent to another holder, by the reason of the previous holder's answer.",
		}, []string{"reason"}),
		lateAnswers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lacewingfork_late_answers_total",
			Help: "Answers that were dropped because they arrived after their request had ended.",
		}),
		regionBytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lacewingfork_region_sent_bytes_total",
			Help: "Bytes of request bodies sent to other regions.",
		}),
	}
	registry.MustRegister(m.reroutes, m.lateAnswers, m.regionBytes)
	return m
}

// countReroute counts a reroute. Only the reasons that allow a reroute occur, so
// the label has a fixed set of values.
func (m *Metrics) countReroute(reason outcome.Reason) {
	if m != nil {
		m.reroutes.WithLabelValues(string(reason)).Inc()
	}
}

func (m *Metrics) countLateAnswer() {
	if m != nil {
		m.lateAnswers.Inc()
	}
}

func (m *Metrics) countRegionBytes(bytes uint64) {
	if m != nil && bytes > 0 {
		m.regionBytes.Add(float64(bytes))
	}
}
