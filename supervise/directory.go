package supervise

import (
	"context"
	"sort"
	"time"
)

const (
	// directoryCapacity has room for the simultaneous start of every duty of an
	// instance.
	directoryCapacity = 4096
	// dumpTimeout bounds the wait for the states of the duties. A duty that does
	// not answer in time is reported as busy and does not delay the dump.
	dumpTimeout = 500 * time.Millisecond
)

// Directory is the duty that keeps the list of the running duties of a process.
type Directory struct {
	changes      *Ring[directoryChange]
	listRequests *Ring[chan []entry]
}

// entry is one running duty.
type entry struct {
	path  string
	dumps chan DumpRequest
	rings []AnyRing
}

// directoryChange is the start or the end of a duty.
type directoryChange struct {
	entry entry
	ended bool // false when the duty starts
}

func newDirectory() *Directory {
	return &Directory{
		changes:      NewRing[directoryChange]("directory.changes", directoryCapacity, Wait),
		listRequests: NewRing[chan []entry]("directory.lists", 16, Wait),
	}
}

func (d *Directory) run(ctx context.Context, dumps <-chan DumpRequest) error {
	running := map[string]entry{}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case c := <-d.changes.Items():
			applyChange(running, c)
		case reply := <-d.listRequests.Items():
			d.applyPendingChanges(running)
			reply <- sortedEntries(running)
		case request := <-dumps:
			request.Answer(map[string]int{"duties": len(running)})
		}
	}
}

// applyPendingChanges applies the changes that were put before a request for the
// list, so that the list includes them. The select of run picks between the two
// rings at random.
func (d *Directory) applyPendingChanges(running map[string]entry) {
	for {
		select {
		case c := <-d.changes.Items():
			applyChange(running, c)
		default:
			return
		}
	}
}

// applyChange adds or removes a duty. It ignores the end of an earlier run of a
// duty that has already been restarted.
func applyChange(running map[string]entry, c directoryChange) {
	if !c.ended {
		running[c.entry.path] = c.entry
		return
	}
	if running[c.entry.path].dumps == c.entry.dumps {
		delete(running, c.entry.path)
	}
}

func sortedEntries(running map[string]entry) []entry {
	list := make([]entry, 0, len(running))
	for _, e := range running {
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].path < list[j].path })
	return list
}

func (d *Directory) register(ctx context.Context, path string, dumps chan DumpRequest, rings []AnyRing) {
	_ = d.changes.Put(ctx, directoryChange{entry: entry{path: path, dumps: dumps, rings: rings}})
}

func (d *Directory) unregister(ctx context.Context, path string, dumps chan DumpRequest) {
	_ = d.changes.Put(ctx, directoryChange{entry: entry{path: path, dumps: dumps}, ended: true})
}

// DutyState is one duty's part of a state dump.
type DutyState struct {
	Duty  string      `json:"duty"`
	Busy  bool        `json:"busy,omitempty"` // true when the duty did not answer in time
	Rings []RingStats `json:"rings,omitempty"`
	State any         `json:"state,omitempty"`
}

// Dump collects the state of every running duty whose path is selected. All
// duties are asked at the same time.
func (d *Directory) Dump(ctx context.Context, selected func(path string) bool) ([]DutyState, error) {
	entries, err := d.list(ctx)
	if err != nil {
		return nil, err
	}
	type pending struct {
		state DutyState
		reply chan any
	}
	var asked []pending
	for _, e := range entries {
		if !selected(e.path) {
			continue
		}
		p := pending{state: DutyState{Duty: e.path, Rings: ringStats(e.rings)}, reply: make(chan any, 1)}
		select {
		case e.dumps <- DumpRequest{reply: p.reply}:
		default: // an earlier request is still pending: the duty is busy
		}
		asked = append(asked, p)
	}
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	states := make([]DutyState, 0, len(asked))
	for _, p := range asked {
		select {
		case p.state.State = <-p.reply:
		case <-ctx.Done():
			p.state.Busy = true
		}
		states = append(states, p.state)
	}
	return states, nil
}

// RingStats returns the counters of the input rings of every running duty.
func (d *Directory) RingStats(ctx context.Context) ([]DutyState, error) {
	entries, err := d.list(ctx)
	if err != nil {
		return nil, err
	}
	states := make([]DutyState, 0, len(entries))
	for _, e := range entries {
		states = append(states, DutyState{Duty: e.path, Rings: ringStats(e.rings)})
	}
	return states, nil
}

func (d *Directory) list(ctx context.Context) ([]entry, error) {
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	reply := make(chan []entry, 1)
	if err := d.listRequests.Put(ctx, reply); err != nil {
		return nil, err
	}
	select {
	case list := <-reply:
		return list, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func ringStats(rings []AnyRing) []RingStats {
	stats := make([]RingStats, 0, len(rings))
	for _, r := range rings {
		stats = append(stats, r.Stats())
	}
	return stats
}
