package platform

import (
	"context"
	"time"

	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/platformapi"
	"lacewingfork.example/lacewingfork/supervise"
)

const (
	// listEvery gives several tries within the age at which a snapshot counts
	// as stale (2 s).
	listEvery = 500 * time.Millisecond
	// usageEvery follows the reports, which are about a second apart.
	usageEvery = time.Second
	// watchTimeout bounds one call of a watcher. It is below the client's
	// timeout so that a silent connection costs only part of the 2 s after
	// which a snapshot is stale.
	watchTimeout = time.Second
)

// watcher calls the platform at regular times, with one call in progress at
// most, and hands each answer to deliver.
type watcher[A any] struct {
	every  time.Duration
	calls  *callRing[struct{}, A]
	handle handler[A]
	state  watcherState
}

// handler takes what a watcher learns.
type handler[A any] struct {
	deliver func(ctx context.Context, sentAt time.Time, answer A)
	// tick runs before each call; nil for none.
	tick func(now time.Time)
}

// watcherState is the watcher's part of the state dump.
type watcherState struct {
	Calls     uint64    `json:"calls"`
	Failures  uint64    `json:"failures"`
	InARow    uint64    `json:"failures_in_a_row"`
	Skipped   uint64    `json:"skipped"` // times that the last call was still in progress
	LastSent  time.Time `json:"last_answered_call_sent_at"`
	LastError string    `json:"last_error,omitempty"`
}

// watcherDuties returns a watcher and its call duty. build makes the handler
// of answers, with clean state for each run of the duty.
func watcherDuties[A any](
	name string, every time.Duration,
	ask func(context.Context) (A, error),
	build func() handler[A],
) []supervise.Duty {
	calls := newCallRing[struct{}, A](name + ".calls")
	return []supervise.Duty{
		{
			Name: name,
			Run: func(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
				w := &watcher[A]{every: every, calls: calls, handle: build()}
				return w.run(ctx, dumps)
			},
		},
		callDuty(name+"-call", calls, func(ctx context.Context, _ struct{}) (A, error) {
			ctx, cancel := context.WithTimeout(ctx, watchTimeout)
			defer cancel()
			return ask(ctx)
		}),
	}
}

func (w *watcher[A]) run(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	ctx, cancel := context.WithCancel(ctx) // ends the call in progress on a panic
	defer cancel()
	replies := newReplyRing[A]("watcher.replies", 1)
	ticker := time.NewTicker(w.every)
	defer ticker.Stop()
	busy := w.ask(ctx, replies)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case request := <-dumps:
			request.Answer(w.state)
		case now := <-ticker.C:
			if w.handle.tick != nil {
				w.handle.tick(now)
			}
			if busy {
				w.state.Skipped++
				continue
			}
			busy = w.ask(ctx, replies)
		case got := <-replies.Items():
			busy = false
			w.take(ctx, got)
		}
	}
}

func (w *watcher[A]) ask(ctx context.Context, replies *supervise.Ring[result[A]]) (busy bool) {
	w.state.Calls++
	return w.calls.Put(ctx, call[struct{}, A]{ctx: ctx, reply: replies}) == nil
}

func (w *watcher[A]) take(ctx context.Context, got result[A]) {
	if got.err != nil {
		w.state.Failures++
		w.state.InARow++
		w.state.LastError = got.err.Error()
		return
	}
	w.state.InARow = 0
	w.state.LastSent = got.sentAt
	w.handle.deliver(ctx, got.sentAt, got.answer)
}

// listDuties follow the instance list. A snapshot that is older than the one
// before is dropped, so that membership never goes back in time.
func listDuties(list platformapi.InstanceList, rings []*message.SnapshotRing, metrics *Metrics) []supervise.Duty {
	return watcherDuties("list-watcher", listEvery, list.List,
		func() handler[platformapi.Snapshot] {
			var newest time.Time
			started := time.Now()
			var last platformapi.Snapshot
			// Versions of an earlier run of the duty must not come again.
			version := uint64(started.UnixNano())
			deliver := func(ctx context.Context, sentAt time.Time, s platformapi.Snapshot) {
				snapshot := message.ListSnapshot{
					SampledAt: sampledAt(sentAt, s.AgeMillis),
					Instances: s.Instances, BackendServers: s.BackendServers,
				}
				if snapshot.SampledAt.Before(newest) {
					return
				}
				newest = snapshot.SampledAt
				if !sameRows(last.BackendServers, s.BackendServers) || !sameRows(last.Instances, s.Instances) {
					version++
				}
				last, snapshot.Version = s, version
				metrics.listAged(time.Since(newest))
				for _, ring := range rings {
					_ = ring.Put(ctx, snapshot)
				}
			}
			tick := func(now time.Time) {
				if newest.IsZero() {
					metrics.listAged(now.Sub(started))
				} else {
					metrics.listAged(now.Sub(newest))
				}
			}
			return handler[platformapi.Snapshot]{deliver: deliver, tick: tick}
		})
}

// sameRows reports that two lists are one: the client returns the list that it
// has when the platform says that it didn't change.
func sameRows[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// usageDuties follow the usage reports of one data centre.
func usageDuties(workers platformapi.Workers, dataCentre fleet.DataCentre, all []UsageSubscription) []supervise.Duty {
	ask := func(ctx context.Context) ([]platformapi.UsageReport, error) {
		return workers.Usage(ctx, dataCentre)
	}
	return watcherDuties("usage-watcher/"+string(dataCentre), usageEvery, ask,
		func() handler[[]platformapi.UsageReport] {
			return handler[[]platformapi.UsageReport]{deliver: func(ctx context.Context, sentAt time.Time, reports []platformapi.UsageReport) {
				dated := message.UsageReports{DataCentre: dataCentre}
				for _, r := range reports {
					dated.Reports = append(dated.Reports, message.UsageReport{
						SampledAt: sampledAt(sentAt, r.AgeMillis), UsageReport: r,
					})
				}
				for _, s := range all {
					if s.DataCentre == dataCentre {
						_ = s.Ring.Put(ctx, dated)
					}
				}
			}}
		})
}

// sampledAt dates a sample without synchronised clocks: the platform answered
// no earlier than the call was sent. A negative age would date it too late.
func sampledAt(sentAt time.Time, ageMillis int64) time.Time {
	return sentAt.Add(-time.Duration(max(0, ageMillis)) * time.Millisecond)
}
