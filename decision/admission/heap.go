package admission

// startByHeap is a binary min-heap of the waiting items by StartBy. Each node
// stores its heap index, so that an item can be removed from the middle.
type startByHeap struct {
	queue *Queue
	items []Handle
}

func (s *startByHeap) first() (Handle, bool) {
	if len(s.items) == 0 {
		return none, false
	}
	return s.items[0], true
}

func (s *startByHeap) push(h Handle) {
	s.items = append(s.items, h)
	s.put(len(s.items)-1, h)
	s.up(len(s.items) - 1)
}

func (s *startByHeap) remove(h Handle) {
	heapIndex, last := int(s.queue.nodes[h].heapIndex), len(s.items)-1
	moved := s.items[last]
	s.items = s.items[:last]
	if heapIndex == last {
		return
	}
	s.put(heapIndex, moved)
	s.up(heapIndex)
	s.down(int(s.queue.nodes[moved].heapIndex))
}

func (s *startByHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !s.before(i, parent) {
			return
		}
		s.swap(i, parent)
		i = parent
	}
}

func (s *startByHeap) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(s.items) {
			return
		}
		if child+1 < len(s.items) && s.before(child+1, child) {
			child++
		}
		if !s.before(child, i) {
			return
		}
		s.swap(i, child)
		i = child
	}
}

func (s *startByHeap) before(i, j int) bool {
	nodes := s.queue.nodes
	return nodes[s.items[i]].item.StartBy.Before(nodes[s.items[j]].item.StartBy)
}

func (s *startByHeap) swap(i, j int) {
	a, b := s.items[i], s.items[j]
	s.put(i, b)
	s.put(j, a)
}

func (s *startByHeap) put(i int, h Handle) {
	s.items[i] = h
	s.queue.nodes[h].heapIndex = int32(i)
}
