package peers

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/cellpb"
	"lacewingfork.example/lacewingfork/decision/cell"
	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/scheduler/message"
)

func encodeRequest(id uint64, a message.Request) (*cellpb.Frame, error) {
	request := &cellpb.Ask{Id: id, Kind: uint32(a.Kind), Queue: string(a.Queue), JobId: string(a.Job)}
	if a.Body != nil {
		body, err := json.Marshal(a.Body)
		if err != nil {
			return nil, errors.Wrap(err, "encode job")
		}
		request.Job = body
	}
	return &cellpb.Frame{Body: &cellpb.Frame_Ask{Ask: request}}, nil
}

func decodeRequest(a *cellpb.Ask) (message.Request, error) {
	request := message.Request{ID: a.Id, Kind: message.RequestKind(a.Kind), Queue: job.Queue(a.Queue), Job: fleet.JobID(a.JobId)}
	if request.Kind != message.RequestSubmit {
		return request, nil
	}
	request.Body = &job.Job{}
	if err := json.Unmarshal(a.Job, request.Body); err != nil {
		return message.Request{}, errors.Wrap(err, "decode job")
	}
	return request, nil
}

func encodeResponse(a message.Response) *cellpb.Frame {
	response := &cellpb.Answer{
		Id: a.ID, Verdict: uint32(a.Reply.Verdict), State: string(a.Reply.State),
		RetryAfterMs: a.Reply.RetryAfter.Milliseconds(), Reason: a.Reply.Reason, Moved: a.NotHolder,
	}
	return &cellpb.Frame{Body: &cellpb.Frame_Answer{Answer: response}}
}

func decodeResponse(a *cellpb.Answer) message.Response {
	return message.Response{ID: a.Id, NotHolder: a.Moved, Reply: cell.JobReply{
		Verdict: cell.Verdict(a.Verdict), State: job.State(a.State),
		RetryAfter: time.Duration(a.RetryAfterMs) * time.Millisecond, Reason: a.Reason,
	}}
}

func encodeHeartbeat(b message.Heartbeat) *cellpb.Frame {
	heartbeat := &cellpb.Beat{
		Epoch: uint64(b.Epoch), Holder: b.IsHolder, ConfigurationVersion: b.ConfigurationVersion,
		StoreSilentMs: b.StoreOutage.Milliseconds(),
	}
	for queue, count := range b.Pending {
		heartbeat.Pending = append(heartbeat.Pending, &cellpb.QueueCount{Queue: string(queue), Count: int64(count)})
	}
	return &cellpb.Frame{Body: &cellpb.Frame_Beat{Beat: heartbeat}}
}

func decodeHeartbeat(b *cellpb.Beat) message.Heartbeat {
	heartbeat := message.Heartbeat{
		Epoch: fleet.Epoch(b.Epoch), IsHolder: b.Holder, ConfigurationVersion: b.ConfigurationVersion,
		StoreOutage: time.Duration(b.StoreSilentMs) * time.Millisecond, Pending: map[job.Queue]int{},
	}
	for _, count := range b.Pending {
		heartbeat.Pending[job.Queue(count.Queue)] = int(count.Count)
	}
	return heartbeat
}

func encodeConfiguration(version int64, document []byte) *cellpb.Frame {
	return &cellpb.Frame{Body: &cellpb.Frame_Configuration{Configuration: &cellpb.Configuration{Version: version, Document: document}}}
}
