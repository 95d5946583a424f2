package estimate

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/fleet"
)

// LongFraction is the fraction of an operation's runs above LongRunTime from
// which the operation counts as long. If one run in ten is long, one of the 8
// slots of a backend server is usually held by a long run; a few in a hundred
// don't matter.
const LongFraction = 0.1

// Operation is the estimate for one operation of a service.
type Operation struct {
	Service fleet.Service
	Name    fleet.Operation
	// Prior is the declared run time, or 0 if none was declared.
	Prior time.Duration
	// LongRunTime is the run time above which work counts as long.
	LongRunTime time.Duration

	sketch Sketch
	// long and mean are recomputed after each observation.
	long bool
	mean time.Duration
}

// Long reports whether the operation counts as long work.
func (o *Operation) Long() bool { return o.long }

// Mean returns the expected run time. It is 0 only if nothing is known.
func (o *Operation) Mean() time.Duration { return o.mean }

// P10 returns the 10th percentile of the run times, or 0 if it wasn't observed
// recently. Work with less time to its deadline can be refused.
func (o *Operation) P10(now time.Time) time.Duration {
	if !o.sketch.Fresh(now) {
		return 0
	}
	return o.sketch.Quantile(0.1)
}

// P90 returns the 90th percentile of the run times, or 0 if it wasn't observed
// recently.
func (o *Operation) P90(now time.Time) time.Duration {
	if !o.sketch.Fresh(now) {
		return 0
	}
	return o.sketch.Quantile(0.9)
}

// Observe adds a run time.
func (o *Operation) Observe(now time.Time, run time.Duration) {
	o.sketch.Observe(now, run)
	o.recompute()
}

// recompute updates long and mean from the sketch or, until it has enough
// observations, from the prior.
func (o *Operation) recompute() {
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

// SetConfiguration applies the operations and priors of a new configuration.
// The observations of an operation that stays are kept.
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
			o.recompute()
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
