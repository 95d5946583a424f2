package callers

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/entry/message"
)

// Metrics holds the metrics of the front end for callers. Label values come from
// the configuration and from fixed sets, never from callers.
type Metrics struct {
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	rejected *prometheus.CounterVec
}

// NewMetrics returns the metrics, registered with registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lacewingfork_requests_total",
			Help: "Requests of callers by service, class, outcome and reason.",
		}, []string{"service", "class", "outcome", "reason"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "lacewingfork_request_seconds",
			Help:    "Time from the complete header of a caller's request to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 18),
		}, []string{"service", "class"}),
		rejected: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lacewingfork_requests_rejected_total",
			Help: "Calls that were refused before they were decoded into a request, by reason.",
		}, []string{"reason"}),
	}
	registry.MustRegister(m.requests, m.seconds, m.rejected)
	return m
}

func (m *Metrics) observe(r *message.Request, a message.Answer, duration time.Duration) {
	m.requests.WithLabelValues(string(r.Service), r.Class.String(), a.Outcome.String(), string(a.Reason)).Inc()
	m.seconds.WithLabelValues(string(r.Service), r.Class.String()).Observe(duration.Seconds())
}

func (m *Metrics) countRejected(reason outcome.Reason) {
	m.rejected.WithLabelValues(string(reason)).Inc()
}
