package standin

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/platformapi"
)

// registry holds the instance list: its current state and the earlier states that
// the lagging list may still show.
type registry struct {
	lag time.Duration

	mu        sync.Mutex
	instances map[fleet.InstanceID]fleet.Instance
	servers   map[fleet.BackendServerID]fleet.BackendServer
	// history is sorted by time. The first state is at or before the time that
	// the list shows.
	history  []listState
	faults   ListFaults
	frozenAt time.Time
	// startedAt (Unix time in nanoseconds) and changes form the entity tag of a
	// state.
	startedAt int64
	changes   int
}

// listState is the content of the list from a point in time on.
type listState struct {
	since     time.Time
	tag       string // entity tag, unique across states and stand-ins
	instances []fleet.Instance
	servers   []fleet.BackendServer
}

func newRegistry(lag time.Duration) *registry {
	return &registry{
		lag:       lag,
		instances: map[fleet.InstanceID]fleet.Instance{},
		servers:   map[fleet.BackendServerID]fleet.BackendServer{},
		history:   []listState{{}},
		startedAt: time.Now().UnixNano(),
	}
}

func (r *registry) putInstance(i fleet.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instances[i.ID] = i
	r.record(time.Now())
}

func (r *registry) removeInstance(id fleet.InstanceID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.instances[id]
	delete(r.instances, id)
	r.record(time.Now())
	return ok
}

func (r *registry) putServer(b fleet.BackendServer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.servers[b.ID] = b
	r.record(time.Now())
}

// addInitialServer adds a server without recording a new state; backdate records
// it. A state for each of 5,400 configured servers would take over 2 GB.
func (r *registry) addInitialServer(b fleet.BackendServer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.servers[b.ID] = b
}

func (r *registry) removeServer(id fleet.BackendServerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.servers, id)
	r.record(time.Now())
}

// instance returns the current state of an entry instance, without the lag.
func (r *registry) instance(id fleet.InstanceID) (fleet.Instance, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i, ok := r.instances[id]
	return i, ok
}

// server returns the current state of a backend server, without the lag.
func (r *registry) server(id fleet.BackendServerID) (fleet.BackendServer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.servers[id]
	return b, ok
}

// backdate replaces the history by the current state, dated so far back that the
// list shows it at once.
func (r *registry) backdate() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record(time.Time{})
	r.history = r.history[len(r.history)-1:]
}

// record adds the current state to the history. The caller holds the lock.
func (r *registry) record(since time.Time) {
	r.changes++
	r.history = append(r.history, listState{
		since:     since,
		tag:       fmt.Sprintf("%q", fmt.Sprintf("%x-%d", r.startedAt, r.changes)),
		instances: sortedByID(r.instances),
		servers:   sortedByID(r.servers),
	})
}

// sortedByID returns the values of the map, sorted by key.
func sortedByID[K ~string, V any](m map[K]V) []V {
	list := make([]V, 0, len(m))
	for _, id := range slices.Sorted(maps.Keys(m)) {
		list = append(list, m[id])
	}
	return list
}

// setFaults replaces the faults. Frozen keeps the time that the list shows now.
func (r *registry) setFaults(f ListFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.Frozen && !r.faults.Frozen {
		r.frozenAt = r.asOf(time.Now())
	}
	r.faults = f
}

func (r *registry) currentFaults() ListFaults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

// asOf returns the time whose state the list shows at now.
func (r *registry) asOf(now time.Time) time.Time {
	if r.faults.Frozen {
		return r.frozenAt
	}
	return now.Add(-r.lag - time.Duration(r.faults.LagMillis)*time.Millisecond)
}

// snapshot returns the list that is shown now and its entity tag.
func (r *registry) snapshot() (platformapi.Snapshot, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	shown := r.asOf(now)
	state := r.history[0]
	for _, s := range r.history {
		if !s.since.After(shown) {
			state = s
		}
	}
	r.pruneHistory(now)
	return platformapi.Snapshot{
		AgeMillis: ageMillis(now.Sub(shown)), Instances: state.instances, BackendServers: state.servers,
	}, state.tag
}

// maxHistoryAge is how long a state is kept after it was superseded. It is above
// the lag that any test sets.
const maxHistoryAge = 10 * time.Minute

// pruneHistory drops the states that were superseded more than maxHistoryAge
// ago. The caller holds the lock.
func (r *registry) pruneHistory(now time.Time) {
	if r.faults.Frozen {
		return
	}
	for len(r.history) > 1 && now.Sub(r.history[1].since) > maxHistoryAge {
		r.history = r.history[1:]
	}
}

// ageMillis returns the age in milliseconds. It rounds up, so that data is never
// reported as newer than it is.
func ageMillis(age time.Duration) int64 {
	return int64((age + time.Millisecond - 1) / time.Millisecond)
}
