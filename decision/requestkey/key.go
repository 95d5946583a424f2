// Package requestkey ensures that a non-idempotent request runs at most once.
//
// The holder of a partition issues keys that contain the partition, the epoch of
// its lease, the issue time and a nonce, so that a later holder detects keys of
// other epochs. The holder records the keys used in its epoch: the first use
// runs, and a repeat joins the running request or gets its answer. A new holder
// has no record of the keys that a former holder used, so requests with those
// keys are answered with "outcome unknown".
//
// A used key is evicted only after it has expired and when its space is needed.
// While the table is full of keys that haven't expired, new keys are refused.
// An unrecorded expired key is refused as not run if it is newer than every
// evicted key; otherwise it may have been evicted and its outcome is unknown.
//
// The package does no I/O; times and nonces are passed in.
package requestkey

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingfork.example/lacewingfork/fleet"
)

// Key is a request key.
type Key struct {
	Partition fleet.PartitionID
	Epoch     fleet.Epoch
	// Issued is the issue time with a resolution of 1 ms.
	Issued time.Time
	Nonce  uint64
}

// formatVersion is the first field of a formatted key.
const formatVersion = "1"

// fieldCount is the number of fields of a formatted key.
const fieldCount = 6

// String formats the key for a header field: version, partition in base64, and
// epoch, issue time in Unix milliseconds, nonce and checksum in base 36, joined
// by dots.
func (k Key) String() string {
	body := strings.Join([]string{
		formatVersion,
		base64.RawURLEncoding.EncodeToString([]byte(k.Partition)),
		strconv.FormatUint(uint64(k.Epoch), 36),
		strconv.FormatInt(k.Issued.UnixMilli(), 36),
		strconv.FormatUint(k.Nonce, 36),
	}, ".")
	return body + "." + checksum(body)
}

// checksum detects truncated or altered keys. It doesn't protect against forged
// keys; a forged key only takes an entry of the table.
func checksum(body string) string { return strconv.FormatUint(xxhash.Sum64String(body), 36) }

// Parse parses a formatted key. The error names the invalid field.
func Parse(text string) (Key, error) {
	fields := strings.Split(text, ".")
	if len(fields) != fieldCount {
		return Key{}, fmt.Errorf("request key has %d fields, expected %d", len(fields), fieldCount)
	}
	if fields[0] != formatVersion {
		return Key{}, fmt.Errorf("request key version %q, expected %q", fields[0], formatVersion)
	}
	if body := text[:strings.LastIndexByte(text, '.')]; checksum(body) != fields[5] {
		return Key{}, fmt.Errorf("request key checksum %q doesn't match", fields[5])
	}
	partition, err := base64.RawURLEncoding.DecodeString(fields[1])
	if err != nil {
		return Key{}, fmt.Errorf("request key partition: %w", err)
	}
	epoch, err := strconv.ParseUint(fields[2], 36, 64)
	if err != nil {
		return Key{}, fmt.Errorf("request key epoch: %w", err)
	}
	issued, err := strconv.ParseInt(fields[3], 36, 64)
	if err != nil {
		return Key{}, fmt.Errorf("request key time: %w", err)
	}
	nonce, err := strconv.ParseUint(fields[4], 36, 64)
	if err != nil {
		return Key{}, fmt.Errorf("request key nonce: %w", err)
	}
	return Key{fleet.PartitionID(partition), fleet.Epoch(epoch), time.UnixMilli(issued), nonce}, nil
}
