package platform

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/standin"
)

// Guards against a metric of the list's age that stops growing while the list
// service is unavailable, which is when an operator needs it.
func TestListAgeGrowsInOutage(t *testing.T) {
	run(t, standin.Retention{}, &panickingLog{}, func(f *fixture) {
		registry := prometheus.NewRegistry()
		f.platform.settings.Metrics = NewMetrics(registry)
		f.start()
		f.wait(5 * time.Second)
		if age := gaugeValue(f, registry, "lacewingfork_instance_list_age_seconds"); age > 1 {
			f.Errorf("list age is %v s while the list service answers, want at most 1 s", age)
		}
		f.standin.SetListFaults(standin.ListFaults{Outage: standin.OutageUnresponsive})
		f.wait(10 * time.Second)
		if age := gaugeValue(f, registry, "lacewingfork_instance_list_age_seconds"); age < 9 || age > 12 {
			f.Errorf("list age is %v s after an outage of 10 s, want 9 to 12 s", age)
		}
	})
}

func gaugeValue(f *fixture, registry *prometheus.Registry, name string) float64 {
	families, err := registry.Gather()
	if err != nil {
		f.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == name {
			return family.GetMetric()[0].GetGauge().GetValue()
		}
	}
	f.Fatalf("metric %s is not registered", name)
	return 0
}
