// Package load is an open-loop load generator: it sends requests at a fixed rate
// and records the latency and outcome of each. The demo and the load command
// use it; it is not part of an entry instance.
package load

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lacewingfork.example/lacewingfork/supervise"
)

const (
	// maxLatency is the largest value that a histogram records.
	maxLatency = 10 * time.Minute
	// significantFigures keeps the error of a percentile below 0.1%.
	significantFigures = 3
	// releaseInterval is the time between two releases of the requests that are
	// due.
	releaseInterval = time.Millisecond
)

// Plan describes an open-loop load: requests are due at fixed times, whether or
// not earlier ones have ended.
type Plan struct {
	Rate     int // requests per second
	Duration time.Duration
	// Workers bounds the requests in flight. A request waits while no worker
	// is free, and the wait counts towards its latency.
	Workers int
	// Do sends request n and returns the short name of its outcome.
	Do func(ctx context.Context, n int) string
}

// Result holds the measurements of one run of a plan.
type Result struct {
	Latencies *hdrhistogram.Histogram // in microseconds, of all requests
	Outcomes  map[string]int          // number of requests by the name that Do returned
}

// scheduledRequest is a request that is due, or the signal that ends a worker.
type scheduledRequest struct {
	n    int
	at   time.Time // when the request was released
	last bool      // ends the worker that receives it
}

// Run executes the plan and returns its result. It ends early when the context
// ends.
func Run(ctx context.Context, p Plan) Result {
	queue := supervise.NewRing[scheduledRequest]("load.due", p.Rate+p.Workers, supervise.Wait)
	results := supervise.NewRing[Result]("load.results", p.Workers, supervise.Refuse)
	for range p.Workers {
		go func() { _ = results.Put(ctx, runWorker(ctx, p, queue)) }()
	}
	releaseRequests(ctx, p, queue)
	for range p.Workers {
		_ = queue.Put(context.WithoutCancel(ctx), scheduledRequest{last: true})
	}
	total := newResult()
	for range p.Workers {
		r := <-results.Items()
		total.Latencies.Merge(r.Latencies)
		for outcome, n := range r.Outcomes {
			total.Outcomes[outcome] += n
		}
	}
	return total
}

func newResult() Result {
	return Result{
		Latencies: hdrhistogram.New(1, maxLatency.Microseconds(), significantFigures), Outcomes: map[string]int{},
	}
}

// releaseRequests puts each request on the queue at the time it is due.
func releaseRequests(ctx context.Context, p Plan, queue *supervise.Ring[scheduledRequest]) {
	ticker := time.NewTicker(releaseInterval)
	defer ticker.Stop()
	started := time.Now()
	total := int(p.Duration.Seconds() * float64(p.Rate))
	interval := time.Second / time.Duration(p.Rate)
	for n := 0; n < total; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for ; n < total && time.Since(started) >= time.Duration(n)*interval; n++ {
			if queue.Put(ctx, scheduledRequest{n: n, at: time.Now()}) != nil {
				return
			}
		}
	}
}

// runWorker sends the requests of the queue until it receives the last one.
func runWorker(ctx context.Context, p Plan, queue *supervise.Ring[scheduledRequest]) Result {
	r := newResult()
	for request := range queue.Items() {
		if request.last {
			break
		}
		r.Outcomes[p.Do(ctx, request.n)]++
		_ = r.Latencies.RecordValue(max(1, time.Since(request.at).Microseconds()))
	}
	return r
}
