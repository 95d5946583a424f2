package platform

import (
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the metrics of the calls to the platform. A nil Metrics records
// nothing.
type Metrics struct {
	appends  *prometheus.CounterVec
	failures *prometheus.CounterVec
	duration *prometheus.HistogramVec
	listAge  prometheus.Gauge
}

// NewMetrics returns the metrics, registered with registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		appends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lacewingfork_log_appends_total",
			Help: "Appends to the log service that ended, by stream.",
		}, []string{"stream"}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lacewingfork_log_append_failures_total",
			Help: "Appends to the log service without an acknowledgement, by stream.",
		}, []string{"stream"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "lacewingfork_log_append_seconds",
			Help:    "Time of an append to the log service, failed ones included, by stream.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 13),
		}, []string{"stream"}),
		listAge: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "lacewingfork_instance_list_age_seconds",
			Help: "Age of the newest snapshot of the instance list; without one, the time since the watcher started.",
		}),
	}
	registry.MustRegister(m.appends, m.failures, m.duration, m.listAge)
	return m
}

// observeAppend records the result and duration of an append. Its label is the
// name of the stream without the region.
func (m *Metrics) observeAppend(stream string, took time.Duration, err error) {
	if m == nil {
		return
	}
	kind, _, _ := strings.Cut(stream, ".")
	m.appends.WithLabelValues(kind).Inc()
	m.duration.WithLabelValues(kind).Observe(took.Seconds())
	if err != nil {
		m.failures.WithLabelValues(kind).Inc()
	}
}

func (m *Metrics) setListAge(age time.Duration) {
	if m != nil {
		m.listAge.Set(age.Seconds())
	}
}
