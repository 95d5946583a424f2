// Package ringmetrics exports the counters of the rings of a process as metrics.
// It holds no state: each scrape reads the directory of running duties.
package ringmetrics

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/supervise"
)

var (
	ringDepth = prometheus.NewDesc("lacewingfork_ring_depth",
		"Items queued on the rings of a kind.", []string{"ring"}, nil)
	ringRefused = prometheus.NewDesc("lacewingfork_ring_refused_total",
		"Items refused because the rings of a kind were full.", []string{"ring"}, nil)
	ringDropped = prometheus.NewDesc("lacewingfork_ring_dropped_total",
		"Items dropped because the rings of a kind were full.", []string{"ring"}, nil)
	dutiesRunning = prometheus.NewDesc("lacewingfork_duties",
		"Duties running in this process.", nil, nil)
)

// Collector is a prometheus.Collector that reads the ring counters from the
// directory on each scrape.
type Collector struct {
	directory *supervise.Directory
}

// New returns a collector that reads from the directory of a process.
func New(directory *supervise.Directory) *Collector { return &Collector{directory: directory} }

// Describe implements prometheus.Collector.
func (c *Collector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- ringDepth
	descriptions <- ringRefused
	descriptions <- ringDropped
	descriptions <- dutiesRunning
}

// Collect implements prometheus.Collector. It sums the counters by kind of ring,
// so that the number of series doesn't grow with the fleet.
func (c *Collector) Collect(metrics chan<- prometheus.Metric) {
	states, err := c.directory.RingStats(context.Background())
	if err != nil {
		return
	}
	sums := map[string]supervise.RingStats{}
	for _, state := range states {
		for _, ring := range state.Rings {
			kind := ring.Kind()
			sum := sums[kind]
			sum.Depth += ring.Depth
			sum.Refused += ring.Refused
			sum.Dropped += ring.Dropped
			sums[kind] = sum
		}
	}
	for kind, sum := range sums {
		metrics <- prometheus.MustNewConstMetric(ringDepth, prometheus.GaugeValue, float64(sum.Depth), kind)
		metrics <- prometheus.MustNewConstMetric(ringRefused, prometheus.CounterValue, float64(sum.Refused), kind)
		metrics <- prometheus.MustNewConstMetric(ringDropped, prometheus.CounterValue, float64(sum.Dropped), kind)
	}
	metrics <- prometheus.MustNewConstMetric(dutiesRunning, prometheus.GaugeValue, float64(len(states)))
}
