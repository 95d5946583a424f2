package partition

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/admission"
	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/decision/placement"
	"lacewingfork.example/lacewingfork/fleet"
)

// retryAfterDecline is when a declined task is worth another offer: room for
// tasks changes with the ends of other tasks, not from moment to moment.
const retryAfterDecline = time.Second

// OfferTask asks for room for a batch task. The answer is one PlaceTask, which
// reserves the room until TaskEnded, or one DeclineTask with the reason.
// Offering a task that already has room repeats the PlaceTask.
func (s *State) OfferTask(now time.Time, offer TaskOffer, out []Action) []Action {
	out = s.dispatch(now, out)
	if i := s.servers.FindTask(offer.Task, 0); i != placement.NoServer {
		return append(out, Action{Kind: PlaceTask, Task: offer.Task, Server: s.servers.ID(i)})
	}
	team := s.queue.Team(offer.Team)
	// Waiting long work doesn't count: its own share holds it back, not tasks.
	if s.queue.Backlog(admission.Short) > 0 {
		return s.decline(now, offer.Task, outcome.NoCapacity, nil, out)
	}
	if !s.queue.BelowShare(team) && s.queue.Len() > 0 {
		return s.decline(now, offer.Task, outcome.Quota, nil, out)
	}
	i := s.servers.ChooseTask(now, offer.Resources, offer.Avoid, breakerGate{s}, &s.candidates)
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

func (s *State) decline(now time.Time, task fleet.TaskID, reason outcome.Reason, w *placement.Weighed, out []Action) []Action {
	s.recordDecision(Decision{At: now, Subject: string(task), Verdict: VerdictDecline, Reason: reason}, w)
	return append(out, Action{Kind: DeclineTask, Task: task, Reason: reason, RetryAfter: retryAfterDecline})
}

// TaskEnded frees the room of a task, whether it ended, failed, was evicted or
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

// Adopt takes room on a backend server for a task that a former holder
// started, before any report shows it. It is taken even where the server then
// holds more than it should.
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
	s.queue.Hold(admission.TeamIndex(task.Team), task.Resources.Slots)
}

// releaseTask takes that a task no longer has room on a server.
func (s *State) releaseTask(i placement.Index, task placement.Task) {
	s.interference.updateLoads(s.servers, i)
	s.queue.Hold(admission.TeamIndex(task.Team), -task.Resources.Slots)
}

// Report takes a usage report. Reports that were sampled before the newest one
// of the same server are ignored.
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

// reportTasks takes room for tasks that weren't known and frees that of tasks
// that stopped.
func (s *State) reportTasks(now time.Time, i placement.Index, u Usage) {
	for _, shown := range u.Tasks {
		if s.ended.endedSince(shown.Task, u.SampledAt) {
			continue
		}
		task := placement.Task{
			ID: shown.Task, Kind: shown.Kind, Resources: shown.Resources, Progress: shown.Progress, PlacedAt: u.SampledAt,
		}
		if s.servers.ReportTask(i, task) {
			s.queue.Hold(admission.TeamIndex(task.Team), task.Resources.Slots)
			s.recordDecision(Decision{At: now, Subject: string(task.ID), Verdict: VerdictAdopt, Server: u.Server}, nil)
		}
	}
	if len(s.servers.Tasks(i)) == 0 {
		return
	}
	isShown := func(id fleet.TaskID) bool {
		for k := range u.Tasks {
			if u.Tasks[k].Task == id {
				return true
			}
		}
		return false
	}
	s.servers.ForgetTasks(i, u.SampledAt, isShown, func(task placement.Task) { s.releaseTask(i, task) })
}

// endedLength bounds the ended tasks that are remembered. Reports lag by 5 s
// and a rack has fewer than 100 slots, so it covers tasks of half a second.
const endedLength = 1024

// endedTasks remembers when tasks ended, so that a report sampled before that
// doesn't take their room again.
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
