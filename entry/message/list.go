package message

import "time"

// unchangedListInterval is how often a duty processes an unchanged list again,
// for checks that depend on time or on state lost in a restart.
const unchangedListInterval = 5 * time.Second

// ListFilter reports whether a duty has to process a snapshot. Most snapshots
// repeat the previous list, which has 5,400 rows at the target size.
type ListFilter struct {
	version     uint64
	processedAt time.Time
}

// Due reports whether the list has changed, its version is not known, or it was
// last processed at least unchangedListInterval ago. If so, it records now as
// the time of processing.
func (f *ListFilter) Due(now time.Time, s ListSnapshot) bool {
	if s.Version != 0 && s.Version == f.version && now.Sub(f.processedAt) < unchangedListInterval {
		return false
	}
	f.version, f.processedAt = s.Version, now
	return true
}
