package supervise

import (
	"context"
	"sort"
	"time"
)

const (
	// directoryCapacity covers the start of every duty of an instance at once.
	directoryCapacity = 4096
	// dumpTimeout bounds the wait for one duty's state; a busy duty is
	// reported as such instead of delaying the whole dump.
	dumpTimeout = 500 * time.Millisecond
)

// Directory is the duty that knows the running duties of a process.
type Directory struct {
	changes *Ring[directoryChange]
	lists   *Ring[chan []entry]
}

type entry struct {
	path  string
	dumps chan DumpRequest
	rings []AnyRing
}

type directoryChange struct {
	entry entry
	gone  bool
}

func newDirectory() *Directory {
	return &Directory{
		changes: NewRing[directoryChange]("directory.changes", directoryCapacity, Wait),
		lists:   NewRing[chan []entry]("directory.lists", 16, Wait),
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
		case reply := <-d.lists.Items():
			d.applyWaiting(running)
			reply <- sortedEntries(running)
		case request := <-dumps:
			request.Answer(map[string]int{"duties": len(running)})
		}
	}
}

// applyWaiting brings a list up to date with the changes that were put before
// it; select would otherwise pick between the two rings at random.
func (d *Directory) applyWaiting(running map[string]entry) {
	for {
		select {
		case c := <-d.changes.Items():
			applyChange(running, c)
		default:
			return
		}
	}
}

// applyChange ignores the end of an earlier run of a duty that runs again.
func applyChange(running map[string]entry, c directoryChange) {
	if !c.gone {
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
	_ = d.changes.Put(ctx, directoryChange{entry: entry{path: path, dumps: dumps}, gone: true})
}

// DutyState is one duty's part of a state dump.
type DutyState struct {
	Duty  string      `json:"duty"`
	Busy  bool        `json:"busy,omitempty"` // it did not answer in time
	Rings []RingStats `json:"rings,omitempty"`
	State any         `json:"state,omitempty"`
}

// Dump collects the state of every running duty whose path contains part; an
// empty part selects all. The duties are asked at the same time.
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
		default: // an earlier request still waits: the duty is busy
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
	if err := d.lists.Put(ctx, reply); err != nil {
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
