package partition

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/admission"
	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/decision/placement"
	"lacewingfork.example/lacewingfork/fleet"
)

// retryAfterDecline is the RetryAfter of a declined task. Resources for tasks
// become free only when other tasks end, so an earlier offer would be
// declined too.
const retryAfterDecline = time.Second

// OfferTask requests resources for a batch task. The result is one PlaceTask,
// which reserves the resources until TaskEnded, or one DeclineTask with the
// reason. Offering a task that is already placed repeats the PlaceTask.
func (s *State) OfferTask(now time.Time, offer TaskOffer, out []Action) []Action {
	out = s.dispatch(now, out)
	if i := s.servers.FindTask(offer.Task, 0); i != placement.NoServer {
		return append(out, Action{Kind: PlaceTask, Task: offer.Task, Server: s.servers.ID(i)})
	}
	team := s.queue.Team(offer.Team)
	// Waiting long work doesn't count: it is limited by its share, not by tasks.
	if s.queue.Backlog(admission.Short) > 0 {
		return s.decline(now, offer.Task, outcome.NoCapacity, nil, out)
	}
	if !s.queue.BelowShare(team) && s.queue.Len() > 0 {
		return s.decline(now, offer.Task, outcome.Quota, nil, out)
	}
	i := s.servers.ChooseTask(now, offer.Resources, offer.Avoid, breakerLimiter{s}, &s.candidates)
	if i == placement.NoServer {
		return s.decline(now, offer.Task, outcome.NoCapacity, &s.candidates, out)
	}
	s.addTask(i, placement.Task{
		ID: offer.Task, Kind: offer.Kind, Team: int32(team), Resources: offer.Resources, PlacedAt: now,
	})
	id := s.servers.ID(i)
	s.recordDecision(Decision{At: now, Subject: string(offer.Task), Verdict: VerdictPlaceTask, Server: id}, &s.candidates)
	return append(out, Action{Kind: PlaceTask, Task: offer.Task, Server: id})
}

func (s *State) decline(now time.Time, task fleet.TaskID, reason outcome.Reason, e *placement.Explanation, out []Action) []Action {
	s.recordDecision(Decision{At: now, Subject: string(task), Verdict: VerdictDecline, Reason: reason}, e)
	return append(out, Action{Kind: DeclineTask, Task: task, Reason: reason, RetryAfter: retryAfterDecline})
}

// TaskEnded frees the resources of a task that ended, failed, was evicted or
// never started. Unknown tasks are ignored.
func (s *State) TaskEnded(now time.Time, task fleet.TaskID, out []Action) []Action {
	s.ended.add(task, now)
	for i := s.servers.FindTask(task, 0); i != placement.NoServer; i = s.servers.FindTask(task, i+1) {
		if ended, ok := s.servers.RemoveTask(i, task); ok {
			s.releaseTask(i, ended)
		}
	}
	return s.dispatch(now, out)
}

// Adopt reserves resources on a backend server for a task that a former holder
// started and no report has shown yet. They are reserved even if they exceed
// the capacity of the server.
func (s *State) Adopt(now time.Time, server fleet.BackendServerID, task RunningTask, out []Action) []Action {
	if i := s.servers.Find(server); i != placement.NoServer && s.servers.FindTask(task.Task, i) != i {
		s.addTask(i, placement.Task{
			ID: task.Task, Kind: task.Kind, Resources: task.Resources, Progress: task.Progress, PlacedAt: now,
		})
	}
	return out
}

func (s *State) addTask(i placement.Index, task placement.Task) {
	s.servers.AddTask(i, task)
	s.interference.updateLoads(s.servers, i)
	s.queue.AddRunning(admission.TeamIndex(task.Team), task.Resources.Slots)
}

// releaseTask updates the loads and the quota after a task was removed from a
// server.
func (s *State) releaseTask(i placement.Index, task placement.Task) {
	s.interference.updateLoads(s.servers, i)
	s.queue.AddRunning(admission.TeamIndex(task.Team), -task.Resources.Slots)
}

// Report applies a usage report. Reports that were not sampled after the newest
// one of the same server are ignored.
func (s *State) Report(now time.Time, u Usage, out []Action) []Action {
	i := s.servers.Find(u.Server)
	if i == placement.NoServer || !u.SampledAt.After(s.sampledAt[i]) {
		return out
	}
	before := s.sampledAt[i]
	s.sampledAt[i] = u.SampledAt
	s.servers.Report(i, u.SampledAt, u.RequestSlots)
	s.reportTasks(now, i, u)
	s.observeSlowdown(i, before, u)
	out = s.mitigate(now, i, out)
	return s.dispatch(now, out)
}

// reportTasks reserves the resources of reported tasks that were unknown and
// frees those of tasks that are no longer reported.
func (s *State) reportTasks(now time.Time, i placement.Index, u Usage) {
	for _, reported := range u.Tasks {
		if s.ended.endedSince(reported.Task, u.SampledAt) {
			continue
		}
		task := placement.Task{
			ID: reported.Task, Kind: reported.Kind, Resources: reported.Resources, Progress: reported.Progress, PlacedAt: u.SampledAt,
		}
		if s.servers.ReportTask(i, task) {
			s.queue.AddRunning(admission.TeamIndex(task.Team), task.Resources.Slots)
			s.recordDecision(Decision{At: now, Subject: string(task.ID), Verdict: VerdictAdopt, Server: u.Server}, nil)
		}
	}
	if len(s.servers.Tasks(i)) == 0 {
		return
	}
	isReported := func(id fleet.TaskID) bool {
		for k := range u.Tasks {
			if u.Tasks[k].Task == id {
				return true
			}
		}
		return false
	}
	s.servers.RemoveEndedTasks(i, u.SampledAt, isReported, func(task placement.Task) { s.releaseTask(i, task) })
}

// endedLength is the number of ended tasks kept. Reports lag by 5 s and a rack
// has fewer than 100 slots, so this suffices for tasks of half a second.
const endedLength = 1024

// endedTasks is a ring buffer of the tasks that ended last, so that a report
// sampled before the end of a task doesn't reserve its resources again.
type endedTasks struct {
	tasks []endedTask
	next  int
}

type endedTask struct {
	id fleet.TaskID
	at time.Time
}

func (e *endedTasks) add(id fleet.TaskID, at time.Time) {
	if len(e.tasks) < endedLength {
		e.tasks = append(e.tasks, endedTask{id, at})
		return
	}
	e.tasks[e.next] = endedTask{id, at}
	e.next = (e.next + 1) % endedLength
}

// endedSince reports whether a task ended at or after a time.
func (e *endedTasks) endedSince(id fleet.TaskID, at time.Time) bool {
	for i := range e.tasks {
		if e.tasks[i].id == id && !e.tasks[i].at.Before(at) {
			return true
		}
	}
	return false
}
