package configuration

import (
	"cmp"
	"fmt"
	"regexp"
	"time"
)

// Range is the inclusive range of a value.
type Range[T cmp.Ordered] struct{ Min, Max T }

// Contains reports whether a value is in the range; NaN never is.
func (r Range[T]) Contains(v T) bool { return v >= r.Min && v <= r.Max }

// String returns the range in words, for findings and the documentation.
func (r Range[T]) String() string { return fmt.Sprintf("from %v to %v", r.Min, r.Max) }

// Ranges of the values of a configuration.
var (
	MaxDeadlineRange = Range[time.Duration]{time.Millisecond, time.Minute}
	// DeadlineRange is further bounded by Limits.MaxDeadline.
	DeadlineRange = Range[time.Duration]{time.Millisecond, time.Minute}
	// RunTimeRange is further bounded by the operation's deadline.
	RunTimeRange      = Range[time.Duration]{10 * time.Microsecond, time.Minute}
	LongRunTimeRange  = Range[time.Duration]{time.Millisecond, time.Minute}
	ShareRange        = Range[float64]{0, 1}
	MaxJobsRange      = Range[int]{1, 1_000_000}
	EvictionsRange    = Range[int]{0, 1000}
	RegionBytesRange  = Range[int64]{0, 1_250_000_000} // 10 Gbit/s
	BatchRunTimeRange = Range[time.Duration]{time.Second, 90 * 24 * time.Hour}
	SlotsRange        = Range[int]{1, 1024}
	MilliCPURange     = Range[int64]{0, 1_024_000}
	MemoryMiBRange    = Range[int64]{0, 16 << 20}
	AcceleratorsRange = Range[int]{0, 64}
)

const (
	// shareSumTolerance allows for sums of decimal fractions being inexact.
	shareSumTolerance = 1e-9
	// maxTables bounds the tables of an array; the target size has 180 teams.
	maxTables = 1000
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// NameRange describes a valid name, for findings and the documentation.
const NameRange = "lower-case letters, digits, - and ., at most 63"
