// Package task encodes the records of the streams tasks.<region> as JSON, and
// snapshots as parts of bounded size. It is pure: decision/task decides on the
// records, and the package starts and owns nothing. Decoding an invalid record
// returns an error; the ledger duty skips such records.
package task

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/decision/task"
	"lacewingfork.example/lacewingfork/fleet"
)

// Stream returns the name of a region's task stream.
func Stream(region fleet.Region) string { return "tasks." + string(region) }

// wireRecord is the JSON form of a record. Names are short because 1,200 starts per
// second are recorded at the target size.
type wireRecord struct {
	Kind       string                `json:"k"`
	Job        *wireJob              `json:"job,omitempty"`
	ID         fleet.JobID           `json:"j,omitempty"`
	Index      int                   `json:"i,omitempty"`
	Attempt    int                   `json:"a,omitempty"`
	Partition  fleet.PartitionID     `json:"p,omitempty"`
	Epoch      fleet.Epoch           `json:"e,omitempty"`
	Server     fleet.BackendServerID `json:"s,omitempty"`
	Checkpoint string                `json:"c,omitempty"`
	End        string                `json:"end,omitempty"`
	Reason     string                `json:"r,omitempty"`
	Part       *wirePart             `json:"part,omitempty"`
}

type wireJob struct {
	ID         fleet.JobID     `json:"id"`
	Team       fleet.Team      `json:"team"`
	Kind       string          `json:"kind"`
	Tasks      int             `json:"tasks"`
	Resources  fleet.Resources `json:"resources"`
	RunMillis  int64           `json:"run_ms"`
	Parameters string          `json:"parameters,omitempty"`
	TeamLimit  int             `json:"team_limit,omitempty"`
}

type wirePart struct {
	Snapshot string `json:"id"`
	Index    int    `json:"index"`
	Count    int    `json:"count"`
	Data     []byte `json:"data"`
}

// kindNames and endNames are part of the format; they must not change.
var (
	kindNames = [...]string{"", "job", "held", "start", "ended", "evicted", "cancel", "set-aside", "snapshot"}
	endNames  = [...]string{"", "succeeded", "failed", "stopped", "lost", "not-started"}
)

// Encode returns the JSON form of a record.
func Encode(r task.Record) ([]byte, error) {
	w := wireRecord{
		Kind: kindNames[r.Kind], ID: r.Task.Job, Index: r.Task.Index, Attempt: r.Attempt,
		Partition: r.Partition, Epoch: r.Epoch, Server: r.Server, Checkpoint: r.Checkpoint,
		End: endNames[r.End], Reason: r.Reason,
	}
	if r.Job != nil {
		j := encodeJob(*r.Job)
		w.Job = &j
	}
	if r.Part != nil {
		w.Part = &wirePart{Snapshot: r.Part.Snapshot, Index: r.Part.Index, Count: r.Part.Count, Data: r.Part.Data}
	}
	data, err := json.Marshal(w)
	if err != nil {
		return nil, errors.Wrap(err, "encode task record")
	}
	return data, nil
}

// Decode is the inverse of Encode. It returns an error for a kind or end unknown to
// this version.
func Decode(data []byte) (task.Record, error) {
	var w wireRecord
	if err := json.Unmarshal(data, &w); err != nil {
		return task.Record{}, errors.Wrap(err, "decode task record")
	}
	kind, ok := indexOf(kindNames[:], w.Kind)
	if !ok || kind == 0 {
		return task.Record{}, errors.Errorf("unknown kind %q in task record", w.Kind)
	}
	end, ok := indexOf(endNames[:], w.End)
	if !ok {
		return task.Record{}, errors.Errorf("unknown end %q in task record", w.End)
	}
	r := task.Record{
		Kind: task.Kind(kind), Task: task.Ref{Job: w.ID, Index: w.Index}, Attempt: w.Attempt,
		Partition: w.Partition, Epoch: w.Epoch, Server: w.Server, Checkpoint: w.Checkpoint,
		End: task.End(end), Reason: w.Reason,
	}
	if w.Job != nil {
		j := decodeJob(*w.Job)
		r.Job = &j
	}
	if w.Part != nil {
		r.Part = &task.Part{Snapshot: w.Part.Snapshot, Index: w.Part.Index, Count: w.Part.Count, Data: w.Part.Data}
	}
	return r, validate(r)
}

// validate checks that a record has the contents that its kind requires.
func validate(r task.Record) error {
	switch {
	case r.Kind == task.JobSubmitted && r.Job == nil:
		return errors.New("task record of kind job has no job")
	case r.Kind == task.SnapshotPart && (r.Part == nil || r.Part.Index < 0 || r.Part.Index >= r.Part.Count || r.Part.Count > maxParts):
		return errors.New("task record of kind snapshot has no valid part")
	}
	return nil
}

func indexOf(names []string, name string) (int, bool) {
	for i, n := range names {
		if n == name {
			return i, true
		}
	}
	return 0, false
}

func encodeJob(j task.Job) wireJob {
	return wireJob{
		ID: j.ID, Team: j.Team, Kind: j.Kind, Tasks: j.Tasks, Resources: j.Resources,
		RunMillis: j.RunTime.Milliseconds(), Parameters: j.Parameters, TeamLimit: j.TeamLimit,
	}
}

func decodeJob(w wireJob) task.Job {
	return task.Job{
		ID: w.ID, Team: w.Team, Kind: w.Kind, Tasks: w.Tasks, Resources: w.Resources,
		RunTime: time.Duration(w.RunMillis) * time.Millisecond, Parameters: w.Parameters, TeamLimit: w.TeamLimit,
	}
}
