// Package requestkey makes a non-idempotent request run at most once.
//
// The holder of a partition issues keys that carry the partition, the epoch of
// its lease, the time and a nonce, so that any later holder can tell that a key
// isn't its own. The holder remembers the keys used in its epoch: the first use
// runs, a repeat joins the running request or its answer. What a former holder
// did with its keys can't be known, so its keys get "outcome unknown".
//
// A used key is forgotten only after it has expired and when its place is
// needed. When the table is full of keys that haven't expired, new ones are
// refused. An expired key that can't have been forgotten is truthfully refused
// as not run; otherwise its outcome is unknown.
//
// The package is pure; times and nonces are passed in.
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

// Key is a parsed request key.
type Key struct {
	Partition fleet.PartitionID
	Epoch     fleet.Epoch
	// Issued has a resolution of 1 ms.
	Issued time.Time
	Nonce  uint64
}

// version is the first field of a formatted key.
const version = "1"

const fieldCount = 6

// String formats the key: version, partition, epoch, issue time, nonce and
// checksum, joined by dots. It fits into a header field.
func (k Key) String() string {
	body := strings.Join([]string{
		version,
		base64.RawURLEncoding.EncodeToString([]byte(k.Partition)),
		strconv.FormatUint(uint64(k.Epoch), 36),
		strconv.FormatInt(k.Issued.UnixMilli(), 36),
		strconv.FormatUint(k.Nonce, 36),
	}, ".")
	return body + "." + checksum(body)
}

// checksum finds keys that were cut or altered on the way. It is no protection
// against forged keys; a forged key only takes a place in the table.
func checksum(body string) string { return strconv.FormatUint(xxhash.Sum64String(body), 36) }

// Parse reads a formatted key. The error names the field at fault.
func Parse(text string) (Key, error) {
	fields := strings.Split(text, ".")
	if len(fields) != fieldCount {
		return Key{}, fmt.Errorf("request key has %d fields, expected %d", len(fields), fieldCount)
	}
	if fields[0] != version {
		return Key{}, fmt.Errorf("request key version %q, expected %q", fields[0], version)
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
