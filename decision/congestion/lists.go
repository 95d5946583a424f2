package congestion

import "time"

// Capacity is what an instance has for its calls to workers. A value of 0 is not
// known and sets no bound.
type Capacity struct {
	// BytesPerSecond is the rate of the instance's own link, each way.
	BytesPerSecond float64
	// Processor is the instance's share of a core.
	Processor float64
}

const (
	// listLinkShare and listProcessorShare are the parts of the link and of the
	// processor that lists may use; the rest is for starts and their answers, without
	// which there would be nothing to list.
	listLinkShare      = 0.5
	listProcessorShare = 0.35
	// listProcessorTime is what a list costs the holder's process in all: the call,
	// its decoding, the decisions and the log.
	listProcessorTime = 250 * time.Microsecond
	// maxListInterval keeps the ends of tasks known within little more than a second.
	maxListInterval = 1500 * time.Millisecond
)

// ListInterval returns the least time between two lists of one worker of a holder
// whose paths are congested, so that the lists of all workers leave the rest of the
// capacity to other calls. bytes is the sum of the newest list of each worker. The
// load it answers: on a narrow link, or a small processor, each end of a task fetches
// the whole list of its worker, and the lists displace the starts.
func ListInterval(c Capacity, workers, bytes int) time.Duration {
	interval := time.Duration(0)
	if c.BytesPerSecond > 0 {
		interval = time.Duration(float64(bytes) / (listLinkShare * c.BytesPerSecond) * float64(time.Second))
	}
	if c.Processor > 0 {
		interval = max(interval, time.Duration(float64(workers)*float64(listProcessorTime)/(listProcessorShare*c.Processor)))
	}
	return min(interval, maxListInterval)
}
