package examples

import (
	"time"

	"lacewingfork.example/lacewingfork/operator"
)

// Camara returns the configuration of "Turnos de afilado de la Cámara": the client
// waits for each edge check, appointments must not be booked twice, full regrinds
// may wait overnight and bevel restorations run for days.
func Camara() operator.Configuration {
	limits := operator.DefaultLimits()
	limits.LongShare = 0.25 // short checks must not queue behind restorations
	return operator.Configuration{
		AllRegions: []operator.Region{
			{Name: "pampeana", DataCentres: []operator.DataCentre{"rosario", "la-plata"}},
			{Name: "cuyo", DataCentres: []operator.DataCentre{"mendoza"}},
		},
		Services: []operator.Service{
			{
				Name: "turnos",
				Operations: []operator.Operation{
					{
						Name: "edge-check", Class: operator.Urgent, Idempotent: true,
						Deadline: time.Second, ExpectedRunTime: 90 * time.Millisecond,
					},
					{
						Name: "booking", Class: operator.Urgent,
						Deadline: 4 * time.Second, ExpectedRunTime: 150 * time.Millisecond,
					},
				},
			},
			{
				Name: "catalogue", Regions: []operator.RegionName{"pampeana"},
				Operations: []operator.Operation{{
					Name: "search", Class: operator.Normal, Idempotent: true,
					Deadline: 10 * time.Second, ExpectedRunTime: 400 * time.Millisecond,
				}},
			},
		},
		Teams: []operator.Team{
			{Name: "mostrador", Share: 0.4, MaxJobs: 20},
			{Name: "taller", Share: 0.6, MaxJobs: 1000},
		},
		Kinds: []operator.BatchKind{
			{
				Name: "full-regrind", ExpectedRunTime: 3 * time.Hour,
				Resources: operator.Resources{Slots: 1, MilliCPU: 4000, MemoryMiB: 8192},
			},
			{
				Name: "bevel-restoration", ExpectedRunTime: 72 * time.Hour,
				Resources: operator.Resources{Slots: 2, MilliCPU: 12000, MemoryMiB: 32768, Accelerators: 1},
			},
		},
		Limits: limits,
	}
}
