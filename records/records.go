// Package records encodes and decodes the entries that are committed together
// in one record of the log service. The log writer encodes and the log readers
// decode with it. It holds no state.
package records

import (
	"encoding/base64"
	"encoding/json"
	"unicode/utf8"

	"github.com/go-faster/errors"
)

const (
	// MaxRecordBytes bounds an encoded record; it is the log service's limit.
	MaxRecordBytes = 1 << 20
	// MaxEntries bounds the entries of one record.
	MaxEntries = 4096
	// MaxIDBytes bounds the identifier of an entry.
	MaxIDBytes = 128
	// MaxDataBytes bounds the data of an entry, so that any single entry fits
	// into a record in base64.
	MaxDataBytes = 512 << 10
	// maxEncodedIDByte is the greatest number of bytes that JSON takes for a
	// byte of an identifier: control characters and <, > and & are encoded as
	// a \u escape.
	maxEncodedIDByte = 6
	// entryOverheadBytes is the size of an entry's braces, field names, quotes
	// and separators.
	entryOverheadBytes = 24
)

// ErrInvalid means that an entry or record exceeds a bound or is malformed.
var ErrInvalid = errors.New("invalid log record")

// Entry is one entry of a record.
type Entry struct {
	// ID identifies the entry when it is read back: 1 to MaxIDBytes bytes of
	// UTF-8.
	ID   string `json:"id"`
	Data []byte `json:"data"`
}

// Size returns an upper bound of the bytes that the entry takes in a record.
func (e Entry) Size() int {
	return entryOverheadBytes + maxEncodedIDByte*len(e.ID) + base64.StdEncoding.EncodedLen(len(e.Data))
}

// Check returns an error that wraps ErrInvalid if the entry exceeds a bound or is
// malformed.
func (e Entry) Check() error {
	switch {
	case e.ID == "":
		return errors.Wrap(ErrInvalid, "entry has no id")
	case !utf8.ValidString(e.ID):
		return errors.Wrapf(ErrInvalid, "entry id %q is not UTF-8", e.ID)
	case len(e.ID) > MaxIDBytes:
		return errors.Wrapf(ErrInvalid, "entry id has %d bytes, expected at most %d", len(e.ID), MaxIDBytes)
	case len(e.Data) > MaxDataBytes:
		return errors.Wrapf(ErrInvalid, "entry %q has %d bytes of data, expected at most %d", e.ID, len(e.Data), MaxDataBytes)
	default:
		return nil
	}
}

// Encode encodes the entries as a record, in their order.
func Encode(entries []Entry) ([]byte, error) {
	if err := check(entries); err != nil {
		return nil, err
	}
	data, err := json.Marshal(entries)
	if err != nil {
		return nil, errors.Wrapf(ErrInvalid, "encode record (%v)", err)
	}
	if len(data) > MaxRecordBytes {
		return nil, errors.Wrapf(ErrInvalid, "encoded record has %d bytes, expected at most %d", len(data), MaxRecordBytes)
	}
	return data, nil
}

// Decode is the inverse of Encode. It ignores unknown fields, so that a later
// version may add some.
func Decode(data []byte) ([]Entry, error) {
	if len(data) > MaxRecordBytes {
		return nil, errors.Wrapf(ErrInvalid, "record has %d bytes, expected at most %d", len(data), MaxRecordBytes)
	}
	var entries []Entry
	if err := json.Unmarshal(data, &entries); err != nil {
		return nil, errors.Wrapf(ErrInvalid, "decode record (%v)", err)
	}
	if err := check(entries); err != nil {
		return nil, err
	}
	return entries, nil
}

func check(entries []Entry) error {
	if len(entries) == 0 || len(entries) > MaxEntries {
		return errors.Wrapf(ErrInvalid, "record has %d entries, expected 1 to %d", len(entries), MaxEntries)
	}
	for _, e := range entries {
		if err := e.Check(); err != nil {
			return err
		}
	}
	return nil
}
