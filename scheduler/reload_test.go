package scheduler

import (
	"slices"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/scheduler/settings"
)

// Guards against a reload that hides what has changed, so that an operator takes a
// setting for being in force.
func TestChangedSections(t *testing.T) {
	before := settings.Settings{Bounds: settings.Bounds{LeaseMax: time.Second}}
	after := before
	if got := changedSections(before, after); len(got) != 0 {
		t.Errorf("equal settings differ in %v", got)
	}
	after.Bounds.LeaseMax, after.Process.LogLevel = time.Minute, "debug"
	if got := changedSections(before, after); !slices.Equal(got, []string{"Bounds", "Process"}) {
		t.Errorf("changed sections are %v", got)
	}
}
