package standin

// maxTrackedRuns limits the tracked identifiers: about an hour at 300 requests per
// second.
const maxTrackedRuns = 1 << 20

// runCounts counts the runs of each identifier. Beyond maxTrackedRuns it drops the
// oldest identifier.
type runCounts struct {
	counts map[string]int
	order  []string // identifiers by age, as a ring buffer once full
	next   int      // index of the oldest identifier once full
}

func newRunCounts() runCounts { return runCounts{counts: map[string]int{}} }

// add counts a run of the identifier and returns the number of its runs.
func (r *runCounts) add(id string) int {
	if r.counts[id] == 0 {
		r.track(id)
	}
	r.counts[id]++
	return r.counts[id]
}

// track adds an identifier and drops the oldest one if there are too many.
func (r *runCounts) track(id string) {
	if len(r.order) < maxTrackedRuns {
		r.order = append(r.order, id)
		return
	}
	delete(r.counts, r.order[r.next])
	r.order[r.next] = id
	r.next = (r.next + 1) % maxTrackedRuns
}

// checkpoints holds the progress that each checkpoint saved and the last attempt
// that resumed from it.
type checkpoints struct {
	progress map[string]int64 // milliseconds of work done
	resumed  map[string]*task // last attempt that resumed from the checkpoint
}

func newCheckpoints() checkpoints {
	return checkpoints{progress: map[string]int64{}, resumed: map[string]*task{}}
}

// resume records that an attempt starts from a checkpoint. It reports false if an
// earlier attempt has resumed from it and has not lost its progress, because the
// same work would be done twice. After such a loss the checkpoint may be resumed
// again.
func (c *checkpoints) resume(checkpoint string, t *task) bool {
	if checkpoint == "" {
		return true
	}
	earlier := c.resumed[checkpoint]
	c.resumed[checkpoint] = t
	return earlier == nil || earlier.progressLost()
}
