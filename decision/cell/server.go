package cell

import (
	"fmt"
	"math"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"lacewingfork.example/lacewingfork/findings"
	"lacewingfork.example/lacewingfork/fleet"
)

// Server is a backend server as the platform lists it.
type Server struct {
	ID         fleet.BackendServerID `json:"id"`
	Address    string                `json:"address"`
	Service    fleet.Service         `json:"service"`
	DataCentre fleet.DataCentre      `json:"data_centre"`
	Labels     []string              `json:"labels,omitempty"`
	Capacity   fleet.Resources       `json:"capacity"`
	Draining   bool                  `json:"draining,omitempty"`
	// ColdRemaining is how long the server was still cold when its entry was written.
	ColdRemaining time.Duration `json:"cold,omitempty"`
	// Incarnation identifies one lifetime of the worker process; it grows with
	// each restart under the same identifier. 0 means unknown.
	Incarnation int64 `json:"born,omitempty"`
}

// rackLabel is the index of the rack among the labels; the first label is the
// kind of the server.
const rackLabel = 1

// Rack returns the rack of the server, or an empty string.
func (s Server) Rack() string {
	if len(s.Labels) <= rackLabel {
		return ""
	}
	return s.Labels[rackLabel]
}

const (
	// maxServers is the size of the largest fleet for which sums of capacity must
	// not overflow.
	maxServers = 100_000
	// maxCapacity bounds each resource of a server, so that the sum over
	// maxServers servers fits into an int64.
	maxCapacity = math.MaxInt64 / maxServers
	// maxServerIDBytes bounds the identifier of a server, so that the key of its
	// record fits into MaxKeyBytes. A batch with a longer key is never stored.
	maxServerIDBytes = MaxKeyBytes - len(serverPrefix)
	// maxIncarnation is the highest integer that every decoder of JSON reads exactly.
	// A wrong one that is higher than all later ones hides the worker.
	maxIncarnation = 1<<53 - 1
	// quotedBytes bounds a value that a finding quotes.
	quotedBytes = 64
)

// Check returns the findings on a server, or nil if it can be used. Keys are the
// names of the fields in the record of a server.
func (s Server) Check() error {
	var list findings.List
	report := func(key, problem, expected string) {
		list.Add(findings.Finding{File: "server", Key: key, Problem: problem, Expected: expected})
	}
	switch id := string(s.ID); {
	case id == "":
		report("id", "is empty", fmt.Sprintf("1 to %d bytes", maxServerIDBytes))
	case len(id) > maxServerIDBytes:
		report("id", fmt.Sprintf("has %d bytes", len(id)), fmt.Sprintf("1 to %d bytes", maxServerIDBytes))
	case !readable(id):
		report("id", fmt.Sprintf("is %.*q", quotedBytes, id), "printable UTF-8 without space around it")
	}
	if err := fleet.CheckAddress(s.Address); err != nil {
		report("address", fmt.Sprintf("is %.*q", quotedBytes, s.Address), err.Error())
	}
	if s.Service == "" {
		report("service", "is missing", "the name of a service")
	}
	if s.DataCentre == "" {
		report("data_centre", "is missing", "the name of a data centre")
	}
	if s.Incarnation < 0 || s.Incarnation > maxIncarnation {
		report("born", fmt.Sprintf("is %d", s.Incarnation), fmt.Sprintf("0 to %d", int64(maxIncarnation)))
	}
	for _, r := range []struct {
		key    string
		amount int64
	}{
		{"capacity.milli_cpu", s.Capacity.MilliCPU},
		{"capacity.memory_mib", s.Capacity.MemoryMiB},
		{"capacity.accelerators", int64(s.Capacity.Accelerators)},
	} {
		if r.amount < 0 || r.amount > maxCapacity {
			report(r.key, fmt.Sprintf("is %d", r.amount), fmt.Sprintf("0 to %d", int64(maxCapacity)))
		}
	}
	return list.Err()
}

// readable reports whether an identifier can be sent in a header field, and is
// the same after it has been stored. Encoders replace bytes that are not UTF-8.
func readable(id string) bool {
	unreadable := func(r rune) bool { return r == utf8.RuneError || !unicode.IsPrint(r) }
	return !strings.ContainsFunc(id, unreadable) && strings.TrimSpace(id) == id
}
