// Package operationsapi defines the JSON bodies of the operations server. The entry
// instances' operations supervisor and the command line share it; it has no state.
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
	// ListAge is the age of the latest instance list in milliseconds, or -1
	// before the first one.
	ListAge    int64               `json:"list_age_ms"`
	Partitions []fleet.PartitionID `json:"partitions"`
}
