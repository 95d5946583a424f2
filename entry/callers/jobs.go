package callers

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"

	"lacewingfork.example/lacewingfork/callerapi"
	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/decision/task"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/findings"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/internal/frontend"
	"lacewingfork.example/lacewingfork/supervise"
)

const (
	// maxJobBytes is the maximum body size of a job submission, in bytes.
	maxJobBytes = 64 << 10
	// maxJobIDBytes is the maximum length of a job identifier, in bytes. It
	// leaves room within the 128 bytes of a record's identifier.
	maxJobIDBytes = 64
	// maxKindBytes is the maximum length of the kind of a job, in bytes.
	maxKindBytes = 64
	// maxRunTime bounds the declared run time of a task.
	maxRunTime = 30 * 24 * time.Hour
	// jobTimeout bounds the wait for the ledger, which answers every command
	// within 5 s while it runs.
	jobTimeout = 7 * time.Second
	// defaultListLimit and maxListLimit are the default and the maximum number
	// of jobs in a list.
	defaultListLimit = 100
	maxListLimit     = 1000
)

// RegisterJobs returns a function that adds the routes of batch jobs.
func RegisterJobs(commands *supervise.Ring[message.JobCommand]) func(*mux.Router) {
	return func(router *mux.Router) { registerJobs(router, commands) }
}

func registerJobs(router *mux.Router, commands *supervise.Ring[message.JobCommand]) {
	j := jobRoutes{commands}
	router.HandleFunc(callerapi.PathJobs, j.submit).Methods(http.MethodPost)
	router.HandleFunc(callerapi.PathJobs, j.list).Methods(http.MethodGet)
	router.HandleFunc(callerapi.PathJobs+"/{id}", j.status).Methods(http.MethodGet)
	router.HandleFunc(callerapi.PathJobs+"/{id}", j.cancel).Methods(http.MethodDelete)
}

// jobRoutes handles the HTTP routes of batch jobs.
type jobRoutes struct {
	commands *supervise.Ring[message.JobCommand]
}

func (j jobRoutes) submit(w http.ResponseWriter, r *http.Request) {
	job, status, err := decodeJob(w, r)
	if err != nil {
		if status == http.StatusServiceUnavailable {
			w.Header().Set(callerapi.HeaderRetryAfter, "1")
			w.Header().Set(callerapi.HeaderReason, string(outcome.Overloaded))
		}
		writeJobError(w, status, err.Error())
		return
	}
	j.execute(w, r, http.StatusCreated, func(reply *supervise.Ring[message.JobReply]) message.JobCommand {
		return message.SubmitJob{Job: job, Reply: reply}
	})
}

func (j jobRoutes) status(w http.ResponseWriter, r *http.Request) {
	id := fleet.JobID(mux.Vars(r)["id"])
	j.execute(w, r, http.StatusOK, func(reply *supervise.Ring[message.JobReply]) message.JobCommand {
		return message.JobStatus{ID: id, Reply: reply}
	})
}

func (j jobRoutes) cancel(w http.ResponseWriter, r *http.Request) {
	id := fleet.JobID(mux.Vars(r)["id"])
	j.execute(w, r, http.StatusOK, func(reply *supervise.Ring[message.JobReply]) message.JobCommand {
		return message.CancelJob{ID: id, Reply: reply}
	})
}

// execute sends a command to the ledger and writes its single reply. A command that
// succeeds is answered with successStatus.
func (j jobRoutes) execute(
	w http.ResponseWriter, r *http.Request, successStatus int,
	command func(*supervise.Ring[message.JobReply]) message.JobCommand,
) {
	reply := supervise.NewRing[message.JobReply]("job-reply", 1, supervise.Refuse)
	if j.commands.Put(r.Context(), command(reply)) != nil {
		writeOutcome(w, successStatus, message.JobReply{Outcome: message.JobNotReady})
		return
	}
	answer, ok := awaitReply(r.Context(), reply)
	if !ok {
		answer.Outcome = message.JobUnconfirmed
	}
	writeOutcome(w, successStatus, answer)
}

func (j jobRoutes) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit := defaultListLimit
	if text := query.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxListLimit {
			writeJobError(w, http.StatusBadRequest, fmt.Sprintf("limit %q is not a number from 1 to %d", text, maxListLimit))
			return
		}
		limit = n
	}
	reply := supervise.NewRing[message.JobListReply]("job-list-reply", 1, supervise.Refuse)
	command := message.ListJobs{
		Team: fleet.Team(query.Get("team")), After: fleet.JobID(query.Get("after")), Limit: limit, Reply: reply,
	}
	if j.commands.Put(r.Context(), command) != nil {
		writeOutcome(w, 0, message.JobReply{Outcome: message.JobNotReady})
		return
	}
	answer, ok := awaitReply(r.Context(), reply)
	if !ok || answer.Outcome != message.JobAccepted {
		writeOutcome(w, 0, message.JobReply{Outcome: message.JobNotReady})
		return
	}
	list := make([]callerapi.JobStatus, len(answer.Jobs))
	for i, v := range answer.Jobs {
		list[i] = jobStatus(v)
	}
	writeJobJSON(w, http.StatusOK, list)
}

// awaitReply waits for the reply, for jobTimeout at most. ok is false when none
// arrived.
func awaitReply[T any](ctx context.Context, reply *supervise.Ring[T]) (answer T, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	select {
	case answer = <-reply.Items():
		return answer, true
	case <-ctx.Done():
		return answer, false
	}
}

// writeOutcome writes the status and body for the outcome of a command.
func writeOutcome(w http.ResponseWriter, successStatus int, r message.JobReply) {
	status, text := http.StatusServiceUnavailable, ""
	switch r.Outcome {
	case message.JobAccepted:
		writeJobJSON(w, successStatus, jobStatus(r.View))
		return
	case message.JobRepeated:
		writeJobJSON(w, http.StatusOK, jobStatus(r.View))
		return
	case message.JobConflict:
		status, text = http.StatusConflict, "another job with this identifier exists; choose a new one"
	case message.JobOverLimit:
		status, text = http.StatusTooManyRequests, "the team has as many open jobs as its max_jobs allows"
	case message.JobUnknownTeam:
		status, text = http.StatusBadRequest, "the configuration in force has no such team"
	case message.JobUnknownKind:
		status, text = http.StatusBadRequest, "resources: are missing, and the configuration in force has no such kind"
	case message.JobNotFound:
		status, text = http.StatusNotFound, "no such job is known"
	case message.JobUnconfirmed:
		status, text = http.StatusGatewayTimeout, "not confirmed in time, it may still take effect; repeat it with the same identifier or key"
	default:
		text = "batch jobs are not ready; nothing was done"
	}
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		w.Header().Set(callerapi.HeaderRetryAfter, "1")
	}
	w.Header().Set(callerapi.HeaderReason, string(r.Outcome))
	writeJobError(w, status, text)
}

func writeJobError(w http.ResponseWriter, status int, text string) {
	writeJobJSON(w, status, callerapi.ErrorResponse{Error: text})
}

func writeJobJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller disconnected
}

func jobStatus(v task.JobView) callerapi.JobStatus {
	s := callerapi.JobStatus{
		Job: callerapi.Job{
			ID: v.Job.ID, Team: v.Job.Team, Kind: v.Job.Kind, Tasks: v.Job.Tasks, Resources: v.Job.Resources,
			RunMillis: v.Job.RunTime.Milliseconds(), Parameters: v.Job.Parameters,
		},
		State: v.State.String(), Waiting: v.Waiting, Running: v.Running, Succeeded: v.Done, Reason: v.Reason,
		Failed: v.Failed, Evictions: v.Evictions,
	}
	switch {
	case v.State == task.Finished:
		s.State = "succeeded"
	case v.State == task.Open && v.Running > 0:
		s.State = "running"
	case v.State == task.Open:
		s.State = "waiting"
	}
	return s
}

// decodeJob reads a submission. The error lists all findings together; the status
// distinguishes a body that was cut off, is too large or is invalid.
func decodeJob(w http.ResponseWriter, r *http.Request) (task.Job, int, error) {
	var body callerapi.Job
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxJobBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&body)
	if err == nil {
		if _, more := decoder.Token(); more != io.EOF {
			err = errors.New("more follows after the job")
		}
	}
	if errors.Is(err, frontend.ErrCut) {
		return task.Job{}, http.StatusServiceUnavailable, frontend.ErrCut
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return task.Job{}, http.StatusRequestEntityTooLarge, errors.Errorf("body is larger than %d bytes", maxJobBytes)
	}
	if err != nil {
		return task.Job{}, http.StatusBadRequest, errors.Wrap(err, "body is not a job in JSON")
	}
	if key := r.Header.Get(callerapi.HeaderRequestKey); body.ID == "" && key != "" {
		body.ID = jobIDFromKey(body.Team, key)
	}
	return newJob(body), http.StatusBadRequest, checkJob(body)
}

// jobIDFromKey derives the job identifier from the request key, so that a retry of
// a submission whose answer was lost finds the job that it created.
func jobIDFromKey(team fleet.Team, key string) fleet.JobID {
	sum := sha256.Sum256([]byte(string(team) + "\x00" + key))
	return fleet.JobID("key-" + hex.EncodeToString(sum[:16]))
}

func newJob(b callerapi.Job) task.Job {
	return task.Job{
		ID: b.ID, Team: b.Team, Kind: b.Kind, Tasks: b.Tasks, Resources: b.Resources,
		RunTime: time.Duration(min(b.RunMillis, maxRunTime.Milliseconds())) * time.Millisecond, Parameters: b.Parameters,
	}
}

// checkJob returns an error that lists everything that is wrong with the job.
func checkJob(b callerapi.Job) error {
	var found findings.List
	expect := func(ok bool, key, problem, expected string) {
		if !ok {
			found.Add(findings.Finding{File: "body", Key: key, Problem: problem, Expected: expected})
		}
	}
	expect(validName(string(b.ID), maxJobIDBytes), "id", fmt.Sprintf("%.80q is not an identifier", b.ID),
		fmt.Sprintf("1 to %d of a-z, A-Z, 0-9, '.', '_' and '-', or a header %s", maxJobIDBytes, callerapi.HeaderRequestKey))
	expect(b.Team != "" && len(b.Team) <= maxNameBytes, "team", "is missing or too long", fmt.Sprintf("1 to %d bytes", maxNameBytes))
	expect(b.Kind != "" && len(b.Kind) <= maxKindBytes, "kind", "is missing or too long", fmt.Sprintf("1 to %d bytes", maxKindBytes))
	expect(b.Tasks >= 1 && b.Tasks <= task.MaxTasks, "tasks", strconv.Itoa(b.Tasks), fmt.Sprintf("1 to %d", task.MaxTasks))
	expect(b.RunMillis >= 0 && b.RunMillis <= maxRunTime.Milliseconds(), "run_ms", strconv.FormatInt(b.RunMillis, 10),
		fmt.Sprintf("0 to %d", maxRunTime.Milliseconds()))
	expect(b.Resources.Slots >= 1 || b.Resources == fleet.Resources{}, "resources.slots", strconv.Itoa(b.Resources.Slots),
		"at least 1, or no resources at all for those of the kind")
	expect(b.Resources.MilliCPU >= 0, "resources.milli_cpu", "is negative", "at least 0")
	expect(b.Resources.MemoryMiB >= 0, "resources.memory_mib", "is negative", "at least 0")
	expect(b.Resources.Accelerators >= 0, "resources.accelerators", "is negative", "at least 0")
	return found.Err()
}

// validName reports whether name has at most maxBytes bytes and only characters
// that are safe in path segments and log lines.
func validName(name string, maxBytes int) bool {
	const allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-"
	return name != "" && len(name) <= maxBytes && strings.Trim(name, allowed) == ""
}
