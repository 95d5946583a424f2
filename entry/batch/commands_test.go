package batch

import (
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/decision/task"
	"lacewingfork.example/lacewingfork/fleet"
)

// Guards against a job without resources that is refused or gets none, and
// against a repeated submission that conflicts with the existing job because
// the kind has changed since.
func TestJobDefaultsComeFromKind(t *testing.T) {
	of := func(slots int) fleet.Resources { return fleet.Resources{Slots: slots, MilliCPU: 1000} }
	l := &ledger{kinds: map[string]configuration.BatchKind{"seam-watch": {Resources: of(2), ExpectedRunTime: time.Hour}}}
	existing := task.JobView{Job: task.Job{Resources: of(1), RunTime: time.Minute}}
	for name, c := range map[string]struct {
		job    task.Job
		exists bool
		want   task.Job
	}{
		"named":         {job: task.Job{Kind: "seam-watch", Resources: of(3)}, want: task.Job{Kind: "seam-watch", Resources: of(3)}},
		"of the kind":   {job: task.Job{Kind: "seam-watch"}, want: task.Job{Kind: "seam-watch", Resources: of(2), RunTime: time.Hour}},
		"own run time":  {job: task.Job{Kind: "seam-watch", RunTime: 1}, want: task.Job{Kind: "seam-watch", Resources: of(2), RunTime: 1}},
		"repeated":      {job: task.Job{Kind: "seam-watch"}, exists: true, want: task.Job{Kind: "seam-watch", Resources: of(1), RunTime: time.Minute}},
		"no such kind":  {job: task.Job{Kind: "other"}, want: task.Job{Kind: "other"}},
		"kind is unset": {job: task.Job{}, want: task.Job{}},
	} {
		l.applyKindDefaults(&c.job, existing, c.exists)
		if c.job != c.want {
			t.Errorf("%s: got job %+v, want %+v", name, c.job, c.want)
		}
	}
}
