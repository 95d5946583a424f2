package entry

import (
	"context"
	"strings"
	"time"

	"github.com/charmbracelet/log"

	"lacewingfork.example/lacewingfork/entry/callers"
	"lacewingfork.example/lacewingfork/entry/operations"
	"lacewingfork.example/lacewingfork/supervise"
)

const (
	// balancerNotice is how long the instance serves new requests after it
	// stopped being ready, until the balancer has noticed.
	balancerNotice = time.Second
	// drainPoll paces the check whether the partition duties have ended.
	drainPoll = 50 * time.Millisecond
)

// stopper runs the planned stop: not ready, partitions given up, requests in
// progress answered.
type stopper struct {
	tree       *supervise.Tree
	callers    *callers.Supervisor
	operations *operations.Supervisor
	log        *log.Logger
}

func newStopper(tree *supervise.Tree, c *callers.Supervisor, o *operations.Supervisor, logger *log.Logger) *stopper {
	return &stopper{tree: tree, callers: c, operations: o, log: logger}
}

// gracefully returns once nothing is in progress or the context ends.
func (s *stopper) gracefully(ctx context.Context) {
	s.operations.SetDraining()
	s.pause(ctx, balancerNotice)
	if err := s.callers.Shutdown(ctx); err != nil {
		s.log.Error("requests were cut off", "event", "stop_cut_requests", "error", err)
	}
	s.awaitPartitions(ctx)
}

// awaitPartitions waits until no partition duty runs any more, so that
// requests forwarded by other instances are answered too.
func (s *stopper) awaitPartitions(ctx context.Context) {
	for ctx.Err() == nil {
		states, err := s.tree.Directory().RingStats(ctx)
		if err != nil || !hasPartitionDuty(states) {
			return
		}
		s.pause(ctx, drainPoll)
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

func (s *stopper) pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
