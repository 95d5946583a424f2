package message

import (
	"testing"
	"time"
)

// Guards against a changed list that a duty passes over, and against an
// unchanged one that it never goes through again.
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
		{2*time.Second + listRepeat, 8, true},
		{3*time.Second + listRepeat, 7, true}, // a watcher that was restarted
		{4*time.Second + listRepeat, 0, true},
		{4*time.Second + listRepeat, 0, true}, // a version that isn't known
	} {
		if due := f.Due(start.Add(c.after), ListSnapshot{Version: c.version}); due != c.due {
			t.Errorf("step %d: due = %v", i, due)
		}
	}
}
