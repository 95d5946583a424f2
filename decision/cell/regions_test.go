package cell

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// newRegionFixture returns a fixture with two servers in each of three data centres, of
// which the third is in no known region, and a queue with allowed regions.
func newRegionFixture(t *testing.T, round int, records []Record, allowed ...fleet.Region) *fixture {
	f := newFixture(t, round)
	f.cell.settings.Regions = map[fleet.DataCentre]fleet.Region{"d-north": "north", "d-south": "south"}
	f.cell.Restore(f.moment(), records)
	f.configureRegions(allowed...)
	for i, dataCentre := range []fleet.DataCentre{"d-north", "d-south", "d-lost"} {
		for n := range 2 {
			s := testServer(fleet.BackendServerID(fmt.Sprintf("%s-%d", dataCentre, n)))
			s.DataCentre, s.Labels = dataCentre, []string{"a", fmt.Sprintf("r%d", i)}
			f.handle(ServerListed{Server: s})
		}
	}
	f.handle(ServerListRead{})
	f.answerHolds(nil, nil)
	f.handle(Tick{})
	return f
}

func (f *fixture) configureRegions(allowed ...fleet.Region) {
	f.handle(QueuesChanged{Queues: []QueueSettings{{Name: "q", Service: "s", MaxAttempts: 2, SlackFactor: 2, TargetLatency: time.Second, AllowedRegions: allowed}}})
}

// startedIn returns the data centres in which starts are ordered.
func (f *fixture) startedIn() []fleet.DataCentre {
	var found []fleet.DataCentre
	for _, s := range f.takeStarts() {
		f.acceptStart(s)
		found = append(found, f.cell.workers[s.Server].server.DataCentre)
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// Guards against tasks that start outside the allowed regions of their queue, and
// against a list that hides servers which it allows.
func TestTasksStartInAllowedRegions(t *testing.T) {
	all := []fleet.DataCentre{"d-lost", "d-north", "d-south"}
	for _, c := range []struct {
		allowed []fleet.Region
		want    []fleet.DataCentre
	}{
		{nil, all},
		{[]fleet.Region{}, all},
		{[]fleet.Region{"north"}, []fleet.DataCentre{"d-north"}},
		{[]fleet.Region{"south", "north"}, []fleet.DataCentre{"d-north", "d-south"}},
		{[]fleet.Region{"atlantis"}, nil},
		{[]fleet.Region{"atlantis", "south"}, []fleet.DataCentre{"d-south"}},
		{[]fleet.Region{""}, nil}, // not that of the data centre without a region
	} {
		for _, gang := range []bool{false, true} {
			f := newRegionFixture(t, 1, nil, c.allowed...)
			step := oneTaskStep()
			step.Count, step.Gang = 6, gang
			if gang {
				step.Count = 2 * len(c.want)
			}
			if step.Count == 0 {
				continue
			}
			f.submit(testJob, step)
			if got := f.startedIn(); !slices.Equal(got, c.want) {
				t.Errorf("allowed %q, gang %t: started in %v, want %v", c.allowed, gang, got, c.want)
			}
		}
	}
}

// Guards against an unknown region that is reported with each configuration, or never.
func TestUnknownRegionIsReportedOnce(t *testing.T) {
	f := newRegionFixture(t, 1, nil, "atlantis", "north")
	f.configureRegions("north", "atlantis", "")
	f.configureRegions("atlantis")
	var reported []any
	for _, n := range takeActions[Note](f) {
		if n.Event == NoteRegionUnknown {
			reported = append(reported, n.Detail["region"])
		}
	}
	if !slices.Equal(reported, []any{"atlantis"}) {
		t.Errorf("reported %q, want atlantis once", reported)
	}
	f.submit(testJob, oneTaskStep())
	if got := f.startedIn(); got != nil {
		t.Fatalf("started in %v, want no start while only an unknown region is allowed", got)
	}
	f.configureRegions("south")
	if got := f.startedIn(); !slices.Equal(got, []fleet.DataCentre{"d-south"}) {
		t.Errorf("started in %v after the list is corrected, want d-south", got)
	}
}

// Guards against a task that starts outside the allowed regions after a takeover, or
// because its queue is no longer configured.
func TestAllowedRegionsHoldAfterTakeover(t *testing.T) {
	before := newRegionFixture(t, 1, nil, "south")
	step := oneTaskStep()
	step.Count = 4
	before.submit(testJob, step)
	if got := before.startedIn(); !slices.Equal(got, []fleet.DataCentre{"d-south"}) {
		t.Fatalf("started in %v, want d-south", got)
	}
	var records []Record
	for _, key := range slices.Sorted(maps.Keys(before.records)) {
		records = append(records, before.records[key])
	}
	f := newRegionFixture(t, 2, records, "south") // the workers have lost their runs
	if got := f.startedIn(); !slices.Equal(got, []fleet.DataCentre{"d-south"}) {
		t.Errorf("started in %v after the takeover, want d-south", got)
	}
	f.handle(QueuesChanged{}) // removes the queue
	ends := int64(0)
	for range 10 {
		finished := map[fleet.BackendServerID][]FinishedRow{}
		for _, w := range f.cell.sortedWorkers {
			for _, r := range w.runsInOrder {
				ends++
				finished[w.server.ID] = append(finished[w.server.ID], FinishedRow{Number: ends, Task: r.key.task, Attempt: r.key.attempt, End: job.EndStopped})
			}
		}
		f.advance(250 * time.Millisecond)
		f.answerHolds(nil, finished)
		if got := f.startedIn(); len(got) > 0 && !slices.Equal(got, []fleet.DataCentre{"d-south"}) {
			t.Errorf("started in %v after the queue is removed, want d-south", got)
		}
	}
	if ends < 4 {
		t.Errorf("%d runs ended, want the tasks to start again and again", ends)
	}
}

// Guards against starts outside the allowed regions under any load and configuration.
func TestNoStartOutsideAllowedRegions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		regions := []fleet.Region{"north", "south", "atlantis", ""}
		allowed := rapid.SliceOfN(rapid.SampledFrom(regions), 0, 3).Draw(rt, "allowed")
		f := newRegionFixture(t, 1, nil, allowed...)
		f.cell.settings.UnevenDemand = rapid.Bool().Draw(rt, "uneven")
		for i := range rapid.IntRange(1, 6).Draw(rt, "jobs") {
			f.submit(fleet.JobID(fmt.Sprintf("%016x", i)), job.Step{
				Count: rapid.IntRange(1, 5).Draw(rt, "count"), Gang: rapid.Bool().Draw(rt, "gang"), BestEffort: rapid.Bool().Draw(rt, "best effort"),
				Need:     fleet.Resources{MilliCPU: rapid.Int64Range(100, 9000).Draw(rt, "cpu"), MemoryMiB: rapid.Int64Range(10, 30000).Draw(rt, "memory")},
				Estimate: time.Second, DataRack: rapid.SampledFrom([]string{"", "r0", "r2"}).Draw(rt, "rack"),
			})
			for _, s := range f.takeStarts() {
				w := f.cell.workers[s.Server]
				if len(allowed) > 0 && (w.region == "" || !slices.Contains(allowed, w.region)) {
					rt.Errorf("%v starts in %s, allowed are %q", s.Task, w.server.DataCentre, allowed)
				}
				f.acceptStart(s)
			}
			f.advance(50 * time.Millisecond)
			allowed = rapid.SliceOfN(rapid.SampledFrom(regions), 0, 3).Draw(rt, "next allowed")
			f.actions = nil
			f.configureRegions(allowed...)
			for _, s := range f.takeStarts() {
				w := f.cell.workers[s.Server]
				if len(allowed) > 0 && (w.region == "" || !slices.Contains(allowed, w.region)) {
					rt.Errorf("%v starts in %s, allowed are %q", s.Task, w.server.DataCentre, allowed)
				}
				f.acceptStart(s)
			}
		}
	})
}
