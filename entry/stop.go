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
	// balancerNotice is how long the instance serves new requests after it
	// stopped being ready, until the balancer has noticed.
	balancerNotice = time.Second
	// releaseTimeout bounds the wait for the release records; without them
	// the leases end by themselves.
	releaseTimeout = 3 * time.Second
	// drainPoll paces the check whether the partition duties have ended.
	drainPoll = 50 * time.Millisecond
)

// stopper runs the planned stop: not ready, partitions given up, requests in
// progress answered.
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

// gracefully returns once nothing is in progress or the context ends.
func (s *stopper) gracefully(ctx context.Context) {
	s.operations.SetDraining()
	wait.For(ctx, balancerNotice)
	s.releasePartitions(ctx)
	if err := s.callers.Shutdown(ctx); err != nil {
		s.log.Error("requests were cut off", "event", "stop_cut_requests", "error", err)
	}
	s.awaitPartitions(ctx)
}

// releasePartitions gives the partitions up in the log, so that others claim
// them at once; new requests are forwarded meanwhile.
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

// awaitPartitions waits until no partition duty runs any more, so that
// requests forwarded by other instances are answered too.
func (s *stopper) awaitPartitions(ctx context.Context) {
	for ctx.Err() == nil {
		states, err := s.tree.Directory().RingStats(ctx)
		if err != nil || !hasPartitionDuty(states) {
			return
		}
		wait.For(ctx, drainPoll)
	}
}

func hasPartitionDuty(states []supervise.DutyState) bool {
	for _, state := range states {
		if strings.Contains(state.Duty, "/scheduling/") && strings.Contains(state.Duty, "@") {
			return true
		}
	}
	return false
}
