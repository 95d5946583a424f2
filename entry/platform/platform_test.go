package platform

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/platformapi"
	"lacewingfork.example/lacewingfork/standin"
	"lacewingfork.example/lacewingfork/supervise"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture runs the duties against a stand-in of the platform over HTTP, on a
// fake clock.
type fixture struct {
	*testing.T
	standin   *standin.StandIn
	client    *platformapi.Client
	fold      *supervise.Ring[message.LogRecords]
	rewinds   *message.RewindRing
	snapshots *message.SnapshotRing
	usage     *message.UsageRing
	platform  *Platform
	tree      *supervise.Tree
	restarts  atomic.Int32
}

// panickingLog panics in its next panics appends.
type panickingLog struct {
	platformapi.Log
	panics atomic.Int32
}

func (l *panickingLog) Append(ctx context.Context, stream string, data []byte) (fleet.Offset, error) {
	if l.panics.Add(-1) >= 0 {
		panic("injected panic in Append")
	}
	return l.Log.Append(ctx, stream, data)
}

func run(t *testing.T, retention standin.Retention, log *panickingLog, test func(*fixture)) {
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewPipeNetwork()
		settings := standin.DefaultSettings()
		settings.Retention = retention
		s, err := standin.Start(settings, network.Listen)
		if err != nil {
			t.Fatal(err)
		}
		client, err := platformapi.NewClient(platformapi.ClientSettings{BaseURL: "http://" + s.Address(), Dial: network.Dial})
		if err != nil {
			t.Fatal(err)
		}
		log.Log = client
		f := &fixture{
			T: t, standin: s, client: client,
			fold:      supervise.NewRing[message.LogRecords]("fold", 64, supervise.Wait),
			rewinds:   supervise.NewRing[message.Rewind]("rewinds", 1, supervise.DropOldest),
			snapshots: supervise.NewRing[message.ListSnapshot]("snapshot", 1, supervise.DropOldest),
			usage:     supervise.NewRing[message.UsageReports]("usage", 1, supervise.DropOldest),
		}
		f.platform = New(Settings{
			Log: log, List: client, Workers: client,
			Streams:   []Stream{{Name: "s", Folds: []*supervise.Ring[message.LogRecords]{f.fold}, Rewinds: f.rewinds}},
			Snapshots: []*message.SnapshotRing{f.snapshots},
			Usage:     []UsageSubscription{{DataCentre: "accra-1", Ring: f.usage}},
		})
		f.tree = supervise.NewTree("test", supervise.DefaultIntensity, func(supervise.Event) { f.restarts.Add(1) })
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.tree.Serve(ctx) }()
		defer func() {
			cancel()
			<-done
			client.Close()
			s.Close()
			synctest.Wait()
		}()
		test(f)
	})
}

func (f *fixture) start() { f.platform.Start(f.tree) }

func (f *fixture) wait(d time.Duration) {
	time.Sleep(d) // advances the fake clock of synctest
	synctest.Wait()
}

func (f *fixture) append(id string) *supervise.Ring[message.AppendResult] {
	ring := supervise.NewRing[message.AppendResult](id, 1, supervise.Refuse)
	if err := f.platform.Appends().Put(f.Context(), message.Append{Stream: "s", ID: id, Data: []byte(id), Result: ring}); err != nil {
		f.Fatal(err)
	}
	return ring
}

// drainFold empties the fold's ring and checks that the batches are contiguous.
func (f *fixture) drainFold(next fleet.Offset) (ids string, truncated bool, end fleet.Offset) {
	for {
		select {
		case b := <-f.fold.Items():
			if b.From != next && !b.Truncated {
				f.Errorf("batch starts at offset %d, want %d", b.From, next)
			}
			truncated = truncated || b.Truncated
			next = b.Next
			for _, e := range b.Records {
				ids += fmt.Sprintf("%s@%d.%d ", e.ID, e.Offset, e.Index)
			}
		default:
			return strings.TrimSpace(ids), truncated, next
		}
	}
}

func (f *fixture) expectDelivered(next fleet.Offset, want string) fleet.Offset {
	f.Helper()
	got, truncated, next := f.drainFold(next)
	if got != want || truncated {
		f.Errorf("delivered %q (truncated %t), want %q (truncated false)", got, truncated, want)
	}
	return next
}

// Guards against entries that are lost, duplicated or reordered between the
// writer's ring and the fold during faults of the log service, and against an
// append that is reported as certain although its result is not known.
func TestLogPathUnderFaults(t *testing.T) {
	for _, c := range []struct {
		name          string
		faults        standin.LogFaults
		want          string // delivered during the fault
		indeterminate bool
		after         string // delivered after the fault, with one more entry
	}{
		{"none", standin.LogFaults{}, "x@0.0 y@0.1", false, "z@1.0"},
		{"refused", standin.LogFaults{Outage: standin.OutageRefuse}, "", true, "z@0.0"},
		{"unresponsive", standin.LogFaults{Outage: standin.OutageUnresponsive}, "", true, "z@0.0"},
		{"lost answer", standin.LogFaults{LoseAnswers: -1}, "x@0.0 y@0.1", true, "z@1.0"},
		{"late effect", standin.LogFaults{LateAppends: 1, LateMillis: 20_000}, "", true, "z@0.0 x@1.0 y@1.1"},
		{"slow", standin.LogFaults{DelayMillis: 1500}, "x@0.0 y@0.1", false, "z@1.0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, standin.Retention{}, &panickingLog{}, func(f *fixture) {
				f.standin.SetLogFaults(c.faults)
				f.start()
				x, y := f.append("x"), f.append("y")
				f.wait(10 * time.Second)
				next := f.expectDelivered(0, c.want)
				for _, ring := range []*supervise.Ring[message.AppendResult]{x, y} {
					if r := <-ring.Items(); r.Indeterminate != c.indeterminate || (r.Err != nil) != c.indeterminate || r.Offset != 0 {
						f.Errorf("append result = %+v, want offset 0 and indeterminate %t", r, c.indeterminate)
					}
				}
				f.standin.SetLogFaults(standin.LogFaults{})
				f.append("z")
				f.wait(15 * time.Second)
				f.expectDelivered(next, c.after)
			})
		})
	}
}

// Guards against more than 300 appends a second by seven writers at the target
// size of 1,200 task starts a second.
func TestAppendsAtTargetSize(t *testing.T) {
	const writers, startsPerSecond, maxAppends, seconds = 7, 1200, 300, 10
	run(t, standin.Retention{}, &panickingLog{}, func(f *fixture) {
		f.start()
		entries, next := 0, fleet.Offset(0)
		deliver := func() {
			var ids string
			ids, _, next = f.drainFold(next)
			entries += strings.Count(ids, "start")
		}
		for range seconds * startsPerSecond / writers {
			f.append("start")
			f.wait(time.Second * writers / startsPerSecond)
			deliver()
		}
		f.wait(time.Second)
		deliver()
		s := f.standin.Streams()[0]
		if rate := writers * s.Appends / seconds; rate > maxAppends {
			f.Errorf("%d appends a second, want at most %d", rate, maxAppends)
		} else {
			f.Logf("%d appends a second", rate)
		}
		if entries != seconds*startsPerSecond/writers {
			f.Errorf("%d entries were delivered, want %d", entries, seconds*startsPerSecond/writers)
		}
	})
}

// Guards against a reader that overloads the log service with retries during an
// outage, does not answer state dumps then, or resumes late after it.
func TestReaderInOutage(t *testing.T) {
	run(t, standin.Retention{}, &panickingLog{}, func(f *fixture) {
		f.start()
		f.wait(time.Second)
		f.standin.SetLogFaults(standin.LogFaults{Outage: standin.OutageRefuse})
		f.wait(time.Minute)
		state := f.readerState()
		if state.ConsecutiveFailures < 30 || state.ConsecutiveFailures > 200 {
			f.Errorf("%d reads failed in a minute, want 30 to 200", state.ConsecutiveFailures)
		}
		_, _, next := f.drainFold(0)
		f.standin.SetLogFaults(standin.LogFaults{})
		f.wait(2 * readRetryMax)
		f.append("x")
		f.wait(100 * time.Millisecond)
		f.expectDelivered(next, "x@0.0")
	})
}

func (f *fixture) readerState() readerState {
	dump, err := f.tree.Directory().Dump(f.Context(), func(path string) bool { return strings.HasSuffix(path, "log-reader/s") })
	if err != nil || len(dump) != 1 || dump[0].Busy {
		f.Fatalf("state dump = %+v, %v, want the state of the reader", dump, err)
	}
	return dump[0].State.(readerState)
}

// Guards against records removed by retention without a report to the folds,
// and against a rewind that loses records or delivers an earlier read.
func TestReaderReportsTruncationAndRewinds(t *testing.T) {
	run(t, standin.Retention{Records: 2}, &panickingLog{}, func(f *fixture) {
		for _, data := range []string{`[{"id":"a"}]`, `[{"id":"b"}]`, "not a record", `[{"id":"c"}]`} {
			if _, err := f.client.Append(f.Context(), "s", []byte(data)); err != nil {
				f.Fatal(err)
			}
		}
		f.start()
		f.wait(100 * time.Millisecond)
		got, truncated, next := f.drainFold(0)
		if got != "c@3.0" || !truncated || next != 4 {
			f.Errorf("delivered %q, truncated %t, next %d; want \"c@3.0\", true, 4", got, truncated, next)
		}
		if s := f.readerState(); s.Undecodable != 1 || s.Truncations != 1 || !s.CaughtUp {
			f.Errorf("reader state = %+v, want 1 undecodable record, 1 truncation, caught up", s)
		}
		if err := f.rewinds.Put(f.Context(), message.Rewind{From: 3}); err != nil {
			f.Fatal(err)
		}
		f.wait(100 * time.Millisecond)
		f.expectDelivered(3, "c@3.0")
	})
}

// Guards against the result of a read that ended just before a rewind and is
// delivered as if it were read from the new offset.
func TestRewindDropsFinishedRead(t *testing.T) {
	fold := supervise.NewRing[message.LogRecords]("fold", 1, supervise.Refuse)
	stream := Stream{Name: "s", From: 5, Folds: []*supervise.Ring[message.LogRecords]{fold}}
	r := newReader(stream, newCallRing[readRequest, platformapi.Batch]("calls"), nil)
	r.retry = time.NewTimer(time.Hour)
	defer r.cancelRead()
	r.startRead(t.Context())
	r.rewind(2)
	late := result[platformapi.Batch]{answer: platformapi.Batch{Next: 6, End: 6, Records: []platformapi.Record{{Offset: 5, Data: []byte(`[{"id":"x"}]`)}}}}
	if err := r.handleResult(t.Context(), late); err != nil || r.next != 2 {
		t.Errorf("next offset %d, error %v; want 2, no error", r.next, err)
	}
	if depth := fold.Stats().Depth; depth != 0 {
		t.Errorf("%d batches were delivered, want none", depth)
	}
}

// Guards against a panic in a call duty that leaves the writer waiting for a
// result, or that is reported as an append without effect.
func TestCallDutyPanics(t *testing.T) {
	log := &panickingLog{}
	log.panics.Store(1)
	run(t, standin.Retention{}, log, func(f *fixture) {
		f.start()
		x := f.append("x")
		f.wait(time.Second)
		if r := <-x.Items(); r.Err == nil || !r.Indeterminate {
			f.Errorf("result of the append that panicked = %+v, want an indeterminate error", r)
		}
		y := f.append("y")
		f.wait(time.Second)
		if r := <-y.Items(); r.Err != nil {
			f.Errorf("result of the next append = %+v, want no error", r)
		}
		if n := f.restarts.Load(); n != 1 {
			f.Errorf("%d restarts, want 1", n)
		}
	})
}

// Guards against an instance list or usage report with a timestamp later than
// its sample, and against a snapshot older than the one before.
func TestWatchersTimestampSamples(t *testing.T) {
	run(t, standin.Retention{}, &panickingLog{}, func(f *fixture) {
		f.start()
		f.wait(5 * time.Second)
		list, usage := <-f.snapshots.Items(), <-f.usage.Items()
		if age := time.Since(list.SampledAt); age != 500*time.Millisecond || len(list.BackendServers) != 8 {
			f.Errorf("list of %d backend servers, %v old; want 8, 500ms", len(list.BackendServers), age)
		}
		if len(usage.Reports) != 8 || usage.DataCentre != "accra-1" {
			f.Fatalf("usage = %+v, want 8 reports of accra-1", usage)
		}
		if age := time.Since(usage.Reports[0].SampledAt); age < time.Second || age > 1250*time.Millisecond {
			f.Errorf("usage report is %v old, want 1s to 1.25s", age)
		}
		f.standin.SetListFaults(standin.ListFaults{LagMillis: 2000})
		f.wait(1900 * time.Millisecond)
		select {
		case older := <-f.snapshots.Items():
			f.Errorf("a list older than the one before was delivered, sampled at %v", older.SampledAt)
		default:
		}
		f.standin.SetListFaults(standin.ListFaults{Outage: standin.OutageUnresponsive})
		f.wait(10 * time.Second)
		f.standin.SetListFaults(standin.ListFaults{})
		f.wait(watcherCallTimeout + listInterval)
		if list := <-f.snapshots.Items(); time.Since(list.SampledAt) > 500*time.Millisecond+listInterval {
			f.Errorf("list is %v old after the outage, want at most %v", time.Since(list.SampledAt), 500*time.Millisecond+listInterval)
		}
	})
}
