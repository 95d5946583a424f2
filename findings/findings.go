// Package findings collects what is wrong in a file that people write, so that
// all of it is reported together with its place.
package findings

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one fault in a file.
type Finding struct {
	File     string `json:"file"`
	Line     int    `json:"row"` // from 1; 0 when the place is the whole file
	Key      string `json:"key"`
	Problem  string `json:"problem"`
	Expected string `json:"expected"`
}

func (f Finding) String() string {
	place := f.File
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	text := place + ": "
	if f.Key != "" {
		text += f.Key + ": "
	}
	text += f.Problem
	if f.Expected != "" {
		text += "; expected " + f.Expected
	}
	return text
}

// List is the findings of one check, in the order of the file once sorted.
type List []Finding

// Add appends a finding.
func (l *List) Add(f Finding) { *l = append(*l, f) }

// Err returns the list as an error, or nil when it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	sort.SliceStable(l, func(i, j int) bool { return l[i].Line < l[j].Line })
	return &Error{Findings: l}
}

// Error reports all findings, one a line.
type Error struct{ Findings List }

func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
