package requestkey

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/fleet"
)

const (
	// MaxKeys bounds the recorded keys of a partition.
	MaxKeys = 65_536
	// DefaultLifetime is how long after its issue a key may be used first.
	DefaultLifetime = 10 * time.Minute
	// maxClockSkew is how far in the future the issue time of a key may be,
	// because the wall clock may have been set back since.
	maxClockSkew = time.Minute
)

// Action is what to do with a request that carries a key.
type Action uint8

const (
	// Run means that this is the first use of the key.
	Run Action = iota
	// Join means that the key was used before, by the request Decision.Joined.
	Join
	// Refuse means that no request with this key has run and this one must not
	// run.
	Refuse
	// Unknown means that a request with this key may have run and this one must
	// not run.
	Unknown
)

// Decision is the decision about a request that carries a key. Joined is set for
// Join; Reason and RetryAfter explain Refuse and Unknown.
type Decision struct {
	Action     Action
	Joined     fleet.RequestID
	Reason     outcome.Reason
	RetryAfter time.Duration
}

// Table records the keys used in one epoch of a partition.
type Table struct {
	partition fleet.PartitionID
	epoch     fleet.Epoch
	lifetime  time.Duration
	// used maps each recorded key to the request that runs or ran with it, or
	// to an empty identifier after Release.
	used map[keyID]fleet.RequestID
	// byIssue is a binary heap of the keys in used, oldest first.
	byIssue []keyID
	// latestEvicted is the latest issue time of any evicted key, in Unix
	// milliseconds.
	latestEvicted int64
}

// keyID identifies a key within its epoch.
type keyID struct {
	issued int64 // Unix milliseconds
	nonce  uint64
}

func (k keyID) before(o keyID) bool {
	return k.issued < o.issued || k.issued == o.issued && k.nonce < o.nonce
}

// New returns an empty table for an epoch of a partition. A lifetime of 0
// means DefaultLifetime.
func New(partition fleet.PartitionID, epoch fleet.Epoch, lifetime time.Duration) *Table {
	if lifetime <= 0 {
		lifetime = DefaultLifetime
	}
	return &Table{
		partition: partition, epoch: epoch, lifetime: lifetime,
		used: make(map[keyID]fleet.RequestID),
	}
}

// Len returns the number of recorded keys.
func (t *Table) Len() int { return len(t.used) }

// Issue returns a new key. The nonce must be random, so that two keys of one
// millisecond differ. ok is false while the table is full.
func (t *Table) Issue(now time.Time, nonce uint64) (key Key, ok bool) {
	if !t.ensureSpace(now) {
		return Key{}, false
	}
	return Key{t.partition, t.epoch, now.Truncate(time.Millisecond), nonce}, true
}

// Use returns the decision about a request that carries a key, and records the
// key at its first use.
func (t *Table) Use(now time.Time, text string, id fleet.RequestID) Decision {
	key, err := Parse(text)
	if err != nil {
		// No holder accepts an invalid key, so no request with it has run.
		return Decision{Action: Refuse, Reason: outcome.KeyInvalid}
	}
	if key.Partition != t.partition {
		return Decision{Action: Unknown, Reason: outcome.NotHolder}
	}
	if key.Epoch != t.epoch {
		return Decision{Action: Unknown, Reason: outcome.KeyOtherEpoch}
	}
	k := keyID{key.Issued.UnixMilli(), key.Nonce}
	joined, known := t.used[k]
	switch {
	case joined != "":
		return Decision{Action: Join, Joined: joined}
	case !known && k.issued <= t.latestEvicted:
		return Decision{Action: Unknown, Reason: outcome.KeyExpired}
	case now.Sub(key.Issued) >= t.lifetime:
		return Decision{Action: Refuse, Reason: outcome.KeyExpired}
	case key.Issued.Sub(now) > maxClockSkew:
		return Decision{Action: Refuse, Reason: outcome.KeyInvalid}
	case !known && !t.ensureSpace(now):
		return Decision{Action: Refuse, Reason: outcome.QueueFull, RetryAfter: t.untilSpace(now)}
	}
	if !known {
		t.push(k)
	}
	t.used[k] = id
	return Decision{Action: Run}
}

// Release records that the request that used the key first ended without
// running, so that a repeat may run.
func (t *Table) Release(text string, id fleet.RequestID) {
	key, err := Parse(text)
	if err != nil || key.Partition != t.partition || key.Epoch != t.epoch {
		return
	}
	if k := (keyID{key.Issued.UnixMilli(), key.Nonce}); t.used[k] == id && id != "" {
		t.used[k] = ""
	}
}

// ensureSpace evicts the oldest keys if the table is full and they have
// expired. It reports whether there is space for a key.
func (t *Table) ensureSpace(now time.Time) bool {
	for len(t.used) >= MaxKeys {
		k := t.byIssue[0]
		if now.Sub(time.UnixMilli(k.issued)) < t.lifetime {
			return false
		}
		t.pop()
		delete(t.used, k)
		t.latestEvicted = max(t.latestEvicted, k.issued)
	}
	return true
}

// untilSpace returns the time until the oldest key expires.
func (t *Table) untilSpace(now time.Time) time.Duration {
	return time.UnixMilli(t.byIssue[0].issued).Add(t.lifetime).Sub(now)
}

// push adds a key to byIssue.
func (t *Table) push(k keyID) {
	h := append(t.byIssue, k)
	for i := len(h) - 1; i > 0 && h[i].before(h[(i-1)/2]); i = (i - 1) / 2 {
		h[i], h[(i-1)/2] = h[(i-1)/2], h[i]
	}
	t.byIssue = h
}

// pop removes the oldest key from byIssue.
func (t *Table) pop() {
	last := len(t.byIssue) - 1
	t.byIssue[0] = t.byIssue[last]
	h := t.byIssue[:last]
	for i, child := 0, 1; child < len(h); i, child = child, 2*child+1 {
		if child+1 < len(h) && h[child+1].before(h[child]) {
			child++
		}
		if !h[child].before(h[i]) {
			break
		}
		h[i], h[child] = h[child], h[i]
	}
	t.byIssue = h
}
