package records

import (
	"bytes"
	"testing"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"
)

// Guards against entries that a record does not preserve, and against records
// larger than the sum of the bounds from Size.
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
			t.Fatalf("record has %d bytes, want at most the sum of sizes, %d", len(data), size)
		}
		got, err := Decode(data)
		if err != nil || len(got) != len(entries) {
			t.Fatalf("decoded %d of %d entries: %v", len(got), len(entries), err)
		}
		for i := range got {
			if got[i].ID != entries[i].ID || !bytes.Equal(got[i].Data, entries[i].Data) {
				t.Fatalf("entry %d: got %+v, want %+v", i, got[i], entries[i])
			}
		}
	})
}

// Guards against bounds that only one of Encode and Decode checks.
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
			t.Errorf("%s: Encode returned %v, want ErrInvalid", name, err)
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

// Guards against input that makes Decode panic or decodes to entries that Encode
// rejects.
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
