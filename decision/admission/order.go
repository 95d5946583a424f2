package admission

import (
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// rank orders work: lower goes first.
type rank uint8

// ranks holds the rank of a class, of teams below their share (0) and of teams
// that borrow (1). Normal work within a share goes before urgent work that
// borrows; otherwise a flood of urgent work of one team would void the quotas
// of the others. Batch work within a share doesn't, because nobody waits for
// it; it is kept from starving by its age.
var ranks = [fleet.ClassCount][2]rank{
	fleet.Urgent: {0, 2},
	fleet.Normal: {1, 3},
	fleet.Batch:  {4, 5},
}

const noRank rank = 255

// Next returns the item to start next among the kinds for which there is room.
// It stays in the queue until Remove, which the caller follows with Started.
func (q *Queue) Next(now time.Time, room [2]bool) (Handle, bool) {
	if q.count == 0 {
		return none, false
	}
	if q.starts%agedEvery == agedEvery-1 {
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
			h, r := q.first(class, Kind(kind))
			if h != none && (r < bestRank || r == bestRank && q.arrivedBefore(h, best)) {
				best, bestRank = h, r
			}
		}
	}
	return best, best != none
}

// Started counts a start, of which every agedEvery-th goes by age.
func (q *Queue) Started() { q.starts++ }

// first returns the item of a class and kind that is next, by the part of its
// share that its team uses.
func (q *Queue) first(class fleet.Class, kind Kind) (Handle, rank) {
	best, least := none, 0.0
	var of *team
	for _, i := range q.active[class][kind] {
		t := &q.teams.list[i]
		h, ratio := t.queues[class][kind].head, t.ratio()
		if best == none || ratio < least || ratio == least && q.arrivedBefore(h, best) {
			best, least, of = h, ratio, t
		}
	}
	if best == none {
		return none, noRank
	}
	if of.below(q.teams.slots) {
		return best, ranks[class][0]
	}
	return best, ranks[class][1]
}

func (q *Queue) mostOverdue(now time.Time, room [2]bool) Handle {
	best, most := none, time.Duration(0)
	for class := range q.active {
		for kind := range q.active[class] {
			if !room[kind] {
				continue
			}
			for _, i := range q.active[class][kind] {
				h := q.teams.list[i].queues[class][kind].head
				overdue := now.Sub(q.nodes[h].item.Arrived) - ageAfter[class]
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
