package task

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingfork.example/lacewingfork/fleet"
)

// history applies records to a Fold at increasing positions.
type history struct {
	*Fold
	next fleet.Offset
}

func (h *history) add(r Record) Verdict {
	h.next++
	return h.Apply(Position{Offset: h.next}, r)
}

func (h *history) submit(id fleet.JobID, tasks int) {
	h.add(Record{Kind: JobSubmitted, Job: &Job{ID: id, Team: "dye", Tasks: tasks, TeamLimit: 100}})
}

// attempt starts the next attempt of a task on a server and ends it.
func (h *history) attempt(id fleet.JobID, index int, server fleet.BackendServerID, end End) {
	t := h.jobs[id].tasks
	if t == nil {
		return
	}
	r := Record{Task: Ref{id, index}, Attempt: int(t[index].attempt) + 1, Partition: "a/1", Epoch: 1, Server: server}
	r.Kind = Started
	h.add(r)
	r.Kind, r.End, r.Reason = Ended, end, "exit status 1"
	h.add(r)
}

// Guards against setting aside a job because of a faulty server, against treating a
// server as faulty because of a failing job, and against a job that is retried
// without end.
func TestFailuresAreAttributedToJobOrServer(t *testing.T) {
	cases := map[string]struct {
		run    func(h *history)
		state  JobState
		reason string
	}{
		"three servers": {func(h *history) {
			for i := range 3 {
				h.attempt("j", 0, fleet.BackendServerID(fmt.Sprint("w", i)), Failed)
			}
		}, SetAsideState, "failed on 3 different backend servers (w0, w1, w2); last: exit status 1"},
		"three servers by different tasks": {func(h *history) {
			for i := range 3 {
				h.attempt("j", i, fleet.BackendServerID(fmt.Sprint("w", i)), Failed)
			}
		}, SetAsideState, "failed on 3"},
		"by different tasks of a job with a success": {func(h *history) {
			h.attempt("j", 3, "w9", Succeeded)
			for i := range 3 {
				h.attempt("j", i, fleet.BackendServerID(fmt.Sprint("w", i)), Failed)
			}
		}, Open, ""},
		"one server three times": {func(h *history) {
			for range 3 {
				h.attempt("j", 0, "w0", Failed)
			}
		}, Open, ""},
		"faulty server": {func(h *history) {
			for i := range 3 {
				h.submit(fleet.JobID(fmt.Sprint("other", i)), 1)
				h.attempt(fleet.JobID(fmt.Sprint("other", i)), 0, "w0", Failed)
			}
			for i := range 3 {
				h.attempt("j", 0, fleet.BackendServerID(fmt.Sprint("w", i)), Failed)
			}
		}, Open, ""},
		"faulty server after a success": {func(h *history) {
			for i := range 3 {
				h.submit(fleet.JobID(fmt.Sprint("other", i)), 2)
				h.attempt(fleet.JobID(fmt.Sprint("other", i)), 0, "w0", Failed)
			}
			h.attempt("other0", 1, "w0", Succeeded)
			for i := range 3 {
				h.attempt("j", 0, fleet.BackendServerID(fmt.Sprint("w", i)), Failed)
			}
		}, SetAsideState, "w0, w1, w2"},
		"too many failures on one server": {func(h *history) {
			for range maxFailures {
				h.attempt("j", 0, "w0", Failed)
			}
		}, SetAsideState, "task 0 failed or was lost 16 times"},
		"workers lost while it runs": {func(h *history) {
			for i := range maxFailures {
				h.attempt("j", 0, fleet.BackendServerID(fmt.Sprint("w", i)), Lost)
			}
		}, SetAsideState, "lost 16 times"},
		"attempts that did not start": {func(h *history) {
			for i := range 40 {
				h.attempt("j", 0, fleet.BackendServerID(fmt.Sprint("w", i)), NotStarted)
			}
		}, Open, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := &history{Fold: NewFold()}
			h.submit("j", 4)
			c.run(h)
			if v, _ := h.View("j"); v.State != c.state || !strings.Contains(v.Reason, c.reason) {
				t.Fatalf("job is %v with reason %q, want %v with a reason that contains %q", v.State, v.Reason, c.state, c.reason)
			}
		})
	}
}

// Guards against accepting records that must have no effect: repeated records,
// records of an old epoch, starts after a cancellation, and jobs above their
// team's limit. Also guards against retaining more ended jobs than the bound.
func TestRejectedRecordsChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := NewFold()
		f.maxEnded = 3
		var log []Record
		next := 0
		apply := func(r Record) Verdict {
			next++
			log = append(log, r)
			return f.Apply(Position{Offset: fleet.Offset(next)}, r)
		}
		jobs := rapid.SampledFrom([]fleet.JobID{"a", "b", "c", "d"})
		cancelled, epochs := map[fleet.JobID]bool{}, map[fleet.PartitionID]fleet.Epoch{}
		check := func(r Record, v Verdict) {
			if v != Accepted {
				return
			}
			if r.Kind == Started && cancelled[r.Task.Job] {
				t.Fatalf("a start after the cancellation of %s was accepted, want no effect", r.Task.Job)
			}
			if (r.Kind == Started || r.Kind == Ended || r.Kind == Evicted || r.Kind == Held) && r.Epoch < epochs[r.Partition] {
				t.Fatalf("a record of epoch %d after epoch %d was accepted, want no effect: %+v", r.Epoch, epochs[r.Partition], r)
			}
			if r.Epoch > epochs[r.Partition] {
				epochs[r.Partition] = r.Epoch
			}
			if r.Kind == Cancelled {
				cancelled[r.Task.Job] = true
			}
			if r.Kind == JobSubmitted {
				delete(cancelled, r.Job.ID) // the ended job was dropped before and is submitted again
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"job": func(t *rapid.T) {
				r := Record{Kind: JobSubmitted, Job: &Job{
					ID: jobs.Draw(t, "id"), Team: "dye", Tasks: rapid.IntRange(1, 2).Draw(t, "tasks"), TeamLimit: 3,
				}}
				check(r, apply(r))
			},
			"task": func(t *rapid.T) {
				r := Record{
					Kind:    rapid.SampledFrom([]Kind{Started, Started, Ended, Evicted, Held}).Draw(t, "kind"),
					Task:    Ref{jobs.Draw(t, "id"), rapid.IntRange(0, 1).Draw(t, "index")},
					Attempt: rapid.IntRange(1, 3).Draw(t, "attempt"), Epoch: fleet.Epoch(rapid.IntRange(1, 4).Draw(t, "epoch")),
					Partition: rapid.SampledFrom([]fleet.PartitionID{"a/1", "a/2"}).Draw(t, "partition"),
					Server:    "w", End: End(rapid.IntRange(1, 5).Draw(t, "end")),
				}
				check(r, apply(r))
			},
			"close": func(t *rapid.T) {
				r := Record{Kind: rapid.SampledFrom([]Kind{Cancelled, SetAside}).Draw(t, "kind"), Task: Ref{Job: jobs.Draw(t, "id")}}
				check(r, apply(r))
			},
			"repeat": func(t *rapid.T) { // of the newest record
				if len(log) == 0 {
					t.Skip("empty") // rapid draws another action and continues
				}
				before := f.Snapshot()
				if v := apply(log[len(log)-1]); v == Accepted {
					t.Fatalf("%+v was accepted twice, want once", log[len(log)-1])
				}
				after := f.Snapshot()
				before.At = after.At
				if fmt.Sprint(before) != fmt.Sprint(after) {
					t.Fatalf("a repeated record changed the state from %+v to %+v", before, after)
				}
			},
			"": func(t *rapid.T) {
				open := 0
				for _, v := range f.List("dye", "", 100) {
					if v.State == Open {
						open++
					}
				}
				if open > 3 || open != f.team("dye").open || len(f.ended) > 3 {
					t.Fatalf("%d open jobs, counted as %d, want equal and at most 3; %d ended jobs retained, want at most 3", open, f.team("dye").open, len(f.ended))
				}
			},
		})
	})
}

// Guards against batch work that never resumes after all instances were down until
// the log's retention dropped the last snapshot, and against instances whose
// states differ after the recovery.
func TestInstancesRecoverFromLostState(t *testing.T) {
	now := time.Unix(1000, 0)
	settings := DefaultSettings("entry-0", simRegion)
	a, b := NewLedger(now, settings), NewLedger(now, settings)
	a.Truncated(now)
	a.CaughtUp(now, 800)
	a.Step(now)
	now = now.Add(stateLostAfter)
	a.CaughtUp(now, 800)
	if !a.Step(now).Snapshot || a.Ready() {
		t.Fatal("no snapshot was requested, or the Ledger was ready before the snapshot was read back")
	}
	snapshot := a.Fold().Snapshot()
	a.AppendParts(now, []Part{{Snapshot: "a", Count: 1}})
	part := a.Step(now).Appends[0]
	b.Truncated(now) // starts later, from another oldest record
	for i, l := range []*Ledger{a, b} {
		l.Read(now, Position{Offset: 800}, part.ID, part.Record)
		if !l.Restore(now, snapshot) {
			t.Fatalf("instance %d did not restore the snapshot", i)
		}
		l.CaughtUp(now, 801)
		if !l.Ready() || len(l.pending) > 0 {
			t.Fatalf("instance %d has ready=%v and %d pending appends, want true and 0", i, l.Ready(), len(l.pending))
		}
	}
}

// Guards against starvation of a team, and against unused shares that other teams
// cannot use.
func TestOffersFollowTeamShares(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLedger(now, DefaultSettings("entry-0", simRegion))
	l.SetTeams(map[fleet.Team]float64{"dye": 0.75, "seam": 0.25})
	l.SetServers(now, []fleet.BackendServer{{ID: "w", Region: simRegion, DataCentre: "a", Rack: "1", Capacity: fleet.Resources{Slots: 99}}})
	l.Begin()
	next := fleet.Offset(0)
	read := func(r Record) { next++; l.Read(now, Position{Offset: next}, recordID(r), r) }
	read(Record{Kind: Held, Partition: "a/1", Epoch: 1})
	for _, j := range []Job{{ID: "many", Team: "seam", Tasks: 500}, {ID: "dye", Team: "dye", Tasks: 30}} {
		j.Resources, j.TeamLimit = fleet.Resources{Slots: 1}, 9
		read(Record{Kind: JobSubmitted, Job: &j})
	}
	l.CaughtUp(now, next+1)
	l.SetHoldings(now, []Holding{{"a/1", 1, now.Add(time.Hour)}})
	count := map[fleet.Team]int{}
	for range 3 { // answering the first 64 offers allows further ones
		a := l.Step(now)
		for _, o := range a.Offers {
			count[o.Team]++
			l.Placed(now, Release{o.Task, o.Attempt, o.Partition, o.Epoch, "w"})
			if len(count) == 2 && count["dye"]+count["seam"] == 40 && count["dye"] != 30 {
				t.Errorf("the first 40 offers are %v, want 30 of dye, whose share is 3 to 1", count)
			}
		}
		for _, x := range l.Step(now).Appends {
			read(x.Record)
		}
	}
	if count["seam"] < 64 {
		t.Errorf("offers are %v, want at least 64 of seam, which may use what dye leaves unused", count)
	}
}

// BenchmarkStep measures a step of the Ledger with n waiting tasks in jobs of 100
// and no action to perform.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("waiting=%d", n), func(b *testing.B) {
			l, now := ledgerWithWaitingTasks(n)
			for b.Loop() {
				now = now.Add(time.Millisecond)
				l.Step(now)
			}
		})
	}
}

// BenchmarkStart measures the processing of one attempt from its offer to its end.
func BenchmarkStart(b *testing.B) {
	l, now := ledgerWithWaitingTasks(1_000)
	next := l.fold.position.Offset
	var offers []Offer
	done := 0
	for b.Loop() {
		for len(offers) == 0 {
			now = now.Add(scanInterval)
			offers = l.Step(now).Offers
		}
		o := offers[0]
		offers = offers[1:]
		l.Placed(now, Release{o.Task, o.Attempt, o.Partition, o.Epoch, "w0"})
		at := Record{Kind: Started, Task: o.Task, Attempt: o.Attempt, Partition: o.Partition, Epoch: o.Epoch, Server: "w0"}
		l.Read(now, Position{Offset: next + 1}, recordID(at), at)
		at.Kind, at.End = Ended, Stopped
		l.Read(now, Position{Offset: next + 2}, recordID(at), at)
		next += 2
		done++
	}
}

// ledgerWithWaitingTasks returns a Ledger with 16 held partitions without room and
// n waiting tasks in jobs of 100, and its current time.
func ledgerWithWaitingTasks(n int) (*Ledger, time.Time) {
	now := time.Unix(1000, 0)
	l := NewLedger(now, DefaultSettings("entry-0", simRegion))
	var servers []fleet.BackendServer
	for i := range 108 {
		servers = append(servers, fleet.BackendServer{
			ID: fleet.BackendServerID(fmt.Sprint("w", i)), Region: simRegion, DataCentre: "a",
			Rack: fleet.Rack(fmt.Sprint(i)), Capacity: fleet.Resources{Slots: 8},
		})
	}
	l.SetServers(now, servers)
	l.Begin()
	next := fleet.Offset(0)
	read := func(r Record) { next++; l.Read(now, Position{Offset: next}, recordID(r), r) }
	var held []Holding
	for i := range 16 {
		p := fleet.PartitionID(fmt.Sprint("a/", i))
		held = append(held, Holding{p, 1, now.Add(1000 * time.Hour)})
		read(Record{Kind: Held, Partition: p, Epoch: 1})
	}
	for i := range n / 100 {
		read(Record{Kind: JobSubmitted, Job: &Job{
			ID: fleet.JobID(fmt.Sprint("job-", i)), Team: fleet.Team(fmt.Sprint("team-", i%180)), Tasks: 100,
			Resources: fleet.Resources{Slots: 1}, TeamLimit: n,
		}})
	}
	l.CaughtUp(now, next+1)
	l.SetHoldings(now, held)
	for _, o := range l.Step(now).Offers { // no partition has room
		l.Declined(now, o.Task, o.Attempt, o.Partition)
	}
	return l, now
}

// Guards against failures and evictions that are not counted, that are counted
// twice when their record is read twice, or whose counts are lost in a snapshot
// or at the end of the job.
func TestFailuresAndEvictionsAreCounted(t *testing.T) {
	h := &history{Fold: NewFold()}
	h.submit("j", 2)
	h.attempt("j", 0, "w0", Failed)
	h.attempt("j", 0, "w1", Lost)
	h.attempt("j", 0, "w1", Failed)
	evicted := Record{Task: Ref{"j", 1}, Attempt: 1, Partition: "a/1", Epoch: 1, Server: "w0"}
	evicted.Kind = Started
	h.add(evicted)
	evicted.Kind, evicted.Checkpoint = Evicted, "c1"
	h.add(evicted)
	if v := h.add(evicted); v != WrongAttempt {
		t.Fatalf("the repeated eviction returned %v, want %v", v, WrongAttempt)
	}
	check := func(state JobState, f *Fold) {
		t.Helper()
		if v, _ := f.View("j"); v.State != state || v.Failed != 2 || v.Evictions != 1 {
			t.Errorf("job is %v with %d failures and %d evictions, want %v, 2 and 1", v.State, v.Failed, v.Evictions, state)
		}
	}
	check(Open, h.Fold)
	check(Open, Restore(h.Snapshot()))
	h.add(Record{Kind: Cancelled, Task: Ref{Job: "j"}})
	check(CancelledState, h.Fold)
	check(CancelledState, Restore(h.Snapshot()))
}
