package store

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/internal/clock"
	"lacewingfork.example/lacewingfork/scheduler/api"
	"lacewingfork.example/lacewingfork/scheduler/logs"
	"lacewingfork.example/lacewingfork/scheduler/message"
	"lacewingfork.example/lacewingfork/supervise"
)

const answerTime = 100 * time.Millisecond

// answeringStore answers each append after answerTime, with the errors in turn and then
// without one.
type answeringStore struct {
	api.Store
	errors []error
}

func (s *answeringStore) Append(context.Context, api.Append) (fleet.Offset, error) {
	time.Sleep(answerTime) // in a synctest bubble
	if len(s.errors) == 0 {
		return 0, nil
	}
	err := s.errors[0]
	s.errors = s.errors[1:]
	return 0, err
}

// Guards against a confirmation of the role as of a later attempt than the one that the
// store has executed: it repeats the answer to that one.
func TestAppendConfirmsFirstAttemptThatMayHaveBeenExecuted(t *testing.T) {
	lost := errors.New("no answer")
	for _, c := range []struct {
		name   string
		errors []error
		want   time.Duration // from the call to the confirmed moment
	}{
		{"acknowledged at once", nil, 0},
		{"answer lost", []error{lost, lost}, 0},
		{"not executed, then answer lost", []error{api.ErrUnavailable, lost}, answerTime + appendRetryInterval},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				results := supervise.NewRing[message.AppendResult]("test.results", 1, supervise.Wait)
				tree := supervise.NewTree("test", supervise.DefaultIntensity, func(supervise.Event) {})
				steady := clock.New()
				w := NewWriter(tree, &answeringStore{errors: c.errors}, steady, logs.New(), results, prometheus.NewRegistry())
				began := steady.Steady()
				if err := w.write(t.Context(), Append{Epoch: 7}); err != nil {
					t.Fatal(err)
				}
				if result := <-results.Items(); result.SentAt-began != c.want {
					t.Errorf("got a confirmation as of %v after the call, want %v", result.SentAt-began, c.want)
				}
			})
		})
	}
}
