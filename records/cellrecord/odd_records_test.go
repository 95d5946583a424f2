package cellrecord

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/cell"
	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/scheduler/api"
)

const (
	soundJobID = "00000000000000aa"
	oddJobID   = "00000000000000bb"
	// maxInt is the largest number that decodes into an int.
	maxInt = "9223372036854775807"
)

// jobValue returns the record of an accepted job with the given steps.
func jobValue(id, steps string) string {
	return fmt.Sprintf(`{"job":{"job":{"id":%q,"queue":"q","spec":"x","steps":%s},"accepted":"2026-12-05T08:00:00Z"}}`, id, steps)
}

// serverValue returns the record of a server.
func serverValue(id string) string {
	return fmt.Sprintf(`{"server":{"id":%q,"address":"10.0.0.1:80","service":"s","data_centre":"z","capacity":{"milli_cpu":16000,"memory_mib":64000}}}`, id)
}

func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// twoSteps are sound steps; the second one depends on the first.
const twoSteps = `[{"count":2,"need":{}},{"count":1,"need":{},"after":[0]}]`

var soundItems = []api.Item{
	{Key: "0/holder", Value: []byte(`{"epoch":196615,"round":3,"instance":"entry-1","address":"10.0.0.9:70"}`)},
	{Key: "job/" + soundJobID, Value: []byte(jobValue(soundJobID, twoSteps))},
	{Key: "job/" + oddJobID, Value: []byte(jobValue(oddJobID, twoSteps))},
	{Key: "progress/" + soundJobID, Value: []byte(`{"progress":{"started":true,"occurrences":[{"number":0,"tasks":[{"s":0,"i":1,"d":true}]}]}}`)},
	{Key: "server/i-1", Value: []byte(serverValue("i-1"))},
	{Key: "learnt", Value: []byte(`{"learnt":{"images":["a","b"],"idle":[1.5,0],"usual":[1,0.5],"pairs":[{"s":0,"f":1,"p":0.25}]}}`)},
	{Key: "member/entry-1", Value: []byte(`{"instance":"entry-1","address":"10.0.0.9:70","region":"accra","processor":0.4,"store_ms":4}`)},
}

// oddItems are records that another writer may leave among those of the cell. Each
// one replaces the sound record of its key, if there is one.
var oddItems = []struct{ name, key, value string }{
	{"not JSON", "job/" + oddJobID, "\x00\xff{"},
	{"not an object", "job/" + oddJobID, "[]"},
	{"null", "job/" + oddJobID, "null"},
	{"nothing set", "job/" + oddJobID, "{}"},
	{"nested 100,000 levels", "job/" + oddJobID, `{"job":` + nested(100_000) + `}`},
	{"no key", "", jobValue(oddJobID, twoSteps)},
	{"unknown key", "x", jobValue(oddJobID, twoSteps)},
	{"job under the key of another", "job/" + oddJobID, jobValue("00000000000000cc", twoSteps)},
	{"job and server", "job/" + oddJobID, strings.TrimSuffix(jobValue(oddJobID, twoSteps), "}") + "," + serverValue("i-1")[1:]},
	{"job without an ID", "job/", jobValue("", twoSteps)},
	{"job without steps", "job/" + oddJobID, jobValue(oddJobID, "[]")},
	{"step that depends on a missing one", "job/" + oddJobID, jobValue(oddJobID, `[{"count":1,"after":[7]}]`)},
	{"step that depends on itself", "job/" + oddJobID, jobValue(oddJobID, `[{"count":1,"after":[0]}]`)},
	{"step that depends on a negative one", "job/" + oddJobID, jobValue(oddJobID, `[{"count":1,"after":[-1]}]`)},
	{"negative count", "job/" + oddJobID, jobValue(oddJobID, `[{"count":-1}]`)},
	{"huge count", "job/" + oddJobID, jobValue(oddJobID, `[{"count":`+maxInt+`}]`)},
	{"count beyond int64", "job/" + oddJobID, jobValue(oddJobID, `[{"count":1e400}]`)},
	{"huge number of occurrences", "job/" + oddJobID, strings.Replace(jobValue(oddJobID, twoSteps), `"spec"`, `"repeats":`+maxInt+`,"spec"`, 1)},
	{"job that was never accepted", "job/" + oddJobID, strings.Replace(jobValue(oddJobID, twoSteps), "2026-12-05T08:00:00Z", "0001-01-01T00:00:00Z", 1)},
	{"progress under a short key", "p", `{"progress":{"started":true}}`},
	{"progress under the key of a job", "job/" + oddJobID, `{"progress":{"started":true}}`},
	{"progress under the prefix only", "progress/", `{"progress":{"started":true}}`},
	{"progress of a negative step", "progress/" + oddJobID, `{"progress":{"occurrences":[{"number":0,"tasks":[{"s":-1,"i":0,"d":true}]}]}}`},
	{"progress of a negative index", "progress/" + oddJobID, `{"progress":{"occurrences":[{"number":0,"tasks":[{"s":0,"i":-1,"d":true}]}]}}`},
	{"progress of a huge index", "progress/" + oddJobID, `{"progress":{"occurrences":[{"number":0,"tasks":[{"s":` + maxInt + `,"i":` + maxInt + `}]}]}}`},
	{"progress of a negative occurrence", "progress/" + oddJobID, `{"progress":{"closed":[-1],"occurrences":[{"number":-1,"tasks":[{"s":0,"i":0,"d":true}]}]}}`},
	{"progress of a huge occurrence", "progress/" + oddJobID, `{"progress":{"occurrences":[{"number":` + maxInt + `}]}}`},
	{"huge failed attempt", "progress/" + oddJobID, `{"progress":{"occurrences":[{"number":0,"tasks":[{"s":0,"i":0,"f":[` + maxInt + `]}]}]}}`},
	{"negative failed attempt", "progress/" + oddJobID, `{"progress":{"occurrences":[{"number":0,"tasks":[{"s":0,"i":0,"f":[-1]}]}]}}`},
	{"server under the key of another", "server/i-2", serverValue("i-3")},
	{"server without an ID", "server/", serverValue("")},
	{"server with a port out of range", "server/i-2", strings.Replace(serverValue("i-2"), "10.0.0.1:80", "10.0.0.1:99999", 1)},
	{"server with a huge capacity", "server/i-2", strings.Replace(serverValue("i-2"), "16000", maxInt, 1)},
	{"server with labels of another type", "server/i-2", strings.Replace(serverValue("i-2"), `"service"`, `"labels":5,"service"`, 1)},
	{"estimates beyond float64", "learnt", `{"learnt":{"images":["a"],"usual":[1e999]}}`},
	{"huge estimates", "learnt", `{"learnt":{"images":["a"],"idle":[1e308],"usual":[1e308],"pairs":[{"s":0,"f":0,"p":1e308}]}}`},
	{"negative estimates", "learnt", `{"learnt":{"images":["a"],"idle":[-1],"usual":[-1],"pairs":[{"s":0,"f":0,"p":-1}]}}`},
	{"estimates of missing images", "learnt", `{"learnt":{"images":["a"],"idle":[1,2],"pairs":[{"s":-1,"f":7,"p":1}]}}`},
	{"estimates under another key", "job/" + oddJobID, `{"learnt":{"images":["a"]}}`},
	{"evacuation of a data centre without a name", "evacuations", `{"evacuations":{"data_centres":["a",""]}}`},
	{"reopened data centre without a name", "evacuations", `{"evacuations":{"reopened":[{"at":"2026-12-05T08:00:00Z"}]}}`},
	{"evacuations under another key", "learnt", `{"evacuations":{"data_centres":["a"]}}`},
	{"holder that isn't JSON", "0/holder", "{"},
	{"holder with fields of another type", "0/holder", `{"epoch":18446744073709551615,"round":5,"instance":7}`},
	{"holder whose epoch is of another round", "0/holder", `{"epoch":18446744073709551615,"round":3,"instance":"x","address":"10.0.0.9:70"}`},
	{"holder of a round after which epochs overflow", "0/holder", `{"epoch":18446744073709551615,"round":281474976710655,"instance":"x","address":"10.0.0.9:70"}`},
	{"holder of a negative round", "0/holder", `{"epoch":0,"round":-1,"instance":"x","address":"10.0.0.9:70"}`},
	{"holder without an instance", "0/holder", `{"epoch":196615,"round":3}`},
	{"member under the key of another", "member/entry-2", `{"instance":"entry-3","address":"10.0.0.9:70","processor":0.4}`},
	{"member without an ID", "member/", `{"address":"10.0.0.9:70","processor":0.4}`},
	{"member with a huge processor", "member/entry-2", `{"instance":"entry-2","address":"10.0.0.9:70","processor":1e999}`},
	{"member with a negative latency", "member/entry-2", `{"instance":"entry-2","address":"10.0.0.9:70","processor":1,"store_ms":-1}`},
	{"member whose latency overflows", "member/entry-2", `{"instance":"entry-2","address":"10.0.0.9:70","processor":1,"store_ms":` + maxInt + `}`},
	{"member of another type", "member/entry-2", `5`},
}

// itemsWith returns the sound items with one added or replaced.
func itemsWith(odd api.Item) []api.Item {
	items := []api.Item{odd}
	for _, sound := range soundItems {
		if sound.Key != odd.Key {
			items = append(items, sound)
		}
	}
	return items
}

// restore restores a cell from the records of a store and passes the events that
// follow a takeover. It returns the replies to the state of the sound job.
func restore(records []cell.Record) (replies []cell.JobReply) {
	now := cell.Moment{Steady: time.Second, Wall: time.Date(2026, 12, 5, 9, 0, 0, 0, time.UTC)}
	c := cell.New(cell.DefaultSettings(), 4)
	c.Restore(now, records)
	events := []cell.Event{
		cell.QueuesChanged{Queues: []cell.QueueSettings{{Name: "q", Service: "s", MaxAttempts: 2}}},
		cell.ServerListRead{},
		cell.StateRequested{Token: 1, Queue: "q", ID: soundJobID},
	}
	for range 40 {
		events = append(events, cell.Tick{})
	}
	for _, e := range events {
		now.Steady += 500 * time.Millisecond
		now.Wall = now.Wall.Add(500 * time.Millisecond)
		c.Handle(now, e)
		for _, a := range c.Actions() {
			if r, ok := a.(cell.Reply); ok {
				replies = append(replies, r.Reply)
			}
		}
		if b, ok := c.TakeBatch(); ok {
			if _, err := Encode(b.Records); err != nil {
				panic(err)
			}
			c.Handle(now, cell.Committed{Batch: b.Number})
		}
	}
	return replies
}

// Guards against an odd record of another writer that ends the duty of each new
// holder, so that the instances end one after the other, or that hides the other
// records.
func TestOddRecordsAreReportedAndTheOthersHold(t *testing.T) {
	if c := Decode(soundItems); len(c.Unreadable) != 0 || len(c.Records) != 5 || len(c.Members) != 1 || c.Holder.Round != 3 {
		t.Fatalf("got %+v of the sound items, want 5 records, a member and a holder", c)
	}
	for _, odd := range oddItems {
		t.Run(odd.name, func(t *testing.T) {
			item := api.Item{Key: odd.key, Value: []byte(odd.value)}
			decoded := Decode(itemsWith(item))
			if len(decoded.Unreadable) != 1 || decoded.Unreadable[0].Key != odd.key || decoded.Unreadable[0].Reason == "" {
				t.Errorf("got unreadable %+v, want key %q and a reason", decoded.Unreadable, odd.key)
			}
			if odd.key == HolderKey && decoded.Holder != (Holder{}) {
				t.Errorf("got holder %+v, want none", decoded.Holder)
			}
			if len(decoded.Members) != 1 {
				t.Errorf("got members %+v, want the sound one", decoded.Members)
			}
			replies := restore(decoded.Records)
			if len(replies) != 1 || replies[0].State != job.Running {
				t.Errorf("got replies %+v, want one that the sound job is running", replies)
			}
		})
	}
}

// Guards against two runs of a task after a takeover: a worker whose record cannot
// be read may be running something, and its key still names it.
func TestUnreadableServerRecordStillNamesTheWorker(t *testing.T) {
	for _, value := range []string{"{", "null", strings.Replace(serverValue("i-1"), "10.0.0.1:80", "10.0.0.1:0", 1)} {
		decoded := Decode(itemsWith(api.Item{Key: "server/i-1", Value: []byte(value)}))
		found := false
		for _, r := range decoded.Records {
			found = found || r.Server != nil && r.Server.ID == "i-1"
		}
		if !found || len(decoded.Unreadable) != 1 {
			t.Errorf("%.20s: got records %+v, want one of the server i-1, reported as unreadable", value, decoded.Records)
		}
	}
}

// Guards against records that end the process of a new holder.
func FuzzDecode(f *testing.F) {
	for _, item := range soundItems {
		f.Add(item.Key, item.Value)
	}
	for _, odd := range oddItems {
		f.Add(odd.key, []byte(odd.value))
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		decoded := Decode(itemsWith(api.Item{Key: key, Value: value}))
		if key == "job/"+soundJobID || key == "progress/"+soundJobID {
			restore(decoded.Records)
			return
		}
		if replies := restore(decoded.Records); len(replies) != 1 || replies[0].State != job.Running {
			t.Fatalf("got replies %+v, want one that the sound job is running", replies)
		}
	})
}
