package admission

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/fleet"
)

// TeamIndex refers to a team of the queue. It stays valid while the team has
// waiting or running work.
type TeamIndex int32

// Unlisted is the index that all teams without a quota share. Its share is
// what the listed teams leave.
const Unlisted TeamIndex = 0

// leastShare stands in for a share of 0 where a ratio is formed: such a team
// only borrows.
const leastShare = 1e-3

type team struct {
	name   fleet.Team
	listed bool
	share  float64
	// running counts slots held, waiting counts items.
	running, waiting int
	backlog          [fleet.ClassCount]time.Duration
	queues           [fleet.ClassCount][kindCount]list
}

type list struct{ head, tail Handle }

type teamTable struct {
	list   []team
	byName map[fleet.Team]TeamIndex
	// slots is the number of slots that shares are parts of.
	slots int
}

// below reports whether the team holds less than its share of the slots.
func (t *team) below(slots int) bool { return float64(t.running) < t.share*float64(slots) }

// ratio returns how much of its share the team uses.
func (t *team) ratio() float64 { return float64(t.running) / max(t.share, leastShare) }

func (t *teamTable) set(teams []configuration.Team) {
	if t.byName == nil {
		t.byName = make(map[fleet.Team]TeamIndex)
		t.list = append(t.list, emptyTeam(""))
	}
	for i := range t.list[1:] {
		t.list[i+1].listed, t.list[i+1].share = false, 0
	}
	rest := 1.0
	for _, declared := range teams {
		entry := &t.list[t.enter(declared.Name)]
		entry.listed, entry.share = true, max(0, declared.Share)
		rest -= entry.share
	}
	t.list[Unlisted].share = max(0, rest)
}

// enter returns the index of a team, new or known. The entry of a team that is
// no longer listed is reused once it has no work, which bounds the table.
func (t *teamTable) enter(name fleet.Team) TeamIndex {
	if i, ok := t.byName[name]; ok {
		return i
	}
	for i := range t.list[1:] {
		if old := &t.list[i+1]; !old.listed && old.running == 0 && old.waiting == 0 {
			delete(t.byName, old.name)
			*old = emptyTeam(name)
			old.listed = true
			t.byName[name] = TeamIndex(i + 1)
			return TeamIndex(i + 1)
		}
	}
	t.list = append(t.list, emptyTeam(name))
	t.byName[name] = TeamIndex(len(t.list) - 1)
	return TeamIndex(len(t.list) - 1)
}

func emptyTeam(name fleet.Team) team {
	t := team{name: name}
	for class := range t.queues {
		for kind := range t.queues[class] {
			t.queues[class][kind] = list{none, none}
		}
	}
	return t
}

// Team returns the index of a team by name.
func (q *Queue) Team(name fleet.Team) TeamIndex {
	if i, ok := q.teams.byName[name]; ok && q.teams.list[i].listed {
		return i
	}
	return Unlisted
}

// AddRunning counts slots that work of a team took; negative values give them back.
func (q *Queue) AddRunning(i TeamIndex, slots int) { q.teams.list[i].running += slots }

// BelowShare reports whether a team holds less than its share.
func (q *Queue) BelowShare(i TeamIndex) bool { return q.teams.list[i].below(q.teams.slots) }

// SetSlots sets the number of slots that shares are parts of.
func (q *Queue) SetSlots(slots int) { q.teams.slots = slots }

// link appends an item to its team's list.
func (q *Queue) link(h Handle) {
	n := &q.nodes[h]
	t := &q.teams.list[n.item.Team]
	l := &t.queues[n.item.Class][n.item.Kind]
	n.prev, n.next = l.tail, none
	if l.tail == none {
		l.head = h
		active := &q.active[n.item.Class][n.item.Kind]
		*active = append(*active, n.item.Team)
	} else {
		q.nodes[l.tail].next = h
	}
	l.tail = h
	t.waiting++
	t.backlog[n.item.Class] += n.item.RunTime
	q.backlog[n.item.Class][n.item.Kind] += n.item.RunTime
}

// unlink takes an item out of its team's list.
func (q *Queue) unlink(h Handle) {
	n := &q.nodes[h]
	t := &q.teams.list[n.item.Team]
	l := &t.queues[n.item.Class][n.item.Kind]
	if n.prev == none {
		l.head = n.next
	} else {
		q.nodes[n.prev].next = n.next
	}
	if n.next == none {
		l.tail = n.prev
	} else {
		q.nodes[n.next].prev = n.prev
	}
	if l.head == none {
		q.deactivate(n.item)
	}
	t.waiting--
	t.backlog[n.item.Class] -= n.item.RunTime
	q.backlog[n.item.Class][n.item.Kind] -= n.item.RunTime
}

func (q *Queue) deactivate(item Item) {
	active := &q.active[item.Class][item.Kind]
	for i, t := range *active {
		if t == item.Team {
			last := len(*active) - 1
			(*active)[i] = (*active)[last]
			*active = (*active)[:last]
			return
		}
	}
}
