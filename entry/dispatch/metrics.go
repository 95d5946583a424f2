package dispatch

import (
	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/entry/message"
)

// Metrics holds the metrics of the exchanges with backend servers. The methods
// of a nil Metrics do nothing.
type Metrics struct {
	runTime    *prometheus.HistogramVec
	mismatched prometheus.Counter
}

// NewMetrics returns the metrics, registered with registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		runTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "lacewingfork_backend_run_seconds",
			Help:    "Duration of exchanges with backend servers whose request was written, by service and class.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 18),
		}, []string{"service", "class"}),
		mismatched: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lacewingfork_crossed_answers_total",
			Help: "Answers of backend servers that were dropped because they carried another request's identifier.",
		}),
	}
	registry.MustRegister(m.runTime, m.mismatched)
	return m
}

func (m *Metrics) observeRun(r *message.Request, done message.ExchangeDone) {
	if m != nil && done.Written {
		m.runTime.WithLabelValues(string(r.Service), r.Class.String()).Observe(done.Duration.Seconds())
	}
}

func (m *Metrics) countMismatched() {
	if m != nil {
		m.mismatched.Inc()
	}
}
