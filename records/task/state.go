package task

import (
	"lacewingfork.example/lacewingfork/decision/task"
	"lacewingfork.example/lacewingfork/fleet"
)

// wireState is the JSON form of a snapshot.
type wireState struct {
	Offset   fleet.Offset   `json:"offset"`
	Index    int            `json:"index"`
	Accepted uint64         `json:"accepted"`
	Epochs   []wireEpoch    `json:"epochs"`
	Health   []wireHealth   `json:"health"`
	Jobs     []wireJobState `json:"jobs"`
	Ended    []fleet.JobID  `json:"ended"`
}

// The following types have the same fields as their counterparts in decision/task,
// plus tags, so that the types convert.
type (
	wireEpoch struct {
		Partition fleet.PartitionID `json:"p"`
		Epoch     fleet.Epoch       `json:"e"`
	}
	wireHealth struct {
		Server fleet.BackendServerID `json:"s"`
		Failed []fleet.JobID         `json:"failed"`
	}
	wireTask struct {
		State      uint8                   `json:"st,omitempty"`
		Attempt    int                     `json:"a,omitempty"`
		Partition  fleet.PartitionID       `json:"p,omitempty"`
		Epoch      fleet.Epoch             `json:"e,omitempty"`
		Server     fleet.BackendServerID   `json:"s,omitempty"`
		Checkpoint string                  `json:"c,omitempty"`
		Failures   int                     `json:"f,omitempty"`
		FailedOn   []fleet.BackendServerID `json:"on,omitempty"`
	}
)

// wireJobState is a job with its tasks.
type wireJobState struct {
	Spec      wireJob                 `json:"job"`
	Sequence  uint64                  `json:"seq"`
	State     uint8                   `json:"st,omitempty"`
	Reason    string                  `json:"r,omitempty"`
	Done      int                     `json:"done,omitempty"`
	Failed    int                     `json:"f,omitempty"`
	Evictions int                     `json:"ev,omitempty"`
	FailedOn  []fleet.BackendServerID `json:"on,omitempty"`
	Tasks     []wireTask              `json:"t,omitempty"`
}

func encodeState(s task.Snapshot) wireState {
	w := wireState{Offset: s.At.Offset, Index: s.At.Index, Accepted: s.Accepted, Ended: s.Ended}
	for _, e := range s.Epochs {
		w.Epochs = append(w.Epochs, wireEpoch(e))
	}
	for _, h := range s.Health {
		w.Health = append(w.Health, wireHealth(h))
	}
	w.Jobs = make([]wireJobState, len(s.Jobs))
	for i, j := range s.Jobs {
		out := wireJobState{
			Spec: encodeJob(j.Spec), Sequence: j.Sequence, State: uint8(j.State), Reason: j.Reason,
			Done: j.Done, Failed: j.Failed, Evictions: j.Evictions, FailedOn: j.FailedOn, Tasks: make([]wireTask, len(j.Tasks)),
		}
		for k, t := range j.Tasks {
			out.Tasks[k] = wireTask(t)
		}
		w.Jobs[i] = out
	}
	return w
}

func decodeState(w wireState) task.Snapshot {
	s := task.Snapshot{
		At: task.Position{Offset: w.Offset, Index: w.Index}, Accepted: w.Accepted, Ended: w.Ended,
	}
	for _, e := range w.Epochs {
		s.Epochs = append(s.Epochs, task.PartitionEpoch(e))
	}
	for _, h := range w.Health {
		s.Health = append(s.Health, task.ServerHealth(h))
	}
	for _, j := range w.Jobs {
		out := task.JobSnapshot{
			Spec: decodeJob(j.Spec), Sequence: j.Sequence, State: task.JobState(j.State), Reason: j.Reason,
			Done: j.Done, Failed: j.Failed, Evictions: j.Evictions, FailedOn: j.FailedOn,
		}
		for _, t := range j.Tasks {
			out.Tasks = append(out.Tasks, task.TaskSnapshot(t))
		}
		s.Jobs = append(s.Jobs, out)
	}
	return s
}
