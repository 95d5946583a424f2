package admission

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/fleet"
)

// TeamIndex identifies a team in the queue. It stays valid while the team has
// waiting or running work.
type TeamIndex int32

// Unlisted is the common index of all teams without a quota. Its share is the
// remainder that the listed teams leave.
const Unlisted TeamIndex = 0

// minShare replaces smaller shares as a divisor. A team with a share of 0 only
// borrows.
const minShare = 1e-3

type team struct {
	name   fleet.Team
	listed bool
	share  float64
	// running is the number of slots in use, waiting the number of items.
	running, waiting int
	backlog          [fleet.ClassCount]time.Duration
	queues           [fleet.ClassCount][kindCount]list
}

type list struct{ head, tail Handle }

type teamTable struct {
	entries []team
	byName  map[fleet.Team]TeamIndex
	// slots is the number of slots that the shares are fractions of.
	slots int
}

// belowShare reports whether the team uses less than its share of the slots.
func (t *team) belowShare(slots int) bool { return float64(t.running) < t.share*float64(slots) }

// shareUsed returns the number of slots in use divided by the share.
func (t *team) shareUsed() float64 { return float64(t.running) / max(t.share, minShare) }

func (t *teamTable) set(teams []configuration.Team) {
	if t.byName == nil {
		t.byName = make(map[fleet.Team]TeamIndex)
		t.entries = append(t.entries, emptyTeam(""))
	}
	for i := range t.entries[1:] {
		t.entries[i+1].listed, t.entries[i+1].share = false, 0
	}
	rest := 1.0
	for _, declared := range teams {
		entry := &t.entries[t.findOrAdd(declared.Name)]
		entry.listed, entry.share = true, max(0, declared.Share)
		rest -= entry.share
	}
	t.entries[Unlisted].share = max(0, rest)
}

// findOrAdd returns the index of a team and adds the team if necessary. The
// entry of a team that is no longer listed is reused once it has no work, which
// bounds the table.
func (t *teamTable) findOrAdd(name fleet.Team) TeamIndex {
	if i, ok := t.byName[name]; ok {
		return i
	}
	for i := range t.entries[1:] {
		if old := &t.entries[i+1]; !old.listed && old.running == 0 && old.waiting == 0 {
			delete(t.byName, old.name)
			*old = emptyTeam(name)
			old.listed = true
			t.byName[name] = TeamIndex(i + 1)
			return TeamIndex(i + 1)
		}
	}
	t.entries = append(t.entries, emptyTeam(name))
	t.byName[name] = TeamIndex(len(t.entries) - 1)
	return TeamIndex(len(t.entries) - 1)
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

// Team returns the index of a team by name, or Unlisted if it has no quota.
func (q *Queue) Team(name fleet.Team) TeamIndex {
	if i, ok := q.teams.byName[name]; ok && q.teams.entries[i].listed {
		return i
	}
	return Unlisted
}

// AddRunning adds to the slots that a team uses; a negative number subtracts.
func (q *Queue) AddRunning(i TeamIndex, slots int) { q.teams.entries[i].running += slots }

// BelowShare reports whether a team uses less than its share of the slots.
func (q *Queue) BelowShare(i TeamIndex) bool { return q.teams.entries[i].belowShare(q.teams.slots) }

// SetSlots sets the number of slots that the shares are fractions of.
func (q *Queue) SetSlots(slots int) { q.teams.slots = slots }

// link appends an item to its team's list.
func (q *Queue) link(h Handle) {
	n := &q.nodes[h]
	t := &q.teams.entries[n.item.Team]
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

// unlink removes an item from its team's list.
func (q *Queue) unlink(h Handle) {
	n := &q.nodes[h]
	t := &q.teams.entries[n.item.Team]
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
