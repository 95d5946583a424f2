// Package records is the codec of the entries that are committed together in
// one record of the log service. It has pure functions and no state; the log
// writer encodes and the log readers decode with it.
package records

import (
	"encoding/base64"
	"encoding/json"
	"unicode/utf8"

	"github.com/go-faster/errors"
)

const (
	// MaxRecordBytes is the largest encoded record, as the log service takes it.
	MaxRecordBytes = 1 << 20
	// MaxEntries bounds the entries of one record.
	MaxEntries = 4096
	// MaxIDBytes bounds an entry's identifier.
	MaxIDBytes = 128
	// MaxDataBytes bounds an entry's data, so that any single entry fits a
	// record in base64.
	MaxDataBytes = 512 << 10
	// idBytesEncoded is the most bytes that JSON needs for a byte of an
	// identifier: a control character and <, > or & take a \u escape.
	idBytesEncoded = 6
	// entryFrameBytes covers the field names, quotes and the comma.
	entryFrameBytes = 24
)

// ErrInvalid means that entries break a bound or that a record is not one.
var ErrInvalid = errors.New("invalid log record")

// Entry is one entry of a record.
type Entry struct {
	// ID identifies the entry when it is read back: 1 to MaxIDBytes bytes of
	// UTF-8.
	ID   string `json:"id"`
	Data []byte `json:"data"`
}

// Size returns an upper bound of the entry's share of a record in bytes.
func (e Entry) Size() int {
	return entryFrameBytes + idBytesEncoded*len(e.ID) + base64.StdEncoding.EncodedLen(len(e.Data))
}

// Check reports whether the entry keeps the bounds.
func (e Entry) Check() error {
	switch {
	case e.ID == "":
		return errors.Wrap(ErrInvalid, "entry has no id")
	case !utf8.ValidString(e.ID):
		return errors.Wrapf(ErrInvalid, "entry id %q is not UTF-8", e.ID)
	case len(e.ID) > MaxIDBytes:
		return errors.Wrapf(ErrInvalid, "entry id has %d bytes, most is %d", len(e.ID), MaxIDBytes)
	case len(e.Data) > MaxDataBytes:
		return errors.Wrapf(ErrInvalid, "entry %q has %d bytes of data, most is %d", e.ID, len(e.Data), MaxDataBytes)
	default:
		return nil
	}
}

// Encode returns the record of the entries, in their order.
func Encode(entries []Entry) ([]byte, error) {
	if err := check(entries); err != nil {
		return nil, err
	}
	data, err := json.Marshal(entries)
	if err != nil {
		return nil, errors.Wrapf(ErrInvalid, "encode (%v)", err)
	}
	if len(data) > MaxRecordBytes {
		return nil, errors.Wrapf(ErrInvalid, "record has %d bytes, most is %d", len(data), MaxRecordBytes)
	}
	return data, nil
}

// Decode is the inverse of Encode. Fields that it does not know are ignored,
// so that a later version may add some.
func Decode(data []byte) ([]Entry, error) {
	if len(data) > MaxRecordBytes {
		return nil, errors.Wrapf(ErrInvalid, "record has %d bytes, most is %d", len(data), MaxRecordBytes)
	}
	var entries []Entry
	if err := json.Unmarshal(data, &entries); err != nil {
		return nil, errors.Wrapf(ErrInvalid, "decode (%v)", err)
	}
	if err := check(entries); err != nil {
		return nil, err
	}
	return entries, nil
}

func check(entries []Entry) error {
	if len(entries) == 0 || len(entries) > MaxEntries {
		return errors.Wrapf(ErrInvalid, "record has %d entries, bounds are 1 and %d", len(entries), MaxEntries)
	}
	for _, e := range entries {
		if err := e.Check(); err != nil {
			return err
		}
	}
	return nil
}
