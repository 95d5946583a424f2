// Package admission implements the admission queue of a partition.
//
// Order: work of teams below their share goes before work of teams that borrow
// idle share; within that, urgent before normal before batch. Batch always
// comes after latency-critical work. Among teams of one class, the one that
// uses the smallest part of its share is next. The work of one team is first
// in, first out. Every agedStartInterval-th start goes to the most overdue work
// of any class. This prevents starvation and bounds what a backlog of old batch
// work can take from latency-critical work.
//
// Refusals: the queue is bounded, batch work can fill only a part of it, and
// teams above their share can't use the last part. Work whose expected wait
// exceeds the time until its latest start is refused at once, so that its
// caller can go elsewhere in time. Expired returns work whose latest start
// passed while it waited.
//
// The package has no I/O and takes the time as a parameter. The queue keeps its
// items in one slice and refers to them by Handle, so it doesn't allocate in
// steady state.
package admission

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/fleet"
)

const (
	// agedStartInterval bounds starts of overdue work to 4% of all starts, because the
	// goodput of latency-critical work at the peak may lose at most 5%.
	agedStartInterval = 25
	// maxBatchFraction is the fraction of the queue that batch work may fill.
	maxBatchFraction = 0.5
	// maxBorrowedFraction is the fill level of the queue up to which teams
	// above their share of it may add work.
	maxBorrowedFraction = 0.75
	// waitFactor multiplies an expected wait before it is compared with a
	// deadline, because run times vary around their mean.
	waitFactor = 1.25
	// minRetryAfter and maxRetryAfter bound the retry delay in a refusal.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// overdueAfter is the wait, by class, after which work counts as overdue.
var overdueAfter = [fleet.ClassCount]time.Duration{time.Second, 4 * time.Second, 20 * time.Second}

// Kind separates work that may use any slot from work that may use only a
// bounded share of the slots, so that long work at the head of the queue
// doesn't block short work.
type Kind uint8

const (
	// Short work may use every slot.
	Short Kind = iota
	// Long work may use only the slots allowed for long work.
	Long
	kindCount = 2
)

// Item is one unit of waiting work.
type Item struct {
	Class fleet.Class
	Kind  Kind
	Team  TeamIndex
	// RunTime is the expected run time.
	RunTime time.Duration
	// Arrived is when the work was submitted, StartBy its latest start.
	Arrived, StartBy time.Time
	// Owner is an opaque reference for the user of the queue.
	Owner int32
}

// Handle identifies an item until it is removed from the queue.
type Handle int32

const none Handle = -1

// Refusal says why an item was refused; Reason is NoReason if it was accepted.
type Refusal struct {
	Reason     outcome.Reason
	RetryAfter time.Duration
}

// Queue holds the waiting work of one partition.
type Queue struct {
	limit int // maximum number of items
	nodes []node
	// free is the first of the unused nodes, which are linked by next.
	free    Handle
	count   int
	byClass [fleet.ClassCount]int
	backlog [fleet.ClassCount][kindCount]time.Duration
	// active lists the teams with waiting work of a class and kind.
	active    [fleet.ClassCount][kindCount][]TeamIndex
	teams     teamTable
	byStartBy startByHeap
	starts    int // counted by Started
}

type node struct {
	item       Item
	prev, next Handle
	// heapIndex is the position of the item in startByHeap.
	heapIndex int32
}

// New returns an empty queue for at most limit items.
func New(limit int) *Queue {
	q := &Queue{limit: limit, free: none}
	q.byStartBy.queue = q
	q.SetTeams(nil)
	return q
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.count }

// Backlog returns the total expected run time of the waiting work of a kind.
func (q *Queue) Backlog(kind Kind) (sum time.Duration) {
	for class := range q.backlog {
		sum += q.backlog[class][kind]
	}
	return sum
}

// Item returns a waiting item.
func (q *Queue) Item(h Handle) Item { return q.nodes[h].item }

// SetOwner sets the Owner of a waiting item.
func (q *Queue) SetOwner(h Handle, owner int32) { q.nodes[h].item.Owner = owner }

// Push adds an item or refuses it. slots is the number of slots that work of
// its kind may use now; if it is 0, the wait isn't estimated.
func (q *Queue) Push(now time.Time, item Item, slots int) (Handle, Refusal) {
	if refusal := q.checkBounds(item); refusal.Reason != outcome.NoReason {
		return none, refusal
	}
	if slots > 0 {
		wait := q.Wait(item, slots)
		if now.Add(time.Duration(float64(wait) * waitFactor)).After(item.StartBy) {
			return none, Refusal{outcome.DeadlineExceeded, retryAfter(wait - item.StartBy.Sub(now))}
		}
	}
	return q.insert(item), Refusal{}
}

// checkBounds checks the bounds on the number of waiting items.
func (q *Queue) checkBounds(item Item) Refusal {
	limit := float64(q.limit)
	switch team := &q.teams.entries[item.Team]; {
	case q.count >= q.limit,
		item.Class == fleet.Batch && float64(q.byClass[fleet.Batch]) >= maxBatchFraction*limit:
		return Refusal{outcome.QueueFull, q.drainTime(item.Class)}
	case float64(q.count) >= maxBorrowedFraction*limit && float64(team.waiting) >= team.share*limit:
		return Refusal{outcome.Quota, q.drainTime(item.Class)}
	}
	return Refusal{}
}

// drainTime returns the retry delay after which the waiting work of a class and
// of the more urgent classes is expected to have run.
func (q *Queue) drainTime(class fleet.Class) time.Duration {
	var all time.Duration
	for c := range class + 1 {
		all += q.backlog[c][Short] + q.backlog[c][Long]
	}
	return retryAfter(all / time.Duration(max(1, q.teams.slots)))
}

// retryAfter limits a delay to minRetryAfter and maxRetryAfter.
func retryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// Wait returns the expected wait of an item if it were added now and work of
// its kind could use the given number of slots. For a team below its share, the
// wait is at most the time to run its own backlog on its share of the slots.
func (q *Queue) Wait(item Item, slots int) time.Duration {
	var ahead time.Duration
	for c := range item.Class + 1 {
		ahead += q.backlog[c][item.Kind]
	}
	// A slot becomes free after a part of one run.
	wait := (ahead + item.RunTime) / time.Duration(max(1, slots))
	team := &q.teams.entries[item.Team]
	if item.Class == fleet.Batch || !team.belowShare(q.teams.slots) {
		return wait
	}
	own := item.RunTime
	for c := range item.Class + 1 {
		own += team.backlog[c]
	}
	return min(wait, time.Duration(float64(own)/(team.share*float64(slots))))
}

// insert adds an item without checking any bound.
func (q *Queue) insert(item Item) Handle {
	h := q.free
	if h == none {
		q.nodes = append(q.nodes, node{})
		h = Handle(len(q.nodes) - 1)
	} else {
		q.free = q.nodes[h].next
	}
	q.nodes[h] = node{item: item, prev: none, next: none}
	q.link(h)
	q.byStartBy.push(h)
	q.count++
	q.byClass[item.Class]++
	return h
}

// Remove removes an item from the queue and returns it.
func (q *Queue) Remove(h Handle) Item {
	item := q.nodes[h].item
	q.unlink(h)
	q.byStartBy.remove(h)
	q.count--
	q.byClass[item.Class]--
	q.nodes[h] = node{next: q.free}
	q.free = h
	return item
}

// Reclassify changes the kind of a waiting item and moves it to the end of its
// team's items of that kind.
func (q *Queue) Reclassify(h Handle, kind Kind) {
	q.unlink(h)
	q.nodes[h].item.Kind = kind
	q.link(h)
}

// Expired returns an item whose StartBy has been reached, if there is one.
func (q *Queue) Expired(now time.Time) (Handle, bool) {
	h, ok := q.byStartBy.first()
	return h, ok && !now.Before(q.nodes[h].item.StartBy)
}

// EarliestStartBy returns the earliest StartBy of all waiting items.
func (q *Queue) EarliestStartBy() (time.Time, bool) {
	h, ok := q.byStartBy.first()
	if !ok {
		return time.Time{}, false
	}
	return q.nodes[h].item.StartBy, true
}

// SetTeams applies the teams of a new configuration.
func (q *Queue) SetTeams(teams []configuration.Team) { q.teams.set(teams) }
