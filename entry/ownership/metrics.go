package ownership

import (
	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/decision/lease"
)

// Metrics holds the metrics of this instance's leases. A nil Metrics records
// nothing.
type Metrics struct {
	held      prometheus.Gauge
	takeovers prometheus.Counter
	losses    *prometheus.CounterVec
}

// NewMetrics returns the metrics, registered with registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		held: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "lacewingfork_partitions_held",
			Help: "Partitions that this instance holds under a valid lease.",
		}),
		takeovers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lacewingfork_lease_takeovers_total",
			Help: "Leases acquired: of unheld partitions, after another holder, or its own again after a lapse.",
		}),
		losses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lacewingfork_lease_losses_total",
			Help: "Leases of this instance that ended, by cause.",
		}, []string{"cause"}),
	}
	registry.MustRegister(m.held, m.takeovers, m.losses)
	return m
}

func (m *Metrics) setHeld(partitions int) {
	if m != nil {
		m.held.Set(float64(partitions))
	}
}

func (m *Metrics) countChanges(a *lease.Actions) {
	if m == nil {
		return
	}
	m.takeovers.Add(float64(len(a.Acquired)))
	for _, l := range a.Lost {
		m.losses.WithLabelValues(string(l.Cause)).Inc()
	}
}
