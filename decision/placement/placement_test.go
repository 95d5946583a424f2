package placement

import (
	"fmt"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

var start = time.Unix(1_800_000_000, 0)

// unlimited is a SlotLimiter that allows every slot and a Cost of 0.
type unlimited struct{}

func (unlimited) Allowed(_ time.Time, _ Index, slots int) int { return slots }
func (unlimited) Cost(Index) float64                          { return 0 }

func servers(n int) (list []fleet.BackendServer) {
	for i := range n {
		list = append(list, fleet.BackendServer{
			ID:       fleet.BackendServerID(fmt.Sprint("b", i)),
			Capacity: fleet.Resources{Slots: 8, MilliCPU: 64_000, MemoryMiB: 250_000, Accelerators: 2},
		})
	}
	return list
}

func emptyTable(n int) *Table {
	t := New(time.Minute)
	t.SetServers(start, servers(n), func(Index) {})
	for i := range n {
		t.Report(Index(i), start.Add(1), 0)
	}
	t.SetLimits(Limits{LongShare: 0.5, HasShortOperations: true})
	return t
}

// fill starts requests until none can be placed and returns their number.
func fill(t *Table, now time.Time, long bool) (placed int) {
	var e Explanation
	for {
		i := t.Choose(now, Request{Long: long, Avoid: NoServer}, unlimited{}, unlimited{}, &e)
		if i == NoServer {
			return placed
		}
		t.Start(i, long)
		placed++
	}
}

// Guards against a new holder that uses slots in which requests of the former
// holder may still run, and against slots that are never freed.
func TestSlotsStayHeldUntilReportAfterTakeover(t *testing.T) {
	cases := []struct {
		name      string
		sampledAt time.Time
		inUse     int
		now       time.Time
		free      int
	}{
		{"no report", time.Time{}, 0, start.Add(time.Second), 0},
		{"report from before the takeover", start, 0, start.Add(time.Second), 0},
		{"report after the takeover", start.Add(1), 3, start.Add(time.Second), 5},
		{"longest deadline passed", time.Time{}, 0, start.Add(time.Minute), 8},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := New(time.Minute)
			table.SetServers(start, servers(1), func(Index) {})
			if !c.sampledAt.IsZero() {
				table.Report(0, c.sampledAt, c.inUse)
			}
			table.Expire(c.now)
			if got := fill(table, c.now, false); got != c.free {
				t.Errorf("placed %d requests, want %d", got, c.free)
			}
		})
	}
}

// Guards against an exchange that ends without an answer and thereby frees the
// held slots of other exchanges or extends their expiry.
func TestHeldSlotsExpireSeparately(t *testing.T) {
	table := emptyTable(1)
	table.Start(0, false)
	table.Start(0, false)
	table.End(start.Add(10*time.Second), 0, false, false)
	table.End(start.Add(20*time.Second), 0, false, false)
	table.Report(0, start.Add(15*time.Second), 0)
	if got := table.Held(); got != 1 {
		t.Errorf("%d slots held after a report sampled between two lost exchanges, want 1", got)
	}
	if at, _ := table.NextExpiry(); !at.Equal(start.Add(80 * time.Second)) {
		t.Errorf("next expiry is %v, want %v", at, start.Add(80*time.Second))
	}
}

// Guards against long requests and tasks that take every slot of a server, or
// more than their share, while some operations are short.
func TestLongWorkAndTasksLeaveSlotsForShortWork(t *testing.T) {
	table := emptyTable(7)
	if got := fill(table, start, true); got != 7*4 {
		t.Errorf("long requests use %d slots, want %d, half of 56", got, 7*4)
	}
	var e Explanation
	for id := 0; ; id++ {
		i := table.ChooseTask(start, fleet.Resources{Slots: 1}, nil, unlimited{}, &e)
		if i == NoServer {
			break
		}
		table.AddTask(i, Task{ID: fleet.TaskID(fmt.Sprint(id)), Resources: fleet.Resources{Slots: 1}})
	}
	if got := fill(table, start, false); got != 7*reservedShortSlots {
		t.Errorf("%d slots left for short requests, want %d", got, 7*reservedShortSlots)
	}
	unbounded := emptyTable(1)
	unbounded.SetLimits(Limits{LongShare: 0.5})
	if got := fill(unbounded, start, true); got != 8 {
		t.Errorf("long requests use %d slots without short operations, want 8", got)
	}
}

// Guards against batch tasks that take the slots that requests need at their
// peak.
func TestTasksLeavePeakRequestDemandFree(t *testing.T) {
	table := emptyTable(7)
	for ms := range 30_000 {
		// 400 requests a second of 100 ms need 40 slots.
		if ms%5 < 2 {
			table.RecordDemand(start.Add(time.Duration(ms-30_000)*time.Millisecond), 100*time.Millisecond, false)
		}
	}
	var e Explanation
	placed := 0
	for ; ; placed++ {
		i := table.ChooseTask(start.Add(time.Second), fleet.Resources{Slots: 1}, nil, unlimited{}, &e)
		if i == NoServer {
			break
		}
		table.AddTask(i, Task{ID: fleet.TaskID(fmt.Sprint(placed)), Resources: fleet.Resources{Slots: 1}})
	}
	if placed < 56-40*120/100 || placed > 56-40 {
		t.Errorf("placed %d tasks at a peak demand of 40 of 56 slots, want %d to 16", placed, 56-40*120/100)
	}
}

// Guards against tasks that are counted twice, removed too early or never
// removed because usage reports lag.
func TestTasksMatchUsageReports(t *testing.T) {
	table := emptyTable(1)
	table.AddTask(0, Task{ID: "placed", PlacedAt: start.Add(10 * time.Second)})
	table.ReportTask(0, Task{ID: "adopted", PlacedAt: start})
	table.ReportTask(0, Task{ID: "adopted", PlacedAt: start})
	removeEnded := func(at time.Time) {
		table.RemoveEndedTasks(0, at, func(fleet.TaskID) bool { return false }, func(Task) {})
	}
	removeEnded(start.Add(11 * time.Second))
	if tasks := table.Tasks(0); len(tasks) != 1 || tasks[0].ID != "placed" {
		t.Fatalf("tasks after an empty report: %v, want only the one not reported yet", tasks)
	}
	table.ReportTask(0, Task{ID: "placed"})
	removeEnded(start.Add(9 * time.Second))
	if len(table.Tasks(0)) != 1 {
		t.Error("a report sampled before the task was placed removed it")
	}
	removeEnded(start.Add(12 * time.Second))
	if len(table.Tasks(0)) != 0 {
		t.Error("a task missing from a later report was not removed")
	}
}

// Guards against a table that grows with every replaced server, and against a
// new server that inherits the counts of the entry it reuses.
func TestEntriesOfReplacedServersAreReused(t *testing.T) {
	table := emptyTable(3)
	for i := range 100 {
		list := servers(3)
		list[0].ID = fleet.BackendServerID(fmt.Sprint("replaced", i))
		table.SetServers(start.Add(time.Duration(i)*time.Hour), list, func(Index) {})
		if table.Free() != 16 {
			t.Fatalf("%d slots free after adding a server, want 16 because its slots are held", table.Free())
		}
		table.Report(table.Find(list[0].ID), start.Add(time.Duration(i)*time.Hour+1), 0)
	}
	if table.Len() > 4 {
		t.Errorf("%d entries for 3 servers, want at most 4", table.Len())
	}
}

func BenchmarkChoose65(b *testing.B) {
	t := emptyTable(65)
	var e Explanation
	b.ReportAllocs()
	for range b.N {
		i := t.Choose(start, Request{Avoid: NoServer}, unlimited{}, unlimited{}, &e)
		t.Start(i, false)
		t.End(start, i, false, true)
	}
}
