package supervise

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/thejerf/suture/v4"
)

// Guards against a duty that is not restarted after a panic, or that is restarted
// with the state of its failed run.
func TestPanickingDutyRestartsWithCleanState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var events []Event
		tree := NewTree("test", DefaultIntensity, func(e Event) { events = append(events, e) })
		starts := make(chan int, 8)
		run := 0
		tree.Start(Duty{Name: "flaky", Run: func(ctx context.Context, dumps <-chan DumpRequest) error {
			run++
			state := 0
			starts <- state
			if run == 1 {
				state = 7
				panic("first run fails")
			}
			for {
				select {
				case <-ctx.Done():
					return ctx.Err()
				case r := <-dumps:
					r.Answer(state)
				}
			}
		}})
		ctx, cancel := context.WithCancel(t.Context())
		done := tree.supervisor.ServeBackground(ctx)
		<-starts
		if state := <-starts; state != 0 {
			t.Errorf("second run began with state %d, want 0", state)
		}
		dump, err := tree.Directory().Dump(ctx, func(p string) bool { return p == "test/flaky" })
		if err != nil || len(dump) != 1 || dump[0].State != 0 {
			t.Errorf("dump is %+v with error %v, want one duty with state 0", dump, err)
		}
		cancel()
		<-done
		if len(events) != 1 || events[0].Kind != Restarted {
			t.Errorf("got events %+v, want one restart", events)
		}
	})
}

// Guards against a tree that restarts a duty without limit when every run fails.
func TestTreeGivesUpWhenIntensityIsExceeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tree := NewTree("test", Intensity{Failures: 3, Window: time.Minute}, func(Event) {})
		child := tree.Child("child", Intensity{Failures: 3, Window: time.Minute})
		runs := 0
		child.Start(Duty{Name: "failing", Run: func(context.Context, <-chan DumpRequest) error {
			runs++
			return errors.New("address in use")
		}})
		err := tree.Serve(t.Context())
		if !errors.Is(err, suture.ErrTerminateSupervisorTree) || runs != 4 {
			t.Fatalf("Serve returned %v after %d runs, want ErrTerminateSupervisorTree after 4", err, runs)
		}
	})
}
