package standin

import "time"

// OutageMode is how the log service or the instance list fails.
type OutageMode string

const (
	OutageNone OutageMode = ""
	// OutageRefuse answers each call with status 503 and without effect.
	OutageRefuse OutageMode = "refuse"
	// OutageUnresponsive leaves every call unanswered.
	OutageUnresponsive OutageMode = "silent"
)

// LogFaults are the faults of the log service.
type LogFaults struct {
	Outage OutageMode `json:"outage"`
	// DelayMillis delays each call by that many milliseconds.
	DelayMillis int64 `json:"delay_ms"`
	// LoseAnswers is the number of following appends that take effect but whose
	// connection is closed without a response; -1 means all.
	LoseAnswers int `json:"lose_answers"`
	// LateAppends is the number of following appends that are answered as
	// unavailable but take effect LateMillis milliseconds later; -1 means all.
	LateAppends int   `json:"late_appends"`
	LateMillis  int64 `json:"late_ms"`
}

// ListFaults are the faults of the instance list.
type ListFaults struct {
	Outage OutageMode `json:"outage"`
	// Frozen keeps the list unchanged while its age grows.
	Frozen bool `json:"frozen"`
	// LagMillis is added to the configured lag, in milliseconds.
	LagMillis int64 `json:"lag_ms"`
}

// BackendMode is how a backend server fails.
type BackendMode string

const (
	BackendHealthy BackendMode = ""
	// BackendFailing answers every request with status 500 and fails every task.
	BackendFailing BackendMode = "fail"
	// BackendUnresponsive runs requests but sends no responses. Connections that
	// lose a response stay stalled when the mode is cleared.
	BackendUnresponsive BackendMode = "silent"
	// BackendTruncating closes the connection after half of the response body.
	BackendTruncating BackendMode = "half"
	// BackendMismatching answers a request with the identifier of another.
	BackendMismatching BackendMode = "crossed"
	// BackendSlow multiplies run times by BackendFaults.Factor.
	BackendSlow BackendMode = "slow"
	// BackendDown closes every connection and stops every task. Calls to the
	// worker are answered as unavailable.
	BackendDown BackendMode = "down"
)

// valid reports whether the mode is one of the constants.
func (m BackendMode) valid() bool {
	switch m {
	case BackendHealthy, BackendFailing, BackendUnresponsive, BackendTruncating, BackendMismatching, BackendSlow, BackendDown:
		return true
	default:
		return false
	}
}

// BackendFaults are the faults of one backend server.
type BackendFaults struct {
	Mode   BackendMode `json:"mode"`
	Factor int         `json:"factor,omitempty"`
	// StallOpen permanently stalls the connections that are open now. New
	// connections work.
	StallOpen bool `json:"silence_open,omitempty"`
}

// appendFault is the fault that applies to one append.
type appendFault int

const (
	appendNormal     appendFault = iota
	appendAnswerLost             // takes effect, but its response is lost
	appendDelayed                // answered as unavailable, but takes effect later
)

// setFaults replaces the faults and wakes waiting readers.
func (l *logService) setFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	l.wakeReaders()
}

func (l *logService) currentFaults() LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// outage returns the outage mode. A closed service refuses all calls.
func (l *logService) outage() OutageMode {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return OutageRefuse
	}
	return l.faults.Outage
}

// nextAppendFault returns the fault of the next append with its delay, and counts
// that fault down.
func (l *logService) nextAppendFault() (appendFault, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if consume(&l.faults.LoseAnswers) {
		return appendAnswerLost, 0
	}
	if consume(&l.faults.LateAppends) {
		return appendDelayed, time.Duration(l.faults.LateMillis) * time.Millisecond
	}
	return appendNormal, 0
}

// consume reports whether a counted fault applies and counts it down. A negative
// count applies without limit.
func consume(count *int) bool {
	if *count > 0 {
		*count--
		return true
	}
	return *count < 0
}
