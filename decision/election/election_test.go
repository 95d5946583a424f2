package election

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingfork.example/lacewingfork/fleet"
)

// Guards against two instances that compute the same rank and therefore claim at
// the same time, and against a small or distant instance taking the cell while a
// better one is available.
func TestRank(t *testing.T) {
	members := []Member{
		{ID: "small-near", Processor: 0.11, StoreLatency: 4 * time.Millisecond},
		{ID: "large-far", Processor: 0.8, StoreLatency: 22 * time.Millisecond},
		{ID: "large-near", Processor: 0.8, StoreLatency: 5 * time.Millisecond},
	}
	for want, id := range []fleet.InstanceID{"large-near", "large-far", "small-near"} {
		if got := Rank(members, id, ""); got != want {
			t.Errorf("rank of %s: got %d, want %d", id, got, want)
		}
	}
	if got := Rank(members, "large-far", "large-near"); got != 0 {
		t.Errorf("rank of large-far without the holder: got %d, want 0", got)
	}
}

// Guards against duplicate ranks and ranks that depend on the order of the records.
func TestRanksAreDistinct(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) Member {
			return Member{
				ID:           fleet.InstanceID(rapid.StringMatching(`[a-z]{1,6}`).Draw(t, "id")),
				Processor:    rapid.SampledFrom([]float64{0.11, 0.16, 0.8}).Draw(t, "processor"),
				StoreLatency: rapid.SampledFrom([]time.Duration{4 * time.Millisecond, 20 * time.Millisecond}).Draw(t, "store"),
			}
		}), 1, 8, func(m Member) fleet.InstanceID { return m.ID }).Draw(t, "members")
		seen := map[int]bool{}
		shuffled := rapid.Permutation(members).Draw(t, "shuffled")
		for _, m := range members {
			rank := Rank(members, m.ID, "")
			if seen[rank] || rank != Rank(shuffled, m.ID, "") {
				t.Fatalf("got rank %d for %s, want a distinct rank that does not depend on the order", rank, m.ID)
			}
			seen[rank] = true
		}
	})
}

// Guards against an epoch of a later round that the store would fence because it
// is not higher than an epoch of the round before.
func TestEpochsIncreaseWithRounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		round := rapid.IntRange(1, 1<<20).Draw(t, "round")
		before := NextEpoch(round, rapid.Uint32().Draw(t, "before"))
		after := NextEpoch(round+1, rapid.Uint32().Draw(t, "after"))
		if after <= before || RoundOf(before) != round {
			t.Fatalf("got epochs %d and %d, want increasing ones, the first of round %d", before, after, round)
		}
	})
}
