package routing

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/routing"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
)

func (r *router) setRacks(servers []fleet.BackendServer) {
	r.racks = map[fleet.PartitionID]rack{}
	for _, s := range servers {
		entry := r.racks[s.Partition()]
		entry.region, entry.dataCentre = s.Region, s.DataCentre
		if !s.Leaving {
			entry.slots += s.Capacity.Slots
		}
		r.racks[s.Partition()] = entry
	}
}

// setPartition reports whether the table changed; a repeated announcement
// changes nothing.
func (r *router) setPartition(change message.PartitionChange) bool {
	if o := change.Opened; o != nil && r.own[o.Partition] != *o {
		r.own[o.Partition] = *o
		return true
	}
	if c := change.Closed; c != nil && r.own[c.Partition].Epoch == c.Epoch {
		delete(r.own, c.Partition)
		return true
	}
	return false
}

// setLink reports whether the table changed.
func (r *router) setLink(change message.LinkChange) bool {
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

// rebuild derives the candidates from the list, the holders, the partitions of
// this instance and the links that are up.
func (r *router) rebuild() {
	list := make([]routing.Candidate, 0, len(r.racks))
	for id, rack := range r.racks {
		c := routing.Candidate{
			Partition: id, Region: rack.region, DataCentre: rack.dataCentre, Slots: rack.slots,
		}
		if own, ok := r.own[id]; ok {
			c.Holder, c.Epoch, c.Reachable = r.settings.Instance, own.Epoch, true
		} else if view, ok := r.holder(id, rack.region); ok && view.Holder != r.settings.Instance {
			c.Holder, c.Epoch = view.Holder, view.Epoch
			c.Reachable = r.links[view.Holder] != nil
		}
		list = append(list, c)
	}
	r.state.SetCandidates(list)
}

// holder prefers the log's view, which only the own region has.
func (r *router) holder(id fleet.PartitionID, region fleet.Region) (message.HolderView, bool) {
	if region == r.settings.Region {
		view, ok := r.holders[id]
		return view, ok
	}
	view, ok := r.announced[id]
	return view, ok
}

// observe takes the hints of another instance. A partition is announced by the
// holder of its greatest epoch.
func (r *router) observe(hints message.PeerHints) {
	now := time.Now()
	changed := false
	for _, h := range hints.Hints {
		known := r.announced[h.Partition]
		view := message.HolderView{Holder: hints.Peer, Epoch: h.Epoch}
		if h.Epoch >= known.Epoch && view != known {
			r.announced[h.Partition] = view
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

// ownLoad is what the other instances may know of the partitions held here.
func (r *router) ownLoad() []message.LoadHint {
	now := time.Now()
	hints := make([]message.LoadHint, 0, len(r.own))
	for id, own := range r.own {
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
		LateAnswers: r.late, Rerouted: r.rerouted, RegionBytes: r.state.RegionBytes(),
	}
	for id := range r.racks {
		c, _ := r.state.Find(id)
		d.Partitions[id] = partitionDump{c.Holder, c.Epoch, c.Reachable, c.Slots, c.DataCentre}
	}
	for id := range r.links {
		d.Links = append(d.Links, id)
	}
	return d
}
