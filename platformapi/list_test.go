package platformapi_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/platformapi"
)

// Guards against an unchanged list that is sent again, one that keeps its old
// age or content, and one without an age that counts as fresh.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	const body = `{"age_ms":1,"instances":[{"id":"entry-1"}]}`
	steps := []struct {
		name            string
		status          int
		tag, age, body  string
		wantAsked       string
		wantAge         int64
		wantID          string
		wantUnavailable bool
	}{
		{name: "first", status: 200, tag: `"a"`, body: body, wantAge: 1, wantID: "entry-1"},
		{name: "unchanged", status: 304, age: "501", wantAsked: `"a"`, wantAge: 501, wantID: "entry-1"},
		{name: "no age", status: 304, wantAsked: `"a"`, wantUnavailable: true},
		{name: "negative age", status: 304, age: "-1", wantAsked: `"a"`, wantUnavailable: true},
		{name: "outage", status: 503, wantAsked: `"a"`, wantUnavailable: true},
		{name: "changed", status: 200, tag: `"b"`, body: `{"age_ms":7,"instances":[{"id":"entry-2"}]}`, wantAsked: `"a"`, wantAge: 7, wantID: "entry-2"},
		{name: "broken body", status: 200, tag: `"c"`, body: `{`, wantAsked: `"b"`, wantUnavailable: true},
		{name: "unchanged again", status: 304, age: "9", wantAsked: `"b"`, wantAge: 9, wantID: "entry-2"},
		{name: "no tag", status: 200, body: body, wantAsked: `"b"`, wantAge: 1, wantID: "entry-1"},
		{name: "304 that was not asked for", status: 304, age: "9", wantUnavailable: true},
	}
	step, asked := 0, ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = r.Header.Get("If-None-Match")
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
		if asked != want.wantAsked || errors.Is(err, platformapi.ErrUnavailable) != want.wantUnavailable {
			t.Fatalf("%s: asked with tag %q, error %v", want.name, asked, err)
		}
		if err == nil && (got.AgeMillis != want.wantAge || len(got.Instances) != 1 || string(got.Instances[0].ID) != want.wantID) {
			t.Errorf("%s: %+v", want.name, got)
		}
	}
}
