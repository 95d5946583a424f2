package cell

import (
	"cmp"
	"slices"
	"time"
)

// Callers choose the names of images, and name new ones with each release, so the model
// keeps a bounded number of them: those that something runs or waits for, and of the
// others those that it knows something about, the latest first.

const (
	// maxImages bounds the memory of the model: 0.7 MB of pressures, and 17 MB of
	// covariances if all of them serve.
	maxImages = 128
	// imagesPerEviction is the number of images that are let go at a time.
	imagesPerEviction = maxImages / 8
	// evictionInterval is the least time between two searches for images to let go.
	evictionInterval = 500 * time.Millisecond
	// otherImages is the index of all images that have none of their own.
	otherImages imageID = 0
)

// images are the indexes of the images in the model.
type images struct {
	imageIDs  map[string]imageID
	names     []string // by index; empty for otherImages and for free ones
	lastUse   []uint64 // by index, the count of look-ups at the last one
	lookUps   uint64
	free      []imageID
	evictions uint64
}

func newImages() images {
	return images{imageIDs: map[string]imageID{"": otherImages}, names: []string{""}, lastUse: []uint64{0}}
}

// index returns the index of an image, and whether it has just got it.
func (s *images) index(name string) (id imageID, added bool) {
	s.lookUps++
	id, known := s.imageIDs[name]
	switch {
	case known:
	case len(s.free) > 0:
		id, s.free, added = s.free[len(s.free)-1], s.free[:len(s.free)-1], true
		s.names[id] = name
	case len(s.names) < maxImages:
		id, added = imageID(len(s.names)), true
		s.names, s.lastUse = append(s.names, name), append(s.lastUse, 0)
	default:
		return otherImages, false
	}
	s.imageIDs[name], s.lastUse[id] = id, s.lookUps
	return id, added
}

// hasRoomFor reports whether an image has an index or can get one.
func (s *images) hasRoomFor(name string) bool {
	_, known := s.imageIDs[name]
	return known || len(s.free) > 0 || len(s.names) < maxImages
}

// holds reports whether an index belongs to one image.
func (s *images) holds(id imageID) bool { return s.names[id] != "" }

// knows reports whether the model has observed an image.
func (m *interferenceModel) knows(id imageID) bool {
	return m.minTail[id] > 0 || slices.ContainsFunc(m.pressures, func(row []pressure) bool { return row[id].known }) ||
		slices.ContainsFunc(m.pressures[id], func(p pressure) bool { return p.known })
}

// evict lets some images go that are not in use.
func (m *interferenceModel) evict(inUse []bool) (evicted []imageID) {
	type candidate struct {
		id    imageID
		known bool
	}
	var candidates []candidate
	for id := range m.names {
		if id := imageID(id); m.holds(id) && !inUse[id] {
			candidates = append(candidates, candidate{id, m.knows(id)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.known != b.known {
			if a.known {
				return 1
			}
			return -1
		}
		return cmp.Compare(m.lastUse[a.id], m.lastUse[b.id])
	})
	for _, c := range candidates[:min(len(candidates), imagesPerEviction)] {
		m.forget(c.id)
		evicted = append(evicted, c.id)
	}
	return evicted
}

// forget frees the index of an image.
func (m *interferenceModel) forget(id imageID) {
	delete(m.imageIDs, m.names[id])
	m.names[id], m.lastUse[id], m.free = "", 0, append(m.free, id)
	m.evictions++
	m.meanPressure[id], m.baselineLoad[id], m.minTail[id] = average{value: priorPressure}, average{value: defaultLoad}, 0
	clear(m.pressures[id])
	for _, row := range m.pressures {
		row[id] = pressure{}
	}
	if int(id) < len(m.filters) {
		m.filters[id] = pressureFilter{}
	}
	for _, f := range m.filters {
		f.forget(id)
	}
	m.changed = true
}

// forget resets the covariances of an image to those of an unknown one.
func (f *pressureFilter) forget(id imageID) {
	if int(id) >= len(f.covariance) {
		return
	}
	clear(f.covariance[id])
	for _, row := range f.covariance {
		row[id] = 0
	}
	f.covariance[id][id] = priorDeviation * priorDeviation
}

// imageOf returns the index of an image. If there is none left, images that nothing runs or
// waits for are let go.
func (c *Cell) imageOf(name string) imageID {
	if !c.interference.hasRoomFor(name) && c.now.Steady >= c.nextEviction {
		c.nextEviction = c.now.Steady + evictionInterval
		c.evictImages()
	}
	return c.interference.id(name)
}

func (c *Cell) evictImages() {
	inUse := make([]bool, len(c.interference.names))
	for _, j := range c.jobs {
		if j.ended {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				inUse[s.image] = inUse[s.image] || !s.isDone()
			}
		}
	}
	for _, w := range c.sortedWorkers {
		for _, r := range w.runsInOrder {
			inUse[r.image] = true
		}
		for _, change := range w.shareHistory {
			for _, s := range change.shares {
				inUse[s.image] = true
			}
		}
	}
	for _, id := range c.interference.evict(inUse) {
		for kind := range c.runTimes {
			if kind.image == id {
				delete(c.runTimes, kind)
			}
		}
	}
}
