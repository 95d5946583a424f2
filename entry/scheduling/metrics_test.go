package scheduling

import (
	"context"
	"fmt"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/outcome"
)

// metricValues returns the value of every gauge and counter and the sample count of
// every histogram, by name and label values.
func (h *harness) metricValues(t *testing.T) map[string]float64 {
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

func expectMetrics(t *testing.T, h *harness, want map[string]float64) {
	t.Helper()
	got := h.metricValues(t)
	for name, value := range want {
		if got[name] != value {
			t.Errorf("metric %s: got %v, want %v", name, got[name], value)
		}
	}
}

func slotMetrics(inUse, unknown, free float64) map[string]float64 {
	return map[string]float64{
		"lacewingfork_slots in_use": inUse, "lacewingfork_slots unknown": unknown, "lacewingfork_slots free": free,
	}
}

// Guards against slots that are counted in the wrong state or are still counted
// after the partition is released, and against a slot wait that is not observed.
func TestSlotsAndWaitsAreCounted(t *testing.T) {
	runPartition(t, func(ctx context.Context, h *harness) {
		expectMetrics(t, h, slotMetrics(0, 0, 2))
		for i := range 3 {
			h.submit(fmt.Sprint("q", i), "")
		}
		expectMetrics(t, h, slotMetrics(2, 0, 0))
		expectMetrics(t, h, map[string]float64{"lacewingfork_slot_wait_seconds urgent short": 2})
		h.endExchange(outcome.Unknown, "")
		expectMetrics(t, h, slotMetrics(1, 1, 0))
		h.endExchange(outcome.Answered, "")
		expectMetrics(t, h, map[string]float64{"lacewingfork_slot_wait_seconds urgent short": 3})
		h.endExchange(outcome.Answered, "")
		expectMetrics(t, h, slotMetrics(0, 1, 1))
		_ = h.duty.rings.release.Put(ctx, struct{}{})
		time.Sleep(time.Second)
		expectMetrics(t, h, slotMetrics(0, 0, 0))
	})
}
