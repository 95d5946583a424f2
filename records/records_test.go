package records

import (
	"bytes"
	"testing"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"
)

// Guards against entries that change on their way through a record, and
// against a size bound that a record can exceed.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Entry {
			return Entry{
				ID:   rapid.StringOfN(rapid.Rune(), 1, -1, MaxIDBytes).Draw(t, "id"),
				Data: rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "data"),
			}
		}), 1, 20).Draw(t, "entries")
		data, err := Encode(entries)
		if err != nil {
			t.Fatal(err)
		}
		size := len("[]")
		for _, e := range entries {
			size += e.Size()
		}
		if len(data) > size {
			t.Fatalf("record has %d bytes, sizes sum up to %d", len(data), size)
		}
		got, err := Decode(data)
		if err != nil || len(got) != len(entries) {
			t.Fatalf("decoded %d of %d entries: %v", len(got), len(entries), err)
		}
		for i := range got {
			if got[i].ID != entries[i].ID || !bytes.Equal(got[i].Data, entries[i].Data) {
				t.Fatalf("entry %d: %+v became %+v", i, entries[i], got[i])
			}
		}
	})
}

// Guards against bounds that only one direction checks.
func TestBounds(t *testing.T) {
	long := string(bytes.Repeat([]byte("x"), MaxIDBytes+1))
	for name, entries := range map[string][]Entry{
		"no entry":    {},
		"no id":       {{Data: []byte("d")}},
		"long id":     {{ID: long}},
		"invalid id":  {{ID: "\xff"}},
		"large data":  {{ID: "a", Data: make([]byte, MaxDataBytes+1)}},
		"many":        make([]Entry, MaxEntries+1),
		"large total": {{ID: "a", Data: make([]byte, MaxDataBytes)}, {ID: "b", Data: make([]byte, MaxDataBytes)}},
	} {
		if _, err := Encode(entries); !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: Encode = %v, want ErrInvalid", name, err)
		}
	}
	if _, err := Encode([]Entry{{ID: "a", Data: make([]byte, MaxDataBytes)}}); err != nil {
		t.Errorf("largest entry: %v", err)
	}
	for _, data := range []string{"", "null", "[]", "{}", `[{"id":""}]`, `[{"id":"a"}] x`, `[{"id":"a","data":"!"}]`, `[{"id":"` + long + `"}]`} {
		if _, err := Decode([]byte(data)); !errors.Is(err, ErrInvalid) {
			t.Errorf("Decode(%.20q) = %v, want ErrInvalid", data, err)
		}
	}
}

// Guards against input that panics or decodes to something Encode refuses.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`[{"id":"a","data":"eA=="}]`))
	f.Add([]byte(`[{"id":"\ud800"}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		entries, err := Decode(data)
		if err != nil {
			return
		}
		if _, err := Encode(entries); err != nil && len(data) < MaxRecordBytes/8 {
			t.Fatalf("decoded entries do not encode: %v", err)
		}
	})
}
