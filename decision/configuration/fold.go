package configuration

import "lacewingfork.example/lacewingfork/fleet"

// maxPending bounds the publications held back while entries are missing. At the
// bound all of them are dropped, so that a newer snapshot is needed.
const maxPending = 4096

// Fold is the state of the stream as far as an instance has read it. It is a
// value; methods return the changed fold. If retention dropped entries that
// the instance had not read, publications are held back until a snapshot covers
// the gap; the version in force stays.
type Fold struct {
	State State
	// Missing is set while entries before MissingUntil have not been applied.
	Missing      bool
	MissingUntil fleet.Offset
	// SinceSnapshot counts the publications applied since the newest snapshot.
	SinceSnapshot int
	pending       *heldPublication
}

// heldPublication is a publication that is held back, in a list from the newest
// to the oldest. Folds with a common predecessor share the earlier items.
type heldPublication struct {
	publication Publication
	at          Position
	earlier     *heldPublication
	count       int // items in the list from this one
}

func (h *heldPublication) len() int {
	if h == nil {
		return 0
	}
	return h.count
}

// NewFold returns the fold before the first entry.
func NewFold() Fold { return Fold{State: Empty()} }

// Pending counts the publications held back.
func (f Fold) Pending() int { return f.pending.len() }

// MarkTruncated records that the log no longer has the entries before offset
// first.
func (f Fold) MarkTruncated(first fleet.Offset) Fold {
	if f.State.Through.Offset >= first-1 || f.Missing && f.MissingUntil >= first {
		return f
	}
	f.Missing, f.MissingUntil, f.pending = true, first, nil
	return f
}

// Publish applies a publication. The result is nil if the entry was applied
// before or is held back.
func (f Fold) Publish(p Publication, at Position) (Fold, *Result) {
	if !at.After(f.State.Through) {
		return f, nil
	}
	if f.Missing {
		return f.hold(p, at), nil
	}
	state, result := f.State.apply(p, at)
	f.State = state
	f.SinceSnapshot++
	return f, &result
}

// hold adds a publication to those held back.
func (f Fold) hold(p Publication, at Position) Fold {
	if f.pending.len() == maxPending {
		f.MissingUntil, f.pending = f.pending.at.Offset+1, nil
	}
	f.pending = &heldPublication{publication: p, at: at, earlier: f.pending, count: f.pending.len() + 1}
	return f
}

// Skip passes over an entry that is neither publication nor snapshot.
func (f Fold) Skip(at Position) Fold {
	if !f.Missing && at.After(f.State.Through) {
		f.State.Through = at
	}
	return f
}

// Snapshot applies the snapshot at a position of the log.
func (f Fold) Snapshot(s State, at Position) Fold {
	f = f.Adopt(s)
	f.SinceSnapshot = 0
	return f.Skip(at)
}

// Adopt replaces the state with that of another instance, from a snapshot in the
// log or from a peer. A state that is not newer has no effect, so the version in
// force never decreases.
func (f Fold) Adopt(s State) Fold {
	if !s.Through.After(f.State.Through) || s.Version < f.State.Version {
		return f
	}
	f.State = s
	if f.Missing && s.Through.Offset >= f.MissingUntil-1 {
		f = f.replay()
	}
	return f
}

// replay applies the held-back publications, oldest first.
func (f Fold) replay() Fold {
	list := make([]*heldPublication, f.pending.len())
	for h := f.pending; h != nil; h = h.earlier {
		list[h.count-1] = h
	}
	f.Missing, f.MissingUntil, f.pending = false, 0, nil
	for _, h := range list {
		f, _ = f.Publish(h.publication, h.at)
	}
	return f
}
