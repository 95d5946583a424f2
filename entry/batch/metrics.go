package batch

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/decision/task"
)

// countEvery paces the count of all tasks, whose cost grows with the number of
// jobs.
const countEvery = 5 * time.Second

var endWords = map[task.End]string{
	task.Succeeded: "succeeded", task.Failed: "failed", task.Stopped: "stopped",
	task.Lost: "lost", task.NotStarted: "not_started",
}

// Metrics of the batch tasks. A nil Metrics counts nothing.
type Metrics struct {
	tasks *prometheus.GaugeVec
	ended *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		tasks: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "lacewingfork_tasks",
			Help: "Batch tasks of the region's open jobs, by state: waiting, running or succeeded.",
		}, []string{"state"}),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lacewingfork_tasks_ended_total",
			Help: "Attempts of batch tasks in partitions of this instance that ended, by end.",
		}, []string{"end"}),
	}
	registry.MustRegister(m.tasks, m.ended)
	return m
}

func (m *Metrics) count(c task.Counts) {
	m.tasks.WithLabelValues("waiting").Set(float64(c.Waiting))
	m.tasks.WithLabelValues("running").Set(float64(c.Running))
	m.tasks.WithLabelValues("succeeded").Set(float64(c.Succeeded))
}

func (m *Metrics) happened(e task.Event) {
	switch {
	case m == nil:
	case e.Kind == task.EventEvicted:
		m.ended.WithLabelValues("evicted").Inc()
	case e.Kind == task.EventEnded:
		m.ended.WithLabelValues(endWords[e.End]).Inc()
	}
}

// countTasks sets the gauges when they are due.
func (l *ledger) countTasks(now time.Time) {
	if m := l.settings.Metrics; m != nil && now.Sub(l.countedAt) >= countEvery {
		l.countedAt = now
		m.count(l.planner.Fold().Counts())
	}
}
