package peers

import "github.com/prometheus/client_golang/prometheus"

// Metrics of the links. A nil Metrics counts nothing.
type Metrics struct {
	unmatched prometheus.Counter
}

// NewMetrics registers the metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		unmatched: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lacewingfork_link_unmatched_answers_total",
			Help: "Answers on links that matched no forwarded request and were dropped.",
		}),
	}
	registry.MustRegister(m.unmatched)
	return m
}

func (m *Metrics) answerUnmatched() {
	if m != nil {
		m.unmatched.Inc()
	}
}
