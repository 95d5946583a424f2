package callers

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gorilla/mux"

	"lacewingfork.example/lacewingfork/decision/task"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/supervise"
)

const validJob = `{"id":"j1","team":"dye","kind":"check","tasks":3,"resources":{"slots":1},"run_ms":1000}`

// Guards against an answer that misreports the outcome of a command, a decoder that
// accepts invalid bodies, and findings that are reported one at a time.
func TestJobRoutes(t *testing.T) {
	cases := map[string]struct {
		method, path, body, key string
		outcome                 message.JobOutcome
		status                  int
		want                    []string
	}{
		"accepted":     {"POST", "/v1/jobs", validJob, "", message.JobAccepted, 201, []string{`"id":"j1"`, `"state":"waiting"`}},
		"repeated":     {"POST", "/v1/jobs", validJob, "", message.JobRepeated, 200, []string{`"id":"j1"`}},
		"conflict":     {"POST", "/v1/jobs", validJob, "", message.JobConflict, 409, []string{"identifier"}},
		"over limit":   {"POST", "/v1/jobs", validJob, "", message.JobOverLimit, 429, []string{"max_jobs"}},
		"unknown kind": {"POST", "/v1/jobs", validJob, "", message.JobUnknownKind, 400, []string{"kind"}},
		"unknown team": {"POST", "/v1/jobs", validJob, "", message.JobUnknownTeam, 400, []string{"team"}},
		"unconfirmed":  {"POST", "/v1/jobs", validJob, "", message.JobUnconfirmed, 504, []string{"may still take effect"}},
		"not ready":    {"POST", "/v1/jobs", validJob, "", message.JobNotReady, 503, []string{"nothing was done"}},
		"by key":       {"POST", "/v1/jobs", strings.Replace(validJob, `"id":"j1",`, "", 1), "k", message.JobAccepted, 201, []string{`"id":"key-`}},
		"all findings": {"POST", "/v1/jobs", `{"tasks":10001,"run_ms":-1,"resources":{"milli_cpu":-1}}`, "", "", 400, []string{"id:", "team:", "kind:", "tasks: 10001", "run_ms:", "resources.slots:", "resources.milli_cpu:"}},
		"unknown key":  {"POST", "/v1/jobs", `{"id":"j1","priority":1}`, "", "", 400, []string{"priority"}},
		"bad id":       {"POST", "/v1/jobs", strings.Replace(validJob, "j1", "a/b", 1), "", "", 400, []string{"identifier"}},
		"two values":   {"POST", "/v1/jobs", validJob + "{}", "", "", 400, []string{"more follows"}},
		"too large":    {"POST", "/v1/jobs", `{"parameters":"` + strings.Repeat("x", maxJobBytes) + `"}`, "", "", 413, []string{"larger than"}},
		"status":       {"GET", "/v1/jobs/j1", "", "", message.JobAccepted, 200, []string{`"id":"j1"`}},
		"not found":    {"GET", "/v1/jobs/j1", "", "", message.JobNotFound, 404, []string{"no such job"}},
		"cancel":       {"DELETE", "/v1/jobs/j1", "", "", message.JobAccepted, 200, []string{`"id":"j1"`}},
		"list":         {"GET", "/v1/jobs?team=dye&limit=5", "", "", message.JobAccepted, 200, []string{`[{"id":"j1"`}},
		"bad limit":    {"GET", "/v1/jobs?limit=0", "", "", "", 400, []string{"limit"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			commands := supervise.NewRing[message.JobCommand]("commands", 1, supervise.Refuse)
			router := mux.NewRouter()
			registerJobs(router, commands)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go answerOne(ctx, commands, c.outcome)
			r := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
			r.Header.Set("Idempotency-Key", c.key)
			w := httptest.NewRecorder()
			router.ServeHTTP(w, r)
			if w.Code != c.status {
				t.Fatalf("status %d, want %d: %s", w.Code, c.status, w.Body)
			}
			for _, part := range c.want {
				if !strings.Contains(w.Body.String(), part) {
					t.Errorf("body %s, want it to contain %q", w.Body, part)
				}
			}
		})
	}
}

// answerOne stands in for the ledger duty: it answers one command with outcome o.
func answerOne(ctx context.Context, commands *supervise.Ring[message.JobCommand], o message.JobOutcome) {
	view := task.JobView{Job: task.Job{ID: "j1"}}
	select {
	case <-ctx.Done():
	case c := <-commands.Items():
		switch c := c.(type) {
		case message.SubmitJob:
			_ = c.Reply.Put(ctx, message.JobReply{Outcome: o, View: task.JobView{Job: c.Job}})
		case message.JobStatus:
			_ = c.Reply.Put(ctx, message.JobReply{Outcome: o, View: view})
		case message.CancelJob:
			_ = c.Reply.Put(ctx, message.JobReply{Outcome: o, View: view})
		case message.ListJobs:
			_ = c.Reply.Put(ctx, message.JobListReply{Outcome: o, Jobs: []task.JobView{view}})
		}
	}
}

// Guards against reporting that a command may have taken effect although the full
// ring refused it.
func TestJobCommandRefusedByFullRing(t *testing.T) {
	commands := supervise.NewRing[message.JobCommand]("commands", 1, supervise.Refuse)
	_ = commands.Put(t.Context(), message.JobStatus{})
	router := mux.NewRouter()
	registerJobs(router, commands)
	w := httptest.NewRecorder()
	router.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/jobs/j1", nil))
	if w.Code != http.StatusServiceUnavailable {
		t.Fatalf("status %d, want 503", w.Code)
	}
}
