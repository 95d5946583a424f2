// Package admission is the waiting queue of a partition.
//
// Order: work of teams below their share goes before work of teams that borrow
// idle share; within that, urgent before normal before batch. Batch always
// comes after latency-critical work. Among teams of one class the one that uses
// the least of its share is next, and a team's own work is first in, first out.
// Every agedEvery-th start goes to the longest overdue work whatever its class,
// so nothing starves, and a flood of old batch work can't take more than that
// from latency-critical work.
//
// Refusals: the queue is bounded, batch work can't fill it for the others, and
// teams above their share can't fill it for those below. Work whose expected
// wait exceeds the time until it must start is refused at once, because a
// refusal in time lets its caller go elsewhere; work whose time passes in the
// queue is handed back by Expired.
//
// The package is pure. The queue keeps its items in one slice and refers to
// them by Handle, so the steady state doesn't allocate.
package admission

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/fleet"
)

const (
	// agedEvery bounds starts by age to 4% of all starts: the measured goodput
	// of latency-critical work at the peak may lose 5%.
	agedEvery = 25
	// batchPart is the part of the queue that batch work may fill.
	batchPart = 0.5
	// borrowedPart is the part of the queue up to which teams above their share
	// of it may add work.
	borrowedPart = 0.75
	// waitMargin is added to expected waits before they are compared with a
	// deadline, because run times scatter around their mean.
	waitMargin = 1.25
	// leastRetryAfter and mostRetryAfter bound what a refused caller is told.
	leastRetryAfter = 100 * time.Millisecond
	mostRetryAfter  = 10 * time.Second
)

// ageAfter is the wait from which work counts as overdue.
var ageAfter = [fleet.ClassCount]time.Duration{time.Second, 4 * time.Second, 20 * time.Second}

// Kind separates work that may hold any slot from work that may hold only a
// bounded share, so that long work at the front holds nobody back.
type Kind uint8

const (
	// Short work may use every slot.
	Short Kind = iota
	// Long work may use the share of long work.
	Long
	kindCount = 2
)

// Item is one piece of waiting work.
type Item struct {
	Class fleet.Class
	Kind  Kind
	Team  TeamIndex
	// RunTime is the expected run time.
	RunTime time.Duration
	// Arrived is when the work was submitted, StartBy when it must have started.
	Arrived, StartBy time.Time
	// Owner is the caller's own reference.
	Owner int32
}

// Handle refers to an item in the queue.
type Handle int32

const none Handle = -1

// Refusal says why an item wasn't taken; Reason is NoReason when it was.
type Refusal struct {
	Reason     outcome.Reason
	RetryAfter time.Duration
}

// Queue holds the waiting work of one partition.
type Queue struct {
	limit   int
	nodes   []node
	free    Handle
	count   int
	byClass [fleet.ClassCount]int
	backlog [fleet.ClassCount][kindCount]time.Duration
	// active lists the teams with waiting work of a class and kind.
	active [fleet.ClassCount][kindCount][]TeamIndex
	teams  teamTable
	until  untilHeap
	starts int
}

type node struct {
	item       Item
	prev, next Handle
	// place is the position in the heap.
	place int32
}

// New returns an empty queue for at most limit items.
func New(limit int) *Queue {
	q := &Queue{limit: limit, free: none}
	q.until.queue = q
	q.SetTeams(nil)
	return q
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.count }

// Backlog returns the expected run time of all waiting work of a kind.
func (q *Queue) Backlog(kind Kind) (sum time.Duration) {
	for class := range q.backlog {
		sum += q.backlog[class][kind]
	}
	return sum
}

// Item returns a waiting item.
func (q *Queue) Item(h Handle) Item { return q.nodes[h].item }

// SetOwner sets the caller's own reference of a waiting item.
func (q *Queue) SetOwner(h Handle, owner int32) { q.nodes[h].item.Owner = owner }

// Push takes an item, or refuses it. slots is the number of slots that work of
// its kind may use now; with none the wait isn't estimated.
func (q *Queue) Push(now time.Time, item Item, slots int) (Handle, Refusal) {
	if refusal := q.bounded(item); refusal.Reason != outcome.NoReason {
		return none, refusal
	}
	if slots > 0 {
		wait := q.Wait(item, slots)
		if now.Add(time.Duration(float64(wait) * waitMargin)).After(item.StartBy) {
			return none, Refusal{outcome.DeadlineExceeded, retryAfter(wait - item.StartBy.Sub(now))}
		}
	}
	return q.insert(item), Refusal{}
}

// bounded checks the bounds of the queue.
func (q *Queue) bounded(item Item) Refusal {
	limit := float64(q.limit)
	switch team := &q.teams.list[item.Team]; {
	case q.count >= q.limit,
		item.Class == fleet.Batch && float64(q.byClass[fleet.Batch]) >= batchPart*limit:
		return Refusal{outcome.QueueFull, q.drainTime(item.Class)}
	case float64(q.count) >= borrowedPart*limit && float64(team.waiting) >= team.share*limit:
		return Refusal{outcome.Quota, q.drainTime(item.Class)}
	}
	return Refusal{}
}

func (q *Queue) drainTime(class fleet.Class) time.Duration {
	var all time.Duration
	for c := range class + 1 {
		all += q.backlog[c][Short] + q.backlog[c][Long]
	}
	return retryAfter(all / time.Duration(max(1, q.teams.slots)))
}

func retryAfter(d time.Duration) time.Duration {
	return min(max(d, leastRetryAfter), mostRetryAfter)
}

// Wait returns the expected wait of an item that would be added now, when work
// of its kind may use the given number of slots. A team below its share waits
// at most for its own work at the rate of its share.
func (q *Queue) Wait(item Item, slots int) time.Duration {
	var ahead time.Duration
	for c := range item.Class + 1 {
		ahead += q.backlog[c][item.Kind]
	}
	// The next slot comes free after a part of one run.
	wait := (ahead + item.RunTime) / time.Duration(max(1, slots))
	team := &q.teams.list[item.Team]
	if item.Class == fleet.Batch || !team.below(q.teams.slots) {
		return wait
	}
	own := item.RunTime
	for c := range item.Class + 1 {
		own += team.backlog[c]
	}
	return min(wait, time.Duration(float64(own)/(team.share*float64(slots))))
}

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
	q.until.push(h)
	q.count++
	q.byClass[item.Class]++
	return h
}

// Remove takes an item out of the queue.
func (q *Queue) Remove(h Handle) Item {
	item := q.nodes[h].item
	q.unlink(h)
	q.until.remove(h)
	q.count--
	q.byClass[item.Class]--
	q.nodes[h] = node{next: q.free}
	q.free = h
	return item
}

// Reclassify changes the kind of a waiting item, which goes behind the items
// of that kind.
func (q *Queue) Reclassify(h Handle, kind Kind) {
	q.unlink(h)
	q.nodes[h].item.Kind = kind
	q.link(h)
}

// Expired returns an item that should have started by now, if there is one.
func (q *Queue) Expired(now time.Time) (Handle, bool) {
	h, ok := q.until.first()
	return h, ok && !now.Before(q.nodes[h].item.StartBy)
}

// EarliestStartBy returns the earliest time by which an item must have started.
func (q *Queue) EarliestStartBy() (time.Time, bool) {
	h, ok := q.until.first()
	if !ok {
		return time.Time{}, false
	}
	return q.nodes[h].item.StartBy, true
}

// SetTeams takes the teams of a new configuration.
func (q *Queue) SetTeams(teams []configuration.Team) { q.teams.set(teams) }
