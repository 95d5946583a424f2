// Package callerapi defines the HTTP interface between callers and entry
// instances: paths, header names and JSON bodies. The callers' client, the
// command line and the entry instances' front end share it; it has no state.
package callerapi

import "lacewingfork.example/lacewingfork/fleet"

// Header names of requests and responses.
const (
	HeaderOutcome       = "Lacewingfork-Outcome"
	HeaderReason        = "Lacewingfork-Reason"
	HeaderRequestID     = "Lacewingfork-Request-Id"
	HeaderTraceID       = "Lacewingfork-Trace-Id"
	HeaderBackendServer = "Lacewingfork-Backend-Server"
	HeaderDeadline      = "Lacewingfork-Deadline-Ms"
	HeaderTeam          = "Lacewingfork-Team"
	HeaderCaller        = "Lacewingfork-Caller"
	HeaderRequestKey    = "Idempotency-Key"
	HeaderRetryAfter    = "Retry-After"
)

// Paths of the interface. Services, operations and identifiers are path segments
// below them.
const (
	PathServices = "/v1/services/"
	PathKeys     = "/v1/keys/"
	PathJobs     = "/v1/jobs"
)

// KeyResponse is the body of the response to a call for a request key.
type KeyResponse struct {
	Key string `json:"key"`
}

// Job is the submission of a batch job.
type Job struct {
	// ID is chosen by the client, so that a repeated submission is recognised.
	ID        fleet.JobID     `json:"id"`
	Team      fleet.Team      `json:"team"`
	Kind      string          `json:"kind"`
	Tasks     int             `json:"tasks"`
	Resources fleet.Resources `json:"resources"`
	// RunMillis is the declared run time of a task in milliseconds.
	RunMillis  int64  `json:"run_ms"`
	Parameters string `json:"parameters,omitempty"`
}

// JobStatus is a job with its progress. Waiting, Running and Succeeded count
// tasks; Failed and Evictions count attempts, of which a task can have several.
type JobStatus struct {
	Job
	State     string `json:"state,omitempty"` // waiting, running, succeeded, failed, cancelled or set-aside
	Waiting   int    `json:"waiting"`
	Running   int    `json:"running"`
	Succeeded int    `json:"succeeded"`
	Failed    int    `json:"failed"`
	Evictions int    `json:"evictions"`
	Reason    string `json:"reason,omitempty"`
}

// ErrorResponse is the body of a response that carries neither the outcome of a
// request nor a successful result.
type ErrorResponse struct {
	Error string `json:"error"`
}
