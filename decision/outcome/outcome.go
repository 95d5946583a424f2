// Package outcome defines the three outcomes of a request and the reasons that
// explain them.
package outcome

// Outcome says whether a request has run, as far as its caller can rely on it.
type Outcome uint8

const (
	// Unknown means that the request may or may not have run.
	Unknown Outcome = iota
	// Answered means that the complete answer of the backend server is
	// attached.
	Answered
	// RefusedNotRun means that no byte of the request reached a backend
	// server.
	RefusedNotRun
)

// String returns the value of the outcome header.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case RefusedNotRun:
		return "refused-not-run"
	default:
		return "outcome-unknown"
	}
}

// Reason is a stable identifier that explains a refusal or an unknown outcome.
type Reason string

// The reasons of refusals and unknown outcomes.
const (
	// NoReason means that there is nothing to explain.
	NoReason Reason = ""
	// NoSuchService means that the service or operation is not configured.
	NoSuchService Reason = "no-such-service"
	// NotReady means that the instance has no configuration yet.
	NotReady Reason = "not-ready"
	// NotHolder means that the instance doesn't hold the partition of the request.
	NotHolder Reason = "not-holder"
	// NoHolder means that no partition with a known holder can take the request.
	NoHolder Reason = "no-holder"
	// NoCapacity means that no backend server can take the work.
	NoCapacity Reason = "no-capacity"
	// DeadlineExceeded means that the deadline has passed or can't be met.
	DeadlineExceeded Reason = "deadline-cannot-be-met"
	// QueueFull means that the admission queue or the table of request keys is full.
	QueueFull Reason = "queue-full"
	// Quota means that the team is above its share.
	Quota Reason = "over-quota"
	// Overloaded means that a ring or the memory for request bodies is full.
	Overloaded Reason = "overloaded"
	// Stopping means that the instance is stopping.
	Stopping Reason = "stopping"
	// Cancelled means that the caller cancelled the request.
	Cancelled Reason = "cancelled"
	// LeaseExpired means that the lease of the partition has ended.
	LeaseExpired Reason = "lease-lapsed"
	// KeyExpired means that the lifetime of the request key has passed.
	KeyExpired Reason = "key-expired"
	// KeyOtherEpoch means that the request key was issued in another epoch.
	KeyOtherEpoch Reason = "key-of-another-epoch"
	// AnswerNoLongerKept means that the first request with the key has ended and its
	// answer was evicted.
	AnswerNoLongerKept Reason = "answer-no-longer-kept"
	// KeyInvalid means that the request key is malformed or issued in the future.
	KeyInvalid Reason = "key-invalid"
	// ConnectFailed means that nothing could be written to the backend server.
	ConnectFailed Reason = "connect-failed"
	// BackendTimeout means that the deadline passed before a complete answer of the
	// backend server arrived.
	BackendTimeout Reason = "backend-timeout"
	// BackendFailed means that the backend server failed or its answer is incomplete.
	BackendFailed Reason = "backend-answer-broken"
	// BackendLeaving means that the backend server announced that it is leaving.
	BackendLeaving Reason = "backend-leaving"
	// LinkLost means that the link to the holder was lost after the request was sent.
	LinkLost Reason = "link-lost"
	// LinkDown means that there is no link to the holder.
	LinkDown Reason = "link-down"
	// DutyFailed means that a duty failed or didn't answer in time.
	DutyFailed Reason = "duty-failed"
	// RegionBudget means that the byte budget for other regions is used up.
	RegionBudget Reason = "region-byte-budget"
	// BodyTooLarge means that the body of the request exceeds its limit.
	BodyTooLarge Reason = "body-too-large"
	// MalformedRequest means that the request is malformed or repeats a pending ID.
	MalformedRequest Reason = "malformed-request"
)
