package holder

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/decision/cell"
	"lacewingfork.example/lacewingfork/scheduler/message"
)

// metrics are the counters and histograms of the holder.
type metrics struct {
	requests        *prometheus.CounterVec
	decisions       *prometheus.CounterVec
	acceptSeconds   prometheus.Histogram
	taskWaitSeconds prometheus.Histogram
	jobSeconds      prometheus.Histogram
	taskWaits       *prometheus.CounterVec
	uneven          *prometheus.CounterVec
	triage          *prometheus.CounterVec
	speedChanges    *prometheus.CounterVec
	takeovers       prometheus.Counter
	unreadResponses prometheus.Counter
	lag             prometheus.Gauge
	evacuations     *evacuationMetrics
}

func newMetrics(registry prometheus.Registerer) *metrics {
	seconds := []float64{0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30}
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lacewingfork_job_calls_total", Help: "Caller requests answered by the holder.",
		}, []string{"call", "verdict"}),
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lacewingfork_decisions_total", Help: "Decisions of the holder by event.",
		}, []string{"event"}),
		acceptSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "lacewingfork_job_accept_seconds", Help: "Time from a submission's arrival to its durable record.", Buckets: seconds,
		}),
		taskWaitSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "lacewingfork_task_wait_seconds", Help: "Time from a job's arrival, or a lost run, to the order of a task's start.", Buckets: seconds,
		}),
		taskWaits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lacewingfork_task_waits_total", Help: "Logged waits of tasks for a start, by reason.",
		}, []string{"reason"}),
		uneven: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lacewingfork_uneven_total", Help: "Decisions on uneven demand and unlike servers, by decision.",
		}, []string{"decision"}),
		triage: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lacewingfork_triage_total", Help: "Jobs rejected, runs stopped for others and logged waits with triage by cost, by priority of the queue and reason.",
		}, []string{"action", "priority", "reason"}),
		jobSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "lacewingfork_job_seconds", Help: "Time from a job's arrival to its final state.", Buckets: seconds,
		}),
		takeovers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lacewingfork_holder_takeovers_total", Help: "Times that this instance became the holder of the cell.",
		}),
		unreadResponses: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lacewingfork_answers_unread_total", Help: "Responses dropped because the caller no longer waited.",
		}),
	}
	m.evacuations = newEvacuationMetrics(registry)
	m.speedChanges = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "lacewingfork_task_speed_changes_total", Help: "Changes of the speed of best-effort tasks beside serving tasks, by reason.",
	}, []string{"reason"})
	m.lag = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "lacewingfork_holder_lag_seconds", Help: "Longest time that an answer of a worker has waited for the holder since its last tick.",
	})
	registry.MustRegister(m.lag, m.requests, m.decisions, m.acceptSeconds, m.taskWaitSeconds, m.taskWaits, m.uneven, m.triage, m.speedChanges, m.jobSeconds, m.takeovers, m.unreadResponses)
	return m
}

var requestLabels = map[message.RequestKind]string{
	message.RequestSubmit: "submit", message.RequestCancel: "cancel", message.RequestState: "state",
}

var verdictLabels = map[cell.Verdict]string{
	cell.Accepted: "accepted", cell.NotStored: "not_stored", cell.NoSuchQueue: "no_such_queue",
	cell.NoSuchJob: "no_such_job", cell.Undetermined: "undetermined",
}

func (m *metrics) observeReply(kind message.RequestKind, reply cell.JobReply) {
	m.requests.WithLabelValues(requestLabels[kind], verdictLabels[reply.Verdict]).Inc()
}

func (m *metrics) observeNote(n cell.Note) {
	m.decisions.WithLabelValues(string(n.Event)).Inc()
	switch n.Event {
	case cell.NoteAccepted:
		observe(m.acceptSeconds, n, "to_store_us", 1e6)
	case cell.NoteStartOrdered:
		observe(m.taskWaitSeconds, n, "waited_ms", 1e3)
	case cell.NoteStopOrdered:
		if n.Detail["reason"] == cell.ReasonEvacuation {
			m.evacuations.moves.Inc()
		}
	case cell.NoteTaskWaits:
		if reason, ok := n.Detail["reason"].(string); ok {
			m.taskWaits.WithLabelValues(reason).Inc()
		}
		m.observeTriage("delayed", n)
	case cell.NoteUnevenDemand:
		for _, decision := range cell.UnevenDecisions {
			if count, ok := n.Detail[decision].(int); ok {
				m.uneven.WithLabelValues(decision).Add(float64(count))
			}
		}
	case cell.NoteRejected:
		m.observeTriage("rejected", n)
	case cell.NoteRoomMade:
		m.observeTriage("stopped", n)
	case cell.NoteTaskThrottled:
		if reason, ok := n.Detail["reason"].(cell.SpeedReason); ok && reason != "" {
			m.speedChanges.WithLabelValues(string(reason)).Inc()
		}
	case cell.NoteJobEnded:
		observe(m.jobSeconds, n, "after_ms", 1e3)
	}
}

// observeTriage counts a decision by cost. Notes have a priority only with triage by
// cost.
func (m *metrics) observeTriage(action string, n cell.Note) {
	priority, byCost := n.Detail["priority"].(int)
	if reason, ok := n.Detail["reason"].(string); ok && byCost {
		m.triage.WithLabelValues(action, strconv.Itoa(priority), reason).Inc()
	}
}

// observe adds the note's value under key, converted to seconds.
func observe(h prometheus.Histogram, n cell.Note, key string, unitsPerSecond float64) {
	if value, ok := n.Detail[key].(int64); ok {
		h.Observe(float64(value) / unitsPerSecond)
	}
}
