package scheduler

import (
	"context"
	"time"

	"lacewingfork.example/lacewingfork/internal/wait"
	"lacewingfork.example/lacewingfork/scheduler/callers"
	"lacewingfork.example/lacewingfork/scheduler/election"
	"lacewingfork.example/lacewingfork/scheduler/holder"
	"lacewingfork.example/lacewingfork/scheduler/logs"
	"lacewingfork.example/lacewingfork/scheduler/operations"
	"lacewingfork.example/lacewingfork/scheduler/settings"
	"lacewingfork.example/lacewingfork/supervise"
)

const (
	// balancerDelay is how long the load balancer still sends new connections
	// after the instance has become not ready: it needs two failed checks, one
	// second apart.
	balancerDelay = 2200 * time.Millisecond
	// killMargin is the part of the platform's grace period that is reserved
	// for writing the last responses before the kill.
	killMargin = 700 * time.Millisecond
)

// stopper runs a planned stop: it makes the instance not ready, hands the cell
// over and waits for the calls in progress.
type stopper struct {
	grace      time.Duration
	callers    *callers.Supervisor
	operations *operations.Supervisor
	stepDown   *supervise.Ring[struct{}]
	withdraw   *supervise.Ring[struct{}]
	log        *logs.Log
}

func newStopper(
	s settings.Settings, c *callers.Supervisor, o *operations.Supervisor, h *holder.Rings, e *election.Rings, lines *logs.Log,
) *stopper {
	return &stopper{
		grace: s.Bounds.Grace, callers: c, operations: o, stepDown: h.StepDown, withdraw: e.Stopping, log: lines,
	}
}

// run returns when no call is in progress or ctx is done.
func (s *stopper) run(ctx context.Context) {
	start := time.Now()
	s.log.Event("stop_began", "grace_ms", s.grace.Milliseconds())
	// These rings drop their oldest item when full, so Put does not fail.
	_ = s.operations.Draining.Put(ctx, struct{}{})
	_ = s.withdraw.Put(ctx, struct{}{})
	_ = s.stepDown.Put(ctx, struct{}{})
	s.callers.Drain()
	ctx, cancel := context.WithTimeout(ctx, s.grace-killMargin)
	defer cancel()
	wait.For(ctx, balancerDelay)
	if err := s.callers.Shutdown(ctx); err != nil {
		s.log.Event("stop_cut_calls", "error", err)
	}
	s.log.Event("stop_ended", "took_ms", time.Since(start).Milliseconds())
}
