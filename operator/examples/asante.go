// Package examples describes two deployments with package operator. Only tests use
// it.
package examples

import (
	"time"

	"lacewingfork.example/lacewingfork/operator"
)

// Asante returns the configuration of "The Asante Sockyard Job Cluster": a cutter
// waits for each panel layout, orders must not be booked twice, dye checks
// tolerate a short delay and seam watchers run all day.
func Asante() operator.Configuration {
	limits := operator.DefaultLimits()
	limits.LongShare = 0.375 // 3 of 8 slots; the rest stay free for layouts, which must not queue
	return operator.Configuration{
		AllRegions: []operator.Region{
			{Name: "accra", DataCentres: []operator.DataCentre{"accra-1", "accra-2"}},
			{Name: "takoradi", DataCentres: []operator.DataCentre{"takoradi-1"}},
		},
		Services: []operator.Service{{
			Name: "stitch-planner",
			Operations: []operator.Operation{
				{
					Name: "layout", Class: operator.Urgent, Idempotent: true,
					Deadline: 800 * time.Millisecond, ExpectedRunTime: 120 * time.Millisecond,
				},
				{
					Name: "book-order", Class: operator.Urgent,
					Deadline: 5 * time.Second, ExpectedRunTime: 200 * time.Millisecond,
				},
				{
					Name: "dye-check", Class: operator.Normal, Idempotent: true,
					Deadline: 20 * time.Second, ExpectedRunTime: 1500 * time.Millisecond,
				},
			},
		}},
		Teams: []operator.Team{
			{Name: "cutting", Share: 0.5, MaxJobs: 50},
			{Name: "dyeing", Share: 0.25, MaxJobs: 200},
			{Name: "seams", Share: 0.25, MaxJobs: 500},
		},
		Kinds: []operator.BatchKind{{
			Name: "seam-watch", ExpectedRunTime: 10 * time.Hour,
			Resources: operator.Resources{Slots: 1, MilliCPU: 6000, MemoryMiB: 16384},
		}},
		Limits: limits,
	}
}
