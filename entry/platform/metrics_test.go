package platform

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/standin"
)

// Guards against an age of the list that stands still while the list is out,
// which is when an operator needs it.
func TestListAgeGrowsInOutage(t *testing.T) {
	run(t, standin.Retention{}, &panickingLog{}, func(f *fixture) {
		registry := prometheus.NewRegistry()
		f.platform.settings.Metrics = NewMetrics(registry)
		f.start()
		f.wait(5 * time.Second)
		if age := gauge(f, registry, "lacewingfork_instance_list_age_seconds"); age > 1 {
			f.Errorf("list is %v s old while it answers", age)
		}
		f.standin.SetListFaults(standin.ListFaults{Outage: standin.OutageUnresponsive})
		f.wait(10 * time.Second)
		if age := gauge(f, registry, "lacewingfork_instance_list_age_seconds"); age < 9 || age > 12 {
			f.Errorf("list is %v s old after an outage of 10 s", age)
		}
	})
}

func gauge(f *fixture, registry *prometheus.Registry, name string) float64 {
	families, err := registry.Gather()
	if err != nil {
		f.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == name {
			return family.GetMetric()[0].GetGauge().GetValue()
		}
	}
	f.Fatalf("no metric %s", name)
	return 0
}
