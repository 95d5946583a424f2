// Package ownership encodes and decodes the records of the ownership.<region>
// streams. Its functions are pure. The ownership duty (entry/ownership) uses it.
package ownership

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/decision/lease"
	"lacewingfork.example/lacewingfork/fleet"
)

// ErrInvalid means that the data is not an ownership record.
var ErrInvalid = errors.New("invalid ownership record")

// Stream returns the name of a region's ownership stream.
func Stream(region fleet.Region) string { return "ownership." + string(region) }

// kindNames are part of the format; they must not change.
var kindNames = [...]struct {
	kind lease.Kind
	name string
}{
	{lease.Join, "join"},
	{lease.Renew, "renew"},
	{lease.Claim, "claim"},
	{lease.Release, "release"},
	{lease.Snapshot, "snapshot"},
}

type member struct {
	ID          fleet.InstanceID `json:"member,omitempty"`
	Incarnation uint64           `json:"incarnation,omitempty"`
}

// record is the JSON form of a lease.Record without its ID.
type record struct {
	Kind string `json:"kind"`
	member
	Address  string      `json:"address,omitempty"`
	Sequence uint64      `json:"sequence,omitempty"`
	Claims   []claim     `json:"claims,omitempty"`
	Released []partition `json:"released,omitempty"`
	Stopping bool        `json:"stopping,omitempty"`
	State    *state      `json:"state,omitempty"`
}

// claim is the JSON form of a lease.PartitionClaim.
type claim struct {
	Partition fleet.PartitionID `json:"partition"`
	Ends      fleet.Epoch       `json:"ends_epoch"`
	Seen      member            `json:"seen_holder"`
	Renewal   fleet.Offset      `json:"seen_renewal"`
}

// partition is the JSON form of a lease.PartitionEpoch.
type partition struct {
	Partition fleet.PartitionID `json:"partition"`
	Epoch     fleet.Epoch       `json:"epoch"`
}

// state is the JSON form of a lease.FoldState; At is its NextOffset.
type state struct {
	At         fleet.Offset     `json:"at"`
	Members    []memberState    `json:"members"`
	Partitions []partitionState `json:"partitions"`
}

type memberState struct {
	member
	Address     string       `json:"address,omitempty"`
	Joined      fleet.Offset `json:"joined"`
	LastRenewal fleet.Offset `json:"last_renewal"`
	Latest      bool         `json:"latest"`
	Stopping    bool         `json:"stopping,omitempty"`
}

type partitionState struct {
	partition
	Holder   member       `json:"holder"`
	Acquired fleet.Offset `json:"acquired"`
}

// Encode returns the data of a record. It does not include the record's ID, which
// the entry of the log record holds.
func Encode(r lease.Record) ([]byte, error) {
	out := record{member: member(r.Member), Address: r.Address, Sequence: r.Sequence, Stopping: r.Stopping}
	for _, k := range kindNames {
		if k.kind == r.Kind {
			out.Kind = k.name
		}
	}
	for _, c := range r.Claims {
		out.Claims = append(out.Claims, claim{c.Partition, c.EndsEpoch, member(c.SeenHolder), c.SeenRenewal})
	}
	for _, pe := range r.Released {
		out.Released = append(out.Released, partition(pe))
	}
	if r.State != nil {
		out.State = encodeState(*r.State)
	}
	return json.Marshal(out)
}

// Decode is the inverse of Encode. id is the ID of the log record's entry. The
// error wraps ErrInvalid if the data is not an ownership record.
func Decode(id string, data []byte) (lease.Record, error) {
	var in record
	if err := json.Unmarshal(data, &in); err != nil {
		return lease.Record{}, errors.Wrap(ErrInvalid, err.Error())
	}
	out := lease.Record{
		ID: id, Member: lease.MemberKey(in.member), Address: in.Address, Sequence: in.Sequence, Stopping: in.Stopping,
	}
	for _, k := range kindNames {
		if k.name == in.Kind {
			out.Kind = k.kind
		}
	}
	if out.Kind == 0 {
		return lease.Record{}, errors.Wrapf(ErrInvalid, "unknown record kind %q, expected join, renew, claim, release or snapshot", in.Kind)
	}
	if in.ID == "" || in.Incarnation == 0 {
		return lease.Record{}, errors.Wrap(ErrInvalid, "record lacks a member or an incarnation, both are required")
	}
	for _, c := range in.Claims {
		out.Claims = append(out.Claims, lease.PartitionClaim{
			Partition: c.Partition, EndsEpoch: c.Ends, SeenHolder: lease.MemberKey(c.Seen), SeenRenewal: c.Renewal,
		})
	}
	for _, pe := range in.Released {
		out.Released = append(out.Released, lease.PartitionEpoch(pe))
	}
	if in.State != nil {
		out.State = decodeState(*in.State)
	}
	return out, nil
}

func encodeState(s lease.FoldState) *state {
	out := &state{At: s.NextOffset}
	for _, m := range s.Members {
		out.Members = append(out.Members, memberState{member(m.Key), m.Address, m.Joined, m.LastRenewal, m.Latest, m.Stopping})
	}
	for _, p := range s.Partitions {
		out.Partitions = append(out.Partitions, partitionState{
			partition{p.Partition, p.Epoch}, member(p.Holder), p.Acquired,
		})
	}
	return out
}

func decodeState(s state) *lease.FoldState {
	out := &lease.FoldState{NextOffset: s.At}
	for _, m := range s.Members {
		out.Members = append(out.Members, lease.MemberState{
			Key: lease.MemberKey(m.member), Address: m.Address,
			Joined: m.Joined, LastRenewal: m.LastRenewal, Latest: m.Latest, Stopping: m.Stopping,
		})
	}
	for _, p := range s.Partitions {
		out.Partitions = append(out.Partitions, lease.PartitionState{
			Partition: p.partition.Partition,
			Ownership: lease.Ownership{Holder: lease.MemberKey(p.Holder), Epoch: p.Epoch, Acquired: p.Acquired},
		})
	}
	return out
}
