package message

import (
	"testing"
	"time"
)

// Guards against a filter that skips a changed list, and against one that never
// lets an unchanged list be processed again.
func TestListFilter(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var f ListFilter
	for i, c := range []struct {
		after   time.Duration
		version uint64
		due     bool
	}{
		{0, 7, true},
		{time.Second, 7, false},
		{2 * time.Second, 8, true},
		{3 * time.Second, 8, false},
		{2*time.Second + unchangedListInterval, 8, true},
		{3*time.Second + unchangedListInterval, 7, true}, // the watcher was restarted
		{4*time.Second + unchangedListInterval, 0, true},
		{4*time.Second + unchangedListInterval, 0, true}, // the version is not known
	} {
		if due := f.Due(start.Add(c.after), ListSnapshot{Version: c.version}); due != c.due {
			t.Errorf("step %d: due = %v, want %v", i, due, c.due)
		}
	}
}
