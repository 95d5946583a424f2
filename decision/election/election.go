// Package election decides when an entry instance takes over the cell and with
// which epoch. It performs no I/O: the election duty makes the calls to the
// store.
//
// Safety does not depend on these decisions: the store fences by epoch, and a
// claim succeeds only if the holder has appended nothing since the claimant last
// read the topic. An unnecessary takeover only costs time, so the time until an
// unresponsive holder is detected can be short.
package election

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// Member is an entry instance that is eligible to hold the cell.
type Member struct {
	ID fleet.InstanceID
	// Processor is the processor share of the instance, in cores.
	Processor float64
	// StoreLatency is the duration of a store call from this instance.
	StoreLatency time.Duration
}

const (
	// nearStoreLatency is the highest store latency of an instance in the
	// store's region. The round trip to another region is 16 ms.
	nearStoreLatency = 14 * time.Millisecond
	// rankStep is the additional delay per rank. Within it, an instance of a better
	// rank can make the few store calls of a claim, which take some milliseconds
	// each.
	rankStep = 250 * time.Millisecond
	// singleRanks is the number of ranks that each have a delay of their own. From
	// then on groupSize ranks share one, for the case that many instances of a
	// better rank have failed too: a claimant reads the records of the cell, several
	// megabytes, and the link between two regions carries them to few at a time.
	singleRanks = 6
	groupSize   = 6
	// UnresponsiveWindow is the time without an append after which an unresponsive
	// holder is taken over. A live holder appends several times within it.
	UnresponsiveWindow = 900 * time.Millisecond
	// RefusedWindow is the equivalent of UnresponsiveWindow for a holder that
	// refuses connections because its process has exited.
	RefusedWindow = 350 * time.Millisecond
)

// Rank returns the rank of self among the members, counted from 0. Members with a
// larger processor share rank first, then those near the store. The previous
// holder is left out unless it is self. Rank returns the number of ranked members
// if self is not among them.
func Rank(members []Member, self, holder fleet.InstanceID) int {
	sorted := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.ID == holder && m.ID != self })
	slices.SortFunc(sorted, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(b.Processor, a.Processor),
			cmp.Compare(storeDistance(a), storeDistance(b)),
			cmp.Compare(hash(a.ID), hash(b.ID)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	rank := slices.IndexFunc(sorted, func(m Member) bool { return m.ID == self })
	if rank < 0 {
		return len(sorted)
	}
	return rank
}

// storeDistance returns 0 for a member in the store's region and 1 for any other.
func storeDistance(m Member) int {
	if m.StoreLatency > nearStoreLatency {
		return 1
	}
	return 0
}

// hash orders members that are otherwise equal.
func hash(id fleet.InstanceID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // Write of a hash never returns an error
	return h.Sum64()
}

// Delay returns how long an instance of the given rank waits before it checks
// whether the holder is alive.
func Delay(rank int) time.Duration {
	if rank <= singleRanks {
		return time.Duration(rank) * rankStep
	}
	return time.Duration(singleRanks+(rank-singleRanks+groupSize-1)/groupSize) * rankStep
}

// randomBits is the number of low epoch bits that are random, so that two
// claimants of the same round get different epochs.
const randomBits = 16

// MaxRound bounds the rounds: one takeover every minute for 63 years. A higher round
// leads to fencing tokens that overflow.
const MaxRound = 1<<25 - 1

// NextEpoch returns an epoch of the given round, with the low bits of random. It is
// higher than every epoch of an earlier round.
func NextEpoch(round int, random uint32) fleet.Epoch {
	return fleet.Epoch(uint64(round)<<randomBits | uint64(random&(1<<randomBits-1)))
}

// RoundOf returns the round that an epoch belongs to.
func RoundOf(epoch fleet.Epoch) int { return int(epoch >> randomBits) }
