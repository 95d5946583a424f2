// Package store is the supervisor of the calls to the platform's store. The
// writer duty appends for the holder, one append at a time; two tail duties
// follow the configuration and the server list. The duties own the append in
// flight and the offsets. When a tail fails it reads again from the beginning.
package store

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/internal/clock"
	"lacewingfork.example/lacewingfork/internal/wait"
	"lacewingfork.example/lacewingfork/records/cellrecord"
	"lacewingfork.example/lacewingfork/scheduler/api"
	"lacewingfork.example/lacewingfork/scheduler/logs"
	"lacewingfork.example/lacewingfork/scheduler/message"
	"lacewingfork.example/lacewingfork/supervise"
)

const (
	// appendTimeout covers an answer that takes fifty times the usual time.
	appendTimeout = 1200 * time.Millisecond
	// appendRetryInterval is the time between retries of an append that failed.
	// The store serves several hundred calls per second.
	appendRetryInterval = 100 * time.Millisecond
	// refuseTimeout is how long an append that the store rejects each time is
	// retried before it is given up. The requests in it can then be answered as
	// not stored.
	refuseTimeout = 400 * time.Millisecond
)

// Append is a batch of records for the cell topic. Batch is the number of the
// batch in the decisions, 0 for a heartbeat record.
type Append struct {
	Epoch    fleet.Epoch
	Sequence uint64
	Batch    uint64
	Items    []api.Item
}

// Writer is the duty that appends for the holder.
type Writer struct {
	store         api.Store
	clock         *clock.Clock
	log           *logs.Log
	results       *supervise.Ring[message.AppendResult]
	appendSeconds *prometheus.HistogramVec
	// Appends carries the next batch. A batch of a newer epoch replaces a
	// queued one.
	Appends *supervise.Ring[Append]
}

// NewWriter adds the writer below tree.
func NewWriter(tree *supervise.Tree, store api.Store, c *clock.Clock, log *logs.Log, results *supervise.Ring[message.AppendResult], registry prometheus.Registerer) *Writer {
	w := &Writer{
		store: store, clock: c, log: log, results: results,
		Appends: supervise.NewRing[Append]("store.appends", 1, supervise.DropOldest),
		appendSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lacewingfork_store_append_seconds", Help: "Time of appends to the store.",
			Buckets: []float64{0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1.2},
		}, []string{"outcome"}),
	}
	registry.MustRegister(w.appendSeconds)
	tree.Start(supervise.Duty{Name: "writer", Rings: []supervise.AnyRing{w.Appends}, Run: w.run})
	return w
}

func (w *Writer) run(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case a := <-w.Appends.Items():
			if err := w.write(ctx, a); err != nil {
				return err
			}
		case r := <-dumps:
			r.Answer(nil)
		}
	}
}

// write retries one append until the store has accepted or fenced it, or until
// a newer one is queued, which means that the holder has changed.
func (w *Writer) write(ctx context.Context, a Append) error {
	start, mayHaveExecuted := time.Now(), false
	sentAt := time.Duration(0) // of the first attempt that may have been executed
	for failures := 0; ; failures++ {
		if !mayHaveExecuted {
			sentAt = w.clock.Steady()
		}
		err := w.appendOnce(ctx, a)
		mayHaveExecuted = mayHaveExecuted || err != nil && !errors.Is(err, api.ErrUnavailable)
		switch {
		case err == nil:
			if failures > 0 {
				w.log.Event("store_append_recovered", "epoch", a.Epoch, "sequence", a.Sequence, "after_ms", time.Since(start).Milliseconds())
			}
			return w.results.Put(ctx, message.AppendResult{Epoch: a.Epoch, Batch: a.Batch, SentAt: sentAt, Took: time.Since(start)})
		case errors.Is(err, api.ErrFenced), errors.Is(err, api.ErrSequence):
			w.log.Event("store_append_fenced", "epoch", a.Epoch, "sequence", a.Sequence, "error", err)
			return w.results.Put(ctx, message.AppendResult{Epoch: a.Epoch, Batch: a.Batch, Fenced: true, Took: time.Since(start)})
		case ctx.Err() != nil:
			return ctx.Err()
		case w.Appends.Stats().Depth > 0:
			return nil
		case !mayHaveExecuted && time.Since(start) >= refuseTimeout:
			w.log.Event("store_append_refused", "epoch", a.Epoch, "sequence", a.Sequence, "error", err)
			return w.results.Put(ctx, message.AppendResult{Epoch: a.Epoch, Batch: a.Batch, Refused: true, Took: time.Since(start)})
		}
		if failures == 0 {
			w.log.Event("store_append_failed", "epoch", a.Epoch, "sequence", a.Sequence, "error", err)
		}
		wait.For(ctx, appendRetryInterval)
	}
}

func (w *Writer) appendOnce(ctx context.Context, a Append) error {
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	start := time.Now()
	_, err := w.store.Append(callCtx, api.Append{
		Topic: cellrecord.CellTopic, Items: a.Items, Producer: cellrecord.Producer, Epoch: a.Epoch, Sequence: a.Sequence, ExpectedEnd: -1,
	})
	outcome := "acknowledged"
	if err != nil {
		outcome = "failed"
	}
	w.appendSeconds.WithLabelValues(outcome).Observe(time.Since(start).Seconds())
	return err
}
