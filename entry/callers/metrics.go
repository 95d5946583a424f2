package callers

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/entry/message"
)

// Metrics of the callers' front end. Labels come from the configuration and
// from fixed words, never from callers.
type Metrics struct {
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	rejected *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lacewingfork_requests_total",
			Help: "Requests of callers by service, class, outcome and reason.",
		}, []string{"service", "class", "outcome", "reason"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "lacewingfork_request_seconds",
			Help:    "Time from the whole request of a caller to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 18),
		}, []string{"service", "class"}),
		rejected: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lacewingfork_requests_rejected_total",
			Help: "Calls refused before they became a request of a known service, by reason.",
		}, []string{"reason"}),
	}
	registry.MustRegister(m.requests, m.seconds, m.rejected)
	return m
}

func (m *Metrics) observe(r *message.Request, a message.Answer, took time.Duration) {
	m.requests.WithLabelValues(string(r.Service), r.Class.String(), a.Outcome.String(), string(a.Reason)).Inc()
	m.seconds.WithLabelValues(string(r.Service), r.Class.String()).Observe(took.Seconds())
}

func (m *Metrics) reject(reason outcome.Reason) { m.rejected.WithLabelValues(string(reason)).Inc() }
