package batch

import (
	"context"
	"time"

	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/decision/task"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/supervise"
)

const (
	// confirmWithin is how long a submission or cancellation may take to be
	// read back before its sender is told that it is not confirmed.
	confirmWithin = 5 * time.Second
	// maxListed bounds one list of jobs.
	maxListed = 1000
)

// waiter is a command whose record has to be read back.
type waiter struct {
	reply *supervise.Ring[message.JobReply]
	// job is what was submitted; nil for a cancellation.
	job   *task.Job
	until time.Time
}

func (l *ledger) takeCommand(now time.Time, command message.JobCommand) {
	switch c := command.(type) {
	case message.SubmitJob:
		l.submit(now, c)
	case message.CancelJob:
		l.cancel(now, c)
	case message.JobStatus:
		view, ok := l.planner.Fold().View(c.ID)
		l.answerView(c.Reply, view, ok)
	case message.ListJobs:
		out := message.JobListReply{Outcome: message.JobNotReady}
		if l.planner.Ready() {
			out.Outcome = message.JobAccepted
			out.Jobs = l.planner.Fold().List(c.Team, c.After, min(c.Limit, maxListed))
		}
		_ = c.Reply.Put(context.Background(), out)
	}
}

func (l *ledger) answerView(reply *supervise.Ring[message.JobReply], view task.JobView, ok bool) {
	switch {
	case !l.planner.Ready():
		answer(reply, message.JobNotReady, task.JobView{})
	case !ok:
		answer(reply, message.JobNotFound, task.JobView{})
	default:
		answer(reply, message.JobAccepted, view)
	}
}

func (l *ledger) submit(now time.Time, c message.SubmitJob) {
	t, known := l.teams[c.Job.Team]
	c.Job.TeamLimit = t.MaxJobs
	view, exists := l.planner.Fold().View(c.Job.ID)
	l.complete(&c.Job, view, exists)
	switch {
	case !l.planner.Ready() || l.teams == nil:
		answer(c.Reply, message.JobNotReady, task.JobView{})
	case exists:
		answer(c.Reply, repeatOutcome(view, c.Job), view)
	case !known:
		answer(c.Reply, message.JobUnknownTeam, task.JobView{})
	case c.Job.Resources == fleet.Resources{}:
		answer(c.Reply, message.JobUnknownKind, task.JobView{})
	default:
		job := c.Job
		l.waiting[job.ID] = append(l.waiting[job.ID], waiter{reply: c.Reply, job: &job, until: now.Add(confirmWithin)})
		l.planner.Submit(now, job)
	}
}

// complete takes resources that the job doesn't name, and its run time, from its
// kind. A repeat of a submission takes them from the job that it made, since
// the kind may have changed.
func (l *ledger) complete(job *task.Job, made task.JobView, exists bool) {
	if job.Resources != (fleet.Resources{}) {
		return
	}
	kind := l.kinds[job.Kind]
	if exists {
		kind = configuration.BatchKind{Resources: made.Job.Resources, ExpectedRunTime: made.Job.RunTime}
	}
	job.Resources = kind.Resources
	if job.RunTime == 0 {
		job.RunTime = kind.ExpectedRunTime
	}
}

func repeatOutcome(view task.JobView, job task.Job) message.JobOutcome {
	if task.SameSubmission(view.Job, job) {
		return message.JobRepeated
	}
	return message.JobConflict
}

func (l *ledger) cancel(now time.Time, c message.CancelJob) {
	view, ok := l.planner.Fold().View(c.ID)
	if !ok || !l.planner.Ready() || view.State == task.CancelledState || view.State == task.Finished {
		l.answerView(c.Reply, view, ok)
		return
	}
	l.waiting[c.ID] = append(l.waiting[c.ID], waiter{reply: c.Reply, until: now.Add(confirmWithin)})
	l.planner.Cancel(now, c.ID, "cancelled by a caller")
}

// answerRead answers those who wait for a record that was read back.
func (l *ledger) answerRead(r task.Record, verdict task.Verdict) {
	id := r.Task.Job
	switch r.Kind {
	case task.JobSubmitted:
		id = r.Job.ID
	case task.Cancelled:
	default:
		return
	}
	kept := l.waiting[id][:0]
	for _, w := range l.waiting[id] {
		if (w.job != nil) != (r.Kind == task.JobSubmitted) || verdict == task.NotApplicable || verdict == task.AlreadyApplied {
			kept = append(kept, w)
			continue
		}
		view, _ := l.planner.Fold().View(id)
		answer(w.reply, outcomeOfRead(w, view, verdict), view)
	}
	l.keepWaiting(id, kept)
}

// outcomeOfRead compares what was submitted with what was accepted: two
// submitters may have chosen one identifier at the same time.
func outcomeOfRead(w waiter, view task.JobView, verdict task.Verdict) message.JobOutcome {
	switch {
	case w.job == nil:
		return message.JobAccepted
	case verdict == task.TeamLimit:
		return message.JobOverLimit
	case !task.SameSubmission(view.Job, *w.job):
		return message.JobConflict
	case verdict == task.Accepted:
		return message.JobAccepted
	default:
		return message.JobRepeated
	}
}

// expire tells those who waited too long that nothing is confirmed.
func (l *ledger) expire(now time.Time) {
	for id, list := range l.waiting {
		kept := list[:0]
		for _, w := range list {
			if now.Before(w.until) {
				kept = append(kept, w)
				continue
			}
			answer(w.reply, message.JobUnconfirmed, task.JobView{})
			l.planner.Abandon(id)
		}
		l.keepWaiting(id, kept)
	}
}

func (l *ledger) keepWaiting(id fleet.JobID, kept []waiter) {
	if len(kept) == 0 {
		delete(l.waiting, id)
		return
	}
	l.waiting[id] = kept
}

// answerAll answers who still waits when the duty ends.
func (l *ledger) answerAll() {
	for _, list := range l.waiting {
		for _, w := range list {
			answer(w.reply, message.JobUnconfirmed, task.JobView{})
		}
	}
}

func answer(reply *supervise.Ring[message.JobReply], o message.JobOutcome, view task.JobView) {
	_ = reply.Put(context.Background(), message.JobReply{Outcome: o, View: view})
}
