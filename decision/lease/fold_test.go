package lease

import (
	"encoding/json"
	"fmt"
	"testing"

	"lacewingfork.example/lacewingfork/fleet"
)

var (
	keyA = MemberKey{"a", 1}
	keyB = MemberKey{"b", 1}
)

func join(k MemberKey) Record  { return Record{Kind: Join, Member: k} }
func renew(k MemberKey) Record { return Record{Kind: Renew, Member: k} }

func claim(k MemberKey, ends fleet.Epoch, seen MemberKey, at fleet.Offset) Record {
	return Record{Kind: Claim, Member: k, Claims: []PartitionClaim{{"dc/r", ends, seen, at}}}
}

func release(k MemberKey, epoch fleet.Epoch) Record {
	return Record{Kind: Release, Member: k, Released: []PartitionEpoch{{"dc/r", epoch}}}
}

// Guards against a fold that accepts a claim although an earlier record of the log
// contradicts it, and against one that rejects a valid claim.
func TestFoldDecidesClaims(t *testing.T) {
	a2 := MemberKey{"a", 2}
	none := MemberKey{}
	cases := []struct {
		name    string
		records []Record
		want    string // holder, incarnation and epoch at the end
	}{
		{"claim of an unheld partition", []Record{join(keyA), claim(keyA, 0, none, 0)}, "a/1@1"},
		{"claim without a join", []Record{claim(keyA, 0, none, 0)}, "/0@0"},
		{"first of two claims wins", []Record{join(keyA), join(keyB), claim(keyB, 0, none, 0), claim(keyA, 0, none, 0)}, "b/1@1"},
		{"claim that has seen the last renewal", []Record{join(keyA), join(keyB), claim(keyA, 0, none, 0), renew(keyA), claim(keyB, 1, keyA, 3)}, "b/1@2"},
		{"newer renewal precedes the claim", []Record{join(keyA), join(keyB), claim(keyA, 0, none, 0), renew(keyA), renew(keyA), claim(keyB, 1, keyA, 3)}, "a/1@1"},
		{"renewal after the claim", []Record{join(keyA), join(keyB), claim(keyA, 0, none, 0), claim(keyB, 1, keyA, 2), renew(keyA)}, "b/1@2"},
		{"claim of an old epoch", []Record{join(keyA), join(keyB), claim(keyA, 0, none, 0), claim(keyB, 0, none, 0)}, "a/1@1"},
		{"claim names another holder", []Record{join(keyA), join(keyB), claim(keyA, 0, none, 0), claim(keyB, 1, keyB, 2)}, "a/1@1"},
		{"own claim is valid despite own renewals", []Record{join(keyA), claim(keyA, 0, none, 0), renew(keyA), claim(keyA, 1, keyA, 1)}, "a/1@2"},
		{"release frees and keeps the epoch", []Record{join(keyA), join(keyB), claim(keyA, 0, none, 0), release(keyA, 1), claim(keyB, 1, none, 0)}, "b/1@2"},
		{"release of an old epoch", []Record{join(keyA), claim(keyA, 0, none, 0), release(keyA, 0)}, "a/1@1"},
		{"release by another member", []Record{join(keyA), join(keyB), claim(keyA, 0, none, 0), release(keyB, 1)}, "a/1@1"},
		{"claim of an earlier incarnation", []Record{join(keyA), join(a2), claim(keyA, 0, none, 0)}, "/0@0"},
		{"join keeps the earlier run's lease", []Record{join(keyA), claim(keyA, 0, none, 0), join(a2)}, "a/1@1"},
		{"renewal of a later run extends nothing", []Record{join(keyA), join(keyB), claim(keyA, 0, none, 0), join(a2), renew(a2), claim(keyB, 1, keyA, 2)}, "b/1@2"},
		{"an earlier run cannot join again", []Record{join(a2), join(keyA), claim(keyA, 0, none, 0)}, "/0@0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := NewFold()
			for i, r := range c.records {
				f.Apply(Entry{fleet.Offset(i), r}, nil)
			}
			o := f.OwnershipOf("dc/r")
			if got := fmt.Sprintf("%s/%d@%d", o.Holder.ID, o.Holder.Incarnation, o.Epoch); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

// Guards against a fold that, after a truncation at any offset, reads a snapshot and
// then differs from a fold that has read the whole log.
func TestFoldFromSnapshot(t *testing.T) {
	sim := newSimulation(3, 4, 6)
	sim.settings.SnapshotEvery = 40
	for _, n := range sim.nodes {
		n.member.settings.SnapshotEvery = 40
	}
	sim.runTo(settleTime)
	sim.kill(sim.nodes[1])
	sim.runTo(2 * settleTime)
	full := NewFold()
	for _, e := range sim.log {
		full.Apply(e, nil)
	}
	want, _ := json.Marshal(full.State())
	complete := 0
	for start := range sim.log {
		f := NewFold()
		f.HandleTruncation(fleet.Offset(start))
		for _, e := range sim.log[start:] {
			f.Apply(e, nil)
		}
		if !f.Complete() {
			continue
		}
		complete++
		if got, _ := json.Marshal(f.State()); string(got) != string(want) {
			t.Fatalf("from offset %d: got %s, want %s", start, got, want)
		}
	}
	if complete < len(sim.log)/2 {
		t.Errorf("%d of %d folds read a usable snapshot, want at least half", complete, len(sim.log))
	}
}

// Guards against a member that holds leases after it missed records because of a
// truncation of the log, and against one that does not recover from it.
func TestMemberRecoversFromTruncation(t *testing.T) {
	sim := newSimulation(3, 4, 6)
	for _, n := range sim.nodes {
		n.member.settings.SnapshotEvery = 40
	}
	sim.runTo(settleTime)
	n := sim.nodes[2]
	sim.execute(n, n.member.HandleTruncation(sim.localTime(n), fleet.Offset(len(sim.log))))
	if n.member.acquireRefusal() == "" || len(n.member.own) > 0 {
		t.Error("a member with an incomplete fold holds or may acquire a partition, want neither")
	}
	sim.runTo(3 * settleTime)
	if !n.member.fold.Complete() || sim.heldShare() != 1 || sim.violation != "" {
		t.Errorf("fold complete %v, share held %v, violation %q; want true, 1, none", n.member.fold.Complete(), sim.heldShare(), sim.violation)
	}
}
