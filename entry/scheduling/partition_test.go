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

const leaseTime = 4 * time.Second

var testConfiguration = &configuration.Configuration{
	Limits: configuration.DefaultLimits,
	Services: []configuration.Service{{Name: "planner", Operations: []configuration.Operation{{
		Name: "layout", Class: fleet.Urgent, Deadline: time.Minute, ExpectedRunTime: 10 * time.Millisecond,
	}}}},
}

// harness runs one partition duty of one backend server with two slots, and
// stands for its exchange duties.
type harness struct {
	duty      *partitionDuty
	exchanges *supervise.Ring[message.Exchange]
	signals   *supervise.Ring[message.TaskSignal]
	registry  *prometheus.Registry
}

func (h *harness) Open(fleet.BackendServer, fleet.Epoch) *dispatch.Pool {
	return &dispatch.Pool{Exchanges: h.exchanges}
}

// run starts the duty below a tree, shows it that the server is idle, and ends
// it after the test.
func run(t *testing.T, test func(ctx context.Context, h *harness)) {
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
		holding := message.Holding{Partition: server.Partition(), Epoch: 3, Until: time.Now().Add(leaseTime)}
		h.duty = &partitionDuty{
			holding: holding, servers: []fleet.BackendServer{server}, rings: newPartitionRings(holding, 2), lines: h,
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

// submit hands a request over and returns the ring for its answer.
func (h *harness) submit(id, key string) *supervise.Ring[message.Answer] {
	reply := supervise.NewRing[message.Answer]("reply", 1, supervise.Refuse)
	_ = h.duty.rings.submissions.Put(context.Background(), message.Submission{Reply: reply, Request: &message.Request{
		ID: fleet.RequestID(id), Key: key, Service: "planner", Operation: "layout", Deadline: time.Now().Add(time.Minute),
	}})
	synctest.Wait()
	return reply
}

func (h *harness) key() string {
	reply := supervise.NewRing[message.Answer]("reply", 1, supervise.Refuse)
	_ = h.duty.rings.submissions.Put(context.Background(), message.Submission{
		IssueKey: true, Reply: reply, Request: &message.Request{ID: "key", Deadline: time.Now().Add(time.Second)},
	})
	a := <-reply.Items()
	return a.Key
}

// end reports the end of the next exchange.
func (h *harness) end(o outcome.Outcome, body string) {
	x := <-h.exchanges.Items()
	_ = x.Done.Put(context.Background(), message.ExchangeDone{
		Server: "b1", Attempt: x.Attempt, Written: o != outcome.RefusedNotRun, SlotReleased: o != outcome.Unknown,
		Answer: message.Answer{ID: x.Request.ID, Outcome: o, Status: 200, Body: []byte(body)},
	})
	synctest.Wait()
}

// expect takes the one answer of a request.
func expect(t *testing.T, reply *supervise.Ring[message.Answer], o outcome.Outcome, reason outcome.Reason, body string) {
	t.Helper()
	select {
	case a := <-reply.Items():
		if a.Outcome != o || a.Reason != reason || string(a.Body) != body {
			t.Errorf("answer %v %q %q, want %v %q %q", a.Outcome, a.Reason, a.Body, o, reason, body)
		}
	default:
		t.Error("no answer yet")
	}
}

// Guards against a booking that runs twice because its caller repeated it
// while it ran or after its answer was lost.
func TestRepeatsOfAKeyJoinTheFirstUse(t *testing.T) {
	run(t, func(_ context.Context, h *harness) {
		key := h.key()
		first, second := h.submit("q1", key), h.submit("q2", key)
		if depth := h.exchanges.Stats().Depth; depth != 1 {
			t.Fatalf("%d exchanges for one key", depth)
		}
		h.end(outcome.Answered, "booked")
		third := h.submit("q3", key)
		for _, reply := range []*supervise.Ring[message.Answer]{first, second, third} {
			expect(t, reply, outcome.Answered, outcome.NoReason, "booked")
		}
		if depth := h.exchanges.Stats().Depth; depth != 0 {
			t.Error("a repeat was run again")
		}
	})
}

// Guards against a key that stays blocked after its request was truthfully
// refused, and against a second run after an unknown outcome.
func TestKeyAfterRefusalAndUnknownOutcome(t *testing.T) {
	run(t, func(_ context.Context, h *harness) {
		key := h.key()
		refused := h.submit("q1", key)
		for h.exchanges.Stats().Depth > 0 { // every attempt fails to connect
			h.end(outcome.RefusedNotRun, "")
		}
		if a := <-refused.Items(); a.Outcome != outcome.RefusedNotRun || !a.KeyChecked {
			t.Fatalf("answer %+v", a)
		}
		again := h.submit("q2", key)
		h.end(outcome.Unknown, "")
		if a := <-again.Items(); a.Outcome != outcome.Unknown {
			t.Fatalf("answer %+v", a)
		}
		if a := <-h.submit("q3", key).Items(); a.Outcome != outcome.Unknown || h.exchanges.Stats().Depth != 0 {
			t.Errorf("repeat after an unknown outcome: %+v, %d exchanges", a, h.exchanges.Stats().Depth)
		}
	})
}

// Guards against work under a lease that has ended.
func TestNothingIsSentAfterTheLease(t *testing.T) {
	run(t, func(_ context.Context, h *harness) {
		time.Sleep(leaseTime)
		expect(t, h.submit("q1", ""), outcome.RefusedNotRun, outcome.LeaseLapsed, "")
		_ = h.duty.rings.tasks.Put(context.Background(), message.TaskOffer{Task: "t1", Attempt: 1, Partition: "accra-1/r1", Epoch: 3})
		synctest.Wait()
		if _, declined := (<-h.signals.Items()).(message.TaskDeclined); !declined || h.exchanges.Stats().Depth != 0 {
			t.Error("work was placed after the lease")
		}
	})
}

// Guards against a drain that cuts off a running request or keeps a waiting
// one.
func TestDrainEndsWhatRunsAndReturnsWhatWaits(t *testing.T) {
	run(t, func(ctx context.Context, h *harness) {
		running := h.submit("q1", "")
		waiting := []*supervise.Ring[message.Answer]{h.submit("q2", ""), h.submit("q3", "")}
		_ = h.duty.rings.release.Put(ctx, struct{}{})
		synctest.Wait()
		inProgress := h.exchanges.Stats().Depth
		for _, reply := range waiting[inProgress-1:] {
			expect(t, reply, outcome.RefusedNotRun, outcome.NotHolder, "")
		}
		for range inProgress {
			h.end(outcome.Answered, "done")
		}
		expect(t, running, outcome.Answered, outcome.NoReason, "done")
	})
}

// Guards against a duty that is restarted and counts its slots as free, or
// leaves its callers without an answer.
func TestFailedDutyAnswersAndAsksForAGreaterEpoch(t *testing.T) {
	run(t, func(ctx context.Context, h *harness) {
		running := h.submit("q1", "")
		_ = h.duty.rings.submissions.Put(ctx, message.Submission{}) // no request: the duty panics
		time.Sleep(time.Second)
		expect(t, running, outcome.Unknown, outcome.DutyFailed, "")
		if r := <-h.duty.relinquish.Items(); r.Epoch != 3 {
			t.Errorf("relinquish %+v", r)
		}
		expect(t, h.submit("q2", ""), outcome.RefusedNotRun, outcome.DutyFailed, "")
	})
}

// Guards against a server's whole answer that is lost, or is called not run,
// when the retry after it brought nothing.
func TestWholeAnswerOutlivesAFailedRetry(t *testing.T) {
	for _, second := range []message.Answer{{Outcome: outcome.RefusedNotRun}, {Outcome: outcome.Unknown}} {
		p := &pending{}
		p.keep(message.Answer{Outcome: outcome.Answered, Status: 500})
		p.keep(second)
		if p.answer.Outcome != outcome.Answered || p.answer.Status != 500 {
			t.Errorf("kept %+v", p.answer)
		}
	}
}

// Guards against requests that take the room of a task which a former holder
// started, while no report shows it.
func TestAdoptedTaskKeepsItsRoomWithoutReports(t *testing.T) {
	run(t, func(ctx context.Context, h *harness) {
		_ = h.duty.rings.tasks.Put(ctx, message.TaskAdopted{
			Task: "t1", Attempt: 1, Partition: "accra-1/r1", Epoch: 3, Server: "b1", Kind: "seam-watch",
			Resources: fleet.Resources{Slots: 1, MilliCPU: 1000, MemoryMiB: 1000},
		})
		synctest.Wait()
		h.submit("q1", "")
		h.submit("q2", "")
		if depth := h.exchanges.Stats().Depth; depth != 1 {
			t.Errorf("%d requests run beside an adopted task on two slots, want 1", depth)
		}
	})
}

// Guards against a task whose room is freed by the late end of an earlier
// attempt.
func TestLateEndOfAnEarlierAttemptFreesNothing(t *testing.T) {
	run(t, func(ctx context.Context, h *harness) {
		offer := func(attempt int) message.TaskOffer {
			return message.TaskOffer{
				Task: "t1", Attempt: attempt, Partition: "accra-1/r1", Epoch: 3, Kind: "seam-watch",
				Resources: fleet.Resources{Slots: 1, MilliCPU: 1000, MemoryMiB: 1000},
			}
		}
		_ = h.duty.rings.tasks.Put(ctx, offer(2))
		synctest.Wait()
		if placed, ok := (<-h.signals.Items()).(message.TaskPlaced); !ok || placed.Attempt != 2 || placed.Server != "b1" {
			t.Fatalf("signal %+v", placed)
		}
		_ = h.duty.rings.tasks.Put(ctx, message.TaskEnded{Task: "t1", Attempt: 1, Partition: "accra-1/r1", Epoch: 3, Server: "b1"})
		synctest.Wait()
		h.submit("q1", "")
		h.submit("q2", "")
		if depth := h.exchanges.Stats().Depth; depth != 1 {
			t.Errorf("%d requests run beside a task on two slots, want 1", depth)
		}
	})
}
