package peers

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"lacewingfork.example/lacewingfork/decision/lease"
	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/peerpb"
)

func testHints(n int) []message.LoadHint {
	hints := make([]message.LoadHint, n)
	for i := range hints {
		hints[i] = message.LoadHint{
			Partition: fleet.PartitionID(fmt.Sprintf("la-plata/rack-%03d", i)), Epoch: 300,
			FreeSlots: 40, Waiting: 3, ExpectedWait: 12345 * time.Microsecond, Capacity: 80,
		}
	}
	return hints
}

func testPromiseRequest(n int) lease.PromiseRequest {
	r := lease.PromiseRequest{Member: lease.MemberKey{ID: "entry-01", Incarnation: 1 << 41}, Round: 1 << 20}
	for _, h := range testHints(n) {
		r.Partitions = append(r.Partitions, lease.PartitionEpoch{Partition: h.Partition, Epoch: h.Epoch})
	}
	return r
}

func testPromise(n int) lease.Promise { return lease.Promise(testPromiseRequest(n)) }

// BenchmarkFrame encodes and decodes each kind of frame of a link and reports its
// encoded size.
func BenchmarkFrame(b *testing.B) {
	body := make([]byte, 1024)
	fields := []message.Field{{Name: "Content-Type", Value: "application/json"}}
	forward := message.Submission{Partition: "la-plata/rack-017", Request: &message.Request{
		ID: "0123456789abcdef0123456789abcdef", Caller: "desk-17", Team: "team-17", Service: "planner", Operation: "layout",
		Deadline: time.Now().Add(time.Second), Fields: fields, Body: body,
	}}
	answer := message.Answer{
		ID: forward.Request.ID, Outcome: outcome.Answered, Status: 200, Fields: fields, Body: body,
		Server: "la-plata-rack-017-server-3", Partition: forward.Partition, Hint: testHints(1)[0],
	}
	frames := []struct {
		name  string
		frame *peerpb.Frame
	}{
		{"heartbeat", encodeHeartbeat(1 << 20)},
		{"cancel", encodeCancel(forward.Request.ID)},
		{"forward/body=1024", encodeForward(forward, time.Now())},
		{"answer/body=1024", encodeAnswer(answer)},
		{"give-back", encodeGiveBack(lease.GiveBack{Member: testPromise(0).Member, Round: 1 << 20})},
		{"configuration-request", encodeConfigurationRequest(message.ConfigurationRequest{Version: 3000, Offset: 1 << 20})},
	}
	for _, n := range []int{1, 16, 108} {
		frames = append(frames, []struct {
			name  string
			frame *peerpb.Frame
		}{
			{fmt.Sprintf("load-hints/partitions=%d", n), encodeHints(testHints(n))},
			{fmt.Sprintf("promise-request/partitions=%d", n), encodePromiseRequest(testPromiseRequest(n))},
			{fmt.Sprintf("promise/partitions=%d", n), encodePromise(testPromise(n))},
		}...)
	}
	for _, f := range frames {
		b.Run(f.name, func(b *testing.B) {
			var size int
			for b.Loop() {
				data, err := proto.Marshal(f.frame)
				if err != nil {
					b.Fatal(err)
				}
				if err := proto.Unmarshal(data, &peerpb.Frame{}); err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
