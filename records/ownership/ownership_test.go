package ownership

import (
	"reflect"
	"testing"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"lacewingfork.example/lacewingfork/decision/lease"
)

// Guards against a field of a record that is lost by encoding and decoding.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.Make[lease.Record]().Draw(t, "record")
		want.Kind = rapid.SampledFrom([]lease.Kind{lease.Join, lease.Renew, lease.Claim, lease.Release, lease.Snapshot}).Draw(t, "kind")
		want.Member = lease.MemberKey{ID: "m", Incarnation: 1 + want.Member.Incarnation/2}
		dropEmpty(&want)
		data, err := Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(want.ID, data)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("decoded %+v, error %v\nwant %+v", got, err, want)
		}
	})
}

// dropEmpty replaces empty slices by nil, because the encoding does not distinguish
// them.
func dropEmpty(r *lease.Record) {
	if len(r.Claims) == 0 {
		r.Claims = nil
	}
	if len(r.Released) == 0 {
		r.Released = nil
	}
	if r.State != nil && len(r.State.Members) == 0 {
		r.State.Members = nil
	}
	if r.State != nil && len(r.State.Partitions) == 0 {
		r.State.Partitions = nil
	}
}

// Guards against data that is not an ownership record being decoded as one.
func TestDecodeRefusesOtherData(t *testing.T) {
	for _, data := range []string{"", "{", `{"kind":"vote","member":"m","incarnation":1}`, `{"kind":"join"}`, `{"kind":"join","member":"m"}`} {
		if _, err := Decode("id", []byte(data)); !errors.Is(err, ErrInvalid) {
			t.Errorf("Decode(%q): got error %v, want ErrInvalid", data, err)
		}
	}
}
