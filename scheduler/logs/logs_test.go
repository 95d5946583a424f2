package logs

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"lacewingfork.example/lacewingfork/supervise"
)

// Guards against a blocked output that delays the duties that log.
func TestEventDoesNotBlockOnBlockedOutput(t *testing.T) {
	_, unread := io.Pipe()
	lines := start(t, unread)
	startTime := time.Now()
	for n := range 5 * lineCapacity {
		lines.Event("decision", "number", n)
	}
	if took := time.Since(startTime); took > 5*time.Second {
		t.Errorf("logging %d lines took %v, want at most 5 s", 5*lineCapacity, took)
	}
	if dropped := lines.lines.Stats().Dropped; dropped == 0 {
		t.Error("got 0 dropped lines, want more than 0")
	}
}

// Guards against lines that are not JSON or lack the keys that operators search
// by.
func TestEventWritesJSONLine(t *testing.T) {
	read, write := io.Pipe()
	lines := start(t, write)
	lines.Event("job_accepted", "job", "5c0e7a21d94b36f8")
	var fields map[string]any
	if err := json.NewDecoder(read).Decode(&fields); err != nil {
		t.Fatal(err)
	}
	if fields["event"] != "job_accepted" || fields["job"] != "5c0e7a21d94b36f8" || fields["instance"] != "entry-1" || fields["at"] == nil {
		t.Errorf("got fields %v, want event job_accepted, job 5c0e7a21d94b36f8, instance entry-1 and a time", fields)
	}
}

func start(t *testing.T, w *io.PipeWriter) *Log {
	t.Helper()
	lines := New()
	tree := supervise.NewTree("test", supervise.DefaultIntensity, func(supervise.Event) {})
	lines.Start(tree, w, "entry-1", log.InfoLevel)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = tree.Serve(ctx) // ends with the context
	}()
	t.Cleanup(func() {
		cancel()
		_ = w.Close() // ends a blocked write
		<-served
	})
	return lines
}
