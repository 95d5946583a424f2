// Package configuration holds the values that operators publish and the rules
// by which they come into force: Check validates one configuration and Fold
// orders the publications of the log. The configuration duty, the operators'
// library and the command line call it; it owns no state, and it reports a
// fault as findings or as the verdict of a publication.
package configuration

import (
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// Configuration is one published version. It is immutable.
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

// BatchKind is a kind of batch work that jobs may name.
type BatchKind struct {
	Name string
	// Resources is what one task needs when the job doesn't say.
	Resources fleet.Resources
	// ExpectedRunTime is the prior for the run time of a task.
	ExpectedRunTime time.Duration
}

// Service is a latency-critical service that callers may use.
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
	// Deadline applies when the caller names none; at most Limits.MaxDeadline.
	Deadline time.Duration
	// ExpectedRunTime is the prior for the run time until runs are observed.
	ExpectedRunTime time.Duration
}

// Team is a group of callers or job owners with a quota.
type Team struct {
	Name fleet.Team
	// Share is the part of the slots that the team is guaranteed, from 0 to
	// 1; idle shares may be borrowed.
	Share float64
	// MaxJobs bounds the waiting and running jobs of the team.
	MaxJobs int
}

// Limits bounds what callers and jobs may use.
type Limits struct {
	MaxDeadline time.Duration
	// LongShare is the part of each backend server's slots that long work
	// may hold, from 0 to 1.
	LongShare float64
	// LongRunTime is the run time above which work counts as long.
	LongRunTime time.Duration
	// EvictionsPerMinute bounds evictions in a partition.
	EvictionsPerMinute int
	// RegionBytesPerSecond bounds traffic to other regions of one instance.
	RegionBytesPerSecond int64
}

// DefaultLimits apply where a publication is silent.
var DefaultLimits = Limits{
	MaxDeadline:          60 * time.Second,
	LongShare:            0.5,
	LongRunTime:          2 * time.Second,
	EvictionsPerMinute:   6,
	RegionBytesPerSecond: 500_000, // 6 instances use 24 of the link's 30 Mbit/s
}

// Find returns an operation of a service, or nil.
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
