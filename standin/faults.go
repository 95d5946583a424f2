package standin

import "time"

// OutageMode says how the log service or the list fails.
type OutageMode string

const (
	OutageNone OutageMode = ""
	// OutageRefuse answers 503 without any effect.
	OutageRefuse OutageMode = "refuse"
	// OutageUnresponsive leaves every call unanswered.
	OutageUnresponsive OutageMode = "silent"
)

// LogFaults are the faults of the log service.
type LogFaults struct {
	Outage      OutageMode `json:"outage"`
	DelayMillis int64      `json:"delay_ms"`
	// LoseAnswers is the number of next appends that take effect but whose
	// connection is closed without an answer; -1 means all.
	LoseAnswers int `json:"lose_answers"`
	// LateAppends is the number of next appends that are answered as
	// unavailable but take effect LateMillis later; -1 means all.
	LateAppends int   `json:"late_appends"`
	LateMillis  int64 `json:"late_ms"`
}

// ListFaults are the faults of the instance list.
type ListFaults struct {
	Outage OutageMode `json:"outage"`
	// Frozen keeps the list as it is, while its age grows.
	Frozen bool `json:"frozen"`
	// LagMillis is added to the configured lag.
	LagMillis int64 `json:"lag_ms"`
}

// BackendMode is how a backend server misbehaves.
type BackendMode string

const (
	BackendHealthy BackendMode = ""
	// BackendFailing answers 500 to every request and fails every task.
	BackendFailing BackendMode = "fail"
	// BackendUnresponsive runs requests but answers none of them.
	BackendUnresponsive BackendMode = "silent"
	// BackendTruncating closes the connection after half of the answer.
	BackendTruncating BackendMode = "half"
	// BackendMismatching answers with the identifier of another request.
	BackendMismatching BackendMode = "crossed"
	// BackendSlow multiplies run times by Factor.
	BackendSlow BackendMode = "slow"
	// BackendDown closes every connection, ends every task and leaves calls to
	// the worker unanswered.
	BackendDown BackendMode = "down"
)

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
	// StallOpen stalls the connections that are open now for good; new ones
	// work.
	StallOpen bool `json:"silence_open,omitempty"`
}

// appendFault is what happens to one append.
type appendFault int

const (
	appendNormal appendFault = iota
	appendAnswerLost
	appendDelayed
)

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

func (l *logService) outage() OutageMode {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return OutageRefuse
	}
	return l.faults.Outage
}

// nextAppendFault uses up one place of a counted fault.
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

// consume reports whether a counted fault applies and counts it down; a negative
// count applies for good.
func consume(count *int) bool {
	if *count > 0 {
		*count--
		return true
	}
	return *count < 0
}
