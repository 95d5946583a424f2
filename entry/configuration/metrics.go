package configuration

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the metrics of the configuration duty. A nil Metrics records
// nothing.
type Metrics struct {
	version prometheus.Gauge
}

// NewMetrics returns the metrics, registered with registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{version: prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "lacewingfork_configuration_version",
		Help: "Version of the configuration in force on this instance; 0 before the first.",
	})}
	registry.MustRegister(m.version)
	return m
}

func (m *Metrics) setVersion(version int64) {
	if m != nil {
		m.version.Set(float64(version))
	}
}
