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
	// confirmTimeout is how long the ledger waits to read the record of a
	// submission or cancellation back before it answers "unconfirmed".
	confirmTimeout = 5 * time.Second
	// maxListedJobs bounds the jobs in one reply.
	maxListedJobs = 1000
)

// pendingCommand is a submission or cancellation whose record has not been read
// back from the log yet.
type pendingCommand struct {
	reply *supervise.Ring[message.JobReply]
	// job is the submitted job; nil for a cancellation.
	job   *task.Job
	until time.Time
}

func (l *ledger) handleCommand(now time.Time, command message.JobCommand) {
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
			out.Jobs = l.planner.Fold().List(c.Team, c.After, min(c.Limit, maxListedJobs))
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
	l.applyKindDefaults(&c.Job, view, exists)
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
		l.pending[job.ID] = append(l.pending[job.ID], pendingCommand{reply: c.Reply, job: &job, until: now.Add(confirmTimeout)})
		l.planner.Submit(now, job)
	}
}

// applyKindDefaults fills in the resources and run time of a job that names no
// resources from its kind. A repeated submission takes them from the existing
// job, because the kind may have changed since.
func (l *ledger) applyKindDefaults(job *task.Job, existing task.JobView, exists bool) {
	if job.Resources != (fleet.Resources{}) {
		return
	}
	kind := l.kinds[job.Kind]
	if exists {
		kind = configuration.BatchKind{Resources: existing.Job.Resources, ExpectedRunTime: existing.Job.RunTime}
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
	l.pending[c.ID] = append(l.pending[c.ID], pendingCommand{reply: c.Reply, until: now.Add(confirmTimeout)})
	l.planner.Cancel(now, c.ID, "cancelled by a caller")
}

// answerConfirmed answers the pending commands that a record read back from the
// log decides.
func (l *ledger) answerConfirmed(r task.Record, verdict task.Verdict) {
	id := r.Task.Job
	switch r.Kind {
	case task.JobSubmitted:
		id = r.Job.ID
	case task.Cancelled:
	default:
		return
	}
	kept := l.pending[id][:0]
	for _, p := range l.pending[id] {
		if (p.job != nil) != (r.Kind == task.JobSubmitted) || verdict == task.NotApplicable || verdict == task.AlreadyApplied {
			kept = append(kept, p)
			continue
		}
		view, _ := l.planner.Fold().View(id)
		answer(p.reply, confirmedOutcome(p, view, verdict), view)
	}
	l.setPending(id, kept)
}

// confirmedOutcome returns the outcome of a command whose record was read back. It
// compares the submitted job with the accepted one, because two clients may have
// chosen the same identifier at the same time.
func confirmedOutcome(p pendingCommand, view task.JobView, verdict task.Verdict) message.JobOutcome {
	switch {
	case p.job == nil:
		return message.JobAccepted
	case verdict == task.TeamLimit:
		return message.JobOverLimit
	case !task.SameSubmission(view.Job, *p.job):
		return message.JobConflict
	case verdict == task.Accepted:
		return message.JobAccepted
	default:
		return message.JobRepeated
	}
}

// expirePending answers JobUnconfirmed to commands that were not confirmed within
// confirmTimeout.
func (l *ledger) expirePending(now time.Time) {
	for id, list := range l.pending {
		kept := list[:0]
		for _, p := range list {
			if now.Before(p.until) {
				kept = append(kept, p)
				continue
			}
			answer(p.reply, message.JobUnconfirmed, task.JobView{})
			l.planner.Abandon(id)
		}
		l.setPending(id, kept)
	}
}

func (l *ledger) setPending(id fleet.JobID, kept []pendingCommand) {
	if len(kept) == 0 {
		delete(l.pending, id)
		return
	}
	l.pending[id] = kept
}

// answerPending answers the commands that are still pending when the duty ends.
func (l *ledger) answerPending() {
	for _, list := range l.pending {
		for _, p := range list {
			answer(p.reply, message.JobUnconfirmed, task.JobView{})
		}
	}
}

func answer(reply *supervise.Ring[message.JobReply], o message.JobOutcome, view task.JobView) {
	_ = reply.Put(context.Background(), message.JobReply{Outcome: o, View: view})
}
