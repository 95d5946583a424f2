package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/internal/wait"
	"lacewingfork.example/lacewingfork/platformapi"
	"lacewingfork.example/lacewingfork/standin"
)

// faultyLog is an in-memory log service that injects faults. Each append uses the
// next fault: "lost answer" (appended, then an error), "not taken" (an error) or
// "silent" (not appended, and no response until the context ends).
type faultyLog struct {
	records [][]byte
	faults  []string
	// competing is a record that is appended just before the first append.
	competing []byte
	// dropped is the number of records that retention removed.
	dropped fleet.Offset
}

func (l *faultyLog) Append(ctx context.Context, _ string, data []byte) (fleet.Offset, error) {
	if l.competing != nil {
		l.records, l.competing = append(l.records, l.competing), nil
	}
	fault := ""
	if len(l.faults) > 0 {
		fault, l.faults = l.faults[0], l.faults[1:]
	}
	switch fault {
	case "not taken":
		return 0, platformapi.ErrUnavailable
	case "silent":
		<-ctx.Done()
		return 0, platformapi.ErrUnavailable
	}
	l.records = append(l.records, data)
	if fault == "lost answer" {
		return 0, platformapi.ErrUnavailable
	}
	return fleet.Offset(len(l.records) - 1), nil
}

func (l *faultyLog) Read(ctx context.Context, _ string, from fleet.Offset, poll time.Duration) (platformapi.Batch, error) {
	end := l.dropped + fleet.Offset(len(l.records))
	if from < l.dropped {
		return platformapi.Batch{Oldest: l.dropped, Next: l.dropped, End: end}, platformapi.ErrTruncated
	}
	if from == end && !wait.For(ctx, poll) {
		return platformapi.Batch{}, platformapi.ErrUnavailable
	}
	batch := platformapi.Batch{Next: end, End: end}
	for i := from; i < end; i++ {
		batch.Records = append(batch.Records, platformapi.Record{Offset: i, Data: l.records[i-l.dropped]})
	}
	return batch, nil
}

// outcome is the result of one run of the command line.
type outcome struct {
	code        ExitCode
	out, errors string
}

// run runs the command line with a log service.
func run(t *testing.T, log platformapi.Log, args ...string) outcome {
	t.Helper()
	var out, errors bytes.Buffer
	code := Run(t.Context(), args, Environment{
		Stdout: &out, Stderr: &errors, HTTP: &http.Client{}, NewID: func() string { return "id-1" },
		OpenLog: func(string) (platformapi.Log, error) { return log, nil },
	})
	return outcome{code, out.String(), errors.String()}
}

// writeConfiguration writes a configuration file and returns its path.
func writeConfiguration(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "site.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// encodePublication returns the record of an empty publication.
func encodePublication(t *testing.T, id, operator string) []byte {
	t.Helper()
	record, err := encodeRecord(configuration.Publication{ID: id, Operator: operator})
	if err != nil {
		t.Fatal(err)
	}
	return record
}

// Guards against a publication that takes effect twice or not at all when the
// response to its append is lost, and against a lost race whose report does not
// name the winner.
func TestPublish(t *testing.T) {
	cases := []struct {
		name      string
		faults    []string
		competing string
		replaces  string
		code      ExitCode
		records   int
		text      string
	}{
		{"accepted", nil, "", "0", Success, 1, "id-1: accepted as version 1"},
		{"answer lost", []string{"lost answer"}, "", "0", Success, 1, "accepted as version 1"},
		{"append not taken", []string{"not taken", "not taken"}, "", "0", Success, 1, "accepted as version 1"},
		{"race lost", nil, "other", "0", Rejected, 2, "version 0 was replaced by publication other of kofi"},
		{"race lost and answer lost", []string{"lost answer"}, "other", "0", Rejected, 2, "publication other of kofi"},
		{"own earlier run", nil, "id-1", "0", Success, 2, "accepted as version 1"},
		{"version not in force", nil, "", "4", Rejected, 0, "version 4 was not in force; version 0 is"},
		{"no verdict", []string{"silent"}, "", "0", Unknown, 0, "run the command again with --id id-1"},
	}
	file := writeConfiguration(t, "[limits]\nlong_share = 0.4\n")
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := &faultyLog{faults: c.faults}
				if c.competing != "" {
					log.competing = encodePublication(t, c.competing, "kofi")
				}
				got := run(t, log, "--log", "test", "config", "publish", file, "--replaces", c.replaces, "--operator", "abena")
				if got.code != c.code || len(log.records) != c.records || !strings.Contains(got.out+got.errors, c.text) {
					t.Errorf("got %+v and %d records, want code %d, %d records and text %q", got, len(log.records), c.code, c.records, c.text)
				}
			})
		})
	}
}

// Guards against a restore that overwrites a state that still exists, and against
// a deployment that can never get a configuration again.
func TestRestore(t *testing.T) {
	empty := startFakeInstance(t, map[string]string{"GET /v1/status": `{"instance":"entry-1"}`})
	ready := startFakeInstance(t, map[string]string{"GET /v1/status": `{"instance":"entry-1","configuration_version":7}`})
	file := writeConfiguration(t, "[limits]\nlong_share = 0.4\n")
	cases := []struct {
		code    ExitCode
		address string
		log     *faultyLog
		text    string
	}{
		{Rejected, empty, &faultyLog{}, "publish instead"},
		{Rejected, ready, &faultyLog{dropped: 50}, "has version 7"},
		{Unreachable, unusedAddress(t), &faultyLog{dropped: 50}, "cannot connect"},
		{Success, empty, &faultyLog{dropped: 50, faults: []string{"lost answer"}}, "restored as version 9"},
	}
	for _, c := range cases {
		got := run(t, c.log, "--log", "x", "--operations", c.address, "config", "restore", file, "--version", "9", "--operator", "abena")
		if got.code != c.code || !strings.Contains(got.out+got.errors, c.text) {
			t.Errorf("got %+v, want code %d and text %q", got, c.code, c.text)
		}
	}
	log := cases[len(cases)-1].log
	if got := run(t, log, "--log", "x", "config", "publish", file, "--replaces", "9", "--operator", "abena"); got.code != Success {
		t.Errorf("publish after the restore: got %+v, want code %d", got, Success)
	}
}

// Guards against commands that deviate from the platform's HTTP protocol: a
// configuration published over HTTP must be the one that config show prints.
func TestPublishOverHTTP(t *testing.T) {
	platform, err := standin.Start(standin.DefaultSettings(), standin.ListenTCP)
	if err != nil {
		t.Fatal(err)
	}
	defer platform.Close()
	client, err := platformapi.NewClient(platformapi.ClientSettings{BaseURL: "http://" + platform.Address()})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	file := writeConfiguration(t, "[limits]\nlong_share = 0.4\n")
	publish := []string{"--log", "x", "config", "publish", file, "--operator", "abena", "--replaces"}
	if got := run(t, client, append(publish, "0")...); got.code != Success {
		t.Fatalf("publish: got %+v, want code %d", got, Success)
	}
	if got := run(t, client, append(publish, "0", "--id", "id-2")...); got.code != Rejected || !strings.Contains(got.errors, "publication id-1 of abena") {
		t.Fatalf("second publish: got %+v, want code %d and the first publication as winner", got, Rejected)
	}
	if got := run(t, client, "--log", "x", "config", "show"); got.code != Success || !strings.HasSuffix(got.out, "long_share = 0.4\n") {
		t.Errorf("show: got %+v, want code %d and the published text", got, Success)
	}
	var history []map[string]any
	got := run(t, client, "--log", "x", "--json", "config", "history")
	if err := json.Unmarshal([]byte(got.out), &history); err != nil || len(history) != 1 || history[0]["verdict"] != "accepted" {
		t.Errorf("history: got %+v and error %v, want one accepted publication", got, err)
	}
}

// Guards against a check that accepts a faulty file or omits a finding, and against
// usage errors with the wrong exit code.
func TestCheckAndUsage(t *testing.T) {
	good, bad := writeConfiguration(t, "[limits]\n"), writeConfiguration(t, "[limits]\nlong_share = 2\nlong = 1\n")
	cases := []struct {
		code ExitCode
		text string
		args []string
	}{
		{Success, "no findings", []string{"config", "check", good}},
		{InvalidConfiguration, "site.toml:2: limits.long_share: is 2", []string{"config", "check", bad}},
		{InvalidConfiguration, "site.toml:3: limits.long: is unknown", []string{"config", "check", bad}},
		{InvalidConfiguration, `"row": 3`, []string{"config", "check", bad, "--json"}},
		{Failure, "read configuration", []string{"config", "check", bad + ".absent"}},
		{Usage, "required argument", []string{"config", "check"}},
		{Usage, "unexpected argument", []string{"config", "check", good, good}},
		{Usage, "nknown command", []string{"fly"}},
		{Usage, "--replaces", []string{"config", "publish", good}},
		{Usage, "--log", []string{"config", "show"}},
		{Usage, "--operations", []string{"config", "status"}},
		{Usage, "--callers", []string{"job", "list"}},
		{Usage, "at least one task", []string{"job", "submit", "--team", "a", "--kind", "b", "--tasks", "0"}},
		{Success, "Exit codes", []string{"config", "publish", "--help"}},
		{Success, "lacewingfork", []string{"version"}},
	}
	for _, c := range cases {
		got := run(t, &faultyLog{}, c.args...)
		if got.code != c.code || !strings.Contains(got.out+got.errors, c.text) {
			t.Errorf("%q: got %+v, want code %d and text %q", c.args, got, c.code, c.text)
		}
	}
}

// startFakeInstance starts a fake entry instance and returns its address. Bodies
// maps "METHOD path" to a response body, which may start with a status code and a
// space. Other requests get status 404.
func startFakeInstance(t *testing.T, bodies map[string]string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, ok := bodies[r.Method+" "+r.URL.Path]
		status := http.StatusOK
		if !ok {
			status = http.StatusNotFound
		}
		if code, rest, coded := strings.Cut(body, " "); coded {
			if _, err := fmt.Sscan(code, &status); err == nil {
				body = rest
			}
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// unusedAddress returns an address where nothing listens.
func unusedAddress(t *testing.T) string {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	return strings.TrimPrefix(server.URL, "http://")
}

// oneDuty is the state of an instance with one duty.
const oneDuty = `[{"duty":"entry/routing/routing","rings":[{"name":"routing.submissions","when_full":"refuse","depth":1,"capacity":1024}],"state":{"a":1}}]`

// Guards against an instance that is missing from a table, an exit code that hides
// a failure, and invalid JSON output.
func TestInstances(t *testing.T) {
	first := startFakeInstance(t, map[string]string{
		"GET /v1/status":       `{"instance":"entry-1","ready":true,"configuration_version":7,"partitions":["accra-1/r1"]}`,
		"GET /debug/state":     oneDuty,
		"GET /v1/explain/r-1":  `[{"at":"2026-12-04T10:00:02Z","subject":"r-1","event":"answered"}]`,
		"POST /v1/drain":       "202 ",
		"POST /v1/jobs":        "202 {}",
		"GET /v1/jobs":         `[{"id":"j1","team":"seams","kind":"seam-watch","state":"running"},{"id":"j2","team":"dyeing"}]`,
		"GET /v1/jobs/j1":      `{"id":"j1","state":"running","running":3}`,
		"DELETE /v1/jobs/j1":   "204 ",
		"DELETE /v1/jobs/full": `429 {"error":"too many cancellations"}`,
	})
	second := startFakeInstance(t, map[string]string{
		"GET /v1/status":      `{"instance":"entry-2","ready":true,"configuration_version":6}`,
		"GET /debug/state":    `[]`,
		"GET /v1/explain/r-1": `[{"at":"2026-12-04T10:00:01Z","subject":"r-1","event":"admitted","detail":{"slot":2}}]`,
		"POST /v1/jobs":       "503 ",
	})
	absent := unusedAddress(t)
	addressOptions := func(kind string, addresses ...string) []string {
		var args []string
		for _, a := range addresses {
			args = append(args, "--"+kind, a)
		}
		return args
	}
	submit := []string{"job", "submit", "--team", "a", "--kind", "b", "--run-time", "2h"}
	cases := []struct {
		code    ExitCode
		options []string
		command []string
		texts   []string
	}{
		{Success, addressOptions("operations", first), []string{"config", "status"}, []string{"entry-1"}},
		{Unconfirmed, addressOptions("operations", first, second), []string{"config", "status"}, []string{"entry-1", "entry-2", "version 7 is not confirmed by 1 of 2"}},
		{Unreachable, addressOptions("operations", absent, first), []string{"config", "status"}, []string{"entry-1", absent}},
		{Success, addressOptions("operations", first, second), []string{"state", "tables"}, []string{"routing.submissions", "1024"}},
		{Success, addressOptions("operations", first), []string{"state", "dump"}, []string{`"a": 1`}},
		{Unreachable, addressOptions("operations", first, absent), []string{"state", "dump"}, []string{`"a": 1`, "cannot connect"}},
		{Success, addressOptions("operations", first, second), []string{"explain", "r-1"}, []string{"admitted", "slot", "answered"}},
		{NotFound, addressOptions("operations", first), []string{"explain", "r-2"}, []string{"no instance has events for"}},
		{Success, nil, []string{"drain", first}, []string{"stopping"}},
		{Unreachable, nil, []string{"drain", absent}, []string{"cannot connect"}},
		{Success, addressOptions("callers", absent, second, first), submit, []string{"id-1"}},
		{Unknown, addressOptions("callers", absent, second), submit, []string{"--id id-1"}},
		{Unreachable, addressOptions("callers", absent), submit, []string{"cannot connect"}},
		{Success, addressOptions("callers", first), []string{"job", "status", "j1"}, []string{"running"}},
		{NotFound, addressOptions("callers", first), []string{"job", "status", "j9"}, []string{"not found"}},
		{Success, addressOptions("callers", first), []string{"job", "cancel", "j1"}, []string{"j1"}},
		{Rejected, addressOptions("callers", first), []string{"job", "cancel", "full"}, []string{"too many cancellations"}},
		{Success, addressOptions("callers", first), []string{"job", "list", "--team", "seams"}, []string{"seam-watch"}},
	}
	for _, c := range cases {
		for _, format := range []string{"", "--json"} {
			args := append(append([]string{}, c.options...), c.command...)
			if format != "" {
				args = append(args, format)
			}
			got := run(t, &faultyLog{}, args...)
			if got.code != c.code {
				t.Errorf("%q: got %+v, want code %d", args, got, c.code)
			}
			rest, found := got.out+got.errors, true
			for _, text := range c.texts { // in this order
				if _, rest, found = strings.Cut(rest, text); !found && format == "" {
					t.Errorf("%q: got %+v, want %q after the preceding texts", args, got, text)
				}
			}
			if format != "" && got.out != "" && !json.Valid([]byte(got.out)) {
				t.Errorf("%q: got output %q, want valid JSON", args, got.out)
			}
		}
	}
}

// Guards against progress lines in a file or pipe, and against a terminal without
// them.
func TestProgressOnTerminalOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		file := writeConfiguration(t, "[limits]\n")
		for _, terminal := range []bool{false, true} {
			var out, errors bytes.Buffer
			Run(t.Context(), []string{"--log", "x", "config", "publish", file, "--replaces", "0", "--operator", "abena"}, Environment{
				Stdout: &out, Stderr: &errors, Terminal: terminal, NewID: func() string { return "id-1" },
				OpenLog: func(string) (platformapi.Log, error) { return &faultyLog{faults: []string{"not taken"}}, nil },
			})
			if shown := strings.Contains(errors.String(), "waiting for the verdict"); shown != terminal {
				t.Errorf("got progress shown = %v, want %v: %q", shown, terminal, errors.String())
			}
		}
	})
}
