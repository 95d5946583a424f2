package platformapi_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/platformapi"
)

func listOf(servers int) platformapi.Snapshot {
	s := platformapi.Snapshot{AgeMillis: 1234}
	for i := range 35 {
		s.Instances = append(s.Instances, fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprintf("entry-%02d", i)), PeerAddress: "10.0.0.1:7001", Region: "pampeana", DataCentre: "la-plata",
		})
	}
	for i := range servers {
		s.BackendServers = append(s.BackendServers, fleet.BackendServer{
			ID:      fleet.BackendServerID(fmt.Sprintf("la-plata-rack-%03d-server-%d", i/10, i%10)),
			Address: "10.0.0.1:8000", Region: "pampeana", DataCentre: "la-plata", Rack: fleet.Rack(fmt.Sprintf("rack-%03d", i/10)),
			Capacity:    fleet.Resources{Slots: 8, MilliCPU: 64_000, MemoryMiB: 250_000, Accelerators: 2},
			Connections: 64,
		})
	}
	return s
}

func usageOf(servers, tasks int) platformapi.UsageAnswer {
	var answer platformapi.UsageAnswer
	for _, b := range listOf(servers).BackendServers {
		r := platformapi.UsageReport{
			BackendServer: b.ID, AgeMillis: 1234, RequestSlots: 4, Connections: 8, MilliCPU: 32_000, MemoryMiB: 120_000,
			Latencies: map[fleet.Service]int64{"planner": 10_000, "checks": 20_000},
		}
		for t := range tasks {
			r.Tasks = append(r.Tasks, platformapi.TaskReport{
				Task: fleet.TaskID(fmt.Sprintf("regrind-2026-12-04-000123/%d", t)), Attempt: 1, Epoch: 300,
				State: platformapi.TaskRunning, Class: "full-regrind", ProgressMillis: 1_000_000,
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
	})
}

// BenchmarkDecodeList decodes the instance list; 5,400 is the target size.
func BenchmarkDecodeList(b *testing.B) {
	for _, n := range []int{65, 540, 1080, 5400} {
		benchmarkDecode(b, fmt.Sprintf("servers=%d", n), listOf(n))
	}
}

// BenchmarkDecodeUsage decodes the usage reports of one data centre: at the
// target size 450 workers with 22 batch tasks each.
func BenchmarkDecodeUsage(b *testing.B) {
	for _, c := range []struct{ servers, tasks int }{{45, 22}, {450, 0}, {450, 22}, {1080, 22}, {5400, 22}} {
		benchmarkDecode(b, fmt.Sprintf("workers=%d/tasks=%d", c.servers, c.tasks), usageOf(c.servers, c.tasks))
	}
}
