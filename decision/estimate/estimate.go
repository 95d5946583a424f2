package estimate

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/fleet"
)

// LongFraction is the part of an operation's runs above the limit from which
// the operation counts as long. A few runs in a hundred that take much longer
// don't make an operation long; one in ten does, because then one of the 8
// slots of a backend server would usually be held by a long run.
const LongFraction = 0.1

// Operation is the estimate for one operation of a service.
type Operation struct {
	Service fleet.Service
	Name    fleet.Operation
	// Prior is the declared run time; 0 means that none was declared.
	Prior time.Duration
	// LongRunTime is the run time above which work counts as long.
	LongRunTime time.Duration

	sketch Sketch
	// long and mean are derived once for each observation.
	long bool
	mean time.Duration
}

// Long reports whether the operation counts as long work.
func (o *Operation) Long() bool { return o.long }

// Mean returns the expected run time. It is 0 only when nothing is known.
func (o *Operation) Mean() time.Duration { return o.mean }

// P10 returns a run time that 9 of 10 runs exceed, and 0 unless it was
// observed recently. Work whose deadline is nearer can be refused.
func (o *Operation) P10(now time.Time) time.Duration {
	if !o.sketch.Fresh(now) {
		return 0
	}
	return o.sketch.Quantile(0.1)
}

// P90 returns a run time that 9 of 10 runs stay within, and 0 unless it was
// observed recently.
func (o *Operation) P90(now time.Time) time.Duration {
	if !o.sketch.Fresh(now) {
		return 0
	}
	return o.sketch.Quantile(0.9)
}

// Observe adds a run time.
func (o *Operation) Observe(now time.Time, run time.Duration) {
	o.sketch.Observe(now, run)
	o.derive()
}

func (o *Operation) derive() {
	if o.sketch.Sufficient() {
		o.long = o.sketch.FractionAbove(o.LongRunTime) >= LongFraction
		o.mean = o.sketch.Mean()
		return
	}
	o.long = o.Prior <= 0 || o.Prior > o.LongRunTime || o.sketch.FractionAbove(o.LongRunTime) > 0
	if o.mean = o.Prior; o.mean <= 0 {
		o.mean = max(o.LongRunTime, o.sketch.Mean())
	}
}

// Table holds the estimates of every configured operation. Its size is bounded
// by the configuration.
type Table struct {
	operations map[key]*Operation
}

type key struct {
	service   fleet.Service
	operation fleet.Operation
}

// SetConfiguration takes the operations and priors of a new version. What was
// observed of an operation that stays is kept.
func (t *Table) SetConfiguration(c *configuration.Configuration) {
	next := make(map[key]*Operation)
	for _, service := range c.Services {
		for _, declared := range service.Operations {
			k := key{service.Name, declared.Name}
			o := t.operations[k]
			if o == nil {
				o = &Operation{Service: service.Name, Name: declared.Name}
			}
			o.Prior, o.LongRunTime = declared.ExpectedRunTime, c.Limits.LongRunTime
			if o.LongRunTime <= 0 {
				o.LongRunTime = configuration.DefaultLimits.LongRunTime
			}
			o.derive()
			next[k] = o
		}
	}
	t.operations = next
}

// Find returns the estimate of an operation, or nil when it isn't configured.
func (t *Table) Find(service fleet.Service, operation fleet.Operation) *Operation {
	return t.operations[key{service, operation}]
}

// HasShort reports whether any configured operation counts as short.
func (t *Table) HasShort() bool {
	for _, o := range t.operations {
		if !o.long {
			return true
		}
	}
	return false
}
