// Package workers is the supervisor of the calls to the workers. The manager
// duty starts a hold duty for each worker, which makes the hold calls that wait
// for the worker's lists. A fixed number of order duties executes starts, and
// another of control duties stops, throttles, advice calls and holds that do not
// wait: calls of one kind to silent workers do not hold up the other kind. The duties
// own only the call in progress. When a duty fails, its call counts as unanswered
// after the holder's own timeout.
package workers

import (
	"context"
	"fmt"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/decision/cell"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/internal/clock"
	"lacewingfork.example/lacewingfork/scheduler/api"
	"lacewingfork.example/lacewingfork/scheduler/message"
	"lacewingfork.example/lacewingfork/supervise"
)

const (
	// orderDuties is the number of concurrent starts. It exceeds the 112 without an
	// answer that a cell may have ordered.
	orderDuties = 128
	// controlDuties is the number of concurrent calls of the other kinds.
	controlDuties = 128
	// orderCapacity covers the starts of a job with the maximum number of tasks
	// in every queue at once.
	orderCapacity = 8192
	// holdCapacity covers one hold for every worker of a deployment.
	holdCapacity = 1024
	// orderTimeout is the time limit of a call for which the decisions give none.
	orderTimeout = 700 * time.Millisecond
	// adviceCalls is the number of this instance's calls that an advisor may
	// have to process until a new call is answered, including that call.
	adviceCalls = 3
	// maxStartAge is the age above which a start is not sent: its job may have
	// been cancelled, and its worker may have become unreachable, since it was
	// ordered.
	maxStartAge = time.Second
	// holdIdleTimeout ends the hold duty of a worker that is no longer held.
	holdIdleTimeout = 30 * time.Second
)

// Supervisor runs the manager, hold and order duties.
type Supervisor struct {
	tree        *supervise.Tree
	workers     api.Workers
	advisor     api.Advisor
	clock       *clock.Clock
	events      *supervise.Ring[message.WorkerEvent]
	callSeconds *prometheus.HistogramVec

	// Orders carries starts, stops, throttles, advice calls and holds that do
	// not wait.
	Orders *supervise.Ring[message.Order]
	// Holds carries holds that wait.
	Holds *supervise.Ring[message.Order]
	// controls carries what is not a start from the order duties to the control
	// duties.
	controls *supervise.Ring[message.Order]
	// idleHolds carries the workers whose hold duty has had no hold for
	// holdIdleTimeout.
	idleHolds *supervise.Ring[fleet.BackendServerID]
}

// New adds the supervisor below root. The workers' answers go to events.
func New(root *supervise.Tree, workers api.Workers, advisor api.Advisor, c *clock.Clock, events *supervise.Ring[message.WorkerEvent], registry prometheus.Registerer) *Supervisor {
	s := &Supervisor{
		tree: root.Child("workers", supervise.DefaultIntensity), workers: workers, advisor: advisor, clock: c, events: events,
		Orders:    supervise.NewRing[message.Order]("workers.orders", orderCapacity, supervise.Refuse),
		controls:  supervise.NewRing[message.Order]("workers.controls", orderCapacity, supervise.Wait),
		Holds:     supervise.NewRing[message.Order]("workers.holds", holdCapacity, supervise.Refuse),
		idleHolds: supervise.NewRing[fleet.BackendServerID]("workers.idle", holdCapacity, supervise.Wait),
		callSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lacewingfork_worker_call_seconds", Help: "Time of calls to workers, except holds that wait.",
			Buckets: []float64{0.001, 0.005, 0.02, 0.05, 0.1, 0.3, 0.7},
		}, []string{"call", "outcome"}),
	}
	registry.MustRegister(s.callSeconds)
	s.tree.Start(supervise.Duty{Name: "manager", Rings: []supervise.AnyRing{s.Holds, s.idleHolds, s.Orders, s.controls}, Run: s.manage})
	for i := range orderDuties {
		s.tree.Start(supervise.Duty{Name: fmt.Sprintf("order/%d", i), Run: s.order})
	}
	for i := range controlDuties {
		s.tree.Start(supervise.Duty{Name: fmt.Sprintf("control/%d", i), Run: s.control})
	}
	return s
}

// manage passes each hold to the hold duty of its worker.
func (s *Supervisor) manage(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	duties := map[fleet.BackendServerID]*holdDuty{}
	defer func() {
		for _, d := range duties {
			d.handle.Cancel()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case o := <-s.Holds.Items():
			id := o.Action.(cell.Hold).Server
			d := duties[id]
			if d == nil {
				d = s.startHold(id)
				duties[id] = d
			}
			// Only the newest hold is kept: an older one belongs to an earlier
			// epoch.
			_ = d.holds.Put(ctx, o)
		case id := <-s.idleHolds.Items():
			if d := duties[id]; d != nil && d.holds.Stats().Depth == 0 {
				d.handle.Cancel()
				delete(duties, id)
			}
		case r := <-dumps:
			r.Answer(map[string]int{"workers": len(duties)})
		}
	}
}

// holdDuty is the duty that makes the holds of one worker.
type holdDuty struct {
	holds  *supervise.Ring[message.Order]
	handle supervise.Handle
}

func (s *Supervisor) startHold(id fleet.BackendServerID) *holdDuty {
	d := &holdDuty{holds: supervise.NewRing[message.Order](fmt.Sprintf("workers.%s.holds", id), 1, supervise.DropOldest)}
	d.handle = s.tree.Start(supervise.Duty{
		Name: "hold/" + string(id), Rings: []supervise.AnyRing{d.holds},
		Run: func(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
			return s.hold(ctx, id, d.holds, dumps)
		},
	})
	return d
}

// hold is the loop of the hold duty of one worker.
func (s *Supervisor) hold(ctx context.Context, id fleet.BackendServerID, holds *supervise.Ring[message.Order], dumps <-chan supervise.DumpRequest) error {
	idle := time.NewTimer(holdIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case o := <-holds.Items():
			s.call(ctx, o)
			idle.Reset(holdIdleTimeout)
		case <-idle.C:
			if err := s.idleHolds.Put(ctx, id); err != nil {
				return err
			}
			idle.Reset(holdIdleTimeout)
		case r := <-dumps:
			r.Answer(nil)
		}
	}
}

// order is the loop of one order duty. It makes starts and passes the other calls on.
func (s *Supervisor) order(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case o := <-s.Orders.Items():
			if _, ok := o.Action.(cell.Start); ok {
				s.call(ctx, o)
				continue
			}
			if err := s.controls.Put(ctx, o); err != nil {
				return err
			}
		case r := <-dumps:
			r.Answer(nil)
		}
	}
}

// control is the loop of one control duty.
func (s *Supervisor) control(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case o := <-s.controls.Items():
			s.call(ctx, o)
		case r := <-dumps:
			r.Answer(nil)
		}
	}
}

// timeoutOf returns the time limit of a call, beyond the time that a hold may wait.
func timeoutOf(a cell.Action) time.Duration {
	timeout := time.Duration(0)
	switch a := a.(type) {
	case cell.Hold:
		timeout = a.Timeout
	case cell.Start:
		timeout = a.Timeout
	case cell.Stop:
		timeout = a.Timeout
	case cell.Advise:
		timeout = orderTimeout + adviceCalls*a.Duration
	}
	if timeout == 0 {
		return orderTimeout
	}
	return timeout
}

// call executes one order and reports its outcome.
func (s *Supervisor) call(ctx context.Context, o message.Order) {
	holdWait := time.Duration(0)
	if h, ok := o.Action.(cell.Hold); ok {
		holdWait = h.Wait
	}
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(o.Action)+holdWait)
	defer cancel()
	start := time.Now()
	event, name, ok := s.execute(ctx, o)
	if event == nil {
		return
	}
	outcome := "answered"
	if !ok {
		outcome = "unanswered"
	}
	if holdWait == 0 {
		s.callSeconds.WithLabelValues(name, outcome).Observe(time.Since(start).Seconds())
	}
	// Put waits for room in the ring. When the process ends the answer is not
	// needed.
	_ = s.events.Put(context.WithoutCancel(ctx), message.WorkerEvent{Epoch: o.Epoch, Event: event, AnsweredAt: s.clock.Steady()})
}

// execute makes the call of an order. It returns the resulting event, or nil if
// the action is no call, and the call's name; ok means that it was answered.
func (s *Supervisor) execute(ctx context.Context, o message.Order) (event cell.Event, name string, ok bool) {
	switch a := o.Action.(type) {
	case cell.Hold:
		held := s.workers.Hold(ctx, o.Epoch, a)
		return held, "hold", held.OK
	case cell.Start:
		if s.clock.Steady()-o.IssuedAt > maxStartAge {
			return cell.StartAnswered{Server: a.Server, Task: a.Task, Attempt: a.Attempt, Outcome: cell.StartNotSent, Sent: o.IssuedAt}, "start", true
		}
		started := s.workers.Start(ctx, o.Epoch, a)
		return started, "start", started.Outcome != cell.StartUnknown
	case cell.Stop:
		stopped := s.workers.Stop(ctx, o.Epoch, a)
		return stopped, "stop", stopped.OK
	case cell.Throttle:
		throttled := s.workers.Throttle(ctx, o.Epoch, a)
		return throttled, "pace", throttled.OK
	case cell.Advise:
		advised := s.advisor.Advise(ctx, a)
		return advised, "advise", advised.OK
	default:
		return nil, "", false
	}
}
