package partition

import "slices"

// queuePolicy is a baseline: one queue, first in, first out, no admission. It sees
// exact counts of all servers.
type queuePolicy struct {
	random bool // choose a random server with a free slot, else the least loaded
	queue  []*job
}

func (q *queuePolicy) submit(w *simulation, j *job) {
	j.admitted = true
	q.queue = append(q.queue, j)
	q.drain(w)
}

func (q *queuePolicy) ended(w *simulation, j *job, _ Result) {
	j.answered = true
	q.drain(w)
}

func (q *queuePolicy) cancel(_ *simulation, j *job) {
	if i := slices.Index(q.queue, j); i >= 0 {
		q.queue = slices.Delete(q.queue, i, i+1)
		j.refused = true
	}
}

func (q *queuePolicy) drain(w *simulation) {
	for len(q.queue) > 0 {
		first := w.random.IntN(w.servers)
		best := -1
		for k := range w.servers {
			i := (first + k) % w.servers
			if w.busy[i] < slotsPerServer && (best < 0 || !q.random && w.busy[i] < w.busy[best]) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		j := q.queue[0]
		q.queue = q.queue[1:]
		w.start(j, best)
	}
}
