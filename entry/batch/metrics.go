package batch

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/decision/task"
)

// gaugeInterval is the time between counts of all tasks; the cost of a count
// grows with the number of jobs.
const gaugeInterval = 5 * time.Second

var endLabels = map[task.End]string{
	task.Succeeded: "succeeded", task.Failed: "failed", task.Stopped: "stopped",
	task.Lost: "lost", task.NotStarted: "not_started",
}

// Metrics holds the metrics of the batch tasks. A nil *Metrics records nothing.
type Metrics struct {
	tasks *prometheus.GaugeVec
	ended *prometheus.CounterVec
}

// NewMetrics creates the metrics and registers them.
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

func (m *Metrics) setTasks(c task.Counts) {
	m.tasks.WithLabelValues("waiting").Set(float64(c.Waiting))
	m.tasks.WithLabelValues("running").Set(float64(c.Running))
	m.tasks.WithLabelValues("succeeded").Set(float64(c.Succeeded))
}

func (m *Metrics) countEvent(e task.Event) {
	switch {
	case m == nil:
	case e.Kind == task.EventEvicted:
		m.ended.WithLabelValues("evicted").Inc()
	case e.Kind == task.EventEnded:
		m.ended.WithLabelValues(endLabels[e.End]).Inc()
	}
}

// updateGauges sets the gauges if gaugeInterval has passed since the last time.
func (l *ledger) updateGauges(now time.Time) {
	if m := l.settings.Metrics; m != nil && now.Sub(l.gaugesSetAt) >= gaugeInterval {
		l.gaugesSetAt = now
		m.setTasks(l.planner.Fold().Counts())
	}
}
