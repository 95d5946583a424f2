package peers

import (
	"lacewingfork.example/lacewingfork/decision/lease"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/peerpb"
)

func encodePromiseRequest(r lease.PromiseRequest) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_PromiseRequest{PromiseRequest: &peerpb.PromiseRequest{
		Member: string(r.Member.ID), Incarnation: r.Member.Incarnation, Round: r.Round,
		Partitions: encodePartitions(r.Partitions),
	}}}
}

func decodePromiseRequest(r *peerpb.PromiseRequest) lease.PromiseRequest {
	return lease.PromiseRequest{
		Member: memberKey(r.Member, r.Incarnation), Round: r.Round, Partitions: decodePartitions(r.Partitions),
	}
}

func encodePromise(p lease.Promise) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Promise{Promise: &peerpb.Promise{
		Member: string(p.Member.ID), Incarnation: p.Member.Incarnation, Round: p.Round,
		Partitions: encodePartitions(p.Partitions),
	}}}
}

func decodePromise(p *peerpb.Promise) lease.Promise {
	return lease.Promise{
		Member: memberKey(p.Member, p.Incarnation), Round: p.Round, Partitions: decodePartitions(p.Partitions),
	}
}

func encodeGiveBack(g lease.GiveBack) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_GiveBack{GiveBack: &peerpb.GiveBack{
		Member: string(g.Member.ID), Incarnation: g.Member.Incarnation, Round: g.Round,
	}}}
}

func decodeGiveBack(g *peerpb.GiveBack) lease.GiveBack {
	return lease.GiveBack{Member: memberKey(g.Member, g.Incarnation), Round: g.Round}
}

func memberKey(id string, incarnation uint64) lease.MemberKey {
	return lease.MemberKey{ID: fleet.InstanceID(id), Incarnation: incarnation}
}

func encodePartitions(list []lease.PartitionEpoch) []*peerpb.PartitionEpoch {
	out := make([]*peerpb.PartitionEpoch, 0, len(list))
	for _, p := range list {
		out = append(out, &peerpb.PartitionEpoch{Partition: string(p.Partition), Epoch: uint64(p.Epoch)})
	}
	return out
}

func decodePartitions(list []*peerpb.PartitionEpoch) []lease.PartitionEpoch {
	out := make([]lease.PartitionEpoch, 0, len(list))
	for _, p := range list {
		out = append(out, lease.PartitionEpoch{Partition: fleet.PartitionID(p.Partition), Epoch: fleet.Epoch(p.Epoch)})
	}
	return out
}
