// Package ownership decides which partitions this instance holds.
//
// This first version assigns each partition by rendezvous hash over the listed
// instances of the region. It has no lease: two instances with different
// lists may both hold a partition. The lease protocol replaces it.
package ownership

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/supervise"
)

// Duty is the ownership duty's outside.
type Duty struct {
	Instance    fleet.InstanceID
	Region      fleet.Region
	Snapshots   *message.SnapshotRing
	Relinquish  *supervise.Ring[message.Relinquish]
	Subscribers []*message.HoldingsRing
}

// New returns the duty.
func New(instance fleet.InstanceID, region fleet.Region) *Duty {
	return &Duty{
		Instance: instance, Region: region,
		Snapshots:  supervise.NewRing[message.ListSnapshot]("ownership.snapshots", 1, supervise.DropOldest),
		Relinquish: supervise.NewRing[message.Relinquish]("ownership.relinquish", 64, supervise.Wait),
	}
}

// Start puts the duty below a supervisor.
func (d *Duty) Start(tree *supervise.Tree) {
	tree.Start(supervise.Duty{Name: "ownership", Rings: []supervise.Measured{d.Snapshots, d.Relinquish}, Run: d.run})
}

func (d *Duty) run(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	epoch := fleet.Epoch(1)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case s := <-d.Snapshots.Items():
			d.publish(ctx, s, epoch)
		case <-d.Relinquish.Items():
			epoch++
		case r := <-dumps:
			r.Answer(epoch)
		}
	}
}

func (d *Duty) publish(ctx context.Context, s message.ListSnapshot, epoch fleet.Epoch) {
	h := message.Holdings{Holders: map[fleet.PartitionID]message.HolderView{}, Peers: s.Instances}
	for _, b := range s.BackendServers {
		if b.Region != d.Region {
			continue
		}
		holder := d.holder(b.Partition(), s.Instances)
		if _, known := h.Holders[b.Partition()]; known || holder == "" {
			continue
		}
		h.Holders[b.Partition()] = message.HolderView{Holder: holder, Epoch: epoch}
		if holder == d.Instance {
			h.Own = append(h.Own, message.Holding{Partition: b.Partition(), Epoch: epoch, Until: time.Now().Add(4 * time.Second)})
		}
	}
	for _, ring := range d.Subscribers {
		_ = ring.Put(ctx, h)
	}
}

func (d *Duty) holder(id fleet.PartitionID, instances []fleet.Instance) fleet.InstanceID {
	var best fleet.InstanceID
	var rank uint64
	for _, i := range instances {
		if i.Region != d.Region || i.Leaving {
			continue
		}
		if hash := xxhash.Sum64String(string(id) + "|" + string(i.ID)); best == "" || hash > rank {
			best, rank = i.ID, hash
		}
	}
	return best
}
