// Package findings collects the faults of a hand-written file, so that all of
// them are reported together, each with its position.
package findings

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one fault in a file: the key and its position, the problem and what
// was expected instead.
type Finding struct {
	File     string `json:"file"`
	Line     int    `json:"row"` // from 1; 0 when the finding has no line of its own
	Key      string `json:"key"`
	Problem  string `json:"problem"`
	Expected string `json:"expected"`
}

// String returns the finding as "file:line: key: problem; expected ...".
func (f Finding) String() string {
	position := f.File
	if f.Line > 0 {
		position = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	text := position + ": "
	if f.Key != "" {
		text += f.Key + ": "
	}
	text += f.Problem
	if f.Expected != "" {
		text += "; expected " + f.Expected
	}
	return text
}

// List holds the findings of one check.
type List []Finding

// Add appends a finding.
func (l *List) Add(f Finding) { *l = append(*l, f) }

// Err sorts the findings by line and returns them as an *Error, or nil when there
// are none.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	sort.SliceStable(l, func(i, j int) bool { return l[i].Line < l[j].Line })
	return &Error{Findings: l}
}

// Error reports all findings, one per line.
type Error struct{ Findings List }

func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
