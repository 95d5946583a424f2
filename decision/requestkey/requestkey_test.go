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

// Guards against keys that change on the way through a header field, and
// against altered keys that are taken for others.
func TestParseReadsWhatStringWrote(t *testing.T) {
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

// Guards against a second run of one key, and against "not run" being said of
// a key that may have run.
func TestUse(t *testing.T) {
	mine := New("dc/r1", 5, 0)
	key, _ := mine.Issue(start, 1)
	unused, _ := mine.Issue(start, 2)
	refused, _ := mine.Issue(start, 3)
	other, _ := New("dc/r1", 4, 0).Issue(start, 1)
	elsewhere, _ := New("dc/r2", 5, 0).Issue(start, 1)
	late := start.Add(DefaultLifetime)
	steps := []struct {
		name string
		now  time.Time
		key  string
		want Decision
	}{
		{"first use", start, key.String(), Decision{Action: Run}},
		{"repeat", start, key.String(), Decision{Action: Join, Joined: "first use"}},
		{"repeat after expiry", late, key.String(), Decision{Action: Join, Joined: "first use"}},
		{"former epoch", start, other.String(), Decision{Action: Unknown, Reason: outcome.KeyOtherEpoch}},
		{"other partition", start, elsewhere.String(), Decision{Action: Unknown, Reason: outcome.NotHolder}},
		{"expired, never used", late, unused.String(), Decision{Action: Refuse, Reason: outcome.KeyExpired}},
		{"malformed", start, strings.ToUpper(key.String()), Decision{Action: Refuse, Reason: outcome.KeyInvalid}},
		{"use that ends as not run", start, refused.String(), Decision{Action: Run}},
		{"use after that", start, refused.String(), Decision{Action: Run}},
	}
	for _, step := range steps {
		if got := mine.Use(step.now, step.key, fleet.RequestID(step.name)); got != step.want {
			t.Errorf("%s: %+v, want %+v", step.name, got, step.want)
		}
		mine.Release(refused.String(), "use that ends as not run")
	}
}

// Guards against a full table that forgets keys before they expire, and
// against calling a forgotten key not run.
func TestFullTableRefusesNewKeysAndForgetsNone(t *testing.T) {
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
		t.Fatalf("new key while full: %+v", got)
	}
	if _, ok := table.Issue(full, 0); ok {
		t.Error("a key is issued that can't be used")
	}
	if got := use(full, start.Add(MaxKeys*time.Millisecond/2), 0); got.Action != Join {
		t.Errorf("remembered key while full: %+v", got)
	}
	expired := start.Add(DefaultLifetime + time.Second)
	if got := use(expired, expired, MaxKeys); got.Action != Run || table.Len() != MaxKeys {
		t.Errorf("new key once the oldest expired: %+v with %d keys", got, table.Len())
	}
	if got := use(expired, start, MaxKeys-1); got.Action != Unknown {
		t.Errorf("forgotten key: %+v", got)
	}
}
