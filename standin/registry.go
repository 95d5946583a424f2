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

// registry is the instance list: what is true now, and the earlier states that
// the lagging list still shows.
type registry struct {
	lag time.Duration

	mu        sync.Mutex
	instances map[fleet.InstanceID]fleet.Instance
	servers   map[fleet.BackendServerID]fleet.BackendServer
	// history is in the order of time; the first entry is at or before the
	// moment that the list shows.
	history  []listState
	faults   ListFaults
	frozenAt time.Time
	// startedAt and changes make up the tags of states.
	startedAt int64
	changes   int
}

type listState struct {
	since     time.Time
	tag       string // names this state among all of all stand-ins
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

// addInitialServer adds a server without a new state of the list; backdate shows it.
// A state for each of 5,400 configured servers would take over 2 GB.
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

// instance returns the true state of an entry instance.
func (r *registry) instance(id fleet.InstanceID) (fleet.Instance, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i, ok := r.instances[id]
	return i, ok
}

func (r *registry) server(id fleet.BackendServerID) (fleet.BackendServer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.servers[id]
	return b, ok
}

// backdate makes the present state visible at once, as if it were old.
func (r *registry) backdate() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record(time.Time{})
	r.history = r.history[len(r.history)-1:]
}

func (r *registry) record(since time.Time) {
	r.changes++
	r.history = append(r.history, listState{
		since:     since,
		tag:       fmt.Sprintf("%q", fmt.Sprintf("%x-%d", r.startedAt, r.changes)),
		instances: sortedByID(r.instances),
		servers:   sortedByID(r.servers),
	})
}

func sortedByID[K ~string, V any](m map[K]V) []V {
	list := make([]V, 0, len(m))
	for _, id := range slices.Sorted(maps.Keys(m)) {
		list = append(list, m[id])
	}
	return list
}

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

// asOf is the moment whose state the list shows now.
func (r *registry) asOf(now time.Time) time.Time {
	if r.faults.Frozen {
		return r.frozenAt
	}
	return now.Add(-r.lag - time.Duration(r.faults.LagMillis)*time.Millisecond)
}

// snapshot returns the list as it is shown now, and its entity tag.
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

// maxHistoryAge is more than any lag that a test sets.
const maxHistoryAge = 10 * time.Minute

// pruneHistory drops states that no lag can show any more.
func (r *registry) pruneHistory(now time.Time) {
	if r.faults.Frozen {
		return
	}
	for len(r.history) > 1 && now.Sub(r.history[1].since) > maxHistoryAge {
		r.history = r.history[1:]
	}
}

// ageMillis rounds up, so that a sample is never dated too late.
func ageMillis(age time.Duration) int64 {
	return int64((age + time.Millisecond - 1) / time.Millisecond)
}
