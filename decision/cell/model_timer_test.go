package cell

import "time"

// timer is a function that runs at a virtual time.
type timer struct {
	at   time.Duration
	seq  int
	fire func()
}

// timers is a heap ordered by time and, for equal times, by creation.
type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}
