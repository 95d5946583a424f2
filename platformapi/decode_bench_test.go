package platformapi_test

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/platformapi"
)

func newSnapshot(servers int) platformapi.Snapshot {
	s := platformapi.Snapshot{AgeMillis: 1234}
	for i := range 35 {
		s.Instances = append(s.Instances, fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprintf("entry-%02d", i)), PeerAddress: "10.0.0.1:7001", Region: "pampeana", DataCentre: "la-plata",
		})
	}
	for i := range servers {
		s.BackendServers = append(s.BackendServers, fleet.BackendServer{
			ID:      fleet.BackendServerID(fmt.Sprintf("la-plata-rack-%03d-server-%d", i/10, i%10)),
			Address: fmt.Sprintf("10.%d.%d.%d:8000", i/2500%250, i/250%250, i%250), Region: "pampeana", DataCentre: "la-plata", Rack: fleet.Rack(fmt.Sprintf("rack-%03d", i/10)),
			Capacity:    fleet.Resources{Slots: 8, MilliCPU: 64_000, MemoryMiB: 250_000, Accelerators: 2},
			Connections: 64,
		})
	}
	return s
}

func newUsageAnswer(servers, tasks int) platformapi.UsageAnswer {
	var answer platformapi.UsageAnswer
	random := rand.New(rand.NewPCG(20261204, 1)) // equal values would compress too well
	for _, b := range newSnapshot(servers).BackendServers {
		r := platformapi.UsageReport{
			BackendServer: b.ID, AgeMillis: random.Int64N(2000), RequestSlots: random.IntN(9), Connections: random.IntN(64),
			MilliCPU: random.Int64N(64_000), MemoryMiB: random.Int64N(250_000),
			Latencies: map[fleet.Service]int64{"planner": random.Int64N(50_000), "checks": random.Int64N(50_000)},
		}
		for t := range tasks {
			r.Tasks = append(r.Tasks, platformapi.TaskReport{
				Task: fleet.TaskID(fmt.Sprintf("regrind-2026-12-04-%06d/%d", random.IntN(25_000), t)), Attempt: 1, Epoch: 300,
				State: platformapi.TaskRunning, Class: "full-regrind", ProgressMillis: random.Int64N(1e7),
				Resources: fleet.Resources{Slots: 1, MilliCPU: 2000, MemoryMiB: 8000},
			})
		}
		answer.Reports = append(answer.Reports, r)
	}
	return answer
}

func benchmarkDecode[A any](b *testing.B, name string, answer A) {
	data, err := json.Marshal(answer)
	if err != nil {
		b.Fatal(err)
	}
	b.Run(name, func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var got A
			if err := json.Unmarshal(data, &got); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(data)), "bytes")
		b.ReportMetric(float64(compressed(data)), "gzip-bytes")
	})
}

func compressed(data []byte) int {
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	_, _ = z.Write(data)
	_ = z.Close()
	return out.Len()
}

// BenchmarkDecodeList decodes the instance list. The target size is 5,400
// backend servers.
func BenchmarkDecodeList(b *testing.B) {
	for _, n := range []int{65, 540, 1080, 5400} {
		benchmarkDecode(b, fmt.Sprintf("servers=%d", n), newSnapshot(n))
	}
}

// BenchmarkDecodeUsage decodes the usage reports of one data centre. The target
// size is 450 workers with 22 batch tasks each.
func BenchmarkDecodeUsage(b *testing.B) {
	for _, c := range []struct{ servers, tasks int }{{45, 22}, {450, 0}, {450, 22}, {1080, 22}, {5400, 22}} {
		benchmarkDecode(b, fmt.Sprintf("workers=%d/tasks=%d", c.servers, c.tasks), newUsageAnswer(c.servers, c.tasks))
	}
}
