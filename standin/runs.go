package standin

// maxTrackedRuns bounds the identifiers that are remembered, about an hour at 300
// requests a second.
const maxTrackedRuns = 1 << 20

// runCounts counts how often each identifier ran; the oldest are forgotten.
type runCounts struct {
	counts map[string]int
	order  []string
	next   int
}

func newRunCounts() runCounts { return runCounts{counts: map[string]int{}} }

// add returns how often the identifier has run now.
func (r *runCounts) add(id string) int {
	if r.counts[id] == 0 {
		r.track(id)
	}
	r.counts[id]++
	return r.counts[id]
}

func (r *runCounts) track(id string) {
	if len(r.order) < maxTrackedRuns {
		r.order = append(r.order, id)
		return
	}
	delete(r.counts, r.order[r.next])
	r.order[r.next] = id
	r.next = (r.next + 1) % maxTrackedRuns
}

// checkpoints remembers the progress that each checkpoint saved and who
// resumed from it.
type checkpoints struct {
	progress map[string]int64 // milliseconds of work done
	resumed  map[string]*task
}

func newCheckpoints() checkpoints {
	return checkpoints{progress: map[string]int64{}, resumed: map[string]*task{}}
}

// resume records that a task starts from a checkpoint. It reports false when
// another attempt has resumed from it and did not fail: the same work would be
// done twice. After a failure the checkpoint is the last good one again.
func (c *checkpoints) resume(checkpoint string, t *task) bool {
	if checkpoint == "" {
		return true
	}
	earlier := c.resumed[checkpoint]
	c.resumed[checkpoint] = t
	return earlier == nil || earlier.progressLost()
}
