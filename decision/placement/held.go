package placement

import (
	"slices"
	"time"
)

// Report applies a usage report: the number of slots that requests used on a
// backend server at the time of the sample. Of the slots that were held before
// the sample, at most inUse can still be in use; the newest of them stay held
// and the others are freed.
//
// The slots in use may include running requests of this table. They aren't
// subtracted, because a request started just before the sample may not have
// reached the server yet. A slot may therefore stay held longer than needed,
// but is never freed too early.
func (t *Table) Report(i Index, sampledAt time.Time, inUse int) {
	s := &t.servers[i]
	older := 0
	for older < len(s.heldSince) && s.heldSince[older].Before(sampledAt) {
		older++
	}
	t.release(i, older-max(inUse, 0))
}

// Expire frees the slots that have been held for maxHold.
func (t *Table) Expire(now time.Time) {
	if t.held == 0 {
		return
	}
	for i := range t.servers {
		held, expired := t.servers[i].heldSince, 0
		for expired < len(held) && now.Sub(held[expired]) >= t.maxHold {
			expired++
		}
		t.release(Index(i), expired)
	}
}

// release frees a number of the oldest held slots of a server.
func (t *Table) release(i Index, count int) {
	if count <= 0 {
		return
	}
	s := &t.servers[i]
	s.heldSince = slices.Delete(s.heldSince, 0, count)
	t.held -= count
	t.addUsed(i, -count)
}

// NextExpiry returns when Expire frees the next held slot.
func (t *Table) NextExpiry() (next time.Time, ok bool) {
	if t.held == 0 {
		return next, false
	}
	for i := range t.servers {
		if held := t.servers[i].heldSince; len(held) > 0 && t.servers[i].listed {
			if at := held[0].Add(t.maxHold); !ok || at.Before(next) {
				next, ok = at, true
			}
		}
	}
	return next, ok
}

// Held returns the number of held slots on servers that aren't leaving.
func (t *Table) Held() (held int) {
	for i := range t.servers {
		if s := &t.servers[i]; !s.leaving() {
			held += len(s.heldSince)
		}
	}
	return held
}
