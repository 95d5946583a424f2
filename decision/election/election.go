// Package election decides when an entry instance takes the cell over and with
// which epoch. It is pure: the election duty makes the calls to the store.
//
// Safety does not rest on it: the store fences by epoch, and a claim demands
// that the holder has appended nothing since the claimant looked. A takeover
// that was not needed costs time only, so that detection may be quick.
package election

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// Member is an entry instance that may hold the cell.
type Member struct {
	ID fleet.InstanceID
	// Processor is the instance's share of a core.
	Processor float64
	// StoreLatency is the time of a call to the store from there.
	StoreLatency time.Duration
}

const (
	// nearStoreLatency separates instances in the store's region from those in
	// others, which are 16 ms of round trip away.
	nearStoreLatency = 14 * time.Millisecond
	// rankStep is the time by which each rank waits longer than the one before
	// it: a claim takes some calls to the store of a few milliseconds each.
	rankStep = 250 * time.Millisecond
	// maxRank bounds the wait when many better instances are dead too.
	maxRank = 6
	// UnresponsiveWindow is for how long a holder that has gone silent must append
	// nothing before it is taken over; it shows itself several times as often.
	UnresponsiveWindow = 900 * time.Millisecond
	// RefusedWindow is the same for a holder whose process has ended.
	RefusedWindow = 350 * time.Millisecond
)

// Rank returns the place of self among the members, from 0: those with more
// processor first, then those near the store. The earlier holder does not count.
func Rank(members []Member, self, holder fleet.InstanceID) int {
	sorted := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.ID == holder && m.ID != self })
	slices.SortFunc(sorted, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(b.Processor, a.Processor),
			cmp.Compare(distance(a), distance(b)),
			cmp.Compare(hash(a.ID), hash(b.ID)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	at := slices.IndexFunc(sorted, func(m Member) bool { return m.ID == self })
	if at < 0 {
		return len(sorted)
	}
	return at
}

func distance(m Member) int {
	if m.StoreLatency > nearStoreLatency {
		return 1
	}
	return 0
}

func hash(id fleet.InstanceID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // a hash never fails
	return h.Sum64()
}

// Delay returns how long an instance of a rank waits before it looks whether
// the holder lives.
func Delay(rank int) time.Duration { return time.Duration(min(rank, maxRank)) * rankStep }

// randomBits keep the epochs of two claimants of one round apart.
const randomBits = 16

// NextEpoch returns an epoch above all epochs of the round before.
func NextEpoch(round int, random uint32) fleet.Epoch {
	return fleet.Epoch(uint64(round)<<randomBits | uint64(random&(1<<randomBits-1)))
}

// RoundOf returns the round of an epoch.
func RoundOf(epoch fleet.Epoch) int { return int(epoch >> randomBits) }
