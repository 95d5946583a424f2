package requestkey

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/fleet"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against keys that change between formatting and parsing, and against
// altered keys that parse as other keys.
func TestParseRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := Key{
			Partition: fleet.PartitionID(rapid.String().Draw(t, "partition")),
			Epoch:     fleet.Epoch(rapid.Uint64().Draw(t, "epoch")),
			Issued:    start.Add(time.Duration(rapid.Int64Range(0, 1<<50).Draw(t, "issued"))).Truncate(time.Millisecond),
			Nonce:     rapid.Uint64().Draw(t, "nonce"),
		}
		text := key.String()
		if parsed, err := Parse(text); err != nil || !parsed.Issued.Equal(key.Issued) || parsed.String() != text {
			t.Fatalf("%s parsed as %+v, %v", text, parsed, err)
		}
		i := rapid.IntRange(0, len(text)-1).Draw(t, "altered")
		altered := text[:i] + string(text[i]^1) + text[i+1:]
		if parsed, err := Parse(altered); err == nil {
			t.Fatalf("altered key %s parsed as %+v", altered, parsed)
		}
	})
}

// Guards against a second run under one key, and against a key that is refused
// as not run although a request with it may have run.
func TestUse(t *testing.T) {
	table := New("dc/r1", 5, 0)
	key, _ := table.Issue(start, 1)
	unused, _ := table.Issue(start, 2)
	released, _ := table.Issue(start, 3)
	otherEpoch, _ := New("dc/r1", 4, 0).Issue(start, 1)
	otherPartition, _ := New("dc/r2", 5, 0).Issue(start, 1)
	expired := start.Add(DefaultLifetime)
	steps := []struct {
		name string
		now  time.Time
		key  string
		want Decision
	}{
		{"first use", start, key.String(), Decision{Action: Run}},
		{"repeat", start, key.String(), Decision{Action: Join, Joined: "first use"}},
		{"repeat after expiry", expired, key.String(), Decision{Action: Join, Joined: "first use"}},
		{"former epoch", start, otherEpoch.String(), Decision{Action: Unknown, Reason: outcome.KeyOtherEpoch}},
		{"other partition", start, otherPartition.String(), Decision{Action: Unknown, Reason: outcome.NotHolder}},
		{"expired, never used", expired, unused.String(), Decision{Action: Refuse, Reason: outcome.KeyExpired}},
		{"malformed", start, strings.ToUpper(key.String()), Decision{Action: Refuse, Reason: outcome.KeyInvalid}},
		{"use that ends without running", start, released.String(), Decision{Action: Run}},
		{"use after release", start, released.String(), Decision{Action: Run}},
	}
	for _, step := range steps {
		if got := table.Use(step.now, step.key, fleet.RequestID(step.name)); got != step.want {
			t.Errorf("%s: got %+v, want %+v", step.name, got, step.want)
		}
		table.Release(released.String(), "use that ends without running")
	}
}

// Guards against a full table that evicts keys before they expire, and against
// an evicted key that is refused as not run.
func TestFullTableRefusesNewKeysAndEvictsNone(t *testing.T) {
	table := New("dc/r1", 1, 0)
	use := func(now time.Time, issued time.Time, nonce uint64) Decision {
		key := Key{"dc/r1", 1, issued, nonce}
		return table.Use(now, key.String(), fleet.RequestID(fmt.Sprint(nonce)))
	}
	for n := range uint64(MaxKeys) {
		// Later keys are used first, so that the order of use isn't that of issue.
		use(start.Add(time.Minute), start.Add(time.Duration(MaxKeys-n)*time.Millisecond/2), n)
	}
	full := start.Add(2 * time.Minute)
	if got := use(full, full, MaxKeys); got.Action != Refuse || got.Reason != outcome.QueueFull || got.RetryAfter <= 0 {
		t.Fatalf("new key while full: got %+v, want Refuse, %q and a retry time", got, outcome.QueueFull)
	}
	if _, ok := table.Issue(full, 0); ok {
		t.Error("a full table issued a key")
	}
	if got := use(full, start.Add(MaxKeys*time.Millisecond/2), 0); got.Action != Join {
		t.Errorf("recorded key while full: got %+v, want Join", got)
	}
	expired := start.Add(DefaultLifetime + time.Second)
	if got := use(expired, expired, MaxKeys); got.Action != Run || table.Len() != MaxKeys {
		t.Errorf("new key after the oldest expired: got %+v with %d keys, want Run with %d", got, table.Len(), MaxKeys)
	}
	if got := use(expired, start, MaxKeys-1); got.Action != Unknown {
		t.Errorf("evicted key: got %+v, want Unknown", got)
	}
}
