package cell

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/decision/triage"
)

// retryTime returns when the caller of a rejected job should come again, and records
// what it is told. After a rejection for overload that is when the work that does not
// fit before the job is done.
func (c *Cell) retryTime(j *job.Job, reason string) time.Duration {
	base := c.retryAfter()
	if reason == overloadReason {
		base = max(shortRetry, c.admission.rejected.Excess())
	}
	after := triage.RetryAfter(j.ID, base, c.admission.promises.Len())
	c.admission.promises.Add(c.now.Steady, j.ID, after)
	return after
}

// keepPromise takes over the promise to the caller of an accepted job: among similar
// jobs it comes before those that were submitted after its first submission.
func (c *Cell) keepPromise(j *jobState) {
	if promise, kept := c.admission.promises.Get(c.now.Steady, j.job.ID); kept {
		j.firstAt = promise.FirstAt
	}
	c.admission.promises.Remove(j.job.ID)
}
