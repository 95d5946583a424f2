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

const (
	NoReason           Reason = ""
	NoSuchService      Reason = "no-such-service"
	NotReady           Reason = "not-ready"
	NotHolder          Reason = "not-holder"
	NoHolder           Reason = "no-holder"
	NoCapacity         Reason = "no-capacity"
	DeadlineExceeded   Reason = "deadline-cannot-be-met"
	QueueFull          Reason = "queue-full"
	Quota              Reason = "over-quota"
	RingFull           Reason = "overloaded"
	Stopping           Reason = "stopping"
	Cancelled          Reason = "cancelled"
	LeaseLapsed        Reason = "lease-lapsed"
	KeyExpired         Reason = "key-expired"
	KeyOtherEpoch      Reason = "key-of-another-epoch"
	AnswerNoLongerKept Reason = "answer-no-longer-kept"
	KeyInvalid         Reason = "key-invalid"
	ConnectFailed      Reason = "connect-failed"
	BackendTimeout     Reason = "backend-timeout"
	BackendBroken      Reason = "backend-answer-broken"
	BackendLeaving     Reason = "backend-leaving"
	LinkLost           Reason = "link-lost"
	LinkDown           Reason = "link-down"
	DutyFailed         Reason = "duty-failed"
	RegionBudget       Reason = "region-byte-budget"
	BodyTooLarge       Reason = "body-too-large"
	MalformedRequest   Reason = "malformed-request"
)
