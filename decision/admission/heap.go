package admission

// untilHeap is a binary heap of the waiting items by Until. Items know their
// place, so that one can be removed from the middle.
type untilHeap struct {
	queue *Queue
	items []Handle
}

func (u *untilHeap) first() (Handle, bool) {
	if len(u.items) == 0 {
		return none, false
	}
	return u.items[0], true
}

func (u *untilHeap) push(h Handle) {
	u.items = append(u.items, h)
	u.put(len(u.items)-1, h)
	u.up(len(u.items) - 1)
}

func (u *untilHeap) remove(h Handle) {
	place, last := int(u.queue.nodes[h].place), len(u.items)-1
	moved := u.items[last]
	u.items = u.items[:last]
	if place == last {
		return
	}
	u.put(place, moved)
	u.up(place)
	u.down(int(u.queue.nodes[moved].place))
}

func (u *untilHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !u.before(i, parent) {
			return
		}
		u.swap(i, parent)
		i = parent
	}
}

func (u *untilHeap) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(u.items) {
			return
		}
		if child+1 < len(u.items) && u.before(child+1, child) {
			child++
		}
		if !u.before(child, i) {
			return
		}
		u.swap(i, child)
		i = child
	}
}

func (u *untilHeap) before(i, j int) bool {
	nodes := u.queue.nodes
	return nodes[u.items[i]].item.StartBy.Before(nodes[u.items[j]].item.StartBy)
}

func (u *untilHeap) swap(i, j int) {
	a, b := u.items[i], u.items[j]
	u.put(i, b)
	u.put(j, a)
}

func (u *untilHeap) put(i int, h Handle) {
	u.items[i] = h
	u.queue.nodes[h].place = int32(i)
}
