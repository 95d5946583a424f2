package admission

// startByHeap is a binary min-heap of the waiting items by StartBy. Each node
// stores its heap index, so that an item can be removed from the middle.
type startByHeap struct {
	queue *Queue
	items []Handle
}

func (u *startByHeap) first() (Handle, bool) {
	if len(u.items) == 0 {
		return none, false
	}
	return u.items[0], true
}

func (u *startByHeap) push(h Handle) {
	u.items = append(u.items, h)
	u.put(len(u.items)-1, h)
	u.up(len(u.items) - 1)
}

func (u *startByHeap) remove(h Handle) {
	heapIndex, last := int(u.queue.nodes[h].heapIndex), len(u.items)-1
	moved := u.items[last]
	u.items = u.items[:last]
	if heapIndex == last {
		return
	}
	u.put(heapIndex, moved)
	u.up(heapIndex)
	u.down(int(u.queue.nodes[moved].heapIndex))
}

func (u *startByHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !u.before(i, parent) {
			return
		}
		u.swap(i, parent)
		i = parent
	}
}

func (u *startByHeap) down(i int) {
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

func (u *startByHeap) before(i, j int) bool {
	nodes := u.queue.nodes
	return nodes[u.items[i]].item.StartBy.Before(nodes[u.items[j]].item.StartBy)
}

func (u *startByHeap) swap(i, j int) {
	a, b := u.items[i], u.items[j]
	u.put(i, b)
	u.put(j, a)
}

func (u *startByHeap) put(i int, h Handle) {
	u.items[i] = h
	u.queue.nodes[h].heapIndex = int32(i)
}
