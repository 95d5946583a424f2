package operator

import (
	"bytes"
	"cmp"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/fleet"
	records "lacewingfork.example/lacewingfork/records/configuration"
)

func within[T cmp.Ordered](t *rapid.T, label string, r configuration.Range[T], draw func(a, b T) *rapid.Generator[T]) T {
	return draw(r.Min, r.Max).Draw(t, label)
}

func duration(t *rapid.T, label string, r configuration.Range[time.Duration]) time.Duration {
	return time.Duration(rapid.Int64Range(int64(r.Min), int64(r.Max)).Draw(t, label))
}

// drawConfiguration draws a value that passes Check.
func drawConfiguration(t *rapid.T) Configuration {
	c := Configuration{Limits: Limits{
		MaxDeadline:          duration(t, "max deadline", configuration.MaxDeadlineRange),
		LongShare:            within(t, "long share", configuration.ShareRange, rapid.Float64Range),
		LongRunTime:          duration(t, "long", configuration.LongRunTimeRange),
		EvictionsPerMinute:   within(t, "evictions", configuration.EvictionsRange, rapid.IntRange),
		RegionBytesPerSecond: within(t, "bytes", configuration.RegionBytesRange, rapid.Int64Range),
	}}
	count := func(label string) int { return rapid.IntRange(0, 3).Draw(t, label) }
	for i := range count("regions") {
		c.AllRegions = append(c.AllRegions, Region{
			Name: RegionName(fmt.Sprint("r", i)), DataCentres: []DataCentre{DataCentre(fmt.Sprint("d.", i))},
		})
	}
	for i := range count("services") {
		s := Service{Name: fleet.Service(fmt.Sprint("s-", i))}
		for _, r := range c.AllRegions[:min(len(c.AllRegions), count("service regions"))] {
			s.Regions = append(s.Regions, r.Name)
		}
		for j := range 1 + count("operations") {
			deadline := duration(t, "deadline", configuration.Range[time.Duration]{Min: configuration.DeadlineRange.Min, Max: c.Limits.MaxDeadline})
			s.Operations = append(s.Operations, Operation{
				Name: fleet.Operation(fmt.Sprint("o", j)), Class: fleet.Class(rapid.IntRange(0, 2).Draw(t, "class")),
				Idempotent: rapid.Bool().Draw(t, "idempotent"), Deadline: deadline,
				ExpectedRunTime: duration(t, "run time", configuration.Range[time.Duration]{Min: configuration.RunTimeRange.Min, Max: deadline}),
			})
		}
		c.Services = append(c.Services, s)
	}
	for i := range count("teams") {
		c.Teams = append(c.Teams, Team{
			Name: fleet.Team(fmt.Sprint("t", i)), Share: rapid.Float64Range(0, 1.0/3).Draw(t, "share"),
			MaxJobs: within(t, "jobs", configuration.MaxJobsRange, rapid.IntRange),
		})
	}
	for i := range count("kinds") {
		c.Kinds = append(c.Kinds, BatchKind{
			Name: fmt.Sprint("k", i), ExpectedRunTime: duration(t, "batch", configuration.BatchRunTimeRange),
			Resources: Resources{
				Slots:        within(t, "slots", configuration.SlotsRange, rapid.IntRange),
				MilliCPU:     within(t, "cpu", configuration.MilliCPURange, rapid.Int64Range),
				MemoryMiB:    within(t, "memory", configuration.MemoryMiBRange, rapid.Int64Range),
				Accelerators: within(t, "accelerators", configuration.AcceleratorsRange, rapid.IntRange),
			},
		})
	}
	return c
}

// Guards against a value that is lost or changed between the operator's
// program and the instances.
func TestPrintedTextParsesToTheSameValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfiguration(t)
		text, err := Text(c)
		if err != nil {
			t.Fatalf("%+v: %v", c, err)
		}
		parsed, err := records.Decode("printed.toml", text)
		if err != nil {
			t.Fatalf("%s\n%v", text, err)
		}
		if !reflect.DeepEqual(*parsed, c) {
			t.Fatalf("%s\nparsed as %+v\nwant %+v", text, *parsed, c)
		}
	})
}

// Guards against a faulty configuration that is printed in part, and against
// findings that are reported one by one.
func TestFaultyConfigurationIsNotPrinted(t *testing.T) {
	c := Configuration{
		Services: []Service{{Name: "a", Regions: []RegionName{"nowhere"}, Operations: []Operation{{Name: "x", Deadline: time.Hour}}}},
		Teams:    []Team{{Name: "a", Share: 0.8, MaxJobs: 1}, {Name: "a", Share: 0.8, MaxJobs: 1}},
	}
	var out bytes.Buffer
	err := Print(&out, c)
	if err == nil || out.Len() > 0 {
		t.Fatalf("Print = %v, printed %q", err, out.String())
	}
	for _, key := range []string{"service[0].regions", "service[0].operation[0].deadline", "expected_run_time", "team[1].name", "shares sum"} {
		if !strings.Contains(err.Error(), key) {
			t.Errorf("%s is not reported in:\n%v", key, err)
		}
	}
}
