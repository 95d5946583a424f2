package partition

import "slices"

// queuePolicy is a baseline policy: one first-in-first-out queue without
// admission control and with exact counts of all servers.
type queuePolicy struct {
	random bool // choose a random server with a free slot, not the least loaded
	queue  []*job
}

func (q *queuePolicy) submit(sim *simulation, j *job) {
	j.admitted = true
	q.queue = append(q.queue, j)
	q.startQueued(sim)
}

func (q *queuePolicy) ended(sim *simulation, j *job, _ Result) {
	j.answered = true
	q.startQueued(sim)
}

func (q *queuePolicy) cancel(_ *simulation, j *job) {
	if i := slices.Index(q.queue, j); i >= 0 {
		q.queue = slices.Delete(q.queue, i, i+1)
		j.refused = true
	}
}

func (q *queuePolicy) startQueued(sim *simulation) {
	for len(q.queue) > 0 {
		first := sim.random.IntN(sim.servers)
		best := -1
		for k := range sim.servers {
			i := (first + k) % sim.servers
			if sim.busy[i] < slotsPerServer && (best < 0 || !q.random && sim.busy[i] < sim.busy[best]) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		j := q.queue[0]
		q.queue = q.queue[1:]
		sim.start(j, best)
	}
}
