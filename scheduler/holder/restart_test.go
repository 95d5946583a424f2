package holder

import (
	"context"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/decision/cell"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/internal/clock"
	"lacewingfork.example/lacewingfork/scheduler/logs"
	"lacewingfork.example/lacewingfork/scheduler/message"
	"lacewingfork.example/lacewingfork/supervise"
)

// Guards against an election that believes in a holder whose duty has failed, and
// against callers that wait for it until their deadline.
func TestRestartedHolderGivesUpItsRole(t *testing.T) {
	rings := NewRings()
	rings.RoleEnded = supervise.NewRing[fleet.Epoch]("test.ended", 1, supervise.DropOldest)
	rings.FollowServers = supervise.NewRing[bool]("test.follow", 1, supervise.DropOldest)
	d := New(rings, "self", cell.DefaultSettings(), clock.New(), logs.New(), prometheus.NewRegistry())
	reply := supervise.NewRing[message.Response]("test.reply", 1, supervise.Refuse)
	d.role = &role{epoch: 7, cell: cell.New(cell.DefaultSettings(), 1), requests: map[cell.Token]message.Request{1: {Reply: reply}}}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_ = d.run(ctx, nil) // as after a panic, the supervisor runs the duty again
	if rings.RoleEnded.Stats().Depth != 1 || <-rings.RoleEnded.Items() != 7 {
		t.Error("got no end of the role with epoch 7 from the restarted duty, want one")
	}
	if reply.Stats().Depth != 1 || !(<-reply.Items()).NotHolder {
		t.Error("got no answer to a waiting request, want that the instance does not hold the cell")
	}
}
