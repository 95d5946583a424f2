// Package callerapi holds the contract between callers and entry instances
// over HTTP: paths, header names and JSON bodies. Callers' clients, the command
// line and the entry instances' front end share it; it has no state.
package callerapi

import "lacewingfork.example/lacewingfork/fleet"

// Header names.
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

// Paths; services, operations and identifiers are path segments below them.
const (
	PathServices = "/v1/services/"
	PathKeys     = "/v1/keys/"
	PathJobs     = "/v1/jobs"
)

// KeyAnswer is the body of the answer to a call for a request key.
type KeyAnswer struct {
	Key string `json:"key"`
}

// Job is a batch job as submitted.
type Job struct {
	// ID is chosen by the submitter, so that a repeated submission is found.
	ID        fleet.JobID     `json:"id"`
	Team      fleet.Team      `json:"team"`
	Kind      string          `json:"kind"`
	Tasks     int             `json:"tasks"`
	Resources fleet.Resources `json:"resources"`
	// RunMillis is the declared run time of a task in milliseconds.
	RunMillis  int64  `json:"run_ms"`
	Parameters string `json:"parameters,omitempty"`
}

// JobStatus is a job with what became of it. Waiting, Running and Succeeded
// count tasks; Failed and Evictions count attempts, of which a task can have
// several.
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

// ErrorAnswer is the body of an answer that is neither a request's outcome nor
// a success.
type ErrorAnswer struct {
	Error string `json:"error"`
}
