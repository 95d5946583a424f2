package cell

import (
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// Guards against a wait whose cause the log does not show.
func TestLongWaitIsLoggedWithItsReason(t *testing.T) {
	needs := func(milliCPU, memoryMiB int64) job.Step {
		return job.Step{Count: 1, Need: fleet.Resources{MilliCPU: milliCPU, MemoryMiB: memoryMiB}, Estimate: time.Second}
	}
	bestEffort := job.Step{Count: 1, Need: fleet.Resources{MilliCPU: 1000, MemoryMiB: 60000}, BestEffort: true, Estimate: time.Minute}
	labelled := needs(1000, 1000)
	labelled.Label = "b"
	for _, c := range []struct {
		name    string
		running job.Step
		waiting job.Step
		reason  string
	}{
		{"processor", needs(15000, 1000), needs(2000, 1000), "no_processor"},
		{"memory held by best-effort tasks", bestEffort, needs(2000, 8000), "no_memory"},
		{"label", needs(1000, 1000), labelled, "wrong_label"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.setUpServers(testServer("a"))
			f.submit("00000000000000b1", c.running)
			f.acceptStart(takeActions[Start](f)[0])
			f.submit("00000000000000b2", c.waiting)
			f.advance(firstWaitReport / 2)
			if early := taskWaits(f); len(early) != 0 {
				t.Fatalf("got %v after %v, want no line yet", early, firstWaitReport/2)
			}
			f.advance(8 * firstWaitReport)
			lines := taskWaits(f)
			if len(lines) == 0 || lines[0].Detail["reason"] != c.reason || lines[0].Detail["workers_"+c.reason] != 1 {
				t.Fatalf("got lines %+v, want the first with reason %q for one worker", lines, c.reason)
			}
			used := map[string]any{"other_milli_cpu": c.running.Need.MilliCPU, "best_effort_mib": int64(0)}
			if c.running.BestEffort {
				used = map[string]any{"other_milli_cpu": int64(0), "best_effort_mib": c.running.Need.MemoryMiB}
			}
			for key, want := range used {
				if got := lines[0].Detail[key]; got != want {
					t.Errorf("got %s %v, want %v", key, got, want)
				}
			}
			if len(lines) > 4 {
				t.Errorf("got %d lines in %v, want at most 4", len(lines), 8*firstWaitReport)
			}
		})
	}
}

// taskWaits removes the collected notes and returns those on waiting tasks.
func taskWaits(f *fixture) []Note {
	var found []Note
	for _, n := range takeActions[Note](f) {
		if n.Event == NoteTaskWaits {
			found = append(found, n)
		}
	}
	return found
}

// Guards against a holder that spends processor time on reports while it is behind.
func TestHolderThatIsBehindReportsNoWaits(t *testing.T) {
	f := newFixture(t, 1)
	f.setUpServers(testServer("a"))
	step := oneTaskStep()
	step.Need.MilliCPU = 99000
	f.submit(testJob, step)
	f.handle(HolderLoad{Behind: true})
	f.advance(10 * time.Second)
	if lines := taskWaits(f); len(lines) != 0 {
		t.Fatalf("got %d lines on waits while the holder is behind, want none", len(lines))
	}
	f.handle(HolderLoad{})
	f.advance(time.Second)
	if lines := taskWaits(f); len(lines) == 0 {
		t.Error("got no line on a wait of 11 s after the holder has caught up, want one")
	}
}
