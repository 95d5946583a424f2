// Package operationsapi holds the JSON bodies of the operations server, which
// the entry instances' operations supervisor and the command line share; it has
// no state.
package operationsapi

import "lacewingfork.example/lacewingfork/fleet"

// Status is the body of GET /v1/status and GET /readyz.
type Status struct {
	Instance             fleet.InstanceID `json:"instance"`
	Region               fleet.Region     `json:"region"`
	DataCentre           fleet.DataCentre `json:"data_centre"`
	Ready                bool             `json:"ready"`
	Draining             bool             `json:"draining"`
	ConfigurationVersion int64            `json:"configuration_version"`
	// ListAge is the age of the newest instance list in milliseconds, or -1
	// before the first.
	ListAge    int64               `json:"list_age_ms"`
	Partitions []fleet.PartitionID `json:"partitions"`
}
