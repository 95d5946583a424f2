package routing

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/supervise"
)

// harness runs the routing duty of an instance that holds accra-1/r1 itself and
// reaches accra-2/r1 over a link to e2.
type harness struct {
	duty     *Duty
	registry *prometheus.Registry
	own      *supervise.Ring[message.Submission]
	link     *supervise.Ring[message.Submission]
}

func run(t *testing.T, test func(ctx context.Context, h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		ring := func(name string) *supervise.Ring[message.Submission] {
			return supervise.NewRing[message.Submission](name, 4, supervise.Refuse)
		}
		h := &harness{own: ring("own"), link: ring("link"), registry: prometheus.NewRegistry()}
		h.duty = New(Settings{Instance: "e1", Region: "accra", DataCentre: "accra-1"},
			supervise.NewRing[[]message.LoadHint]("hints", 1, supervise.DropOldest),
			supervise.NewRing[message.Event]("events", 1, supervise.DropOldest))
		h.duty.Resends = supervise.NewRing[message.ResendConfiguration]("wanted", 4, supervise.Refuse)
		h.duty.Metrics = NewMetrics(h.registry)
		tree := supervise.NewTree("test", supervise.DefaultIntensity, func(supervise.Event) {})
		h.duty.Start(tree)
		go func() { _ = tree.Serve(ctx) }()
		h.sendInputs(ctx)
		synctest.Wait()
		test(ctx, h)
		cancel()
	})
}

// sendInputs puts one message on each input ring that feeds the table. It is
// called again after a restart of the duty.
func (h *harness) sendInputs(ctx context.Context) {
	server := func(id, dc string) fleet.BackendServer {
		return fleet.BackendServer{
			ID: fleet.BackendServerID(id), Region: "accra", DataCentre: fleet.DataCentre(dc), Rack: "r1", Capacity: fleet.Resources{Slots: 8},
		}
	}
	_ = h.duty.Configurations.Put(ctx, message.ConfigurationInForce{Version: 1, Value: &configuration.Configuration{Limits: configuration.DefaultLimits}})
	_ = h.duty.Snapshots.Put(ctx, message.ListSnapshot{BackendServers: []fleet.BackendServer{server("b1", "accra-1"), server("b2", "accra-2")}})
	_ = h.duty.Holdings.Put(ctx, message.Holdings{Holders: map[fleet.PartitionID]message.HolderView{
		"accra-1/r1": {Holder: "e1", Epoch: 1}, "accra-2/r1": {Holder: "e2", Epoch: 1},
	}})
	_ = h.duty.Partitions.Put(ctx, message.PartitionChange{Opened: &message.PartitionOpened{Partition: "accra-1/r1", Epoch: 1, Submissions: h.own}})
	_ = h.duty.Links.Put(ctx, message.LinkChange{Peer: "e2", Forwards: h.link})
}

func (h *harness) submit(s message.Submission) *supervise.Ring[message.Answer] {
	s.Reply = supervise.NewRing[message.Answer]("reply", 1, supervise.Refuse)
	_ = h.duty.Submissions.Put(context.Background(), s)
	synctest.Wait()
	return s.Reply
}

func newRequest(id fleet.RequestID, idempotent bool) *message.Request {
	return &message.Request{ID: id, Service: "planner", Operation: "layout", Idempotent: idempotent, Deadline: time.Now().Add(time.Second)}
}

// counterValue returns the sum of a counter over its labels.
func (h *harness) counterValue(t *testing.T, name string) (sum float64) {
	t.Helper()
	families, err := h.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if f.GetName() == name {
				sum += m.GetCounter().GetValue()
			}
		}
	}
	return sum
}

// takeSubmission takes the request from the ring of the holder that it was routed
// to.
func (h *harness) takeSubmission(t *testing.T) (s message.Submission, forwarded bool) {
	t.Helper()
	select {
	case s = <-h.own.Items():
		return s, false
	case s = <-h.link.Items():
		return s, true
	default:
		t.Fatal("no holder received the request, want one")
		return s, false
	}
}

// Guards against sending a request that may have run and must not run again to
// another holder, and against a refusal although another holder could take the
// request.
func TestReroutedAnswers(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		submission message.Submission
		answer     message.Answer
		rerouted   bool
	}{
		{name: "refused, no longer the holder", answer: message.Answer{Outcome: outcome.RefusedNotRun, Reason: outcome.NotHolder}, rerouted: true},
		{name: "refused for its quota", answer: message.Answer{Outcome: outcome.RefusedNotRun, Reason: outcome.Quota}},
		{name: "link lost, idempotent", idempotent: true, answer: message.Answer{Outcome: outcome.Unknown, Reason: outcome.LinkLost}, rerouted: true},
		{name: "link lost, not idempotent", answer: message.Answer{Outcome: outcome.Unknown, Reason: outcome.LinkLost}},
		{name: "unknown at the backend server", idempotent: true, answer: message.Answer{Outcome: outcome.Unknown, Reason: outcome.BackendTimeout}},
		{name: "bound by its key", submission: message.Submission{Partition: "accra-1/r1"}, answer: message.Answer{Outcome: outcome.RefusedNotRun, Reason: outcome.NotHolder}},
		{name: "forwarded by another instance", submission: message.Submission{Partition: "accra-1/r1", Forwarded: true}, answer: message.Answer{Outcome: outcome.RefusedNotRun, Reason: outcome.NotHolder}},
		{name: "answered", answer: message.Answer{Outcome: outcome.Answered, Status: 200}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(ctx context.Context, h *harness) {
				c.submission.Request = newRequest("q1", c.idempotent)
				reply := h.submit(c.submission)
				first, viaLink := h.takeSubmission(t)
				c.answer.ID = "q1"
				first.Deliver(c.answer)
				synctest.Wait()
				if !c.rerouted {
					if a := <-reply.Items(); a.Outcome != c.answer.Outcome || a.Reason != c.answer.Reason {
						t.Errorf("answer %+v, want %v %q", a, c.answer.Outcome, c.answer.Reason)
					}
					return
				}
				second, secondViaLink := h.takeSubmission(t)
				if secondViaLink == viaLink {
					t.Error("the same holder received the request again, want the other holder")
				}
				second.Deliver(message.Answer{ID: "q1", Outcome: outcome.Answered, Status: 200})
				if a := <-reply.Items(); a.Outcome != outcome.Answered {
					t.Errorf("answer %+v, want %v", a, outcome.Answered)
				}
				if n := h.counterValue(t, "lacewingfork_reroutes_total"); n != 1 {
					t.Errorf("%v reroutes counted, want 1", n)
				}
			})
		})
	}
}

// Guards against a request that waits forever for a holder that has failed, and
// against the delivery of a late answer.
func TestRequestExpiresAndLateAnswerIsDropped(t *testing.T) {
	run(t, func(_ context.Context, h *harness) {
		reply := h.submit(message.Submission{Request: newRequest("q1", true)})
		s, _ := h.takeSubmission(t)
		time.Sleep(time.Second + answerGrace + time.Millisecond)
		if a := <-reply.Items(); a.Outcome != outcome.Unknown || a.Reason != outcome.BackendTimeout {
			t.Errorf("answer %+v, want %v %q", a, outcome.Unknown, outcome.BackendTimeout)
		}
		s.Deliver(message.Answer{ID: "q1", Outcome: outcome.Answered})
		synctest.Wait()
		if reply.Stats().Depth != 0 {
			t.Error("the late answer was delivered, want it dropped")
		}
		if late := h.counterValue(t, "lacewingfork_late_answers_total"); late != 1 {
			t.Errorf("%v late answers counted, want 1", late)
		}
	})
}

// Guards against a forwarded request that loops between instances, and against
// requests to a holder whose link is down.
func TestUnreachableHoldersGetNoRequests(t *testing.T) {
	run(t, func(ctx context.Context, h *harness) {
		looped := h.submit(message.Submission{Request: newRequest("q1", true), Partition: "accra-2/r1", Forwarded: true})
		if a := <-looped.Items(); a.Outcome != outcome.RefusedNotRun || a.Reason != outcome.NotHolder {
			t.Errorf("answer to the looping request %+v, want %v %q", a, outcome.RefusedNotRun, outcome.NotHolder)
		}
		_ = h.duty.Links.Put(ctx, message.LinkChange{Peer: "e2"})
		synctest.Wait()
		for _, id := range []fleet.RequestID{"q2", "q3", "q4"} {
			h.submit(message.Submission{Request: newRequest(id, true)})
			if _, viaLink := h.takeSubmission(t); viaLink {
				t.Errorf("request %s was put on a link that is down, want it at this instance", id)
			}
		}
	})
}

// Guards against an instance whose table stays empty after a failure of its
// routing duty.
func TestRestartedDutyRoutesAgain(t *testing.T) {
	run(t, func(ctx context.Context, h *harness) {
		_ = h.duty.Submissions.Put(ctx, message.Submission{}) // the duty panics because the request is nil
		time.Sleep(time.Second)
		h.sendInputs(ctx)
		synctest.Wait()
		h.submit(message.Submission{Request: newRequest("q1", true)})
		h.takeSubmission(t)
		if requests := h.duty.Resends.Stats().Depth; requests != 2 {
			t.Errorf("the configuration was requested %d times, want 2: once for each run of the duty", requests)
		}
	})
}
