package routing

import (
	"fmt"
	"testing"

	"lacewingfork.example/lacewingfork/decision/routing"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/supervise"
)

// newBenchRouter returns a router for n partitions of 10 backend servers each in
// 5 regions, all of them held and reachable, and the list of the backend servers.
func newBenchRouter(n int) (*router, []fleet.BackendServer) {
	r := &router{
		Duty:             &Duty{settings: Settings{Instance: "entry-0", Region: "region-0"}},
		state:            routing.New("region-0", "region-0-dc", 0),
		ownPartitions:    map[fleet.PartitionID]message.PartitionOpened{},
		links:            map[fleet.InstanceID]*supervise.Ring[message.Submission]{"entry-1": supervise.NewRing[message.Submission]("link", 1, supervise.Refuse)},
		announcedHolders: map[fleet.PartitionID]message.HolderView{},
		holders:          map[fleet.PartitionID]message.HolderView{},
	}
	var servers []fleet.BackendServer
	for i := range 10 * n {
		region := fmt.Sprint("region-", i/10%5)
		s := fleet.BackendServer{
			ID: fleet.BackendServerID(fmt.Sprint("server-", i)), Region: fleet.Region(region),
			DataCentre: fleet.DataCentre(region + "-dc"), Rack: fleet.Rack(fmt.Sprintf("rack-%03d", i/10)),
			Capacity: fleet.Resources{Slots: 8},
		}
		servers = append(servers, s)
		r.holders[s.Partition()] = message.HolderView{Holder: "entry-1", Epoch: 1}
		r.announcedHolders[s.Partition()] = message.HolderView{Holder: "entry-1", Epoch: 1}
	}
	return r, servers
}

var tableSizes = []int{7, 54, 108, 270, 540}

// BenchmarkRebuild measures the cost of a change of a holder or link.
func BenchmarkRebuild(b *testing.B) {
	for _, n := range tableSizes {
		b.Run(fmt.Sprintf("partitions=%d", n), func(b *testing.B) {
			r, servers := newBenchRouter(n)
			r.applySnapshot(servers)
			b.ReportAllocs()
			for b.Loop() {
				r.rebuild()
			}
		})
	}
}

// BenchmarkSnapshot measures the cost of one snapshot in the routing duty.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range tableSizes {
		b.Run(fmt.Sprintf("partitions=%d", n), func(b *testing.B) {
			r, servers := newBenchRouter(n)
			b.ReportAllocs()
			for b.Loop() {
				r.applySnapshot(servers)
				r.rebuild()
			}
		})
	}
}
