package peers

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"lacewingfork.example/lacewingfork/cellpb"
	"lacewingfork.example/lacewingfork/internal/clock"
	"lacewingfork.example/lacewingfork/scheduler/api"
	"lacewingfork.example/lacewingfork/scheduler/message"
	"lacewingfork.example/lacewingfork/supervise"
)

// sentConfigurations removes the frames queued for the peer of a link and returns
// the number of those that carry a configuration, counting displaced ones.
func sentConfigurations(link *acceptedLink) int {
	count := int(link.configurations.Stats().Dropped)
	for _, ring := range []*supervise.Ring[*cellpb.Frame]{link.outbound, link.configurations} {
		for ring.Stats().Depth > 0 {
			if (<-ring.Items()).GetConfiguration() != nil {
				count++
			}
		}
	}
	return count
}

// Guards against a link that fills with copies of one configuration: a peer reports
// its older version until the first copy has arrived.
func TestConfigurationInTransitIsNotSentAgain(t *testing.T) {
	ctx := context.Background()
	table := &linkTable{
		supervisor: &Supervisor{rings: NewRings()}, links: map[*acceptedLink]message.Heartbeat{},
		configuration: &api.Configuration{Version: 7, Document: []byte("{}")},
	}
	link := newAcceptedLink("entry-2")
	table.links[link] = message.Heartbeat{}
	older := peerHeartbeat{link: link, heartbeat: message.Heartbeat{ConfigurationVersion: 6}}
	for range 6 {
		table.handleHeartbeat(ctx, older)
	}
	if got := sentConfigurations(link); got != 1 {
		t.Errorf("got %d copies of version 7 after 6 heartbeats, want 1", got)
	}
	table.configuration = &api.Configuration{Version: 8, Document: []byte("{}")}
	table.handleHeartbeat(ctx, older)
	if got := sentConfigurations(link); got != 1 {
		t.Errorf("got %d copies of version 8, want 1", got)
	}
	next := newAcceptedLink("entry-2")
	table.links[next] = message.Heartbeat{}
	table.handleHeartbeat(ctx, peerHeartbeat{link: next, heartbeat: older.heartbeat})
	if got := sentConfigurations(next); got != 1 {
		t.Errorf("got %d copies on a new link of the peer, want 1", got)
	}
}

// Guards against a link between regions that is full for seconds after each change of
// a large configuration.
func TestPassedOnConfigurationIsCompressed(t *testing.T) {
	var document []byte
	for n := range 4000 {
		document = fmt.Appendf(document, `{"name":"r-%x","host":"h%d.example","path-prefix":"/p%d/","timeout-ms":3000,"priority":0,"service":"s"},`, n*7919, n%97, n%997)
	}
	sent := &api.Configuration{Version: 7, Document: document, Offset: 12}
	frame := encodeConfiguration(sent)
	if size := proto.Size(frame); size > len(document)/4 {
		t.Errorf("got a frame of %d bytes for a document of %d bytes, want at most a quarter", size, len(document))
	}
	got, err := decodeConfiguration(frame.GetConfiguration())
	if err != nil || string(got.Document) != string(document) || got.Offset != sent.Offset {
		t.Errorf("got %d bytes at offset %d and error %v, want the document at offset %d", len(got.Document), got.Offset, err, sent.Offset)
	}
}

// Guards against a frame that is decoded into more memory than an instance has, and
// against frames of instances that do not compress.
func TestDecodeConfiguration(t *testing.T) {
	var large bytes.Buffer
	w := gzip.NewWriter(&large)
	for range 2 * maxDocumentBytes >> 20 {
		_, _ = w.Write(make([]byte, 1<<20)) // a bytes.Buffer never fails
	}
	_ = w.Close()
	for name, c := range map[string]*cellpb.Configuration{
		"too large": {GzipDocument: large.Bytes()},
		"not gzip":  {GzipDocument: []byte("{}")},
		"truncated": {GzipDocument: large.Bytes()[:100]},
	} {
		if got, err := decodeConfiguration(c); err == nil {
			t.Errorf("%s: got %d bytes, want an error", name, len(got.Document))
		}
	}
	got, err := decodeConfiguration(&cellpb.Configuration{Document: []byte("{}"), Offset: 3})
	if err != nil || string(got.Document) != "{}" {
		t.Errorf("plain document: got %q and error %v, want {}", got.Document, err)
	}
}

// countingStream counts the configurations sent on a link to the holder.
type countingStream struct {
	cellpb.DRPCCell_LinkClient
	configurations int
}

func (s *countingStream) Send(frame *cellpb.Frame) error {
	if frame.GetConfiguration() != nil {
		s.configurations++
	}
	return nil
}

// Guards against a holder whose link fills with copies of one configuration, one for
// each of its heartbeats and for each instance that has a newer version.
func TestConfigurationIsOfferedToHolderOnce(t *testing.T) {
	ctx := context.Background()
	rings := NewRings()
	rings.LinkChanges = supervise.NewRing[message.LinkChange]("test.links", 8, supervise.DropOldest)
	rings.HolderHeartbeats = supervise.NewRing[message.Heartbeat]("test.heartbeats", 1, supervise.DropOldest)
	rings.Followed = supervise.NewRing[bool]("test.followed", 1, supervise.DropOldest)
	rings.Linked = supervise.NewRing[bool]("test.linked", 1, supervise.DropOldest)
	r := newRouter(&Supervisor{rings: rings, clock: clock.New()})
	stream := &countingStream{}
	r.holder, r.session = message.Holder{Epoch: 3}, &session{stream: stream}
	r.configuration = &api.Configuration{Version: 7, Document: []byte("{}")}
	for range 6 {
		r.handleHeartbeat(ctx, message.Heartbeat{Epoch: 3, IsHolder: true, ConfigurationVersion: 6})
	}
	if stream.configurations != 1 {
		t.Errorf("got %d copies of the configuration after 6 heartbeats of the holder, want 1", stream.configurations)
	}
}
