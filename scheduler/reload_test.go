package scheduler

import (
	"slices"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/scheduler/settings"
)

// Guards against a reload that does not report a changed section, so that an
// operator assumes that a new setting is in force.
func TestChangedSections(t *testing.T) {
	before := settings.Settings{Bounds: settings.Bounds{LeaseMax: time.Second}}
	after := before
	if got := changedSections(before, after); len(got) != 0 {
		t.Errorf("got changed sections %v for equal settings, want none", got)
	}
	after.Bounds.LeaseMax, after.Process.LogLevel = time.Minute, "debug"
	if got := changedSections(before, after); !slices.Equal(got, []string{"Bounds", "Process"}) {
		t.Errorf("got changed sections %v, want [Bounds Process]", got)
	}
}
