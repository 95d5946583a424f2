package task

import (
	"slices"
	"strings"

	"lacewingfork.example/lacewingfork/fleet"
)

// JobView is a job's state as returned to clients.
type JobView struct {
	Job    Job
	State  JobState
	Reason string
	// Waiting, Running and Done count tasks.
	Waiting int
	Running int
	Done    int
	// Failed and Evictions count the attempts that failed or were evicted.
	Failed    int
	Evictions int
}

// View returns a job's state. It returns false for a job that was never accepted
// or is no longer retained after its end.
func (f *Fold) View(id fleet.JobID) (JobView, bool) {
	j := f.jobs[id]
	if j == nil {
		return JobView{}, false
	}
	return j.view(), true
}

func (j *job) view() JobView {
	v := JobView{
		Job: j.spec, State: j.state, Reason: j.reason, Running: j.running, Done: j.done,
		Failed: j.failed, Evictions: j.evictions,
	}
	if j.state == Open {
		v.Waiting = j.spec.Tasks - j.running - j.done
	}
	return v
}

// List returns up to limit jobs of a team whose identifier is greater than after,
// sorted by identifier. An empty team selects all teams.
func (f *Fold) List(of fleet.Team, after fleet.JobID, limit int) []JobView {
	var selected []*job
	for _, j := range f.jobs {
		if (of == "" || j.spec.Team == of) && j.spec.ID > after {
			selected = append(selected, j)
		}
	}
	slices.SortFunc(selected, func(a, b *job) int {
		return strings.Compare(string(a.spec.ID), string(b.spec.ID))
	})
	views := make([]JobView, 0, min(limit, len(selected)))
	for _, j := range selected[:min(limit, len(selected))] {
		views = append(views, j.view())
	}
	return views
}

// Counts are totals for metrics and the state dump.
type Counts struct {
	Jobs       int `json:"jobs"`
	EndedJobs  int `json:"ended_jobs"`
	Tasks      int `json:"tasks"`
	Waiting    int `json:"waiting"` // of open jobs
	Running    int `json:"running"`
	Succeeded  int `json:"succeeded"` // of open jobs
	Partitions int `json:"partitions"`
}

// Counts returns totals. Its cost is linear in the number of jobs.
func (f *Fold) Counts() Counts {
	c := Counts{Jobs: len(f.jobs), EndedJobs: len(f.ended), Partitions: len(f.epochs)}
	for _, j := range f.jobs {
		c.Tasks += len(j.tasks)
		c.Running += j.running
		if j.state == Open {
			c.Waiting += j.spec.Tasks - j.running - j.done
			c.Succeeded += j.done
		}
	}
	return c
}

// RunningAttempt is an attempt with a reservation on a backend server.
type RunningAttempt struct {
	Task      Ref
	Attempt   int
	Server    fleet.BackendServerID
	Kind      string
	Resources fleet.Resources
}

// Running returns the attempts on the backend servers of a partition that is held
// under the epoch. It returns false until all attempts that earlier holders
// started are known.
func (l *Ledger) Running(partition fleet.PartitionID, epoch fleet.Epoch) ([]RunningAttempt, bool) {
	h := l.holdings[partition]
	if h == nil || h.epoch != epoch || !h.ready {
		return nil, false
	}
	var running []RunningAttempt
	for _, s := range h.servers {
		for ref, u := range s.runs {
			j, _ := l.fold.find(ref)
			if j == nil {
				continue
			}
			running = append(running, RunningAttempt{
				Task: ref, Attempt: u.attempt, Server: s.id, Kind: j.spec.Kind, Resources: j.spec.Resources,
			})
		}
	}
	return running, true
}
