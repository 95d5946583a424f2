package configuration

import (
	"bytes"
	"encoding/json"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/findings"
	"lacewingfork.example/lacewingfork/fleet"
)

// Stream is the name of the log service's stream for configurations.
const Stream = "configuration"

const (
	maxIDBytes       = 128 // equal to records.MaxIDBytes
	maxOperatorBytes = 64
)

// Entry is one entry of the stream; exactly one field is set.
type Entry struct {
	Publication *configuration.Publication
	Snapshot    *configuration.State
}

type entryJSON struct {
	Publication *publicationJSON `json:"publication,omitempty"`
	Snapshot    *stateJSON       `json:"snapshot,omitempty"`
}

type publicationJSON struct {
	ID       string `json:"id"`
	Replaces int64  `json:"replaces"`
	Operator string `json:"operator"`
	TOML     string `json:"toml"`
}

type stateJSON struct {
	Version  int64            `json:"version"`
	InForce  *publicationJSON `json:"in_force,omitempty"`
	Offset   fleet.Offset     `json:"offset"`
	Index    int              `json:"index"`
	Results  []Result         `json:"results,omitempty"`
	AheadIDs []string         `json:"ahead,omitempty"`
}

// Result is the JSON encoding of the result of a publication, for snapshots,
// state dumps and the output of the command line.
type Result struct {
	ID             string                `json:"id"`
	Operator       string                `json:"operator"`
	Replaces       int64                 `json:"replaces"`
	Offset         fleet.Offset          `json:"offset"`
	Index          int                   `json:"index"`
	Verdict        configuration.Verdict `json:"verdict"`
	Version        int64                 `json:"version,omitempty"`
	WinnerID       string                `json:"winner_id,omitempty"`
	WinnerOperator string                `json:"winner_operator,omitempty"`
	Findings       findings.List         `json:"findings,omitempty"`
}

// EncodeResults returns the encoding of the results of publications.
func EncodeResults(results []configuration.Result) []Result {
	var encoded []Result
	for _, r := range results {
		encoded = append(encoded, Result{
			ID: r.ID, Operator: r.Operator, Replaces: r.Replaces,
			Offset: r.Position.Offset, Index: r.Position.Index,
			Verdict: r.Verdict, Version: r.Version,
			WinnerID: r.WinnerID, WinnerOperator: r.WinnerOperator, Findings: r.Findings,
		})
	}
	return encoded
}

func decodeResults(encoded []Result) []configuration.Result {
	var results []configuration.Result
	for _, r := range encoded {
		results = append(results, configuration.Result{
			ID: r.ID, Operator: r.Operator, Replaces: r.Replaces,
			Position: configuration.Position{Offset: r.Offset, Index: r.Index},
			Verdict:  r.Verdict, Version: r.Version,
			WinnerID: r.WinnerID, WinnerOperator: r.WinnerOperator, Findings: r.Findings,
		})
	}
	return results
}

// CheckPublication returns an error when the identifier or operator of a
// publication is missing or too long.
func CheckPublication(id, operator string) error {
	switch {
	case id == "" || len(id) > maxIDBytes:
		return errors.Errorf("publication id has %d bytes, expected 1 to %d", len(id), maxIDBytes)
	case operator == "" || len(operator) > maxOperatorBytes:
		return errors.Errorf("operator has %d bytes, expected 1 to %d", len(operator), maxOperatorBytes)
	}
	return nil
}

// EncodePublication returns the data of an entry with a publication.
func EncodePublication(p configuration.Publication) ([]byte, error) {
	if err := CheckPublication(p.ID, p.Operator); err != nil {
		return nil, err
	}
	return encode(entryJSON{Publication: encodePublication(p)})
}

// EncodeSnapshot returns the data of an entry with a snapshot. It is also the
// body of an offer to a peer.
func EncodeSnapshot(s configuration.State) ([]byte, error) {
	encoded := &stateJSON{
		Version: s.Version, Offset: s.Through.Offset, Index: s.Through.Index,
		Results: EncodeResults(s.Results), AheadIDs: s.AheadIDs,
	}
	if s.Version > 0 {
		encoded.InForce = encodePublication(s.InForce)
	}
	return encode(entryJSON{Snapshot: encoded})
}

func encodePublication(p configuration.Publication) *publicationJSON {
	return &publicationJSON{ID: p.ID, Replaces: p.Replaces, Operator: p.Operator, TOML: p.Text}
}

// encode encodes an entry as JSON. It does not escape <, > and &, because an
// escape takes six bytes.
func encode(e entryJSON) ([]byte, error) {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(e); err != nil {
		return nil, errors.Wrap(err, "encode configuration entry")
	}
	return b.Bytes(), nil
}

// DecodeEntry decodes the data of an entry. A publication whose text is not a
// valid configuration is returned with findings and without a value; a snapshot
// whose configuration does not decode is an error.
func DecodeEntry(data []byte) (Entry, error) {
	var e entryJSON
	if err := json.Unmarshal(data, &e); err != nil {
		return Entry{}, errors.Wrap(err, "decode configuration entry")
	}
	switch {
	case e.Publication != nil && e.Snapshot == nil:
		if err := CheckPublication(e.Publication.ID, e.Publication.Operator); err != nil {
			return Entry{}, err
		}
		p := decodePublication(*e.Publication)
		return Entry{Publication: &p}, nil
	case e.Snapshot != nil && e.Publication == nil:
		s, err := decodeState(*e.Snapshot)
		return Entry{Snapshot: &s}, err
	}
	return Entry{}, errors.New("configuration entry must contain exactly one of a publication and a snapshot")
}

func decodePublication(p publicationJSON) configuration.Publication {
	decoded := configuration.Publication{ID: p.ID, Replaces: p.Replaces, Operator: p.Operator, Text: p.TOML}
	value, err := Decode(p.ID, []byte(p.TOML))
	var invalid *findings.Error
	if errors.As(err, &invalid) {
		decoded.Findings = invalid.Findings
	}
	decoded.Value = value
	return decoded
}

func decodeState(s stateJSON) (configuration.State, error) {
	state := configuration.State{
		Version: s.Version, Through: configuration.Position{Offset: s.Offset, Index: s.Index},
		Results: decodeResults(s.Results), AheadIDs: s.AheadIDs,
	}
	if s.Version == 0 {
		return state, nil
	}
	if s.InForce == nil {
		return state, errors.Errorf("snapshot of version %d contains no configuration", s.Version)
	}
	state.InForce = decodePublication(*s.InForce)
	if state.InForce.Value == nil {
		return state, errors.Wrapf(&findings.Error{Findings: state.InForce.Findings}, "snapshot of version %d contains an invalid configuration", s.Version)
	}
	return state, nil
}

// Applied is the effect of an entry on a fold. Result is nil unless the entry
// was a publication that was applied now; Snapshot is set if it was a snapshot.
type Applied struct {
	Result   *configuration.Result
	Snapshot bool
}

// Apply decodes an entry and applies it to a fold. On an error the fold skips
// the entry, as every reader of the stream does.
func Apply(f configuration.Fold, at configuration.Position, data []byte) (configuration.Fold, Applied, error) {
	e, err := DecodeEntry(data)
	switch {
	case err != nil:
		return f.Skip(at), Applied{}, errors.Wrapf(err, "entry at offset %d", at.Offset)
	case e.Snapshot != nil:
		return f.Snapshot(*e.Snapshot, at), Applied{Snapshot: true}, nil
	}
	f, result := f.Publish(*e.Publication, at)
	return f, Applied{Result: result}, nil
}
