package holder

import (
	"maps"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/decision/cell"
)

// Guards against decisions by cost that no metric shows, and against counts on
// deployments without triage by cost.
func TestDecisionsByCostAreCounted(t *testing.T) {
	registry := prometheus.NewRegistry()
	m := newMetrics(registry)
	detail := func(reason string) map[string]any { return map[string]any{"priority": 2, "reason": reason} }
	for _, n := range []cell.Note{
		{Event: cell.NoteRejected, Detail: detail("overload")},
		{Event: cell.NoteRejected, Detail: map[string]any{"reason": "store_silent"}},
		{Event: cell.NoteRoomMade, Detail: detail("no_use")},
		{Event: cell.NoteTaskWaits, Detail: detail("no_memory")},
	} {
		m.observeNote(n)
	}
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]float64{}
	for _, family := range families {
		if family.GetName() != "lacewingfork_triage_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			labels := ""
			for _, l := range metric.GetLabel() {
				labels += l.GetValue() + " "
			}
			got[labels] = metric.GetCounter().GetValue()
		}
	}
	if want := map[string]float64{"rejected 2 overload ": 1, "stopped 2 no_use ": 1, "delayed 2 no_memory ": 1}; !maps.Equal(got, want) {
		t.Errorf("got the counts %v, want %v", got, want)
	}
}
