package configuration

import (
	"strings"

	"lacewingfork.example/lacewingfork/findings"
	"lacewingfork.example/lacewingfork/fleet"
)

const (
	// resultsKept covers more than a quarter of an hour at the target of
	// 3,000 changes a day, so that a publisher finds its verdict.
	resultsKept = 64
	// aheadKept bounds the remembered publications that named a version not
	// yet in force; only a faulty publisher produces them.
	aheadKept = 256
	// findingsKept and findingTextKept bound the findings of one result, so
	// that a snapshot with all results fits one entry of the log.
	findingsKept    = 8
	findingTextKept = 160 // bytes
)

// Position is the place of an entry in the stream: the offset of its record
// and the index among the entries of that record.
type Position struct {
	Offset fleet.Offset
	Index  int
}

// After reports whether p comes later in the stream than q.
func (p Position) After(q Position) bool {
	return p.Offset > q.Offset || p.Offset == q.Offset && p.Index > q.Index
}

// beforeAll is the position before the first entry of a stream.
var beforeAll = Position{Offset: -1}

// Publication is one publication as read from the log.
type Publication struct {
	// ID is chosen by the publisher; a repeated append carries the same.
	ID       string
	Replaces int64
	Operator string
	Text     string
	// Value is nil when the text is not a valid configuration.
	Value    *Configuration
	Findings findings.List
}

// Verdict says what became of a publication.
type Verdict string

const (
	// Accepted publications came into force.
	Accepted Verdict = "accepted"
	// LostRace means that the named version had been replaced before.
	LostRace Verdict = "lost-race"
	// Ahead means that the named version was not yet in force. The
	// publication stays rejected when that version appears later.
	Ahead Verdict = "version-unknown"
	// Invalid publications have findings.
	Invalid Verdict = "invalid"
	// Duplicate is a repeated append; the first one counts.
	Duplicate Verdict = "duplicate"
)

// Result is the verdict of one publication.
type Result struct {
	ID       string
	Operator string
	Replaces int64
	Position Position
	Verdict  Verdict
	// Version is what an accepted publication became.
	Version int64
	// WinnerID and WinnerOperator name the publication that replaced the
	// named version instead; empty when it is no longer remembered.
	WinnerID       string
	WinnerOperator string
	Findings       findings.List
}

// State is the outcome of the stream up to and including Through. It is a
// value: the fold never changes a slice of an earlier state.
type State struct {
	Version int64 // 0 when nothing was published
	InForce Publication
	Through Position
	// Results are the newest verdicts, oldest first.
	Results []Result
	// AheadIDs are the newest publications with the verdict Ahead.
	AheadIDs []string
}

// Empty is the state before the first entry of the stream.
func Empty() State { return State{Through: beforeAll} }

// apply folds one publication.
func (s State) apply(p Publication, at Position) (State, Result) {
	r := Result{ID: p.ID, Operator: p.Operator, Replaces: p.Replaces, Position: at, Findings: boundFindings(p.Findings)}
	s.Through = at
	if s.knows(p.ID) {
		r.Verdict = Duplicate
		return s, r
	}
	switch {
	case p.Replaces < s.Version:
		r.Verdict = LostRace
		r.WinnerID, r.WinnerOperator = s.publisherOf(p.Replaces + 1)
	case p.Replaces > s.Version:
		r.Verdict = Ahead
		s.AheadIDs = appendBounded(s.AheadIDs, p.ID, aheadKept)
	case p.Value == nil:
		r.Verdict = Invalid
	default:
		r.Verdict, r.Version = Accepted, s.Version+1
		s.Version, s.InForce = r.Version, p
	}
	s.Results = appendBounded(s.Results, r, resultsKept)
	return s, r
}

func (s State) knows(id string) bool {
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

// boundFindings shortens what a snapshot carries; the publisher has checked
// the whole text before.
func boundFindings(list findings.List) findings.List {
	if len(list) == 0 {
		return nil
	}
	bounded := make(findings.List, 0, findingsKept)
	for _, f := range list[:min(len(list), findingsKept)] {
		f.File, f.Key = cut(f.File), cut(f.Key)
		f.Problem, f.Expected = cut(f.Problem), cut(f.Expected)
		bounded = append(bounded, f)
	}
	return bounded
}

func cut(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), findingTextKept)], "")
}
