package entry

import (
	"context"
	"strings"
	"time"

	"github.com/charmbracelet/log"

	"lacewingfork.example/lacewingfork/entry/callers"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/entry/operations"
	"lacewingfork.example/lacewingfork/entry/ownership"
	"lacewingfork.example/lacewingfork/internal/wait"
	"lacewingfork.example/lacewingfork/supervise"
)

const (
	// balancerGrace is how long the instance accepts new requests after it has
	// become not ready, so that the load balancer can detect the change.
	balancerGrace = time.Second
	// releaseTimeout bounds the wait until the release records are read back.
	// Leases that are not released by then expire.
	releaseTimeout = 3 * time.Second
	// drainPollInterval is the interval between checks whether the partition
	// duties have ended.
	drainPollInterval = 50 * time.Millisecond
)

// stopper runs the planned stop: the instance becomes not ready, releases its
// partitions and answers the requests in progress.
type stopper struct {
	tree       *supervise.Tree
	callers    *callers.Supervisor
	operations *operations.Supervisor
	releases   *supervise.Ring[message.ReleaseAll]
	log        *log.Logger
}

func newStopper(
	tree *supervise.Tree, c *callers.Supervisor, o *operations.Supervisor, owner *ownership.Rings, logger *log.Logger,
) *stopper {
	return &stopper{tree: tree, callers: c, operations: o, releases: owner.Releases, log: logger}
}

// drain runs the planned stop and returns when nothing is in progress any more or
// ctx ends.
func (s *stopper) drain(ctx context.Context) {
	s.operations.SetDraining()
	wait.For(ctx, balancerGrace)
	s.releasePartitions(ctx)
	if err := s.callers.Shutdown(ctx); err != nil {
		s.log.Error("stop aborted requests in progress", "event", "stop_cut_requests", "error", err)
	}
	s.awaitPartitions(ctx)
}

// releasePartitions releases the partitions in the log, so that other instances
// claim them immediately. New requests are forwarded meanwhile.
func (s *stopper) releasePartitions(ctx context.Context) {
	reply := supervise.NewRing[message.AllReleased]("stop.released", 1, supervise.Refuse)
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout+time.Second)
	defer cancel()
	if s.releases.Put(ctx, message.ReleaseAll{Timeout: releaseTimeout, Reply: reply}) != nil {
		return
	}
	select {
	case released := <-reply.Items():
		s.log.Info("partitions released", "event", "stop_released", "complete", released.Complete)
	case <-ctx.Done():
	}
}

// awaitPartitions waits until no partition duty is running, so that requests
// forwarded by other instances are answered too.
func (s *stopper) awaitPartitions(ctx context.Context) {
	for ctx.Err() == nil {
		states, err := s.tree.Directory().RingStats(ctx)
		if err != nil || !hasPartitionDuty(states) {
			return
		}
		wait.For(ctx, drainPollInterval)
	}
}

// hasPartitionDuty reports whether a partition duty is running; its name contains
// the partition and, after "@", the epoch.
func hasPartitionDuty(states []supervise.DutyState) bool {
	for _, state := range states {
		if strings.Contains(state.Duty, "/scheduling/") && strings.Contains(state.Duty, "@") {
			return true
		}
	}
	return false
}
