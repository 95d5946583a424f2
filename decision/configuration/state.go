package configuration

import (
	"strings"

	"lacewingfork.example/lacewingfork/findings"
	"lacewingfork.example/lacewingfork/fleet"
)

const (
	// maxResults keeps verdicts for more than a quarter of an hour at the
	// target of 3,000 changes a day, so that a publisher finds its own.
	maxResults = 64
	// maxAheadIDs bounds the recorded publications with the verdict Ahead; only
	// a faulty publisher produces them.
	maxAheadIDs = 256
	// maxResultFindings and maxFindingTextBytes bound the findings of one
	// result, so that a snapshot with all results fits one entry of the log.
	maxResultFindings   = 8
	maxFindingTextBytes = 160 // bytes
)

// Position is the position of an entry in the stream: the offset of its record
// and the index among the entries of that record.
type Position struct {
	Offset fleet.Offset
	Index  int
}

// After reports whether p comes later in the stream than q.
func (p Position) After(q Position) bool {
	return p.Offset > q.Offset || p.Offset == q.Offset && p.Index > q.Index
}

// beforeFirst is the position before the first entry of a stream.
var beforeFirst = Position{Offset: -1}

// Publication is one publication as read from the log.
type Publication struct {
	// ID is chosen by the publisher; a repeated append has the same ID.
	ID string
	// Replaces is the version that the publisher expects to be in force.
	Replaces int64
	Operator string
	Text     string
	// Value is nil if the text is not a valid configuration.
	Value    *Configuration
	Findings findings.List
}

// Verdict is the outcome of a publication.
type Verdict string

const (
	// Accepted publications came into force.
	Accepted Verdict = "accepted"
	// LostRace means that another publication replaced the version first.
	LostRace Verdict = "lost-race"
	// Ahead means that the version to replace was not yet in force. The
	// publication stays rejected when that version comes into force later.
	Ahead Verdict = "version-unknown"
	// Invalid publications have findings.
	Invalid Verdict = "invalid"
	// Duplicate means that the publication was appended again; the first append
	// counts.
	Duplicate Verdict = "duplicate"
)

// Result is the verdict of one publication.
type Result struct {
	ID       string
	Operator string
	Replaces int64
	Position Position
	Verdict  Verdict
	// Version is the version of an accepted publication, otherwise 0.
	Version int64
	// WinnerID and WinnerOperator identify the publication that replaced the
	// version instead; empty if its verdict is no longer kept.
	WinnerID       string
	WinnerOperator string
	Findings       findings.List
}

// State is the result of applying the stream up to and including Through. It is
// a value: no method changes a slice of an earlier state.
type State struct {
	Version int64 // 0 if nothing was published
	InForce Publication
	Through Position
	// Results are the newest verdicts, oldest first.
	Results []Result
	// AheadIDs are the IDs of the newest publications with the verdict Ahead.
	AheadIDs []string
}

// Empty returns the state before the first entry of the stream.
func Empty() State { return State{Through: beforeFirst} }

// apply applies a publication and returns its result.
func (s State) apply(p Publication, at Position) (State, Result) {
	r := Result{ID: p.ID, Operator: p.Operator, Replaces: p.Replaces, Position: at, Findings: truncateFindings(p.Findings)}
	s.Through = at
	if s.isDuplicate(p.ID) {
		r.Verdict = Duplicate
		return s, r
	}
	switch {
	case p.Replaces < s.Version:
		r.Verdict = LostRace
		r.WinnerID, r.WinnerOperator = s.publisherOf(p.Replaces + 1)
	case p.Replaces > s.Version:
		r.Verdict = Ahead
		s.AheadIDs = appendBounded(s.AheadIDs, p.ID, maxAheadIDs)
	case p.Value == nil:
		r.Verdict = Invalid
	default:
		r.Verdict, r.Version = Accepted, s.Version+1
		s.Version, s.InForce = r.Version, p
	}
	s.Results = appendBounded(s.Results, r, maxResults)
	return s, r
}

// isDuplicate reports whether a publication with the ID has a verdict already.
func (s State) isDuplicate(id string) bool {
	for _, r := range s.Results {
		if r.ID == id {
			return true
		}
	}
	for _, ahead := range s.AheadIDs {
		if ahead == id {
			return true
		}
	}
	return false
}

// publisherOf returns the publication that became a version; empty if it is no
// longer kept.
func (s State) publisherOf(version int64) (id, operator string) {
	if version == s.Version {
		return s.InForce.ID, s.InForce.Operator
	}
	for _, r := range s.Results {
		if r.Version == version {
			return r.ID, r.Operator
		}
	}
	return "", ""
}

// appendBounded returns a new slice that keeps the newest items.
func appendBounded[T any](items []T, item T, limit int) []T {
	items = items[max(0, len(items)-limit+1):]
	return append(items[:len(items):len(items)], item)
}

// truncateFindings bounds the findings that a snapshot contains. Nothing is lost
// to the publisher, which checked the whole text before it published.
func truncateFindings(list findings.List) findings.List {
	if len(list) == 0 {
		return nil
	}
	bounded := make(findings.List, 0, maxResultFindings)
	for _, f := range list[:min(len(list), maxResultFindings)] {
		f.File, f.Key = truncate(f.File), truncate(f.Key)
		f.Problem, f.Expected = truncate(f.Problem), truncate(f.Expected)
		bounded = append(bounded, f)
	}
	return bounded
}

func truncate(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxFindingTextBytes)], "")
}
