package peers

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/cellpb"
	"lacewingfork.example/lacewingfork/decision/cell"
	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/scheduler/api"
	"lacewingfork.example/lacewingfork/scheduler/message"
)

// encodeRequest encodes a request as an ask frame, the wire name of a request.
func encodeRequest(id uint64, request message.Request) (*cellpb.Frame, error) {
	ask := &cellpb.Ask{Id: id, Kind: uint32(request.Kind), Queue: string(request.Queue), JobId: string(request.Job)}
	if request.Body != nil {
		body, err := json.Marshal(request.Body)
		if err != nil {
			return nil, errors.Wrap(err, "encode job")
		}
		ask.Job = body
	}
	return &cellpb.Frame{Body: &cellpb.Frame_Ask{Ask: ask}}, nil
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

// encodeResponse encodes a response as an answer frame.
func encodeResponse(response message.Response) *cellpb.Frame {
	answer := &cellpb.Answer{
		Id: response.ID, Verdict: uint32(response.Reply.Verdict), State: string(response.Reply.State),
		RetryAfterMs: response.Reply.RetryAfter.Milliseconds(), Reason: response.Reply.Reason, Moved: response.NotHolder,
	}
	return &cellpb.Frame{Body: &cellpb.Frame_Answer{Answer: answer}}
}

func decodeResponse(a *cellpb.Answer) message.Response {
	return message.Response{ID: a.Id, NotHolder: a.Moved, Reply: cell.JobReply{
		Verdict: cell.Verdict(a.Verdict), State: job.State(a.State),
		RetryAfter: time.Duration(a.RetryAfterMs) * time.Millisecond, Reason: a.Reason,
	}}
}

// encodeHeartbeat encodes a heartbeat as a beat frame.
func encodeHeartbeat(heartbeat message.Heartbeat) *cellpb.Frame {
	beat := &cellpb.Beat{
		Epoch: uint64(heartbeat.Epoch), Holder: heartbeat.IsHolder, ConfigurationVersion: heartbeat.ConfigurationVersion,
		StoreSilentMs: heartbeat.StoreOutage.Milliseconds(), ConfigurationEnd: int64(heartbeat.ConfigurationEnd),
		SentUs: heartbeat.SentAt.Microseconds(), AnsweredUs: heartbeat.Answered.Microseconds(),
	}
	for queue, count := range heartbeat.Pending {
		beat.Pending = append(beat.Pending, &cellpb.QueueCount{Queue: string(queue), Count: int64(count)})
	}
	return &cellpb.Frame{Body: &cellpb.Frame_Beat{Beat: beat}}
}

func decodeHeartbeat(b *cellpb.Beat) message.Heartbeat {
	heartbeat := message.Heartbeat{
		Epoch: fleet.Epoch(b.Epoch), IsHolder: b.Holder, ConfigurationVersion: b.ConfigurationVersion,
		StoreOutage: time.Duration(b.StoreSilentMs) * time.Millisecond, Pending: map[job.Queue]int{},
		ConfigurationEnd: fleet.Offset(b.ConfigurationEnd),
		SentAt:           time.Duration(b.SentUs) * time.Microsecond, Answered: time.Duration(b.AnsweredUs) * time.Microsecond,
	}
	for _, count := range b.Pending {
		heartbeat.Pending[job.Queue(count.Queue)] = int(count.Count)
	}
	return heartbeat
}

// maxDocumentBytes bounds a decompressed configuration. The store accepts no call
// of more than 2 MiB.
const maxDocumentBytes = 8 << 20

// encodeConfiguration compresses the document: its routes differ in a few
// characters only, and the instances of a region share one link to the holder.
func encodeConfiguration(c *api.Configuration) *cellpb.Frame {
	var compressed bytes.Buffer
	w, _ := gzip.NewWriterLevel(&compressed, gzip.BestSpeed) // the level is valid
	_, _ = w.Write(c.Document)                               // a bytes.Buffer never fails
	_ = w.Close()
	return &cellpb.Frame{Body: &cellpb.Frame_Configuration{Configuration: &cellpb.Configuration{
		Version: c.Version, GzipDocument: compressed.Bytes(), Offset: int64(c.Offset),
	}}}
}

func decodeConfiguration(c *cellpb.Configuration) (message.Publication, error) {
	publication := message.Publication{Version: c.Version, Document: c.Document, Offset: fleet.Offset(c.Offset)}
	if len(c.GzipDocument) == 0 {
		return publication, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(c.GzipDocument))
	if err != nil {
		return message.Publication{}, errors.Wrap(err, "decompress configuration")
	}
	publication.Document, err = io.ReadAll(io.LimitReader(r, maxDocumentBytes+1))
	switch {
	case err != nil:
		return message.Publication{}, errors.Wrap(err, "decompress configuration")
	case len(publication.Document) > maxDocumentBytes:
		return message.Publication{}, errors.Errorf("configuration has more than %d bytes", maxDocumentBytes)
	}
	return publication, nil
}
