// Package configuration contains the configuration that operators publish and
// the rules by which it comes into force: Check validates one configuration and
// Fold applies the publications of the log in their order. The configuration
// duty, the operators' library and the command line use it. It holds no state
// and reports errors as findings or as the verdict of a publication.
package configuration

import (
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// Configuration is one published version. It must not be changed.
type Configuration struct {
	AllRegions []Region
	Services   []Service
	Teams      []Team
	Kinds      []BatchKind
	Limits     Limits
}

// Region is one region of the deployment with its data centres.
type Region struct {
	Name        fleet.Region
	DataCentres []fleet.DataCentre
}

// BatchKind is a kind of batch work; jobs refer to it by name.
type BatchKind struct {
	Name string
	// Resources is what one task needs if its job doesn't specify it.
	Resources fleet.Resources
	// ExpectedRunTime is assumed for a task until runs are observed.
	ExpectedRunTime time.Duration
}

// Service is a latency-critical service that callers may call.
type Service struct {
	Name       fleet.Service
	Operations []Operation
	// Regions lists where the service's backend servers are; empty means all.
	Regions []fleet.Region
}

// Operation is one call of a service.
type Operation struct {
	Name  fleet.Operation
	Class fleet.Class
	// Idempotent operations may run more than once for one request.
	Idempotent bool
	// Deadline applies if the caller sets none; at most Limits.MaxDeadline.
	Deadline time.Duration
	// ExpectedRunTime is assumed for the operation until runs are observed.
	ExpectedRunTime time.Duration
}

// Team is a group of callers or job owners with a quota.
type Team struct {
	Name fleet.Team
	// Share is the fraction of the slots that the team is guaranteed, from 0
	// to 1; other teams may use idle shares.
	Share float64
	// MaxJobs bounds the waiting and running jobs of the team.
	MaxJobs int
}

// Limits bounds what callers and jobs may use.
type Limits struct {
	MaxDeadline time.Duration
	// LongShare is the fraction of each backend server's slots that long work
	// may hold, from 0 to 1.
	LongShare float64
	// LongRunTime is the run time above which work counts as long.
	LongRunTime time.Duration
	// EvictionsPerMinute bounds the evictions in a partition.
	EvictionsPerMinute int
	// RegionBytesPerSecond bounds the traffic of one instance to other regions.
	RegionBytesPerSecond int64
}

// DefaultLimits apply to the limits that a publication doesn't set.
var DefaultLimits = Limits{
	MaxDeadline:          60 * time.Second,
	LongShare:            0.5,
	LongRunTime:          2 * time.Second,
	EvictionsPerMinute:   6,
	RegionBytesPerSecond: 500_000, // 6 instances use 24 Mbit/s of a 30 Mbit/s link
}

// Find returns an operation of a service, or nil if it isn't configured.
func (c *Configuration) Find(service fleet.Service, operation fleet.Operation) *Operation {
	for i := range c.Services {
		if c.Services[i].Name != service {
			continue
		}
		for j := range c.Services[i].Operations {
			if c.Services[i].Operations[j].Name == operation {
				return &c.Services[i].Operations[j]
			}
		}
	}
	return nil
}

// Regions returns the regions in which a service runs; empty means all.
func (c *Configuration) Regions(service fleet.Service) []fleet.Region {
	for i := range c.Services {
		if c.Services[i].Name == service {
			return c.Services[i].Regions
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (c *Configuration) Service(name fleet.Service) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// FindKind returns a kind of batch work, or nil.
func (c *Configuration) FindKind(name string) *BatchKind {
	for i := range c.Kinds {
		if c.Kinds[i].Name == name {
			return &c.Kinds[i]
		}
	}
	return nil
}
