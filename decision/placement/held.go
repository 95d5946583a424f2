package placement

import (
	"slices"
	"time"
)

// Report takes how many slots requests used on a backend server at a time.
// Held slots from before that time can't be more than those; the newest of
// them stay held.
//
// Own requests that run may be among the slots in use, but a request that was
// started just before the sample may not have reached the server yet. They
// aren't subtracted, so a slot may stay held longer than needed and is never
// freed too early.
func (t *Table) Report(i Index, sampledAt time.Time, inUse int) {
	v := &t.servers[i]
	older := 0
	for older < len(v.held) && v.held[older].Before(sampledAt) {
		older++
	}
	t.release(i, older-max(inUse, 0))
}

// Expire frees slots that were held for the longest time.
func (t *Table) Expire(now time.Time) {
	if t.held == 0 {
		return
	}
	for i := range t.servers {
		held, expired := t.servers[i].held, 0
		for expired < len(held) && now.Sub(held[expired]) >= t.holdFor {
			expired++
		}
		t.release(Index(i), expired)
	}
}

func (t *Table) release(i Index, oldest int) {
	if oldest <= 0 {
		return
	}
	v := &t.servers[i]
	v.held = slices.Delete(v.held, 0, oldest)
	t.held -= oldest
	t.take(i, -oldest)
}

// NextExpiry returns when Expire frees the next held slot.
func (t *Table) NextExpiry() (next time.Time, ok bool) {
	if t.held == 0 {
		return next, false
	}
	for i := range t.servers {
		if held := t.servers[i].held; len(held) > 0 && t.servers[i].listed {
			if at := held[0].Add(t.holdFor); !ok || at.Before(next) {
				next, ok = at, true
			}
		}
	}
	return next, ok
}

// Held returns the slots that are held on servers that aren't leaving.
func (t *Table) Held() (held int) {
	for i := range t.servers {
		if v := &t.servers[i]; !v.leaving() {
			held += len(v.held)
		}
	}
	return held
}
