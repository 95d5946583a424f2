package message

import "time"

// listRepeat is how often a duty goes through a list that didn't change, for
// what depends on time or on state that the duty has lost.
const listRepeat = 5 * time.Second

// ListFilter tells a duty whether it has to go through a snapshot again: most
// snapshots repeat the list before, and at the target size a list has 5,400
// rows.
type ListFilter struct {
	version uint64
	seenAt  time.Time
}

// Due reports whether the list changed or was last gone through 5 s ago.
func (f *ListFilter) Due(now time.Time, s ListSnapshot) bool {
	if s.Version != 0 && s.Version == f.version && now.Sub(f.seenAt) < listRepeat {
		return false
	}
	f.version, f.seenAt = s.Version, now
	return true
}
