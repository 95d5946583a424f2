package scheduling

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/decision/partition"
	"lacewingfork.example/lacewingfork/fleet"
)

// Metrics holds the metrics of the partition duties, summed over the partitions of
// the instance. A nil Metrics records nothing.
type Metrics struct {
	slotWait  *prometheus.HistogramVec
	retries   *prometheus.CounterVec
	slots     *prometheus.GaugeVec
	evictions prometheus.Counter
	throttles prometheus.Counter
}

// NewMetrics creates the metrics and registers them with registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		slotWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "lacewingfork_slot_wait_seconds",
			Help:    "Time from a request's arrival at its partition until it gets its first slot, by class and by short or long work.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 18),
		}, []string{"class", "length"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lacewingfork_retries_total",
			Help: "Attempts of requests after the first, by class.",
		}, []string{"class"}),
		slots: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "lacewingfork_slots",
			Help: "Slots of the backend servers in the partitions held, by state: in_use, unknown or free.",
		}, []string{"state"}),
		evictions: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lacewingfork_evictions_total",
			Help: "Evictions of batch tasks requested by the partitions.",
		}),
		throttles: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lacewingfork_throttles_total",
			Help: "Throttlings of batch tasks requested by the partitions.",
		}),
	}
	registry.MustRegister(m.slotWait, m.retries, m.slots, m.evictions, m.throttles)
	return m
}

// countAttempt records a run action of a request that arrived at the given time: the
// wait for the first slot, or a retry.
func (m *Metrics) countAttempt(a partition.Action, class fleet.Class, arrived time.Time) {
	switch {
	case m == nil:
	case a.Attempt > 1:
		m.retries.WithLabelValues(class.String()).Inc()
	default:
		length := "short"
		if a.Long {
			length = "long"
		}
		m.slotWait.WithLabelValues(class.String(), length).Observe(time.Since(arrived).Seconds())
	}
}

// countThrottleOrEviction counts an eviction or a throttling. It ignores the end of
// a throttling.
func (m *Metrics) countThrottleOrEviction(kind partition.ActionKind) {
	switch {
	case m == nil:
	case kind == partition.EvictTask:
		m.evictions.Inc()
	case kind == partition.ThrottleTask:
		m.throttles.Inc()
	}
}

// slotCounts is the contribution of one partition duty to the slot gauges.
type slotCounts struct{ inUse, unknown, free int }

// updateSlots replaces the contribution of a partition duty to the slot gauges.
func (m *Metrics) updateSlots(before, after slotCounts) {
	if m == nil || before == after {
		return
	}
	m.slots.WithLabelValues("in_use").Add(float64(after.inUse - before.inUse))
	m.slots.WithLabelValues("unknown").Add(float64(after.unknown - before.unknown))
	m.slots.WithLabelValues("free").Add(float64(after.free - before.free))
}

// updateSlotGauges sets the partition's contribution to its present state.
func (w *partitionWorker) updateSlotGauges() {
	free, capacity, _ := w.state.Load(time.Now())
	now := slotCounts{unknown: w.state.UnknownSlots(), free: free}
	now.inUse = max(0, capacity-now.unknown-free)
	w.duty.metrics.updateSlots(w.reportedSlots, now)
	w.reportedSlots = now
}

// clearSlotGauges removes the partition's contribution.
func (w *partitionWorker) clearSlotGauges() {
	w.duty.metrics.updateSlots(w.reportedSlots, slotCounts{})
	w.reportedSlots = slotCounts{}
}
