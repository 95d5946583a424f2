package task

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingfork.example/lacewingfork/decision/task"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/records"
)

func drawRecord(t *rapid.T) task.Record {
	text := rapid.StringMatching(`[a-zé"/\\ ]{0,12}`)
	r := task.Record{
		Kind:    task.Kind(rapid.IntRange(1, len(kindNames)-1).Draw(t, "kind")),
		Task:    task.Ref{Job: fleet.JobID(text.Draw(t, "job")), Index: rapid.IntRange(0, task.MaxTasks-1).Draw(t, "index")},
		Attempt: rapid.IntRange(0, 1000).Draw(t, "attempt"), Epoch: fleet.Epoch(rapid.Uint64().Draw(t, "epoch")),
		Partition: fleet.PartitionID(text.Draw(t, "partition")), Server: fleet.BackendServerID(text.Draw(t, "server")),
		Checkpoint: text.Draw(t, "checkpoint"), Reason: text.Draw(t, "reason"),
		End: task.End(rapid.IntRange(0, len(endNames)-1).Draw(t, "end")),
	}
	switch r.Kind {
	case task.JobSubmitted:
		r.Job = &task.Job{
			ID: "j", Team: "dye", Kind: "k", Tasks: rapid.IntRange(1, 9).Draw(t, "tasks"), Parameters: text.Draw(t, "parameters"),
			Resources: fleet.Resources{Slots: 1, MilliCPU: 5}, RunTime: time.Duration(rapid.IntRange(0, 1e6).Draw(t, "run")) * time.Millisecond,
		}
	case task.SnapshotPart:
		count := rapid.IntRange(1, 5).Draw(t, "count")
		r.Part = &task.Part{Snapshot: "s", Count: count, Index: rapid.IntRange(0, count-1).Draw(t, "part"), Data: []byte(text.Draw(t, "data") + "x")}
	}
	return r
}

// Guards against a field that encoding or decoding drops or changes.
func TestRecordRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawRecord(t)
		data, err := Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(data)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, %v, want %+v", got, err, want)
		}
	})
}

// Guards against decoding damaged records, or records of a newer version, as valid
// ones. The ledger duty skips records that return an error.
func TestDecodeRejectsInvalidRecords(t *testing.T) {
	for _, data := range []string{
		``, `{}`, `[]`, `{"k":"new-kind"}`, `{"k":"ended","end":"exploded"}`, `{"k":"job"}`, `{"k":"snapshot"}`,
		`{"k":"snapshot","part":{"index":2,"count":2}}`, `{"k":"snapshot","part":{"index":0,"count":2000000000}}`,
	} {
		if r, err := Decode([]byte(data)); err == nil {
			t.Errorf("Decode(%s) = %+v, want an error", data, r)
		}
	}
}

// newFilledFold returns a fold with n tasks in jobs of 100, two thirds of them
// started, and the encoded records it was built from.
func newFilledFold(n int) (*task.Fold, [][]byte) {
	f := task.NewFold()
	random := rand.New(rand.NewPCG(20261204, 1))
	var data [][]byte
	add := func(r task.Record) {
		encoded, err := Encode(r)
		if err != nil {
			panic(err)
		}
		f.Apply(task.Position{Offset: fleet.Offset(len(data))}, r)
		data = append(data, encoded)
	}
	for i := range n {
		id := fleet.JobID(fmt.Sprintf("regrind-2026-12-04-%06d", i/100))
		if i%100 == 0 {
			add(task.Record{Kind: task.JobSubmitted, Job: &task.Job{
				ID: id, Team: fleet.Team(fmt.Sprint("team-", i%180)), Kind: "full-regrind", Tasks: 100, TeamLimit: n,
				Resources: fleet.Resources{Slots: 1, MilliCPU: 4000, MemoryMiB: 8000}, RunTime: time.Hour, Parameters: "batch=17",
			}})
		}
		if i%3 == 0 {
			continue
		}
		rack := random.IntN(108)
		add(task.Record{
			Kind: task.Started, Task: task.Ref{Job: id, Index: i % 100}, Attempt: 1, Epoch: 7,
			Partition: fleet.PartitionID(fmt.Sprintf("rosario/rack-%03d", rack)),
			Server:    fleet.BackendServerID(fmt.Sprintf("worker-%03d-%02d", rack, random.IntN(10))),
		})
	}
	return f, data
}

// Guards against a part that exceeds MaxPartBytes, and against a snapshot that is
// changed, or completed more than once, when its parts arrive out of order,
// repeatedly and interleaved with those of another writer.
func TestSnapshotParts(t *testing.T) {
	f, _ := newFilledFold(60_000)
	want := f.Snapshot()
	parts, err := EncodeSnapshot("a", want)
	if err != nil || len(parts) < 2 {
		t.Fatalf("EncodeSnapshot returned %d parts, error %v; want at least 2 parts", len(parts), err)
	}
	other, err := EncodeSnapshot("b", want)
	if err != nil {
		t.Fatal(err)
	}
	var assembler Assembler
	whole := 0
	for i := len(parts) - 1; i >= 0; i-- {
		data, err := Encode(task.Record{Kind: task.SnapshotPart, Part: &parts[i]})
		if err != nil || (records.Entry{ID: "snapshot", Data: data}).Size() > MaxPartBytes {
			t.Fatalf("record of part %d has %d bytes, error %v; want an entry of at most %d bytes", i, len(data), err, MaxPartBytes)
		}
		for _, p := range []task.Part{parts[i], other[0], parts[i]} {
			got, err := assembler.Add(p)
			if err != nil {
				t.Fatal(err)
			}
			if got == nil {
				continue
			}
			whole++
			if !reflect.DeepEqual(task.Restore(*got).Snapshot(), want) {
				t.Fatal("the assembled snapshot differs from the encoded one")
			}
		}
	}
	if whole != 1 {
		t.Fatalf("the snapshot was complete %d times, want 1", whole)
	}
	if _, err := assembler.Add(task.Part{Snapshot: "bad", Count: 1, Data: []byte("no gzip")}); err == nil {
		t.Error("Add accepted a snapshot that is not gzipped, want an error")
	}
}

// Guards against records that exceed the append budget: 1,200 starts and as many
// ends per second have to take less than 300 appends per second. Seven writers
// group the entries of 25 ms, or up to 256 KiB, into one append.
func TestAppendsPerSecond(t *testing.T) {
	appends, bytes, size := simulateAppends(t, 7, 25*time.Millisecond)
	t.Logf("entry %d bytes, %.1f appends/s, %.0f KiB/s", size, float64(appends)/60, float64(bytes)/60/1024)
	if appends >= 300*60 {
		t.Fatalf("%d appends in a minute, want less than %d", appends, 300*60)
	}
}

// simulateAppends returns the appends and bytes of a minute with 1,200 starts and as
// many ends per second at random writers, and the size of an entry in bytes.
func simulateAppends(t testing.TB, writers int, flushAfter time.Duration) (appends, bytes, size int) {
	const (
		perSecond  = 2 * 1200
		flushBytes = 256 << 10
	)
	start, err := Encode(task.Record{
		Kind: task.Started, Task: task.Ref{Job: "regrind-2026-12-04-000123", Index: 9999}, Attempt: 12, Epoch: 1234,
		Partition: "la-plata/rack-017", Server: "worker-017-03", Checkpoint: "regrind-2026-12-04-000123/9999/11/86400000",
	})
	if err != nil {
		t.Fatal(err)
	}
	size = records.Entry{ID: "start:regrind-2026-12-04-000123/9999:12:1234:0123456789abcdef", Data: start}.Size()
	random := rand.New(rand.NewPCG(20261204, 2))
	due, waiting := make([]time.Duration, writers), make([]int, writers)
	for at := time.Duration(0); at < time.Minute; at += time.Second / perSecond {
		w := random.IntN(writers)
		if waiting[w] > 0 && (at >= due[w] || waiting[w]+size > flushBytes) {
			appends, bytes, waiting[w] = appends+1, bytes+waiting[w], 0
		}
		if waiting[w] == 0 {
			due[w] = at + flushAfter
		}
		waiting[w] += size
	}
	return appends, bytes, size
}

// BenchmarkAppendsPerSecond reports the appends per second of all writers by their
// number and the time that they wait for more entries.
func BenchmarkAppendsPerSecond(b *testing.B) {
	for _, writers := range []int{7, 15, 24, 40} {
		for _, wait := range []time.Duration{25 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond} {
			b.Run(fmt.Sprintf("writers=%d/wait=%v", writers, wait), func(b *testing.B) {
				appends := 0
				for b.Loop() {
					appends, _, _ = simulateAppends(b, writers, wait)
				}
				b.ReportMetric(float64(appends)/60, "appends/s")
			})
		}
	}
}

// Guards against growth of the state per task: 300,000 tasks have to fit into an
// instance of 256 MB beside everything else.
func TestBytesPerTask(t *testing.T) {
	const n = 120_000
	measure := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := measure()
	f, data := newFilledFold(n)
	count := len(data)
	data = nil
	perTask := float64(measure()-before) / n
	t.Logf("%.1f bytes of state per task, %d tasks, %d records", perTask, f.Counts().Tasks, count)
	if perTask > 64 {
		t.Fatalf("%.1f bytes per task, want at most 64", perTask)
	}
	runtime.KeepAlive(f)
	_ = data
}

// BenchmarkRebuild measures a rebuild from the records of n tasks, and the time per
// record.
func BenchmarkRebuild(b *testing.B) {
	for _, n := range []int{15_000, 30_000, 60_000, 120_000} {
		_, data := newFilledFold(n)
		b.Run(fmt.Sprintf("records=%d", len(data)), func(b *testing.B) {
			for b.Loop() {
				f := task.NewFold()
				for i, d := range data {
					r, err := Decode(d)
					if err != nil {
						b.Fatal(err)
					}
					f.Apply(task.Position{Offset: fleet.Offset(i)}, r)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(len(data)), "ns/record")
		})
	}
}

// BenchmarkSnapshot measures the time that the ledger duty spends on encoding a
// snapshot.
func BenchmarkSnapshot(b *testing.B) {
	f, _ := newFilledFold(120_000)
	b.Run("encode", func(b *testing.B) {
		bytes := 0
		for b.Loop() {
			parts, err := EncodeSnapshot("a", f.Snapshot())
			if err != nil {
				b.Fatal(err)
			}
			bytes = 0
			for _, p := range parts {
				bytes += len(p.Data)
			}
		}
		b.ReportMetric(float64(bytes), "snapshot-bytes")
	})
}

// Guards against a snapshot that drops a job's counts of failures and evictions, and
// against rejecting a snapshot of an earlier version, which has no counts.
func TestSnapshotCounts(t *testing.T) {
	for name, c := range map[string]struct {
		jobs              string
		failed, evictions int
	}{
		"with counts":    {`[{"job":{"id":"j"},"seq":1,"f":3,"ev":2}]`, 3, 2},
		"without counts": {`[{"job":{"id":"j"},"seq":1,"st":1,"done":4}]`, 0, 0},
	} {
		var w wireState
		if err := json.Unmarshal([]byte(`{"offset":7,"jobs":`+c.jobs+`}`), &w); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		parts, err := EncodeSnapshot("s", decodeState(w))
		if err != nil {
			t.Fatal(err)
		}
		var a Assembler
		s, err := a.Add(parts[0])
		if err != nil || s == nil || len(s.Jobs) != 1 {
			t.Fatalf("%s: Add returned %+v, error %v; want a snapshot with 1 job", name, s, err)
		}
		if j := s.Jobs[0]; j.Failed != c.failed || j.Evictions != c.evictions {
			t.Errorf("%s: got %d failures and %d evictions, want %d and %d", name, j.Failed, j.Evictions, c.failed, c.evictions)
		}
	}
}
