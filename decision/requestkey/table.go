package requestkey

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/fleet"
)

const (
	// MaxKeys bounds the used keys of a partition.
	MaxKeys = 65_536
	// DefaultLifetime is how long after its issue a key may be used first.
	DefaultLifetime = 10 * time.Minute
	// futureTolerance allows for a wall clock that was set back since a key was
	// issued.
	futureTolerance = time.Minute
)

// Action says what to do with a request that carries a key.
type Action uint8

const (
	// Run means that this is the first use.
	Run Action = iota
	// Join means that the request with Use.Joined already stands for the key.
	Join
	// Refuse means that no request with this key was run, and this one isn't.
	Refuse
	// Unknown means that a request with this key may have run; this one isn't.
	Unknown
)

// Decision is the decision about a request that carries a key.
type Decision struct {
	Action     Action
	Joined     fleet.RequestID
	Reason     outcome.Reason
	RetryAfter time.Duration
}

// Table remembers the keys used in one epoch of a partition.
type Table struct {
	partition fleet.PartitionID
	epoch     fleet.Epoch
	lifetime  time.Duration
	used      map[mark]fleet.RequestID
	// oldest is a binary heap of the marks in used.
	oldest []mark
	// forgotten is the latest issue time of any key that was forgotten.
	forgotten int64
}

// mark identifies a key within its epoch.
type mark struct {
	issued int64 // milliseconds
	nonce  uint64
}

func (m mark) before(o mark) bool {
	return m.issued < o.issued || m.issued == o.issued && m.nonce < o.nonce
}

// New returns an empty table for an epoch of a partition. A lifetime of 0
// means DefaultLifetime.
func New(partition fleet.PartitionID, epoch fleet.Epoch, lifetime time.Duration) *Table {
	if lifetime <= 0 {
		lifetime = DefaultLifetime
	}
	return &Table{
		partition: partition, epoch: epoch, lifetime: lifetime,
		used: make(map[mark]fleet.RequestID),
	}
}

// Len returns the number of remembered keys.
func (t *Table) Len() int { return len(t.used) }

// Issue returns a new key. The nonce must be random, so that two keys of one
// millisecond differ. ok is false while the table is full.
func (t *Table) Issue(now time.Time, nonce uint64) (key Key, ok bool) {
	if !t.hasPlace(now) {
		return Key{}, false
	}
	return Key{t.partition, t.epoch, now.Truncate(time.Millisecond), nonce}, true
}

// Use decides about a request that carries a key, and remembers a first use.
func (t *Table) Use(now time.Time, text string, id fleet.RequestID) Decision {
	key, err := Parse(text)
	if err != nil {
		// No holder accepts the key, so no request with it was ever run.
		return Decision{Action: Refuse, Reason: outcome.KeyInvalid}
	}
	if key.Partition != t.partition {
		return Decision{Action: Unknown, Reason: outcome.NotHolder}
	}
	if key.Epoch != t.epoch {
		return Decision{Action: Unknown, Reason: outcome.KeyOtherEpoch}
	}
	m := mark{key.Issued.UnixMilli(), key.Nonce}
	joined, known := t.used[m]
	switch {
	case joined != "":
		return Decision{Action: Join, Joined: joined}
	case !known && m.issued <= t.forgotten:
		return Decision{Action: Unknown, Reason: outcome.KeyExpired}
	case now.Sub(key.Issued) >= t.lifetime:
		return Decision{Action: Refuse, Reason: outcome.KeyExpired}
	case key.Issued.Sub(now) > futureTolerance:
		return Decision{Action: Refuse, Reason: outcome.KeyInvalid}
	case !known && !t.hasPlace(now):
		return Decision{Action: Refuse, Reason: outcome.QueueFull, RetryAfter: t.nextPlace(now)}
	}
	if !known {
		t.push(m)
	}
	t.used[m] = id
	return Decision{Action: Run}
}

// Release takes that the request that a key was first used for ended as not
// run, so that a repeat of it may run.
func (t *Table) Release(text string, id fleet.RequestID) {
	key, err := Parse(text)
	if err != nil || key.Partition != t.partition || key.Epoch != t.epoch {
		return
	}
	if m := (mark{key.Issued.UnixMilli(), key.Nonce}); t.used[m] == id && id != "" {
		t.used[m] = ""
	}
}

// hasPlace forgets the oldest keys if they have expired and their place is
// needed.
func (t *Table) hasPlace(now time.Time) bool {
	for len(t.used) >= MaxKeys {
		m := t.oldest[0]
		if now.Sub(time.UnixMilli(m.issued)) < t.lifetime {
			return false
		}
		t.pop()
		delete(t.used, m)
		t.forgotten = max(t.forgotten, m.issued)
	}
	return true
}

func (t *Table) nextPlace(now time.Time) time.Duration {
	return time.UnixMilli(t.oldest[0].issued).Add(t.lifetime).Sub(now)
}

func (t *Table) push(m mark) {
	h := append(t.oldest, m)
	for i := len(h) - 1; i > 0 && h[i].before(h[(i-1)/2]); i = (i - 1) / 2 {
		h[i], h[(i-1)/2] = h[(i-1)/2], h[i]
	}
	t.oldest = h
}

func (t *Table) pop() {
	last := len(t.oldest) - 1
	t.oldest[0] = t.oldest[last]
	h := t.oldest[:last]
	for i, child := 0, 1; child < len(h); i, child = child, 2*child+1 {
		if child+1 < len(h) && h[child+1].before(h[child]) {
			child++
		}
		if !h[child].before(h[i]) {
			break
		}
		h[i], h[child] = h[child], h[i]
	}
	t.oldest = h
}
