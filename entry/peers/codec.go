package peers

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/peerpb"
)

// encodeForward encodes the time left until the deadline instead of the deadline,
// because the clocks of two instances differ.
func encodeForward(s message.Submission, now time.Time) *peerpb.Frame {
	r := s.Request
	return &peerpb.Frame{Body: &peerpb.Frame_Forward{Forward: &peerpb.Forward{
		Id: string(r.ID), Caller: string(r.Caller), Team: string(r.Team),
		Service: string(r.Service), Operation: string(r.Operation),
		Class: uint32(r.Class), Idempotent: r.Idempotent, Key: r.Key,
		RemainingUs: r.Deadline.Sub(now).Microseconds(),
		Fields:      encodeFields(r.Fields), Body: r.Body,
		Partition: string(s.Partition), KeyWanted: s.IssueKey,
	}}}
}

func decodeForward(f *peerpb.Forward, now time.Time) message.Submission {
	return message.Submission{
		Partition: fleet.PartitionID(f.Partition), Forwarded: true, IssueKey: f.KeyWanted,
		Request: &message.Request{
			ID: fleet.RequestID(f.Id), Caller: fleet.Caller(f.Caller), Team: fleet.Team(f.Team),
			Service: fleet.Service(f.Service), Operation: fleet.Operation(f.Operation),
			Class: fleet.Class(min(f.Class, fleet.ClassCount-1)), Idempotent: f.Idempotent, Key: f.Key,
			Deadline: now.Add(time.Duration(f.RemainingUs) * time.Microsecond),
			Fields:   decodeFields(f.Fields), Body: f.Body,
		},
	}
}

func encodeCancel(id fleet.RequestID) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Cancel{Cancel: &peerpb.Cancel{Id: string(id)}}}
}

func encodeHeartbeat(sequence uint64) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Heartbeat{Heartbeat: &peerpb.Heartbeat{Sequence: sequence}}}
}

func encodeAnswer(a message.Answer) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Answer{Answer: &peerpb.Answer{
		Id: string(a.ID), Outcome: uint32(a.Outcome), Reason: string(a.Reason),
		RetryAfterUs: a.RetryAfter.Microseconds(), Status: int32(a.Status),
		Fields: encodeFields(a.Fields), Body: a.Body,
		Server: string(a.Server), Partition: string(a.Partition), Key: a.Key, KeyChecked: a.KeyChecked, Hint: encodeHint(a.Hint),
	}}}
}

func decodeAnswer(a *peerpb.Answer) message.Answer {
	return message.Answer{
		ID: fleet.RequestID(a.Id), Outcome: outcome.Outcome(a.Outcome), Reason: outcome.Reason(a.Reason),
		RetryAfter: time.Duration(a.RetryAfterUs) * time.Microsecond, Status: int(a.Status),
		Fields: decodeFields(a.Fields), Body: a.Body,
		Server: fleet.BackendServerID(a.Server), Partition: fleet.PartitionID(a.Partition), Key: a.Key, KeyChecked: a.KeyChecked,
		Hint: decodeHint(a.Hint),
	}
}

func encodeHint(h message.LoadHint) *peerpb.LoadHint {
	return &peerpb.LoadHint{
		Partition: string(h.Partition), Epoch: uint64(h.Epoch), FreeSlots: int32(h.FreeSlots),
		Waiting: int32(h.Waiting), ExpectedWaitUs: h.ExpectedWait.Microseconds(), Capacity: int32(h.Capacity),
	}
}

func decodeHint(h *peerpb.LoadHint) message.LoadHint {
	if h == nil {
		return message.LoadHint{}
	}
	return message.LoadHint{
		Partition: fleet.PartitionID(h.Partition), Epoch: fleet.Epoch(h.Epoch), FreeSlots: int(h.FreeSlots),
		Waiting: int(h.Waiting), ExpectedWait: time.Duration(h.ExpectedWaitUs) * time.Microsecond,
		Capacity: int(h.Capacity),
	}
}

func encodeHints(hints []message.LoadHint) *peerpb.Frame {
	list := &peerpb.LoadHints{}
	for _, h := range hints {
		list.Hints = append(list.Hints, encodeHint(h))
	}
	return &peerpb.Frame{Body: &peerpb.Frame_LoadHints{LoadHints: list}}
}

func decodeHints(list *peerpb.LoadHints) []message.LoadHint {
	hints := make([]message.LoadHint, 0, len(list.Hints))
	for _, h := range list.Hints {
		hints = append(hints, decodeHint(h))
	}
	return hints
}

func encodeConfigurationRequest(r message.ConfigurationRequest) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_ConfigurationRequest{ConfigurationRequest: &peerpb.ConfigurationRequest{
		Version: r.Version, Offset: int64(r.Offset),
	}}}
}

func encodeConfigurationOffer(o message.ConfigurationOffer) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_ConfigurationOffer{ConfigurationOffer: &peerpb.ConfigurationOffer{
		Version: o.Version, Offset: int64(o.Offset), Snapshot: o.Snapshot,
	}}}
}

func decodeConfigurationOffer(o *peerpb.ConfigurationOffer) message.ConfigurationOffer {
	return message.ConfigurationOffer{Version: o.Version, Offset: fleet.Offset(o.Offset), Snapshot: o.Snapshot}
}

func encodeFields(fields []message.Field) []*peerpb.Field {
	out := make([]*peerpb.Field, 0, len(fields))
	for _, f := range fields {
		out = append(out, &peerpb.Field{Name: f.Name, Value: f.Value})
	}
	return out
}

func decodeFields(fields []*peerpb.Field) []message.Field {
	out := make([]message.Field, 0, len(fields))
	for _, f := range fields {
		out = append(out, message.Field{Name: f.Name, Value: f.Value})
	}
	return out
}
