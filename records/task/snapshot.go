package task

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/decision/task"
)

const (
	// MaxPartBytes bounds the log entry of a snapshot part.
	MaxPartBytes = 256 << 10
	// partBytes is the size of the data of one part. It grows by a third as
	// base64 in the record, and by another third where the log writer frames
	// entries as JSON: 128 KiB become 228 KiB.
	partBytes = 128 << 10
	// maxSnapshotBytes bounds a decompressed snapshot, so that a damaged one
	// cannot exhaust an instance's memory.
	maxSnapshotBytes = 512 << 20
	maxParts         = maxSnapshotBytes / partBytes
	// maxIncomplete bounds the snapshots that the Assembler tracks, complete ones
	// included. A writer that fails leaves an incomplete one behind.
	maxIncomplete = 8
)

// EncodeSnapshot encodes a snapshot as gzipped JSON and splits it into parts.
func EncodeSnapshot(id string, s task.Snapshot) ([]task.Part, error) {
	var packed bytes.Buffer
	zip, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	if err := json.NewEncoder(zip).Encode(encodeState(s)); err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	if err := zip.Close(); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	data := packed.Bytes()
	count := (len(data) + partBytes - 1) / partBytes
	parts := make([]task.Part, count)
	for i := range parts {
		parts[i] = task.Part{
			Snapshot: id, Index: i, Count: count,
			Data: data[i*partBytes : min((i+1)*partBytes, len(data))],
		}
	}
	return parts, nil
}

// Assembler reassembles snapshots from the parts read. The parts of several writers
// may interleave and repeat.
type Assembler struct {
	incomplete map[string]*assembly
	order      []string // snapshot identifiers in the order of their first part
}

// assembly is a snapshot with the parts that were added so far.
type assembly struct {
	parts   [][]byte
	missing int
}

// Add adds a part. It returns the snapshot when its last missing part is added, and
// nil otherwise. It returns an error if the snapshot cannot be decoded.
func (a *Assembler) Add(p task.Part) (*task.Snapshot, error) {
	if a.incomplete == nil {
		a.incomplete = map[string]*assembly{}
	}
	s := a.incomplete[p.Snapshot]
	if s == nil {
		s = &assembly{parts: make([][]byte, p.Count), missing: p.Count}
		a.incomplete[p.Snapshot] = s
		a.order = append(a.order, p.Snapshot)
		a.dropOldest()
	}
	if p.Count != len(s.parts) {
		return nil, errors.Errorf("part of snapshot %q has part count %d, earlier parts have %d", p.Snapshot, p.Count, len(s.parts))
	}
	if s.missing == 0 || s.parts[p.Index] != nil {
		return nil, nil
	}
	s.parts[p.Index] = p.Data
	s.missing--
	if s.missing > 0 {
		return nil, nil
	}
	data := bytes.Join(s.parts, nil)
	s.parts = make([][]byte, p.Count) // frees the data; missing stays 0, so repeated parts are ignored
	return decodeSnapshot(data)
}

func (a *Assembler) dropOldest() {
	if len(a.order) > maxIncomplete {
		delete(a.incomplete, a.order[0])
		a.order = a.order[1:]
	}
}

func decodeSnapshot(data []byte) (*task.Snapshot, error) {
	zip, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "decompress snapshot")
	}
	var w wireState
	if err := json.NewDecoder(io.LimitReader(zip, maxSnapshotBytes)).Decode(&w); err != nil {
		return nil, errors.Wrap(err, "decode snapshot")
	}
	s := decodeState(w)
	return &s, nil
}
