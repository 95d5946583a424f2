package intake

import (
	"slices"
	"testing"
	"time"
)

var testLimits = Limits{
	Connections: 4, Bytes: 1000, ReservedBytes: 200, OrdinaryBytes: 50, OrdinaryTime: 2 * time.Second,
	BodyTime: 30 * time.Second, MinRate: 10, RateGrace: 5 * time.Second,
}

// step is one call of an Intake, and what it must return.
type step struct {
	at    int // seconds
	call  string
	id    ID
	bytes int64
	kept  bool
	cuts  []Cut
}

func (s step) run(i *Intake) (cuts []Cut, kept bool) {
	now := time.Duration(s.at) * time.Second
	switch s.call {
	case "open":
		return i.Open(now, s.id)
	case "begin":
		return nil, i.Begin(now, s.id)
	case "grow":
		return i.Grow(now, s.id, s.bytes)
	case "complete":
		return nil, i.Complete(now, s.id, s.bytes)
	case "end":
		i.End(now, s.id)
	case "close":
		i.Close(s.id)
	case "expire":
		return i.Expire(now), true
	}
	return nil, true
}

// arriveAt returns the steps of a body that begins and arrives at once.
func arriveAt(at int, id ID, bytes int64) []step {
	return []step{
		{at: at, call: "open", id: id, kept: true},
		{at: at, call: "begin", id: id, kept: true},
		{at: at, call: "grow", id: id, bytes: bytes, kept: true},
	}
}

// Guards against a cut of the wrong client, of a complete request or of none, and
// against a limit that a single slow client meets without a crowd.
func TestWhoIsCutOff(t *testing.T) {
	cases := map[string][][]step{
		"the oldest large body goes first": {
			arriveAt(0, 1, 400), arriveAt(1, 2, 400),
			{{at: 1, call: "open", id: 3, kept: true}, {at: 1, call: "begin", id: 3, kept: true}},
			{{at: 1, call: "grow", id: 3, bytes: 60, kept: true, cuts: []Cut{{ID: 1, Reason: ReasonBytes}}}},
			{{at: 2, call: "grow", id: 1, bytes: 401}, {at: 2, call: "complete", id: 1, bytes: 400}},
		},
		"an ordinary body uses the reserved part": {
			arriveAt(0, 1, 400), arriveAt(1, 2, 400), arriveAt(1, 3, 50), arriveAt(1, 4, 50),
		},
		"a body that is old is not ordinary": {
			arriveAt(0, 1, 50), arriveAt(1, 2, 800),
			{{at: 3, call: "grow", id: 2, bytes: 800, kept: true, cuts: []Cut{{ID: 1, Reason: ReasonBytes}}}},
		},
		"a body that is the oldest itself is cut off": {
			arriveAt(0, 1, 400), arriveAt(1, 2, 300),
			{{at: 1, call: "grow", id: 1, bytes: 700, cuts: []Cut{{ID: 1, Reason: ReasonBytes}}}},
		},
		"complete bodies are never cut off": {
			arriveAt(0, 1, 790),
			{{at: 0, call: "complete", id: 1, bytes: 790, kept: true}},
			{{at: 1, call: "open", id: 2, kept: true}, {at: 1, call: "begin", id: 2, kept: true}},
			{{at: 1, call: "grow", id: 2, bytes: 60, cuts: []Cut{{ID: 2, Reason: ReasonBytes}}}},
			arriveAt(1, 3, 50),
		},
		"an answered body is no longer charged": {
			arriveAt(0, 1, 790),
			{{at: 0, call: "complete", id: 1, bytes: 790, kept: true}, {at: 1, call: "end", id: 1, kept: true}},
			arriveAt(1, 2, 800),
		},
		"a new connection takes the place of the one that waits longest": {
			arriveAt(0, 1, 10),
			{{at: 1, call: "open", id: 2, kept: true}},
			arriveAt(2, 3, 10), arriveAt(3, 4, 10),
			{{at: 4, call: "open", id: 5, kept: true, cuts: []Cut{{ID: 1, Reason: ReasonConnections, Close: true}}}},
			{{at: 4, call: "complete", id: 1}},
			{{at: 4, call: "open", id: 6, kept: true, cuts: []Cut{{ID: 2, Reason: ReasonConnections, Close: true}}}},
		},
		"a connection whose body was cut off gives its place first": {
			{{at: 0, call: "open", id: 1, kept: true}},
			arriveAt(1, 2, 700),
			{{at: 2, call: "open", id: 3, kept: true}, {at: 2, call: "begin", id: 3, kept: true}},
			{{at: 2, call: "grow", id: 3, bytes: 300, kept: true, cuts: []Cut{{ID: 2, Reason: ReasonBytes}}}},
			{{at: 3, call: "open", id: 4, kept: true}},
			{{at: 3, call: "open", id: 5, kept: true, cuts: []Cut{{ID: 2, Reason: ReasonConnections, Close: true}}}},
			{{at: 3, call: "open", id: 6, kept: true, cuts: []Cut{{ID: 1, Reason: ReasonConnections, Close: true}}}},
		},
		"a new connection is refused while all others carry complete requests": {
			{{call: "open", id: 1, kept: true}, {call: "complete", id: 1, kept: true}, {call: "open", id: 2, kept: true}, {call: "complete", id: 2, kept: true}},
			{{call: "open", id: 3, kept: true}, {call: "complete", id: 3, kept: true}, {call: "open", id: 4, kept: true}, {call: "complete", id: 4, kept: true}},
			{{at: 9, call: "open", id: 5, cuts: []Cut{{ID: 5, Reason: ReasonFull, Close: true}}}},
			{{at: 9, call: "close", id: 2, kept: true}, {at: 9, call: "open", id: 6, kept: true}},
		},
		"a slow body is served within the rate and the time": {
			arriveAt(0, 1, 10),
			{{at: 5, call: "expire", kept: true}, {at: 6, call: "expire", kept: true}},
			{{at: 6, call: "grow", id: 1, bytes: 300, kept: true}, {at: 30, call: "expire", kept: true}},
			{{at: 30, call: "complete", id: 1, bytes: 300, kept: true}, {at: 90, call: "expire", kept: true}},
		},
		"a body that is too slow is cut off": {
			arriveAt(0, 1, 10),
			{{at: 7, call: "expire", kept: true, cuts: []Cut{{ID: 1, Reason: ReasonBodyRate}}}},
			{{at: 7, call: "complete", id: 1, bytes: 10}},
		},
		"a body that takes too long is cut off": {
			arriveAt(0, 1, 700), {{at: 31, call: "expire", kept: true, cuts: []Cut{{ID: 1, Reason: ReasonBodyTime}}}},
		},
	}
	for name, parts := range cases {
		t.Run(name, func(t *testing.T) {
			i := New(testLimits)
			for n, s := range slices.Concat(parts...) {
				cuts, kept := s.run(i)
				if kept != s.kept || !slices.Equal(cuts, s.cuts) {
					t.Fatalf("call %d, %s of %d: got %t and cuts %v, want %t and %v", n, s.call, s.id, kept, cuts, s.kept, s.cuts)
				}
			}
		})
	}
}
