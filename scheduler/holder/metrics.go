package holder

import (
	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/decision/cell"
	"lacewingfork.example/lacewingfork/scheduler/message"
)

// metrics are the counters and histograms of the holder.
type metrics struct {
	asks      *prometheus.CounterVec
	decisions *prometheus.CounterVec
	accepted  prometheus.Histogram
	waited    prometheus.Histogram
	ended     prometheus.Histogram
	takeovers prometheus.Counter
	unread    prometheus.Counter
}

func newMetrics(registry prometheus.Registerer) *metrics {
	seconds := []float64{0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30}
	m := &metrics{
		asks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lacewingfork_job_calls_total", Help: "Calls of callers that the holder answered.",
		}, []string{"call", "verdict"}),
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lacewingfork_decisions_total", Help: "Decisions of the holder by event.",
		}, []string{"event"}),
		accepted: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "lacewingfork_job_accept_seconds", Help: "Time from a submission's arrival to its durable record.", Buckets: seconds,
		}),
		waited: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "lacewingfork_task_wait_seconds", Help: "Time from a job's arrival, or a lost run, to the order of a task's start.", Buckets: seconds,
		}),
		ended: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "lacewingfork_job_seconds", Help: "Time from a job's arrival to its final state.", Buckets: seconds,
		}),
		takeovers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lacewingfork_holder_takeovers_total", Help: "Times that this instance began to hold the cell.",
		}),
		unread: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lacewingfork_answers_unread_total", Help: "Answers for callers that no longer waited.",
		}),
	}
	registry.MustRegister(m.asks, m.decisions, m.accepted, m.waited, m.ended, m.takeovers, m.unread)
	return m
}

var askNames = map[message.RequestKind]string{
	message.RequestSubmit: "submit", message.RequestCancel: "cancel", message.RequestState: "state",
}

var verdictNames = map[cell.Verdict]string{
	cell.Accepted: "accepted", cell.NotStored: "not_stored", cell.NoSuchQueue: "no_such_queue",
	cell.NoSuchJob: "no_such_job", cell.Undetermined: "undetermined",
}

func (m *metrics) answered(kind message.RequestKind, reply cell.JobReply) {
	m.asks.WithLabelValues(askNames[kind], verdictNames[reply.Verdict]).Inc()
}

func (m *metrics) noted(n cell.Note) {
	m.decisions.WithLabelValues(string(n.Event)).Inc()
	switch n.Event {
	case cell.NoteAccepted:
		observe(m.accepted, n, "to_store_us", 1e6)
	case cell.NoteStartOrdered:
		observe(m.waited, n, "waited_ms", 1e3)
	case cell.NoteJobEnded:
		observe(m.ended, n, "after_ms", 1e3)
	}
}

func observe(h prometheus.Histogram, n cell.Note, key string, perSecond float64) {
	if value, ok := n.Detail[key].(int64); ok {
		h.Observe(float64(value) / perSecond)
	}
}
