package configuration

import "github.com/prometheus/client_golang/prometheus"

// Metrics of the configuration duty. A nil Metrics counts nothing.
type Metrics struct {
	version prometheus.Gauge
}

// NewMetrics registers the metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{version: prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "lacewingfork_configuration_version",
		Help: "Version of the configuration in force on this instance; 0 before the first.",
	})}
	registry.MustRegister(m.version)
	return m
}

func (m *Metrics) inForce(version int64) {
	if m != nil {
		m.version.Set(float64(version))
	}
}
