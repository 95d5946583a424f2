// Package load sends bounded load at a fixed rate and records how long each
// request took. The demo and the load command use it; it is no part of an
// entry instance.
package load

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// largestTime is the longest time that a histogram holds.
	largestTime = 10 * time.Minute
	// significantFigures keeps the error of a percentile below 0.1%.
	significantFigures = 3
	// pace is how often the pacer releases the requests that are due.
	pace = time.Millisecond
)

// Plan is an open load: requests are due at fixed times, whether or not
// earlier ones have ended.
type Plan struct {
	Rate     int // requests a second
	Duration time.Duration
	// Workers bounds the requests in progress; a request that finds no free
	// worker waits, and its wait counts as part of its time.
	Workers int
	// Do sends request n and reports how it ended under a short name.
	Do func(ctx context.Context, n int) string
}

// Result is what a plan brought.
type Result struct {
	Times *hdrhistogram.Histogram // microseconds, of all requests
	Ends  map[string]int          // requests by the name that Do returned
}

type due struct {
	n  int
	at time.Time
}

// Run carries out the plan. It ends early when the context ends.
func Run(ctx context.Context, p Plan) Result {
	queue := make(chan due, p.Rate)
	results := make(chan Result, p.Workers)
	var workers sync.WaitGroup
	for range p.Workers {
		workers.Go(func() { results <- work(ctx, p, queue) })
	}
	release(ctx, p, queue)
	close(queue)
	workers.Wait()
	close(results)
	total := newResult()
	for r := range results {
		total.Times.Merge(r.Times)
		for end, n := range r.Ends {
			total.Ends[end] += n
		}
	}
	return total
}

func newResult() Result {
	return Result{
		Times: hdrhistogram.New(1, largestTime.Microseconds(), significantFigures), Ends: map[string]int{},
	}
}

func release(ctx context.Context, p Plan, queue chan<- due) {
	ticker := time.NewTicker(pace)
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
			select {
			case queue <- due{n: n, at: time.Now()}:
			case <-ctx.Done():
				return
			}
		}
	}
}

func work(ctx context.Context, p Plan, queue <-chan due) Result {
	r := newResult()
	for d := range queue {
		r.Ends[p.Do(ctx, d.n)]++
		_ = r.Times.RecordValue(max(1, time.Since(d.at).Microseconds()))
	}
	return r
}
