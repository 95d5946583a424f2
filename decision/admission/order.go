package admission

import (
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// rank orders work; a lower rank goes first.
type rank uint8

// ranks holds the ranks of each class, for teams below their share (index 0)
// and for teams that borrow (index 1). Normal work within a share goes before
// urgent work that borrows; otherwise a flood of urgent work of one team would
// void the quotas of the others. Batch work within a share doesn't, because it
// has no latency target; starts of overdue work keep it from starving.
var ranks = [fleet.ClassCount][2]rank{
	fleet.Urgent: {0, 2},
	fleet.Normal: {1, 3},
	fleet.Batch:  {4, 5},
}

const noRank rank = 255

// Next returns the item to start next among the kinds for which there is room;
// room is indexed by Kind. The item stays in the queue until Remove. A caller
// that starts it also calls Started.
func (q *Queue) Next(now time.Time, room [2]bool) (Handle, bool) {
	if q.count == 0 {
		return none, false
	}
	if q.starts%agedStartInterval == agedStartInterval-1 {
		if h := q.mostOverdue(now, room); h != none {
			return h, true
		}
	}
	best, bestRank := none, noRank
	for class := range fleet.Class(fleet.ClassCount) {
		if ranks[class][0] > bestRank {
			break
		}
		for kind := range room {
			if !room[kind] {
				continue
			}
			h, r := q.firstOf(class, Kind(kind))
			if h != none && (r < bestRank || r == bestRank && q.arrivedBefore(h, best)) {
				best, bestRank = h, r
			}
		}
	}
	return best, best != none
}

// Started counts a start; every agedStartInterval-th start goes to overdue work.
func (q *Queue) Started() { q.starts++ }

// firstOf returns the next item of a class and kind: the oldest one of the team
// that uses the smallest part of its share.
func (q *Queue) firstOf(class fleet.Class, kind Kind) (Handle, rank) {
	best, leastUsed := none, 0.0
	var bestTeam *team
	for _, i := range q.active[class][kind] {
		t := &q.teams.entries[i]
		h, shareUsed := t.queues[class][kind].head, t.shareUsed()
		if best == none || shareUsed < leastUsed || shareUsed == leastUsed && q.arrivedBefore(h, best) {
			best, leastUsed, bestTeam = h, shareUsed, t
		}
	}
	if best == none {
		return none, noRank
	}
	if bestTeam.belowShare(q.teams.slots) {
		return best, ranks[class][0]
	}
	return best, ranks[class][1]
}

// mostOverdue returns the item that has exceeded the overdueAfter of its class by
// most, or none.
func (q *Queue) mostOverdue(now time.Time, room [2]bool) Handle {
	best, most := none, time.Duration(0)
	for class := range q.active {
		for kind := range q.active[class] {
			if !room[kind] {
				continue
			}
			for _, i := range q.active[class][kind] {
				h := q.teams.entries[i].queues[class][kind].head
				overdue := now.Sub(q.nodes[h].item.Arrived) - overdueAfter[class]
				if overdue > most {
					best, most = h, overdue
				}
			}
		}
	}
	return best
}

func (q *Queue) arrivedBefore(a, b Handle) bool {
	return q.nodes[a].item.Arrived.Before(q.nodes[b].item.Arrived)
}
