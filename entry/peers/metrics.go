package peers

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the metrics of the links. A nil Metrics records nothing.
type Metrics struct {
	unmatched prometheus.Counter
}

// NewMetrics creates the metrics and registers them with registry.
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

func (m *Metrics) countUnmatched() {
	if m != nil {
		m.unmatched.Inc()
	}
}
