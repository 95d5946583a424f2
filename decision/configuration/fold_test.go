package configuration

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lacewingfork.example/lacewingfork/fleet"
)

// step is one entry of a generated stream and the expected state after it, from
// a model with unbounded memory.
type step struct {
	publication Publication
	snapshot    *State
	version     int64
	inForce     string
}

// drawStream generates concurrent, repeated, premature and invalid publications
// with snapshots between them. The stream is short enough that the bounds on
// results and identifiers don't drop any.
func drawStream(t *rapid.T) []step {
	var stream []step
	states := []State{Empty()}
	published := map[string]Publication{}
	version, inForce := int64(0), ""
	for i := range rapid.IntRange(1, 40).Draw(t, "length") {
		at := Position{Offset: fleet.Offset(i)}
		state := states[i]
		if rapid.IntRange(0, 5).Draw(t, "kind") == 0 {
			old := states[rapid.IntRange(max(0, i-4), i).Draw(t, "taken")]
			state.Through = at
			stream = append(stream, step{snapshot: &old, version: version, inForce: inForce})
			states = append(states, state)
			continue
		}
		id := fmt.Sprint("p", rapid.IntRange(0, 30).Draw(t, "id"))
		p, repeated := published[id]
		if !repeated {
			p = Publication{ID: id, Replaces: version + int64(rapid.IntRange(-1, 1).Draw(t, "replaces"))}
			if rapid.IntRange(0, 4).Draw(t, "valid") > 0 {
				p.Value = &Configuration{}
			}
			published[id] = p
			if p.Replaces == version && p.Value != nil {
				version, inForce = version+1, id
			}
		}
		state, _ = state.apply(p, at)
		stream = append(stream, step{publication: p, version: version, inForce: inForce})
		states = append(states, state)
	}
	return stream
}

func (f Fold) applyStep(s step, at Position) Fold {
	if s.snapshot != nil {
		return f.Snapshot(*s.snapshot, at)
	}
	f, _ = f.Publish(s.publication, at)
	return f
}

// Guards against a version that decreases, and against two instances with
// different publications in force: one that read the whole stream and one that
// missed its beginning, read parts twice or adopted a peer's state.
func TestReadersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := drawStream(t)
		whole := NewFold()
		var peers []State
		for i, s := range stream {
			whole = whole.applyStep(s, Position{Offset: fleet.Offset(i)})
			peers = append(peers, whole.State)
			if whole.State.Version != s.version || whole.State.InForce.ID != s.inForce {
				t.Fatalf("entry %d: version %d of %q, want %d of %q", i, whole.State.Version, whole.State.InForce.ID, s.version, s.inForce)
			}
		}
		reader := NewFold()
		oldest := rapid.IntRange(0, len(stream)-1).Draw(t, "oldest")
		reader = reader.MarkTruncated(fleet.Offset(oldest))
		last, rereads := int64(0), 0
		for i := oldest; i < len(stream); i++ {
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				reader = reader.Adopt(rapid.SampledFrom(peers).Draw(t, "peer"))
			case 1: // the reader delivers an earlier part again
				if rereads++; rereads < 10 {
					i = max(oldest, i-2)
				}
			}
			reader = reader.applyStep(stream[i], Position{Offset: fleet.Offset(i)})
			if reader.State.Version < last {
				t.Fatalf("entry %d: version decreased from %d to %d", i, last, reader.State.Version)
			}
			last = reader.State.Version
		}
		end := stream[len(stream)-1]
		if !reader.Missing && (reader.State.Version != end.version || reader.State.InForce.ID != end.inForce) {
			t.Fatalf("reader has version %d of %q, want %d of %q", reader.State.Version, reader.State.InForce.ID, end.version, end.inForce)
		}
	})
}

// Guards against a lost race that doesn't name the winner, and against a
// rejected publication that comes into force when its append is repeated.
func TestVerdicts(t *testing.T) {
	valid := &Configuration{}
	cases := []struct {
		publication Publication
		verdict     Verdict
		version     int64
		winner      string
	}{
		{Publication{ID: "early", Replaces: 1, Value: valid}, Ahead, 0, ""},
		{Publication{ID: "broken", Replaces: 0}, Invalid, 0, ""},
		{Publication{ID: "first", Operator: "abena", Replaces: 0, Value: valid}, Accepted, 1, ""},
		{Publication{ID: "second", Operator: "kofi", Replaces: 0, Value: valid}, LostRace, 0, "abena"},
		{Publication{ID: "first", Operator: "abena", Replaces: 0, Value: valid}, Duplicate, 0, ""},
		{Publication{ID: "early", Replaces: 1, Value: valid}, Duplicate, 0, ""},
		{Publication{ID: "third", Operator: "esi", Replaces: 1, Value: valid}, Accepted, 2, ""},
		{Publication{ID: "fourth", Replaces: 0, Value: valid}, LostRace, 0, "abena"},
	}
	f := NewFold()
	for i, c := range cases {
		var r *Result
		f, r = f.Publish(c.publication, Position{Offset: fleet.Offset(i)})
		if r.Verdict != c.verdict || r.Version != c.version || r.WinnerOperator != c.winner {
			t.Errorf("%s: got %+v, want %s, version %d, winner %q", c.publication.ID, *r, c.verdict, c.version, c.winner)
		}
	}
}

// Guards against held-back publications that grow without bound, and against a
// snapshot that is accepted although it doesn't cover dropped publications.
func TestHeldBackPublicationsAreBounded(t *testing.T) {
	f := NewFold().MarkTruncated(100)
	for i := range maxPending + 10 {
		f, _ = f.Publish(Publication{ID: fmt.Sprint(i)}, Position{Offset: fleet.Offset(100 + i)})
	}
	if f.Pending() != 10 || f.MissingUntil != 100+maxPending {
		t.Fatalf("%d held back, missing until %d, want 10 and %d", f.Pending(), f.MissingUntil, 100+maxPending)
	}
	last := f.MissingUntil - 1
	if f = f.Adopt(State{Version: 7, Through: Position{Offset: last - 1}}); !f.Missing {
		t.Error("a snapshot before the gap's end closed the gap")
	}
	if f = f.Adopt(State{Version: 8, Through: Position{Offset: last}}); f.Missing || f.Pending() != 0 || f.State.Through.Offset != last+10 {
		t.Error("a snapshot up to the gap's end did not close the gap")
	}
}

// BenchmarkPublish applies publications with the kept verdicts at their bound;
// one in four is accepted.
func BenchmarkPublish(b *testing.B) {
	f, value := NewFold(), &Configuration{}
	ids := make([]string, 4096)
	for i := range ids {
		ids[i] = fmt.Sprint("publication-", i)
	}
	for i := 0; b.Loop(); i++ {
		replaces := f.State.Version
		if i%4 > 0 {
			replaces--
		}
		f, _ = f.Publish(Publication{ID: ids[i%len(ids)], Replaces: replaces, Value: value}, Position{Offset: fleet.Offset(i)})
	}
}
