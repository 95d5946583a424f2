// Package store is the supervisor of the calls to the platform's store: the
// writer duty appends for the holder, one append at a time, and the two tail
// duties follow the configuration and the server list. They own the append in
// progress and the offsets; when one fails it reads again from the beginning.
package store

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/internal/wait"
	"lacewingfork.example/lacewingfork/records/cellrecord"
	"lacewingfork.example/lacewingfork/scheduler/api"
	"lacewingfork.example/lacewingfork/scheduler/logs"
	"lacewingfork.example/lacewingfork/scheduler/message"
	"lacewingfork.example/lacewingfork/supervise"
)

const (
	// appendTimeout covers an answer that takes fifty times as long as usual.
	appendTimeout = 1200 * time.Millisecond
	// appendRetryInterval spaces appends that the store turns away; the store takes
	// several hundred calls a second.
	appendRetryInterval = 100 * time.Millisecond
	// refuseTimeout is for how long an append is repeated that the store turns
	// away each time: its callers can then be told that nothing was stored.
	refuseTimeout = 400 * time.Millisecond
)

// Append is a batch of records for the cell's topic.
type Append struct {
	Epoch    fleet.Epoch
	Sequence uint64
	Batch    uint64
	Items    []api.Item
}

// Writer is the duty that appends for the holder.
type Writer struct {
	store         api.Store
	log           *logs.Log
	results       *supervise.Ring[message.AppendResult]
	appendSeconds *prometheus.HistogramVec
	// Appends takes the next batch; a newer epoch replaces what waits.
	Appends *supervise.Ring[Append]
}

// NewWriter adds the writer below tree.
func NewWriter(tree *supervise.Tree, store api.Store, log *logs.Log, results *supervise.Ring[message.AppendResult], registry prometheus.Registerer) *Writer {
	w := &Writer{
		store: store, log: log, results: results,
		Appends: supervise.NewRing[Append]("store.appends", 1, supervise.DropOldest),
		appendSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lacewingfork_store_append_seconds", Help: "Time of appends to the store.",
			Buckets: []float64{0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1.2},
		}, []string{"outcome"}),
	}
	registry.MustRegister(w.appendSeconds)
	tree.Start(supervise.Duty{Name: "writer", Rings: []supervise.Measured{w.Appends}, Run: w.run})
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

// write repeats one append until the store has decided it, or until a newer one
// waits, which means that the holder has changed.
func (w *Writer) write(ctx context.Context, a Append) error {
	begun, open := time.Now(), false
	for failed := 0; ; failed++ {
		err := w.appendOnce(ctx, a)
		open = open || err != nil && !errors.Is(err, api.ErrUnavailable)
		switch {
		case err == nil:
			if failed > 0 {
				w.log.Event("store_append_recovered", "epoch", a.Epoch, "sequence", a.Sequence, "after_ms", time.Since(begun).Milliseconds())
			}
			return w.results.Put(ctx, message.AppendResult{Epoch: a.Epoch, Batch: a.Batch, Took: time.Since(begun)})
		case errors.Is(err, api.ErrFenced), errors.Is(err, api.ErrSequence):
			w.log.Event("store_append_fenced", "epoch", a.Epoch, "sequence", a.Sequence, "error", err)
			return w.results.Put(ctx, message.AppendResult{Epoch: a.Epoch, Batch: a.Batch, Fenced: true, Took: time.Since(begun)})
		case ctx.Err() != nil:
			return ctx.Err()
		case w.Appends.Stats().Depth > 0:
			return nil
		case !open && time.Since(begun) >= refuseTimeout:
			w.log.Event("store_append_refused", "epoch", a.Epoch, "sequence", a.Sequence, "error", err)
			return w.results.Put(ctx, message.AppendResult{Epoch: a.Epoch, Batch: a.Batch, Refused: true, Took: time.Since(begun)})
		}
		if failed == 0 {
			w.log.Event("store_append_failed", "epoch", a.Epoch, "sequence", a.Sequence, "error", err)
		}
		wait.For(ctx, appendRetryInterval)
	}
}

func (w *Writer) appendOnce(ctx context.Context, a Append) error {
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	begun := time.Now()
	_, err := w.store.Append(callCtx, api.Append{
		Topic: cellrecord.CellTopic, Items: a.Items, Producer: cellrecord.Producer, Epoch: a.Epoch, Sequence: a.Sequence, ExpectedEnd: -1,
	})
	outcome := "acknowledged"
	if err != nil {
		outcome = "failed"
	}
	w.appendSeconds.WithLabelValues(outcome).Observe(time.Since(begun).Seconds())
	return err
}
