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
	// listInterval allows several calls within the age at which a snapshot
	// becomes stale (2 s).
	listInterval = 500 * time.Millisecond
	// usageInterval matches the interval of the workers' reports, about a second.
	usageInterval = time.Second
	// watcherCallTimeout bounds one call of a watcher. It is below the client's
	// timeout, so that a connection that stops responding uses up only part of
	// the 2 s after which a snapshot is stale.
	watcherCallTimeout = time.Second
)

// watcher calls the platform at regular intervals, with at most one call in
// progress, and passes each answer to its handler.
type watcher[A any] struct {
	interval time.Duration
	calls    *callRing[struct{}, A]
	handler  handler[A]
	state    watcherState
}

// handler processes the answers of a watcher.
type handler[A any] struct {
	deliver func(ctx context.Context, sentAt time.Time, answer A)
	// tick runs at every interval, before the call; nil for none.
	tick func(now time.Time)
}

// watcherState is the watcher's part of the state dump.
type watcherState struct {
	Calls               uint64    `json:"calls"`
	Failures            uint64    `json:"failures"`
	ConsecutiveFailures uint64    `json:"failures_in_a_row"`
	Skipped             uint64    `json:"skipped"` // intervals in which the previous call was still in progress
	LastSent            time.Time `json:"last_answered_call_sent_at"`
	LastError           string    `json:"last_error,omitempty"`
}

// watcherDuties returns a watcher and its call duty, which calls fetch. build
// returns a handler with empty state for each run of the watcher.
func watcherDuties[A any](
	name string, interval time.Duration,
	fetch func(context.Context) (A, error),
	build func() handler[A],
) []supervise.Duty {
	calls := newCallRing[struct{}, A](name + ".calls")
	return []supervise.Duty{
		{
			Name: name,
			Run: func(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
				w := &watcher[A]{interval: interval, calls: calls, handler: build()}
				return w.run(ctx, dumps)
			},
		},
		callDuty(name+"-call", calls, func(ctx context.Context, _ struct{}) (A, error) {
			ctx, cancel := context.WithTimeout(ctx, watcherCallTimeout)
			defer cancel()
			return fetch(ctx)
		}),
	}
}

func (w *watcher[A]) run(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	ctx, cancel := context.WithCancel(ctx) // ends the call in progress on a panic
	defer cancel()
	replies := newReplyRing[A]("watcher.replies", 1)
	ticker := time.NewTicker(w.interval)
	defer ticker.Stop()
	busy := w.startCall(ctx, replies)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case request := <-dumps:
			request.Answer(w.state)
		case now := <-ticker.C:
			if w.handler.tick != nil {
				w.handler.tick(now)
			}
			if busy {
				w.state.Skipped++
				continue
			}
			busy = w.startCall(ctx, replies)
		case got := <-replies.Items():
			busy = false
			w.handleResult(ctx, got)
		}
	}
}

func (w *watcher[A]) startCall(ctx context.Context, replies *supervise.Ring[result[A]]) (busy bool) {
	w.state.Calls++
	return w.calls.Put(ctx, call[struct{}, A]{ctx: ctx, reply: replies}) == nil
}

func (w *watcher[A]) handleResult(ctx context.Context, got result[A]) {
	if got.err != nil {
		w.state.Failures++
		w.state.ConsecutiveFailures++
		w.state.LastError = got.err.Error()
		return
	}
	w.state.ConsecutiveFailures = 0
	w.state.LastSent = got.sentAt
	w.handler.deliver(ctx, got.sentAt, got.answer)
}

// listDuties returns the duties that follow the instance list. A snapshot older
// than the previous one is dropped, so that membership never goes back in time.
func listDuties(list platformapi.InstanceList, rings []*message.SnapshotRing, metrics *Metrics) []supervise.Duty {
	return watcherDuties("list-watcher", listInterval, list.List,
		func() handler[platformapi.Snapshot] {
			var newest time.Time
			started := time.Now()
			var last platformapi.Snapshot
			// Versions must not repeat those of an earlier run of the duty.
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
				if !sameList(last.BackendServers, s.BackendServers) || !sameList(last.Instances, s.Instances) {
					version++
				}
				last, snapshot.Version = s, version
				metrics.setListAge(time.Since(newest))
				for _, ring := range rings {
					_ = ring.Put(ctx, snapshot)
				}
			}
			tick := func(now time.Time) {
				if newest.IsZero() {
					metrics.setListAge(now.Sub(started))
				} else {
					metrics.setListAge(now.Sub(newest))
				}
			}
			return handler[platformapi.Snapshot]{deliver: deliver, tick: tick}
		})
}

// sameList reports whether a and b are the same slice. The client returns its
// cached list when the platform reports that it has not changed.
func sameList[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// usageDuties returns the duties that follow the usage reports of one data
// centre.
func usageDuties(workers platformapi.Workers, dataCentre fleet.DataCentre, all []UsageSubscription) []supervise.Duty {
	fetch := func(ctx context.Context) ([]platformapi.UsageReport, error) {
		return workers.Usage(ctx, dataCentre)
	}
	return watcherDuties("usage-watcher/"+string(dataCentre), usageInterval, fetch,
		func() handler[[]platformapi.UsageReport] {
			return handler[[]platformapi.UsageReport]{deliver: func(ctx context.Context, sentAt time.Time, reports []platformapi.UsageReport) {
				timestamped := message.UsageReports{DataCentre: dataCentre}
				for _, r := range reports {
					timestamped.Reports = append(timestamped.Reports, message.UsageReport{
						SampledAt: sampledAt(sentAt, r.AgeMillis), UsageReport: r,
					})
				}
				for _, s := range all {
					if s.DataCentre == dataCentre {
						_ = s.Ring.Put(ctx, timestamped)
					}
				}
			}}
		})
}

// sampledAt returns a lower bound of the time of a sample in local time, without
// synchronised clocks: the platform answered no earlier than the call was sent.
// A negative age counts as 0, because it would give a time that is too late.
func sampledAt(sentAt time.Time, ageMillis int64) time.Time {
	return sentAt.Add(-time.Duration(max(0, ageMillis)) * time.Millisecond)
}
