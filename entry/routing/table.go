package routing

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/routing"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
)

// applySnapshot replaces the known partitions by those of the listed backend
// servers.
func (r *router) applySnapshot(servers []fleet.BackendServer) {
	r.knownPartitions = map[fleet.PartitionID]partitionInfo{}
	for _, s := range servers {
		info := r.knownPartitions[s.Partition()]
		info.region, info.dataCentre = s.Region, s.DataCentre
		if !s.Leaving {
			info.slots += s.Capacity.Slots
		}
		r.knownPartitions[s.Partition()] = info
	}
}

// applyPartitionChange reports whether the table changed. A repeated change has
// no effect.
func (r *router) applyPartitionChange(change message.PartitionChange) bool {
	if o := change.Opened; o != nil && r.ownPartitions[o.Partition] != *o {
		r.ownPartitions[o.Partition] = *o
		return true
	}
	if c := change.Closed; c != nil && r.ownPartitions[c.Partition].Epoch == c.Epoch {
		delete(r.ownPartitions, c.Partition)
		return true
	}
	return false
}

// applyLinkChange reports whether the table changed.
func (r *router) applyLinkChange(change message.LinkChange) bool {
	if r.links[change.Peer] == change.Forwards {
		return false
	}
	if change.Forwards != nil {
		r.links[change.Peer] = change.Forwards
	} else {
		delete(r.links, change.Peer)
	}
	return true
}

// rebuild derives the candidates from the known partitions, their holders, the
// partitions of this instance and the links that are up.
func (r *router) rebuild() {
	candidates := make([]routing.Candidate, 0, len(r.knownPartitions))
	for id, info := range r.knownPartitions {
		c := routing.Candidate{
			Partition: id, Region: info.region, DataCentre: info.dataCentre, Slots: info.slots,
		}
		if own, ok := r.ownPartitions[id]; ok {
			c.Holder, c.Epoch, c.Reachable = r.settings.Instance, own.Epoch, true
		} else if view, ok := r.holder(id, info.region); ok && view.Holder != r.settings.Instance {
			c.Holder, c.Epoch = view.Holder, view.Epoch
			c.Reachable = r.links[view.Holder] != nil
		}
		candidates = append(candidates, c)
	}
	r.state.SetCandidates(candidates)
}

// holder returns the holder of a partition. For this instance's region it comes
// from the log; the log has no other region, so there the announced holder is
// used.
func (r *router) holder(id fleet.PartitionID, region fleet.Region) (message.HolderView, bool) {
	if region == r.settings.Region {
		view, ok := r.holders[id]
		return view, ok
	}
	view, ok := r.announcedHolders[id]
	return view, ok
}

// observeHints applies the load hints of another instance. The announced holder
// of a partition is the one with the highest epoch.
func (r *router) observeHints(hints message.PeerHints) {
	now := time.Now()
	changed := false
	for _, h := range hints.Hints {
		known := r.announcedHolders[h.Partition]
		view := message.HolderView{Holder: hints.Peer, Epoch: h.Epoch}
		if h.Epoch >= known.Epoch && view != known {
			r.announcedHolders[h.Partition] = view
			changed = true
		}
	}
	if changed {
		r.rebuild()
	}
	for _, h := range hints.Hints {
		r.state.Observe(h.Partition, h.Epoch, routing.Hint{
			At: now, FreeSlots: h.FreeSlots, Waiting: h.Waiting, ExpectedWait: h.ExpectedWait,
		})
	}
}

// ownLoadHints returns the load hints of the partitions that this instance holds,
// for the other instances.
func (r *router) ownLoadHints() []message.LoadHint {
	now := time.Now()
	hints := make([]message.LoadHint, 0, len(r.ownPartitions))
	for id, own := range r.ownPartitions {
		h := r.state.LastHint(now, id)
		hints = append(hints, message.LoadHint{
			Partition: id, Epoch: own.Epoch, FreeSlots: h.FreeSlots, Waiting: h.Waiting, ExpectedWait: h.ExpectedWait,
		})
	}
	return hints
}

type partitionDump struct {
	Holder     fleet.InstanceID `json:"holder"`
	Epoch      fleet.Epoch      `json:"epoch"`
	Reachable  bool             `json:"reachable"`
	Slots      int              `json:"slots"`
	DataCentre fleet.DataCentre `json:"data_centre"`
}

type routerDump struct {
	Partitions  map[fleet.PartitionID]partitionDump `json:"partitions"`
	Links       []fleet.InstanceID                  `json:"links"`
	InFlight    int                                 `json:"in_flight"`
	LateAnswers uint64                              `json:"late_answers"`
	Rerouted    uint64                              `json:"rerouted"`
	RegionBytes uint64                              `json:"region_bytes"`
}

func (r *router) dump() routerDump {
	d := routerDump{
		Partitions: map[fleet.PartitionID]partitionDump{}, InFlight: len(r.inFlight),
		LateAnswers: r.lateAnswers, Rerouted: r.rerouted, RegionBytes: r.state.RegionBytes(),
	}
	for id := range r.knownPartitions {
		c, _ := r.state.Find(id)
		d.Partitions[id] = partitionDump{c.Holder, c.Epoch, c.Reachable, c.Slots, c.DataCentre}
	}
	for id := range r.links {
		d.Links = append(d.Links, id)
	}
	return d
}
