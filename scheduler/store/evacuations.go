package store

import (
	"context"
	"maps"
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/internal/clock"
	"lacewingfork.example/lacewingfork/scheduler/api"
	"lacewingfork.example/lacewingfork/scheduler/logs"
	"lacewingfork.example/lacewingfork/scheduler/message"
	"lacewingfork.example/lacewingfork/supervise"
)

const (
	// evacuationReadInterval is the time between two reads of the requests. Only the
	// holder reads them, and the answer has a few hundred bytes.
	evacuationReadInterval = 500 * time.Millisecond
	// evacuationReadTimeout covers an answer that takes fifty times the usual time.
	evacuationReadTimeout = 1200 * time.Millisecond
	// minFailedReads is the number of failed reads in a row from which the store counts
	// as not answering. The first one may have been cut short because the process stood
	// still.
	minFailedReads = 2
	// maxWithdrawn bounds the withdrawn requests that are remembered.
	maxWithdrawn = 256
)

// Evacuations is the duty that follows the operators' requests to evacuate data centres
// while this instance holds the cell. It reads the newest request of each data centre at
// intervals. What the tail of the operators' topic reads meanwhile it applies at once;
// that tail alone is not enough, as it leaves out records while the instance is linked
// to another holder.
type Evacuations struct {
	store   api.Store
	records api.RecordDecoder
	clock   *clock.Clock
	log     *logs.Log
	follow  *supervise.Ring[bool]
	changes *supervise.Ring[message.Evacuations]
	// Records carries the operators' records that are no publications. What the ring
	// drops shows at the next read.
	Records *supervise.Ring[[]api.Item]

	// following outlives a failure of the duty: the holder asks once for each role.
	following bool
}

// evacuationState is the state of the duty in one role.
type evacuationState struct {
	requests map[fleet.DataCentre]request
	readAt   time.Duration // start of the last read; 0 before the first one
	failures int           // failed reads in a row
	// knownFrom is the end of the topic at the first read. Earlier records are history.
	knownFrom fleet.Offset
	unusable  map[string]bool // keys that have been logged
}

// request is the newest known state of the request for a data centre.
type request struct {
	evacuated bool
	offset    fleet.Offset // no earlier record counts
}

// NewEvacuations adds the duty below tree. follow switches it on and off, and changes
// receives each state of the requests that it reads.
func NewEvacuations(
	tree *supervise.Tree, store api.Store, records api.RecordDecoder, c *clock.Clock, log *logs.Log,
	follow *supervise.Ring[bool], changes *supervise.Ring[message.Evacuations],
) *Evacuations {
	e := &Evacuations{
		store: store, records: records, clock: c, log: log, follow: follow, changes: changes,
		Records: supervise.NewRing[[]api.Item]("evacuations.records", 16, supervise.DropOldest),
	}
	tree.Start(supervise.Duty{Name: "evacuations", Rings: []supervise.AnyRing{follow, e.Records}, Run: e.run})
	return e
}

func (e *Evacuations) run(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	state := newEvacuationState()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e.following = <-e.follow.Items():
			state = newEvacuationState()
			timer.Reset(0)
		case items := <-e.Records.Items():
			if e.following && e.applyRecords(state, items) {
				e.publish(state)
			}
		case <-timer.C:
			if e.following {
				timer.Reset(e.read(ctx, state))
			}
		case r := <-dumps:
			r.Answer(map[string]any{"follows": e.following, "evacuated": state.evacuated(), "failed_reads": state.failures})
		}
	}
}

func newEvacuationState() *evacuationState {
	return &evacuationState{requests: map[fleet.DataCentre]request{}, unusable: map[string]bool{}}
}

// evacuated returns the evacuated data centres by name.
func (s *evacuationState) evacuated() []fleet.DataCentre {
	names := []fleet.DataCentre{}
	for name, r := range s.requests {
		if r.evacuated {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// read reads the newest request of each data centre, passes the result on and returns
// the time until the next read.
func (e *Evacuations) read(ctx context.Context, state *evacuationState) time.Duration {
	callCtx, cancel := context.WithTimeout(ctx, evacuationReadTimeout)
	defer cancel()
	began := e.clock.Steady()
	items, end, err := e.store.Newest(callCtx, api.EvacuationTopic)
	if err != nil {
		if state.failures++; state.failures == minFailedReads {
			e.log.Event("dependency_lost", "dependency", "store/"+string(api.EvacuationTopic), "error", err)
		}
		if state.failures >= minFailedReads {
			_ = e.changes.Put(ctx, message.Evacuations{ReadAt: began, Unavailable: true}) // keeps the newest; never fails
		}
		return readRetryInterval
	}
	if state.failures >= minFailedReads {
		e.log.Event("dependency_regained", "dependency", "store/"+string(api.EvacuationTopic))
	}
	state.failures = 0
	e.applyNewest(state, items, end)
	state.readAt = began
	e.publish(state)
	return evacuationReadInterval
}

func (e *Evacuations) publish(state *evacuationState) {
	// Keeps the newest; never fails.
	_ = e.changes.Put(context.Background(), message.Evacuations{DataCentres: state.evacuated(), ReadAt: state.readAt})
}

// applyNewest applies the newest records of the topic, which ended at end.
func (e *Evacuations) applyNewest(state *evacuationState, items []api.Item, end fleet.Offset) {
	if state.readAt == 0 {
		state.knownFrom = end
	}
	present := map[fleet.DataCentre]bool{}
	for _, item := range items {
		if name, ok := e.decode(state, item); ok && len(item.Value) > 0 {
			present[name] = true
			if item.Offset >= state.requests[name].offset {
				state.requests[name] = request{evacuated: true, offset: item.Offset}
			}
		}
	}
	for name, r := range state.requests {
		if r.evacuated && !present[name] && r.offset < end {
			state.requests[name] = request{offset: end - 1} // of its withdrawal at the latest
		}
	}
	if len(state.requests) > len(present)+maxWithdrawn {
		maps.DeleteFunc(state.requests, func(_ fleet.DataCentre, r request) bool { return !r.evacuated && r.offset < end })
	}
}

// applyRecords applies records that the tail has read, and reports whether they change
// the requests. Before the first read they are left to it.
func (e *Evacuations) applyRecords(state *evacuationState, items []api.Item) bool {
	if state.readAt == 0 {
		return false
	}
	changed := false
	for _, item := range items {
		name, ok := e.decode(state, item)
		known, seen := state.requests[name]
		evacuated := len(item.Value) > 0
		if !ok || seen && item.Offset <= known.offset {
			continue
		}
		if !evacuated && !known.evacuated && item.Offset >= state.knownFrom {
			e.log.Event("evacuation_withdrawn_without_request", "data_centre", name, "offset", item.Offset,
				"error", "the evacuation of this data centre was not requested")
		}
		state.requests[name] = request{evacuated: evacuated, offset: item.Offset}
		changed = changed || evacuated != known.evacuated
	}
	return changed
}

// decode returns the data centre of a request. A key that names none is logged once.
func (e *Evacuations) decode(state *evacuationState, item api.Item) (fleet.DataCentre, bool) {
	name, ok, reason := e.records.Evacuation(item)
	if reason != "" && !state.unusable[item.Key] && len(state.unusable) < maxWithdrawn {
		state.unusable[item.Key] = true
		e.log.Event("evacuation_unreadable", "key", item.Key, "offset", item.Offset, "error", reason)
	}
	return name, ok
}
