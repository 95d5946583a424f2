// Package logs is the supervisor of the log. One duty writes JSON lines from a
// bounded ring, so that a slow or blocked output never delays a decision. When
// the ring is full the oldest lines are dropped and counted. Lines in the ring
// survive a failure of the duty and are written after its restart.
package logs

import (
	"context"
	"io"
	"time"

	"github.com/charmbracelet/log"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/supervise"
)

const (
	// lineCapacity covers one second at the peak load of a deployment with 40
	// instances: 670 starts of three lines each.
	lineCapacity = 2048
	// dropReportInterval is the time between lines that report dropped lines.
	dropReportInterval = 5 * time.Second
)

// line is one event for the log.
type line struct {
	at    time.Time
	event string
	pairs []any
}

// Log accepts events from any duty. It never blocks.
type Log struct {
	lines *supervise.Ring[line]
}

// New returns a log; Start starts the duty that writes it.
func New() *Log {
	return &Log{lines: supervise.NewRing[line]("logs.lines", lineCapacity, supervise.DropOldest)}
}

// Event logs an event with key-value pairs.
func (l *Log) Event(event string, pairs ...any) {
	// The ring drops its oldest line when full, so Put does not fail.
	_ = l.lines.Put(context.Background(), line{at: time.Now(), event: event, pairs: pairs})
}

// Start adds the writer duty below root. Lines go to w and carry the identifier
// of the instance.
func (l *Log) Start(root *supervise.Tree, w io.Writer, instance fleet.InstanceID, level log.Level) {
	logger := log.NewWithOptions(w, log.Options{Formatter: log.JSONFormatter, Level: level})
	root.Child("logs", supervise.DefaultIntensity).Start(supervise.Duty{
		Name: "writer", Rings: []supervise.AnyRing{l.lines},
		Run: func(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
			return l.write(ctx, logger, instance, dumps)
		},
	})
}

func (l *Log) write(ctx context.Context, logger *log.Logger, instance fleet.InstanceID, dumps <-chan supervise.DumpRequest) error {
	written, reported := uint64(0), l.lines.Stats().Dropped
	report := time.NewTicker(dropReportInterval)
	defer report.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case item := <-l.lines.Items():
			written++
			pairs := append([]any{"event", item.event, "at", item.at.UTC().Format(time.RFC3339Nano), "instance", instance}, item.pairs...)
			logger.Log(log.InfoLevel, nil, pairs...)
		case <-report.C:
			if dropped := l.lines.Stats().Dropped; dropped > reported {
				logger.Log(log.WarnLevel, nil, "event", "log_lines_left_out", "at", time.Now().UTC().Format(time.RFC3339Nano),
					"instance", instance, "count", dropped-reported)
				reported = dropped
			}
		case r := <-dumps:
			r.Answer(map[string]uint64{"written": written})
		}
	}
}
