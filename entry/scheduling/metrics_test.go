package scheduling

import (
	"context"
	"fmt"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/outcome"
)

// values returns every gauge, counter and histogram count by name and labels.
func (h *harness) values(t *testing.T) map[string]float64 {
	t.Helper()
	families, err := h.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	values := map[string]float64{}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			name := f.GetName()
			for _, l := range m.GetLabel() {
				name += " " + l.GetValue()
			}
			values[name] = m.GetGauge().GetValue() + m.GetCounter().GetValue() + float64(m.GetHistogram().GetSampleCount())
		}
	}
	return values
}

func expectValues(t *testing.T, h *harness, want map[string]float64) {
	t.Helper()
	got := h.values(t)
	for name, value := range want {
		if got[name] != value {
			t.Errorf("%s is %v, want %v", name, got[name], value)
		}
	}
}

func slots(inUse, unknown, free float64) map[string]float64 {
	return map[string]float64{
		"lacewingfork_slots in_use": inUse, "lacewingfork_slots unknown": unknown, "lacewingfork_slots free": free,
	}
}

// Guards against slots that are counted in the wrong state or stay counted
// after the partition is gone, and against a wait that is not observed.
func TestSlotsAndWaitsAreCounted(t *testing.T) {
	run(t, func(ctx context.Context, h *harness) {
		expectValues(t, h, slots(0, 0, 2))
		for i := range 3 {
			h.submit(fmt.Sprint("q", i), "")
		}
		expectValues(t, h, slots(2, 0, 0))
		expectValues(t, h, map[string]float64{"lacewingfork_slot_wait_seconds urgent short": 2})
		h.end(outcome.Unknown, "")
		expectValues(t, h, slots(1, 1, 0))
		h.end(outcome.Answered, "")
		expectValues(t, h, map[string]float64{"lacewingfork_slot_wait_seconds urgent short": 3})
		h.end(outcome.Answered, "")
		expectValues(t, h, slots(0, 1, 1))
		_ = h.duty.rings.release.Put(ctx, struct{}{})
		time.Sleep(time.Second)
		expectValues(t, h, slots(0, 0, 0))
	})
}
