package platformapi_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/platformapi"
)

// Guards against a client that transfers an unchanged list again, keeps an old
// age or old content, or accepts an unchanged list without an age as fresh.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	const body = `{"age_ms":1,"instances":[{"id":"entry-1"}]}`
	steps := []struct {
		name            string
		status          int
		tag, age, body  string
		wantTag         string
		wantAge         int64
		wantID          string
		wantUnavailable bool
	}{
		{name: "first", status: 200, tag: `"a"`, body: body, wantAge: 1, wantID: "entry-1"},
		{name: "unchanged", status: 304, age: "501", wantTag: `"a"`, wantAge: 501, wantID: "entry-1"},
		{name: "no age", status: 304, wantTag: `"a"`, wantUnavailable: true},
		{name: "negative age", status: 304, age: "-1", wantTag: `"a"`, wantUnavailable: true},
		{name: "outage", status: 503, wantTag: `"a"`, wantUnavailable: true},
		{name: "changed", status: 200, tag: `"b"`, body: `{"age_ms":7,"instances":[{"id":"entry-2"}]}`, wantTag: `"a"`, wantAge: 7, wantID: "entry-2"},
		{name: "broken body", status: 200, tag: `"c"`, body: `{`, wantTag: `"b"`, wantUnavailable: true},
		{name: "unchanged again", status: 304, age: "9", wantTag: `"b"`, wantAge: 9, wantID: "entry-2"},
		{name: "no tag", status: 200, body: body, wantTag: `"b"`, wantAge: 1, wantID: "entry-1"},
		{name: "304 without a request tag", status: 304, age: "9", wantUnavailable: true},
	}
	step, sentTag := 0, ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sentTag = r.Header.Get("If-None-Match")
		for name, value := range map[string]string{"ETag": steps[step].tag, platformapi.HeaderListAge: steps[step].age} {
			if value != "" {
				w.Header().Set(name, value)
			}
		}
		w.WriteHeader(steps[step].status)
		_, _ = w.Write([]byte(steps[step].body))
	}))
	defer server.Close()
	client, err := platformapi.NewClient(platformapi.ClientSettings{BaseURL: server.URL})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	for step = range steps {
		want := steps[step]
		got, err := client.List(t.Context())
		if sentTag != want.wantTag || errors.Is(err, platformapi.ErrUnavailable) != want.wantUnavailable {
			t.Fatalf("%s: got request with tag %q and error %v, expected tag %q and ErrUnavailable %t", want.name, sentTag, err, want.wantTag, want.wantUnavailable)
		}
		if err == nil && (got.AgeMillis != want.wantAge || len(got.Instances) != 1 || string(got.Instances[0].ID) != want.wantID) {
			t.Errorf("%s: got list %+v, expected age %d ms and instance %q", want.name, got, want.wantAge, want.wantID)
		}
	}
}
