// Package load sends bounded load at a fixed rate and records how long each
// request took. The demo and the load command use it; it is no part of an
// entry instance.
package load

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lacewingfork.example/lacewingfork/supervise"
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
	n    int
	at   time.Time
	last bool // ends a worker
}

// Run carries out the plan. It ends early when the context ends.
func Run(ctx context.Context, p Plan) Result {
	queue := supervise.NewRing[due]("load.due", p.Rate+p.Workers, supervise.Wait)
	results := supervise.NewRing[Result]("load.results", p.Workers, supervise.Refuse)
	for range p.Workers {
		go func() { _ = results.Put(ctx, work(ctx, p, queue)) }()
	}
	release(ctx, p, queue)
	for range p.Workers {
		_ = queue.Put(context.WithoutCancel(ctx), due{last: true})
	}
	total := newResult()
	for range p.Workers {
		r := <-results.Items()
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

func release(ctx context.Context, p Plan, queue *supervise.Ring[due]) {
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
			if queue.Put(ctx, due{n: n, at: time.Now()}) != nil {
				return
			}
		}
	}
}

func work(ctx context.Context, p Plan, queue *supervise.Ring[due]) Result {
	r := newResult()
	for d := range queue.Items() {
		if d.last {
			break
		}
		r.Ends[p.Do(ctx, d.n)]++
		_ = r.Times.RecordValue(max(1, time.Since(d.at).Microseconds()))
	}
	return r
}
