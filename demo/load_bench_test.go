package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/load"
	"lacewingfork.example/lacewingfork/standin"
)

// BenchmarkLoadedInstance measures the processor time of all entry instances
// per request. The requests are idempotent, run for 10 ms and go to the first
// instance; with two instances about half are forwarded. Run it with
// -benchtime 1x.
func BenchmarkLoadedInstance(b *testing.B) {
	bin := buildPrograms(b)
	for _, c := range []struct{ instances, racks, rate int }{
		{1, 6, 250}, {1, 6, 500}, {1, 6, 1000}, {1, 6, 2000}, {2, 6, 500}, {2, 6, 1000},
	} {
		b.Run(fmt.Sprintf("instances=%d/partitions=%d/rate=%d", c.instances, c.racks, c.rate), func(b *testing.B) {
			all := startIdle(b, bin, c.instances, c.racks, 0)
			send := sender(b, "http://"+all[0].process.readyField("callers")+"/v1/services/stitch-planner/layout")
			load.Run(b.Context(), load.Plan{Rate: c.rate, Duration: 2 * time.Second, Workers: 128, Do: send})
			idle, busy, answered := 0.0, 0.0, 0
			for b.Loop() {
				before := totalCPU(b, all)
				time.Sleep(idleWindow)
				between := totalCPU(b, all)
				result := load.Run(b.Context(), load.Plan{Rate: c.rate, Duration: idleWindow, Workers: 128, Do: send})
				idle, busy = idle+between-before, busy+totalCPU(b, all)-between
				answered += result.Outcomes["200"]
				b.ReportMetric(float64(result.Latencies.ValueAtQuantile(50)), "p50-us")
				b.ReportMetric(float64(result.Latencies.ValueAtQuantile(99)), "p99-us")
			}
			b.ReportMetric(float64(answered)/float64(b.N)/float64(c.rate)/idleWindow.Seconds(), "answered")
			// busy and idle are in percent of a core times seconds.
			b.ReportMetric((busy-idle)/100*1e6/float64(max(1, answered)), "cpu-us/request")
		})
	}
}

func totalCPU(b *testing.B, all []*idleInstance) float64 {
	sum := 0.0
	for _, i := range all {
		sum += i.sample(b)["%core"]
	}
	return sum
}

func sender(b *testing.B, url string) func(context.Context, int) string {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 128}}
	b.Cleanup(client.CloseIdleConnections)
	return func(ctx context.Context, n int) string {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(strings.Repeat("x", 1024)))
		if err != nil {
			return err.Error()
		}
		request.Header.Set(standin.HeaderRunMillis, "10")
		request.Header.Set("Lacewingfork-Deadline-Ms", "800")
		response, err := client.Do(request)
		if err != nil {
			return "failed"
		}
		defer func() { _ = response.Body.Close() }()
		_, _ = io.Copy(io.Discard, response.Body)
		return fmt.Sprint(response.StatusCode)
	}
}
