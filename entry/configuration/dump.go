package configuration

import (
	"time"

	"lacewingfork.example/lacewingfork/fleet"
	records "lacewingfork.example/lacewingfork/records/configuration"
)

// State is the state of the duty in a state dump.
type State struct {
	Ready   bool         `json:"ready"`
	Version int64        `json:"version"`
	Offset  fleet.Offset `json:"offset"`
	// CaughtUp is set once the whole stream has been read.
	CaughtUp bool `json:"caught_up"`
	// Missing is set while entries that this instance has not read are no longer
	// in the log. Waiting counts the publications that cannot be applied until
	// a snapshot covers the missing entries.
	Missing          bool             `json:"missing,omitempty"`
	Waiting          int              `json:"waiting"`
	SinceSnapshot    int              `json:"publications_since_snapshot"`
	SinceLastBatchMS int64            `json:"log_silent_ms"`
	OffersAdopted    int              `json:"offers_adopted"`
	Malformed        int              `json:"malformed"`
	Dropped          int              `json:"batches_dropped"` // read for an earlier run
	LastError        string           `json:"last_error,omitempty"`
	Results          []records.Result `json:"publications,omitempty"`
}

func (d *duty) dump() State {
	state := d.fold.State
	return State{
		Ready: d.published.Version > 0, Version: state.Version, Offset: state.Through.Offset,
		CaughtUp: d.caughtUp, Missing: d.fold.Missing, Waiting: d.fold.Pending(),
		SinceSnapshot: d.fold.SinceSnapshot, SinceLastBatchMS: time.Since(d.lastBatchAt).Milliseconds(),
		OffersAdopted: d.offersAdopted, Malformed: d.malformed, Dropped: d.droppedBatches, LastError: d.lastError,
		Results: records.EncodeResults(state.Results),
	}
}
