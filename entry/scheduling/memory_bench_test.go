package scheduling

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/decision/requestkey"
	"lacewingfork.example/lacewingfork/entry/dispatch"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/supervise"
)

// memoryInUse returns the bytes of heap objects and goroutine stacks after a garbage
// collection.
func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

func benchPartition(rack int, pools poolOpener) *partitionDuty {
	holding := message.Holding{
		Partition: fleet.PartitionID(fmt.Sprint("accra-1/rack-", rack)), Epoch: 3, Until: time.Now().Add(time.Hour),
	}
	d := &partitionDuty{
		holding: holding, rings: newPartitionRings(holding, 72), pools: pools,
		configuration: message.ConfigurationInForce{Version: 1, Value: testConfiguration},
		relinquish:    supervise.NewRing[message.Relinquish]("relinquish", 1, supervise.DropOldest),
		events:        supervise.NewRing[message.Event]("events", 16, supervise.DropOldest),
		signals:       supervise.NewRing[message.TaskSignal]("signals", 64, supervise.DropOldest),
	}
	for n := range 9 {
		d.servers = append(d.servers, fleet.BackendServer{
			ID: fleet.BackendServerID(fmt.Sprint("server-", rack, "-", n)), Address: "127.0.0.1:1", Region: "accra",
			DataCentre: "accra-1", Rack: fleet.Rack(fmt.Sprint("rack-", rack)), Connections: 64,
			Capacity: fleet.Resources{Slots: 8, MilliCPU: 64_000, MemoryMiB: 250_000},
		})
	}
	return d
}

// BenchmarkPartitionMemory reports the memory and the goroutines of an idle
// partition duty with 9 backend servers and their 72 exchange duties.
func BenchmarkPartitionMemory(b *testing.B) {
	for _, n := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("partitions=%d", n), func(b *testing.B) {
			var bytes, goroutines float64
			for b.Loop() {
				ctx, cancel := context.WithCancel(b.Context())
				tree := supervise.NewTree("bench", supervise.DefaultIntensity, func(supervise.Event) {})
				done := make(chan struct{})
				go func() { _ = tree.Serve(ctx); close(done) }()
				pools := dispatch.New(tree, time.Minute)
				before, goroutinesBefore := memoryInUse(), runtime.NumGoroutine()
				for rack := range n {
					d := benchPartition(rack, pools)
					tree.Start(supervise.Duty{Name: d.name(), Rings: d.rings.all(), Run: d.run})
				}
				time.Sleep(500 * time.Millisecond) // until every duty waits on its rings
				bytes, goroutines = memoryInUse()-before, float64(runtime.NumGoroutine()-goroutinesBefore)
				cancel()
				<-done
			}
			b.ReportMetric(bytes/float64(n)/1024, "KiB/partition")
			b.ReportMetric(goroutines/float64(n), "goroutines/partition")
		})
	}
}

// BenchmarkRetainedAnswers reports the memory of one partition's used keys and the
// answers retained for repeats.
func BenchmarkRetainedAnswers(b *testing.B) {
	for _, c := range []struct{ keys, body int }{{4_096, 256}, {16_384, 256}, {65_536, 0}, {65_536, 1024}} {
		b.Run(fmt.Sprintf("keys=%d/body=%d", c.keys, c.body), func(b *testing.B) {
			var bytes float64
			for b.Loop() {
				before := memoryInUse()
				k := newKeyedRequests(requestkey.New("accra-1/rack-1", 3, 0))
				for i := range c.keys {
					id := fleet.RequestID(fmt.Sprintf("%032x", i))
					key := k.issue(id).Key
					r := &message.Request{ID: id, Key: key}
					k.admit(message.Submission{Request: r})
					k.end(r, message.Answer{ID: id, Outcome: outcome.Answered, Status: 200, Body: make([]byte, c.body)})
				}
				bytes = memoryInUse() - before
				runtime.KeepAlive(k)
			}
			b.ReportMetric(bytes/1e6, "MB")
		})
	}
}
