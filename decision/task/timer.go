package task

import (
	"container/heap"
	"time"
)

// timers runs functions at given times. Timers are not cancelled; each function
// checks whether it still applies.
type timers struct {
	heap timerHeap
	next uint64 // sequence number; orders timers of the same time
}

type timer struct {
	at    time.Time
	order uint64
	run   func(now time.Time)
}

func (t *timers) add(at time.Time, run func(now time.Time)) {
	t.next++
	heap.Push(&t.heap, timer{at: at, order: t.next, run: run})
}

// fire runs the due functions. They may add timers. A timer added during a call runs
// in a later call even if it is due, so that fire terminates.
func (t *timers) fire(now time.Time) {
	last := t.next
	for len(t.heap) > 0 && !t.heap[0].at.After(now) && t.heap[0].order <= last {
		due := heap.Pop(&t.heap).(timer)
		due.run(now)
	}
}

// due returns the time of the next timer, or the zero time if there is none.
func (t *timers) due() time.Time {
	if len(t.heap) == 0 {
		return time.Time{}
	}
	return t.heap[0].at
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return last
}
