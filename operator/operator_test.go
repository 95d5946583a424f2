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

// drawInRange draws a value within the bounds of r.
func drawInRange[T cmp.Ordered](t *rapid.T, label string, r configuration.Range[T], draw func(a, b T) *rapid.Generator[T]) T {
	return draw(r.Min, r.Max).Draw(t, label)
}

// drawDuration draws a duration within the bounds of r.
func drawDuration(t *rapid.T, label string, r configuration.Range[time.Duration]) time.Duration {
	return time.Duration(rapid.Int64Range(int64(r.Min), int64(r.Max)).Draw(t, label))
}

// drawConfiguration draws a configuration that passes configuration.Check.
func drawConfiguration(t *rapid.T) Configuration {
	c := Configuration{Limits: Limits{
		MaxDeadline:          drawDuration(t, "max deadline", configuration.MaxDeadlineRange),
		LongShare:            drawInRange(t, "long share", configuration.ShareRange, rapid.Float64Range),
		LongRunTime:          drawDuration(t, "long", configuration.LongRunTimeRange),
		EvictionsPerMinute:   drawInRange(t, "evictions", configuration.EvictionsRange, rapid.IntRange),
		RegionBytesPerSecond: drawInRange(t, "bytes", configuration.RegionBytesRange, rapid.Int64Range),
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
			deadline := drawDuration(t, "deadline", configuration.Range[time.Duration]{Min: configuration.DeadlineRange.Min, Max: c.Limits.MaxDeadline})
			s.Operations = append(s.Operations, Operation{
				Name: fleet.Operation(fmt.Sprint("o", j)), Class: fleet.Class(rapid.IntRange(0, 2).Draw(t, "class")),
				Idempotent: rapid.Bool().Draw(t, "idempotent"), Deadline: deadline,
				ExpectedRunTime: drawDuration(t, "run time", configuration.Range[time.Duration]{Min: configuration.RunTimeRange.Min, Max: deadline}),
			})
		}
		c.Services = append(c.Services, s)
	}
	for i := range count("teams") {
		c.Teams = append(c.Teams, Team{
			Name: fleet.Team(fmt.Sprint("t", i)), Share: rapid.Float64Range(0, 1.0/3).Draw(t, "share"),
			MaxJobs: drawInRange(t, "jobs", configuration.MaxJobsRange, rapid.IntRange),
		})
	}
	for i := range count("kinds") {
		c.Kinds = append(c.Kinds, BatchKind{
			Name: fmt.Sprint("k", i), ExpectedRunTime: drawDuration(t, "batch", configuration.BatchRunTimeRange),
			Resources: Resources{
				Slots:        drawInRange(t, "slots", configuration.SlotsRange, rapid.IntRange),
				MilliCPU:     drawInRange(t, "cpu", configuration.MilliCPURange, rapid.Int64Range),
				MemoryMiB:    drawInRange(t, "memory", configuration.MemoryMiBRange, rapid.Int64Range),
				Accelerators: drawInRange(t, "accelerators", configuration.AcceleratorsRange, rapid.IntRange),
			},
		})
	}
	return c
}

// Guards against a value that is lost or changed when the text printed by the
// operator's program is decoded on the instances.
func TestPrintedTextDecodesToSameConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfiguration(t)
		text, err := Text(c)
		if err != nil {
			t.Fatalf("Text of %+v failed: %v", c, err)
		}
		decoded, err := records.Decode("printed.toml", text)
		if err != nil {
			t.Fatalf("printed text was not decoded: %v\n%s", err, text)
		}
		if !reflect.DeepEqual(*decoded, c) {
			t.Fatalf("decoded %+v\nwant %+v\nfrom\n%s", *decoded, c, text)
		}
	})
}

// Guards against an invalid configuration that is printed in part, and against a
// check that reports only the first finding.
func TestInvalidConfigurationIsNotPrinted(t *testing.T) {
	c := Configuration{
		Services: []Service{{Name: "a", Regions: []RegionName{"nowhere"}, Operations: []Operation{{Name: "x", Deadline: time.Hour}}}},
		Teams:    []Team{{Name: "a", Share: 0.8, MaxJobs: 1}, {Name: "a", Share: 0.8, MaxJobs: 1}},
	}
	var out bytes.Buffer
	err := Print(&out, c)
	if err == nil || out.Len() > 0 {
		t.Fatalf("Print returned %v and wrote %q, want an error and no output", err, out.String())
	}
	for _, key := range []string{"service[0].regions", "service[0].operation[0].deadline", "expected_run_time", "team[1].name", "shares sum"} {
		if !strings.Contains(err.Error(), key) {
			t.Errorf("got error\n%v\nwant a finding that contains %q", err, key)
		}
	}
}
