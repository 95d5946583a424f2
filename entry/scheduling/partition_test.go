package scheduling

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/entry/dispatch"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/platformapi"
	"lacewingfork.example/lacewingfork/supervise"
)

const leaseDuration = 4 * time.Second

var testConfiguration = &configuration.Configuration{
	Limits: configuration.DefaultLimits,
	Services: []configuration.Service{{Name: "planner", Operations: []configuration.Operation{{
		Name: "layout", Class: fleet.Urgent, Deadline: time.Minute, ExpectedRunTime: 10 * time.Millisecond,
	}}}},
}

// harness runs one partition duty with one backend server of two slots, and takes
// the place of the exchange duties.
type harness struct {
	duty      *partitionDuty
	exchanges *supervise.Ring[message.Exchange]
	signals   *supervise.Ring[message.TaskSignal]
	registry  *prometheus.Registry
}

func (h *harness) Open(fleet.BackendServer, fleet.Epoch) *dispatch.Pool {
	return &dispatch.Pool{Exchanges: h.exchanges}
}

// runPartition starts the duty in a supervisor tree, reports the backend server as
// idle, runs the test and ends the duty.
func runPartition(t *testing.T, test func(ctx context.Context, h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		server := fleet.BackendServer{
			ID: "b1", Region: "accra", DataCentre: "accra-1", Rack: "r1", Connections: 64,
			Capacity: fleet.Resources{Slots: 2, MilliCPU: 8000, MemoryMiB: 8000},
		}
		h := &harness{
			exchanges: supervise.NewRing[message.Exchange]("exchanges", 2, supervise.Refuse),
			signals:   supervise.NewRing[message.TaskSignal]("signals", 4, supervise.Refuse),
			registry:  prometheus.NewRegistry(),
		}
		holding := message.Holding{Partition: server.Partition(), Epoch: 3, Until: time.Now().Add(leaseDuration)}
		h.duty = &partitionDuty{
			holding: holding, servers: []fleet.BackendServer{server}, rings: newPartitionRings(holding, 2), pools: h,
			configuration: message.ConfigurationInForce{Version: 1, Value: testConfiguration},
			relinquish:    supervise.NewRing[message.Relinquish]("relinquish", 1, supervise.Refuse),
			events:        supervise.NewRing[message.Event]("events", 16, supervise.DropOldest),
			signals:       h.signals,
			metrics:       NewMetrics(h.registry),
		}
		tree := supervise.NewTree("test", supervise.DefaultIntensity, func(supervise.Event) {})
		tree.Start(supervise.Duty{Name: "partition", Run: h.duty.run})
		go func() { _ = tree.Serve(ctx) }()
		synctest.Wait()
		time.Sleep(time.Millisecond)
		_ = h.duty.rings.usage.Put(ctx, message.UsageReports{DataCentre: "accra-1", Reports: []message.UsageReport{{
			SampledAt: time.Now(), UsageReport: platformapi.UsageReport{BackendServer: "b1"},
		}}})
		synctest.Wait()
		test(ctx, h)
		cancel()
	})
}

// submit submits a request and returns the ring for its answer.
func (h *harness) submit(id, key string) *supervise.Ring[message.Answer] {
	reply := supervise.NewRing[message.Answer]("reply", 1, supervise.Refuse)
	_ = h.duty.rings.submissions.Put(context.Background(), message.Submission{Reply: reply, Request: &message.Request{
		ID: fleet.RequestID(id), Key: key, Service: "planner", Operation: "layout", Deadline: time.Now().Add(time.Minute),
	}})
	synctest.Wait()
	return reply
}

// issueKey asks the duty for a request key.
func (h *harness) issueKey() string {
	reply := supervise.NewRing[message.Answer]("reply", 1, supervise.Refuse)
	_ = h.duty.rings.submissions.Put(context.Background(), message.Submission{
		IssueKey: true, Reply: reply, Request: &message.Request{ID: "key", Deadline: time.Now().Add(time.Second)},
	})
	a := <-reply.Items()
	return a.Key
}

// endExchange reports the next exchange as ended with the given outcome and body.
func (h *harness) endExchange(o outcome.Outcome, body string) {
	x := <-h.exchanges.Items()
	_ = x.Done.Put(context.Background(), message.ExchangeDone{
		Server: "b1", Attempt: x.Attempt, Written: o != outcome.RefusedNotRun, SlotReleased: o != outcome.Unknown,
		Answer: message.Answer{ID: x.Request.ID, Outcome: o, Status: 200, Body: []byte(body)},
	})
	synctest.Wait()
}

// expectAnswer checks that the answer of a request has arrived and matches.
func expectAnswer(t *testing.T, reply *supervise.Ring[message.Answer], o outcome.Outcome, reason outcome.Reason, body string) {
	t.Helper()
	select {
	case a := <-reply.Items():
		if a.Outcome != o || a.Reason != reason || string(a.Body) != body {
			t.Errorf("answer: got %v %q %q, want %v %q %q", a.Outcome, a.Reason, a.Body, o, reason, body)
		}
	default:
		t.Error("answer: got none, want one")
	}
}

// Guards against a non-idempotent request that runs twice when the caller repeats
// it while it runs or after its answer was lost.
func TestRepeatsOfAKeyJoinTheFirstUse(t *testing.T) {
	runPartition(t, func(_ context.Context, h *harness) {
		key := h.issueKey()
		first, second := h.submit("q1", key), h.submit("q2", key)
		if depth := h.exchanges.Stats().Depth; depth != 1 {
			t.Fatalf("exchanges for one key: got %d, want 1", depth)
		}
		h.endExchange(outcome.Answered, "booked")
		third := h.submit("q3", key)
		for _, reply := range []*supervise.Ring[message.Answer]{first, second, third} {
			expectAnswer(t, reply, outcome.Answered, outcome.NoReason, "booked")
		}
		if depth := h.exchanges.Stats().Depth; depth != 0 {
			t.Error("repeat after the answer: got another exchange, want none")
		}
	})
}

// Guards against a key that stays in use after its request was refused as not run,
// and against a second run after an unknown outcome.
func TestKeyAfterRefusalAndUnknownOutcome(t *testing.T) {
	runPartition(t, func(_ context.Context, h *harness) {
		key := h.issueKey()
		refused := h.submit("q1", key)
		for h.exchanges.Stats().Depth > 0 { // every attempt fails to connect
			h.endExchange(outcome.RefusedNotRun, "")
		}
		if a := <-refused.Items(); a.Outcome != outcome.RefusedNotRun || !a.KeyChecked {
			t.Fatalf("answer: got %+v, want a refusal with the key checked", a)
		}
		again := h.submit("q2", key)
		h.endExchange(outcome.Unknown, "")
		if a := <-again.Items(); a.Outcome != outcome.Unknown {
			t.Fatalf("answer: got %+v, want an unknown outcome", a)
		}
		if a := <-h.submit("q3", key).Items(); a.Outcome != outcome.Unknown || h.exchanges.Stats().Depth != 0 {
			t.Errorf("repeat after an unknown outcome: got %+v and %d exchanges, want an unknown outcome and none", a, h.exchanges.Stats().Depth)
		}
	})
}

// Guards against requests and tasks that are started after the lease has ended.
func TestNoWorkStartsAfterLeaseEnd(t *testing.T) {
	runPartition(t, func(_ context.Context, h *harness) {
		time.Sleep(leaseDuration)
		expectAnswer(t, h.submit("q1", ""), outcome.RefusedNotRun, outcome.LeaseExpired, "")
		_ = h.duty.rings.tasks.Put(context.Background(), message.TaskOffer{Task: "t1", Attempt: 1, Partition: "accra-1/r1", Epoch: 3})
		synctest.Wait()
		if _, declined := (<-h.signals.Items()).(message.TaskDeclined); !declined || h.exchanges.Stats().Depth != 0 {
			t.Error("task offer after the end of the lease: got work placed, want the task declined and no exchange")
		}
	})
}

// Guards against a drain that aborts a running request or leaves a waiting one
// unanswered.
func TestDrainCompletesRunningAndRefusesWaitingRequests(t *testing.T) {
	runPartition(t, func(ctx context.Context, h *harness) {
		running := h.submit("q1", "")
		waiting := []*supervise.Ring[message.Answer]{h.submit("q2", ""), h.submit("q3", "")}
		_ = h.duty.rings.release.Put(ctx, struct{}{})
		synctest.Wait()
		inProgress := h.exchanges.Stats().Depth
		for _, reply := range waiting[inProgress-1:] {
			expectAnswer(t, reply, outcome.RefusedNotRun, outcome.NotHolder, "")
		}
		for range inProgress {
			h.endExchange(outcome.Answered, "done")
		}
		expectAnswer(t, running, outcome.Answered, outcome.NoReason, "done")
	})
}

// Guards against a restarted duty that counts its slots as free, or leaves callers
// without an answer.
func TestFailedDutyAnswersAndRelinquishesItsEpoch(t *testing.T) {
	runPartition(t, func(ctx context.Context, h *harness) {
		running := h.submit("q1", "")
		_ = h.duty.rings.submissions.Put(ctx, message.Submission{}) // no request: the duty panics
		time.Sleep(time.Second)
		expectAnswer(t, running, outcome.Unknown, outcome.DutyFailed, "")
		if r := <-h.duty.relinquish.Items(); r.Epoch != 3 {
			t.Errorf("relinquished: got %+v, want epoch 3", r)
		}
		expectAnswer(t, h.submit("q2", ""), outcome.RefusedNotRun, outcome.DutyFailed, "")
	})
}

// Guards against a complete answer of a backend server that is lost, or reported as
// not run, when the retry after it returns no answer.
func TestCompleteAnswerIsKeptAfterAFailedRetry(t *testing.T) {
	for _, second := range []message.Answer{{Outcome: outcome.RefusedNotRun}, {Outcome: outcome.Unknown}} {
		p := &pending{}
		p.setAnswer(message.Answer{Outcome: outcome.Answered, Status: 500})
		p.setAnswer(second)
		if p.answer.Outcome != outcome.Answered || p.answer.Status != 500 {
			t.Errorf("answer: got %+v, want the response with status 500", p.answer)
		}
	}
}

// Guards against requests that take the resources of a task started by a former
// holder before a usage report shows the task.
func TestAdoptedTaskReservesResourcesWithoutReports(t *testing.T) {
	runPartition(t, func(ctx context.Context, h *harness) {
		_ = h.duty.rings.tasks.Put(ctx, message.TaskAdopted{
			Task: "t1", Attempt: 1, Partition: "accra-1/r1", Epoch: 3, Server: "b1", Kind: "seam-watch",
			Resources: fleet.Resources{Slots: 1, MilliCPU: 1000, MemoryMiB: 1000},
		})
		synctest.Wait()
		h.submit("q1", "")
		h.submit("q2", "")
		if depth := h.exchanges.Stats().Depth; depth != 1 {
			t.Errorf("requests running beside an adopted task on two slots: got %d, want 1", depth)
		}
	})
}

// Guards against a task whose resources are released by the late end of an earlier
// attempt.
func TestLateEndOfAnEarlierAttemptIsIgnored(t *testing.T) {
	runPartition(t, func(ctx context.Context, h *harness) {
		offer := func(attempt int) message.TaskOffer {
			return message.TaskOffer{
				Task: "t1", Attempt: attempt, Partition: "accra-1/r1", Epoch: 3, Kind: "seam-watch",
				Resources: fleet.Resources{Slots: 1, MilliCPU: 1000, MemoryMiB: 1000},
			}
		}
		_ = h.duty.rings.tasks.Put(ctx, offer(2))
		synctest.Wait()
		if placed, ok := (<-h.signals.Items()).(message.TaskPlaced); !ok || placed.Attempt != 2 || placed.Server != "b1" {
			t.Fatalf("signal: got %+v, want attempt 2 placed on b1", placed)
		}
		_ = h.duty.rings.tasks.Put(ctx, message.TaskEnded{Task: "t1", Attempt: 1, Partition: "accra-1/r1", Epoch: 3, Server: "b1"})
		synctest.Wait()
		h.submit("q1", "")
		h.submit("q2", "")
		if depth := h.exchanges.Stats().Depth; depth != 1 {
			t.Errorf("requests running beside a task on two slots: got %d, want 1", depth)
		}
	})
}
