package supervise

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/go-faster/errors"
	"github.com/thejerf/suture/v4"
)

// Duty is one goroutine with state of its own.
type Duty struct {
	// Name is unique among the duties of its supervisor.
	Name string
	// Rings are the duty's input rings, for the state dump and the metrics.
	Rings []AnyRing
	// Run builds clean state and serves until the context ends. It must
	// answer each request on dumps with a JSON-encodable value that shares
	// nothing with the live state. Requests that the duty holds when Run
	// returns or panics have to be answered by a deferred call.
	Run func(ctx context.Context, dumps <-chan DumpRequest) error
}

// DumpRequest asks a duty for its state.
type DumpRequest struct{ reply chan any }

// Answer hands the state to whoever asked. It never blocks.
func (r DumpRequest) Answer(state any) {
	select {
	case r.reply <- state:
	default:
	}
}

// Intensity bounds the restarts of each duty of a supervisor. A duty that
// fails more than Failures times within Window ends the whole process in
// order, because a restart with clean state did not help.
type Intensity struct {
	Failures int
	Window   time.Duration
}

// DefaultIntensity tolerates a fault that strikes a few times in a row, such
// as an address that is still in use.
var DefaultIntensity = Intensity{Failures: 5, Window: 30 * time.Second}

// PanicError is a panic of a duty, with its stack.
type PanicError struct {
	Value any
	Stack string
}

func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

// service adapts a Duty to suture. Only the goroutine that suture runs it on
// touches its fields.
type service struct {
	duty      Duty
	path      string
	intensity Intensity
	directory *Directory
	events    func(Event)
	failures  []time.Time
}

func (s *service) String() string { return s.path }

// Serve runs the duty once. The result tells suture whether to restart it.
func (s *service) Serve(ctx context.Context) error {
	dumps := make(chan DumpRequest, 1)
	s.directory.register(ctx, s.path, dumps, s.duty.Rings)
	defer s.directory.unregister(ctx, s.path, dumps)

	err := s.runRecovered(ctx, dumps)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err == nil {
		return suture.ErrDoNotRestart
	}
	if s.tooManyFailures(time.Now()) {
		s.events(Event{Duty: s.path, Kind: GaveUp, Err: err})
		return errors.Wrap(suture.ErrTerminateSupervisorTree, s.path)
	}
	s.events(Event{Duty: s.path, Kind: Restarted, Err: err})
	return err
}

func (s *service) runRecovered(ctx context.Context, dumps <-chan DumpRequest) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &PanicError{Value: v, Stack: string(debug.Stack())}
		}
	}()
	return s.duty.Run(ctx, dumps)
}

func (s *service) tooManyFailures(now time.Time) bool {
	recent := s.failures[:0]
	for _, at := range s.failures {
		if now.Sub(at) < s.intensity.Window {
			recent = append(recent, at)
		}
	}
	s.failures = append(recent, now)
	return len(s.failures) > s.intensity.Failures
}
