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

// Guards against an output that nobody reads and that delays a decision.
func TestEventDoesNotBlockOnBlockedOutput(t *testing.T) {
	_, unread := io.Pipe()
	lines := start(t, unread)
	begun := time.Now()
	for n := range 5 * lineCapacity {
		lines.Event("decision", "number", n)
	}
	if took := time.Since(begun); took > 5*time.Second {
		t.Errorf("%d lines took %v", 5*lineCapacity, took)
	}
	if dropped := lines.lines.Stats().Dropped; dropped == 0 {
		t.Error("no line was counted as left out")
	}
}

// Guards against lines that are no JSON or lack the keys by which they are found.
func TestEventWritesJSONLine(t *testing.T) {
	read, write := io.Pipe()
	lines := start(t, write)
	lines.Event("job_accepted", "job", "5c0e7a21d94b36f8")
	var fields map[string]any
	if err := json.NewDecoder(read).Decode(&fields); err != nil {
		t.Fatal(err)
	}
	if fields["event"] != "job_accepted" || fields["job"] != "5c0e7a21d94b36f8" || fields["instance"] != "entry-1" || fields["at"] == nil {
		t.Errorf("got %v", fields)
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
		_ = w.Close() // ends a write that nobody reads
		<-served
	})
	return lines
}
