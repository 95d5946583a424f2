package ownership

import (
	"fmt"
	"testing"

	"lacewingfork.example/lacewingfork/decision/lease"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/records"
)

// sampleRecords returns one record of each kind for a region of n partitions and
// 7 members. The claim and the release contain one member's share of the
// partitions.
func sampleRecords(n int) []lease.Record {
	self := lease.MemberKey{ID: "entry-01", Incarnation: 1 << 41}
	claim := lease.Record{Kind: lease.Claim, Member: self}
	release := lease.Record{Kind: lease.Release, Member: self}
	state := &lease.FoldState{NextOffset: 1 << 20}
	for i := range n {
		id := fleet.PartitionID(fmt.Sprintf("la-plata/rack-%03d", i))
		if i < (n+6)/7 {
			claim.Claims = append(claim.Claims, lease.PartitionClaim{Partition: id, EndsEpoch: 300, SeenHolder: self, SeenRenewal: 1 << 20})
			release.Released = append(release.Released, lease.PartitionEpoch{Partition: id, Epoch: 300})
		}
		state.Partitions = append(state.Partitions, lease.PartitionState{
			Partition: id, Ownership: lease.Ownership{Holder: self, Epoch: 300, Acquired: 1 << 20},
		})
	}
	for range 7 {
		state.Members = append(state.Members, lease.MemberState{
			Key: self, Address: "10.0.0.1:7001", Joined: 1 << 19, LastRenewal: 1 << 20, Latest: true,
		})
	}
	return []lease.Record{
		{Kind: lease.Join, Member: self, Address: "10.0.0.1:7001"},
		{Kind: lease.Renew, Member: self, Sequence: 1 << 20},
		claim, release,
		{Kind: lease.Snapshot, Member: self, State: state},
	}
}

// BenchmarkRecord encodes and decodes each kind of record and reports its size in
// the log, in bytes.
func BenchmarkRecord(b *testing.B) {
	for _, n := range []int{7, 54, 108} {
		for i, r := range sampleRecords(n) {
			b.Run(fmt.Sprintf("%s/partitions=%d", kindNames[i].name, n), func(b *testing.B) {
				size := 0
				for b.Loop() {
					data, err := Encode(r)
					if err != nil {
						b.Fatal(err)
					}
					if _, err := Decode("entry-01:renew:1048576", data); err != nil {
						b.Fatal(err)
					}
					record, err := records.Encode([]records.Entry{{ID: "entry-01:renew:1048576", Data: data}})
					if err != nil {
						b.Fatal(err)
					}
					size = len(record)
				}
				b.ReportMetric(float64(size), "bytes")
			})
		}
	}
}
