package batch

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/decision/task"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/platformapi"
	"lacewingfork.example/lacewingfork/supervise"
)

const (
	testRack   = fleet.PartitionID("accra-1/rack-0")
	testServer = fleet.BackendServerID("w0")
)

// fakePlatform is an in-memory log, worker and partition duty.
type fakePlatform struct {
	batch               *Supervisor
	platformapi.Workers // nil; only the methods defined below are called

	appends *supervise.Ring[message.Append]
	logDown atomic.Bool
	entries []message.LogEntry
	next    int // index of the next entry for the reader

	mu       sync.Mutex // guards tasks to renewals, which the runners use too
	tasks    map[fleet.TaskID]*platformapi.TaskReport
	doneAt   map[fleet.TaskID]time.Time
	starts   map[fleet.TaskID]int
	renewals int
	commands *supervise.Ring[message.TaskCommand]
	ended    atomic.Int32
	restarts atomic.Int32
}

func newFakePlatform() *fakePlatform {
	p := &fakePlatform{
		appends: supervise.NewRing[message.Append]("appends", 64, supervise.Refuse),
		tasks:   map[fleet.TaskID]*platformapi.TaskReport{}, doneAt: map[fleet.TaskID]time.Time{},
		starts:   map[fleet.TaskID]int{},
		commands: supervise.NewRing[message.TaskCommand]("commands", 64, supervise.Refuse),
	}
	p.batch = New(Settings{
		Instance: "entry-0", Region: "accra", Workers: p, Appends: p.appends,
		Rewinds: supervise.NewRing[message.Rewind]("rewinds", 1, supervise.DropOldest),
	})
	return p
}

// run simulates the log writer and reader, the ownership duty, the watchers and
// a partition duty that accepts every offer, every 100 ms.
func (p *fakePlatform) run(ctx context.Context) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.serveLog(ctx)
		p.serveTasks(ctx)
		if n%10 == 0 {
			now := time.Now()
			_ = p.batch.Snapshots.Put(ctx, message.ListSnapshot{SampledAt: now, BackendServers: []fleet.BackendServer{{
				ID: testServer, Region: "accra", DataCentre: "accra-1", Rack: "rack-0", Capacity: fleet.Resources{Slots: 8},
			}}})
			_ = p.batch.Configurations.Put(ctx, message.ConfigurationInForce{Version: 1, Value: &configuration.Configuration{
				Teams: []configuration.Team{{Name: "dye", Share: 1, MaxJobs: 2}},
			}})
			_ = p.batch.Signals.Put(ctx, message.TaskRoute{Partition: testRack, Epoch: 1, Commands: p.commands})
			_ = p.batch.Usage.Put(ctx, message.UsageReports{Reports: []message.UsageReport{{SampledAt: now, UsageReport: p.report(now)}}})
		}
		_ = p.batch.Holdings.Put(ctx, message.Holdings{Own: []message.Holding{
			{Partition: testRack, Epoch: 1, Until: time.Now().Add(4 * time.Second)},
		}})
	}
}

func (p *fakePlatform) serveLog(ctx context.Context) {
	for {
		select {
		case a := <-p.appends.Items():
			if !p.logDown.Load() {
				p.entries = append(p.entries, message.LogEntry{Offset: fleet.Offset(len(p.entries)), ID: a.ID, Data: a.Data})
			}
			continue
		case r := <-p.batch.settings.Rewinds.Items():
			p.next = int(r.From)
			continue
		default:
		}
		break
	}
	if p.logDown.Load() {
		return
	}
	_ = p.batch.Records.Put(ctx, message.LogRecords{
		From: fleet.Offset(p.next), Next: fleet.Offset(len(p.entries)), Records: p.entries[p.next:], CaughtUp: true,
	})
	p.next = len(p.entries)
}

func (p *fakePlatform) serveTasks(ctx context.Context) {
	for {
		select {
		case c := <-p.commands.Items():
			switch c := c.(type) {
			case message.TaskOffer:
				_ = p.batch.Signals.Put(ctx, message.TaskPlaced{
					Task: c.Task, Attempt: c.Attempt, Partition: c.Partition, Epoch: c.Epoch, Server: testServer,
				})
			case message.TaskEnded:
				p.ended.Add(1)
			}
			continue
		default:
		}
		return
	}
}

func (p *fakePlatform) report(now time.Time) platformapi.UsageReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := platformapi.UsageReport{BackendServer: testServer}
	for id, t := range p.tasks {
		if t.State == platformapi.TaskRunning && now.After(p.doneAt[id]) {
			t.State = platformapi.TaskSucceeded
		}
		r.Tasks = append(r.Tasks, *t)
	}
	return r
}

// The methods below implement platformapi.Workers.

func (p *fakePlatform) Start(_ context.Context, _ fleet.BackendServerID, s platformapi.StartTask) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts[s.Task]++
	p.tasks[s.Task] = &platformapi.TaskReport{Task: s.Task, Attempt: s.Attempt, State: platformapi.TaskRunning}
	p.doneAt[s.Task] = time.Now().Add(time.Duration(s.RunMillis) * time.Millisecond)
	return nil
}

func (p *fakePlatform) Renew(context.Context, fleet.BackendServerID, fleet.PartitionID, fleet.Epoch, time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.renewals++
	return nil
}

func (p *fakePlatform) end(id fleet.TaskID, state platformapi.TaskState, checkpoint string) (platformapi.TaskReport, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.tasks[id]
	if t == nil {
		return platformapi.TaskReport{}, platformapi.ErrUnknown
	}
	if t.State == platformapi.TaskRunning {
		t.State, t.Checkpoint = state, checkpoint
	}
	return *t, nil
}

func (p *fakePlatform) Checkpoint(_ context.Context, _ fleet.BackendServerID, id fleet.TaskID, _ int, _ fleet.Epoch) (platformapi.TaskReport, error) {
	return p.end(id, platformapi.TaskCheckpointed, "saved")
}

func (p *fakePlatform) Stop(_ context.Context, _ fleet.BackendServerID, id fleet.TaskID, _ int, _ fleet.Epoch) (platformapi.TaskReport, error) {
	return p.end(id, platformapi.TaskStopped, "")
}

// counts returns the number of starts of each task and of lease renewals.
func (p *fakePlatform) counts() (map[fleet.TaskID]int, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.starts), p.renewals
}

// command sends a command and returns the reply.
func (p *fakePlatform) command(t *testing.T, build func(*supervise.Ring[message.JobReply]) message.JobCommand) message.JobReply {
	t.Helper()
	reply := supervise.NewRing[message.JobReply]("reply", 1, supervise.Refuse)
	if err := p.batch.Commands.Put(t.Context(), build(reply)); err != nil {
		t.Fatal(err)
	}
	return <-reply.Items()
}

func (p *fakePlatform) submit(t *testing.T, id fleet.JobID, run time.Duration) message.JobOutcome {
	t.Helper()
	return p.command(t, func(r *supervise.Ring[message.JobReply]) message.JobCommand {
		return message.SubmitJob{Reply: r, Job: task.Job{
			ID: id, Team: "dye", Kind: "check", Tasks: 2, Resources: fleet.Resources{Slots: 1}, RunTime: run,
		}}
	}).Outcome
}

func (p *fakePlatform) view(t *testing.T, id fleet.JobID) task.JobView {
	t.Helper()
	return p.command(t, func(r *supervise.Ring[message.JobReply]) message.JobCommand {
		return message.JobStatus{Reply: r, ID: id}
	}).View
}

// runWithFakeClock runs a test against the duties in a synctest bubble.
func runWithFakeClock(t *testing.T, test func(t *testing.T, p *fakePlatform)) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		tree := supervise.NewTree("test", supervise.DefaultIntensity, func(e supervise.Event) {
			p.restarts.Add(1)
			if e.Kind != supervise.Restarted {
				t.Errorf("got supervisor event %+v, want only %v", e, supervise.Restarted)
			}
		})
		p.batch.Start(tree, nil)
		ctx, cancel := context.WithCancel(t.Context())
		var wait sync.WaitGroup
		wait.Go(func() { _ = tree.Serve(ctx) })
		wait.Go(func() { p.run(ctx) })
		time.Sleep(2 * time.Second) // fake time, as in all sleeps here: for the first reads and reports
		test(t, p)
		cancel()
		wait.Wait()
	})
}

// Guards against a break anywhere on the path from the submission to the end of
// a job, and against a repeated submission that creates a second job.
func TestJobRunsToCompletion(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T, p *fakePlatform) {
		if got := p.submit(t, "a", 10*time.Second); got != message.JobAccepted {
			t.Fatalf("submission: got outcome %q, want %q", got, message.JobAccepted)
		}
		if got := p.submit(t, "a", 10*time.Second); got != message.JobRepeated {
			t.Errorf("repeated submission: got outcome %q, want %q", got, message.JobRepeated)
		}
		if got := p.submit(t, "a", 11*time.Second); got != message.JobConflict {
			t.Errorf("different job with the same identifier: got outcome %q, want %q", got, message.JobConflict)
		}
		p.submit(t, "b", time.Hour)
		if got := p.submit(t, "c", time.Second); got != message.JobOverLimit {
			t.Errorf("third job of a team with max_jobs 2: got outcome %q, want %q", got, message.JobOverLimit)
		}
		time.Sleep(5 * time.Second)
		_ = p.batch.Signals.Put(t.Context(), message.EvictTask{Task: "a/1", Server: testServer})
		time.Sleep(30 * time.Second)
		starts, _ := p.counts()
		if v := p.view(t, "a"); v.State != task.Finished || starts["a/0"] != 1 || starts["a/1"] != 2 {
			t.Errorf("got job %+v after starts %v, want finished, with task 0 started once and the evicted task 1 twice", v, starts)
		}
		if p.ended.Load() != 3 {
			t.Errorf("partition duty got %d ended attempts, want 3", p.ended.Load())
		}
		got := p.command(t, func(r *supervise.Ring[message.JobReply]) message.JobCommand {
			return message.CancelJob{Reply: r, ID: "b"}
		})
		time.Sleep(5 * time.Second)
		if v := p.view(t, "b"); got.Outcome != message.JobAccepted || v.State != task.CancelledState || v.Running != 0 {
			t.Errorf("got cancelled job %+v after outcome %q, want state %v, no running task and outcome %q", v, got.Outcome, task.CancelledState, message.JobAccepted)
		}
	})
}

// Guards against tasks that start during a log outage, tasks whose leases lapse
// in it, and ends that are never recorded.
func TestLogOutage(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T, p *fakePlatform) {
		p.submit(t, "before", 10*time.Minute)
		time.Sleep(5 * time.Second)
		p.logDown.Store(true)
		_, before := p.counts()
		if got := p.submit(t, "during", time.Second); got != message.JobUnconfirmed {
			t.Errorf("submission during the outage: got outcome %q, want %q", got, message.JobUnconfirmed)
		}
		time.Sleep(time.Hour)
		starts, renewals := p.counts()
		if len(starts) != 2 {
			t.Errorf("got starts of tasks %v, want only the 2 from before the outage", starts)
		}
		if got := renewals - before; got < 3600/4 {
			t.Errorf("got %d renewals in an hour, want at least %d", got, 3600/4)
		}
		p.logDown.Store(false)
		time.Sleep(30 * time.Second)
		if v := p.view(t, "before"); v.State != task.Finished || v.Done != 2 {
			t.Errorf("got job %+v after the outage, want finished with 2 tasks done", v)
		}
	})
}

// Guards against tasks that are started again or lost when the ledger duty
// restarts with empty state.
func TestLedgerRestartAdoptsTasks(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T, p *fakePlatform) {
		p.submit(t, "a", time.Minute)
		time.Sleep(5 * time.Second)
		_ = p.batch.Commands.Put(t.Context(), message.ListJobs{Reply: nil}) // makes the ledger panic
		time.Sleep(2 * time.Minute)
		starts, _ := p.counts()
		if v := p.view(t, "a"); v.State != task.Finished || starts["a/0"] != 1 || starts["a/1"] != 1 {
			t.Errorf("got job %+v after starts %v, want finished after one start of each task", v, starts)
		}
		if n := p.restarts.Load(); n != 1 {
			t.Errorf("got %d restarts of duties, want 1, of the ledger", n)
		}
	})
}
