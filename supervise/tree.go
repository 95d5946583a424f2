package supervise

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/thejerf/suture/v4"
)

// stopTimeout bounds the wait for a duty to return after its context has ended.
const stopTimeout = 5 * time.Second

// restartDelay is the least time between two starts of a failing duty. Without
// it, a duty that fails immediately would keep a core busy.
const restartDelay = 50 * time.Millisecond

// EventKind says what a supervisor did.
type EventKind string

const (
	// Restarted means that a duty failed and is restarted with clean state.
	Restarted EventKind = "duty_restarted"
	// GaveUp means that a duty exceeded its restart intensity and the tree
	// shuts down.
	GaveUp EventKind = "supervisor_gave_up"
	// StopTimedOut means that a duty did not return within the stop timeout.
	StopTimedOut EventKind = "duty_stop_timeout"
)

// Event describes one action of a supervisor.
type Event struct {
	Duty string
	Kind EventKind
	Err  error
}

// Tree is a supervisor. It starts its duties and child supervisors, restarts
// duties that fail and stops all of them when it is stopped itself.
type Tree struct {
	supervisor *suture.Supervisor
	path       string
	intensity  Intensity
	directory  *Directory
	events     func(Event)
}

// NewTree returns the root supervisor of a process. It calls events on the
// goroutine of the duty that an event is about.
func NewTree(name string, intensity Intensity, events func(Event)) *Tree {
	t := &Tree{path: name, intensity: intensity, directory: newDirectory(), events: events}
	t.supervisor = suture.New(name, t.spec())
	t.supervisor.Add(t.service(Duty{Name: "directory", Run: t.directory.run}))
	return t
}

// Child adds a supervisor below this one and returns it.
func (t *Tree) Child(name string, intensity Intensity) *Tree {
	child := &Tree{
		path: t.path + "/" + name, intensity: intensity,
		directory: t.directory, events: t.events,
	}
	child.supervisor = suture.New(child.path, child.spec())
	t.supervisor.Add(child.supervisor)
	return child
}

// Handle identifies a duty that was started, so that it can be stopped.
type Handle struct {
	tree  *Tree
	token suture.ServiceToken
}

// Start adds a duty. It runs as soon as the tree serves.
func (t *Tree) Start(d Duty) Handle {
	return Handle{tree: t, token: t.supervisor.Add(t.service(d))}
}

// Stop ends a duty and waits for its return. It returns an error when the duty
// is still running after the stop timeout.
func (h Handle) Stop() error {
	if err := h.tree.supervisor.RemoveAndWait(h.token, stopTimeout); err != nil {
		return errors.Wrap(err, h.tree.path)
	}
	return nil
}

// Cancel ends a duty without waiting for its return.
func (h Handle) Cancel() { _ = h.tree.supervisor.Remove(h.token) }

// Serve runs the tree until the context ends or a duty exceeds its restart
// intensity.
func (t *Tree) Serve(ctx context.Context) error {
	return errors.Wrap(t.supervisor.Serve(ctx), t.path)
}

// Directory returns the directory of the running duties.
func (t *Tree) Directory() *Directory { return t.directory }

func (t *Tree) service(d Duty) *service {
	return &service{
		duty: d, path: t.path + "/" + d.Name, intensity: t.intensity,
		directory: t.directory, events: t.events,
	}
}

// spec leaves restarts to suture. The limit on restarts is enforced by service,
// because suture only delays a failing service and never stops restarting it.
func (t *Tree) spec() suture.Spec {
	return suture.Spec{
		EventHook:        t.reportStopTimeout,
		FailureThreshold: 1,
		FailureDecay:     1,
		FailureBackoff:   restartDelay,
		Timeout:          stopTimeout,
	}
}

// reportStopTimeout reports a duty that did not return within the stop timeout. It
// ignores suture's other events, because service reports restarts itself.
func (t *Tree) reportStopTimeout(e suture.Event) {
	if timeout, ok := e.(suture.EventStopTimeout); ok {
		t.events(Event{Duty: timeout.ServiceName, Kind: StopTimedOut})
	}
}
