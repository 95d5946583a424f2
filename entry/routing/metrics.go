package routing

import (
	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/decision/outcome"
)

// Metrics of the routing duty. A nil Metrics counts nothing.
type Metrics struct {
	reroutes    *prometheus.CounterVec
	lateAnswers prometheus.Counter
	regionBytes prometheus.Counter
}

// NewMetrics registers the metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		reroutes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lacewingfork_reroutes_total",
			Help: "Requests offered to another holder, by the reason of the first one's answer.",
		}, []string{"reason"}),
		lateAnswers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lacewingfork_late_answers_total",
			Help: "Answers that came after their request had ended and were dropped.",
		}),
		regionBytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lacewingfork_region_sent_bytes_total",
			Help: "Bytes of request bodies sent to other regions.",
		}),
	}
	registry.MustRegister(m.reroutes, m.lateAnswers, m.regionBytes)
	return m
}

// countReroute takes only reasons for which another holder is asked, a fixed set.
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
