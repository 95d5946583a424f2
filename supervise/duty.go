package supervise

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/go-faster/errors"
	"github.com/thejerf/suture/v4"
)

// Duty is a goroutine that owns its state.
type Duty struct {
	// Name is unique among the duties of its supervisor.
	Name string
	// Rings are the duty's input rings. The state dump and the metrics read
	// their counters.
	Rings []AnyRing
	// Run builds clean state and serves until the context ends. It must
	// answer each request on dumps with a JSON-encodable value that shares
	// no memory with the live state. A deferred call must answer the
	// requests that are still pending when Run returns or panics.
	Run func(ctx context.Context, dumps <-chan DumpRequest) error
}

// DumpRequest asks a duty for its state.
type DumpRequest struct{ reply chan any }

// Answer sends the state to the requester. It never blocks.
func (r DumpRequest) Answer(state any) {
	select {
	case r.reply <- state:
	default:
	}
}

// Intensity bounds the restarts of each duty of a supervisor. When a duty fails
// more than Failures times within Window, the whole process shuts down in order:
// restarting with clean state did not clear the fault.
type Intensity struct {
	Failures int
	Window   time.Duration
}

// DefaultIntensity tolerates a transient fault that recurs a few times, such as
// an address that is still in use.
var DefaultIntensity = Intensity{Failures: 5, Window: 30 * time.Second}

// PanicError is the error of a duty that panicked, with the stack of the panic.
type PanicError struct {
	Value any
	Stack string
}

func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

// service adapts a Duty to suture.Service. Only the goroutine that suture runs it
// on accesses its fields.
type service struct {
	duty      Duty
	path      string
	intensity Intensity
	directory *Directory
	events    func(Event)
	failures  []time.Time // within the window of the intensity
}

func (s *service) String() string { return s.path }

// Serve runs the duty once. The error tells suture whether to restart it.
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

// runRecovered runs the duty and returns a panic as a PanicError.
func (s *service) runRecovered(ctx context.Context, dumps <-chan DumpRequest) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &PanicError{Value: v, Stack: string(debug.Stack())}
		}
	}()
	return s.duty.Run(ctx, dumps)
}

// tooManyFailures records a failure and reports whether the intensity is exceeded.
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
