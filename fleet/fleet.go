// Package fleet defines the value types that the other packages share: the
// identifiers and locations of machines, their resources and the classes of work.
package fleet

import "strings"

// InstanceID identifies an entry instance, one of the machines between callers
// and backend servers.
type InstanceID string

// Region names a set of data centres joined by fast links.
type Region string

// DataCentre names one site within a region.
type DataCentre string

// Rack names a rack within a data centre.
type Rack string

// BackendServerID identifies a backend server.
type BackendServerID string

// Caller identifies the sender of a request.
type Caller string

// Service names a latency-critical service, Operation one of its calls, and Team a
// group of callers or job owners with a quota.
type (
	Service   string
	Operation string
	Team      string
)

// RequestID identifies one request of a caller on all instances.
type RequestID string

// JobID identifies a batch job, and TaskID one of its tasks.
type (
	JobID  string
	TaskID string
)

// Epoch numbers the successive leases of a partition. It never decreases.
type Epoch uint64

// Offset is a position in a stream of the log service.
type Offset int64

// PartitionID identifies a partition: the backend servers of one rack. Partitions
// are the unit of ownership.
type PartitionID string

// PartitionOf returns the partition of a rack in a data centre.
func PartitionOf(dataCentre DataCentre, rack Rack) PartitionID {
	return PartitionID(string(dataCentre) + "/" + string(rack))
}

// DataCentre returns the data centre of the partition.
func (p PartitionID) DataCentre() DataCentre {
	name, _, _ := strings.Cut(string(p), "/")
	return DataCentre(name)
}

// Class is the class of a piece of work, ordered by how long its result can wait.
type Class uint8

const (
	// Urgent work is latency-critical: a user waits for the result.
	Urgent Class = iota
	// Normal work tolerates a short delay.
	Normal
	// Batch work tolerates a delay of hours.
	Batch
	// ClassCount is the number of classes.
	ClassCount = 3
)

// String returns the name of the class in the configuration and in metrics.
func (c Class) String() string {
	switch c {
	case Urgent:
		return "urgent"
	case Normal:
		return "normal"
	case Batch:
		return "batch"
	default:
		return "unknown"
	}
}

// ParseClass returns the class of a name that String returns. The second result is
// false for any other name.
func ParseClass(name string) (Class, bool) {
	for c := Urgent; c < ClassCount; c++ {
		if c.String() == name {
			return c, true
		}
	}
	return Batch, false
}

// Resources is the capacity of a backend server or the demand of a piece of work.
type Resources struct {
	Slots        int   `json:"slots" toml:"slots"`
	MilliCPU     int64 `json:"milli_cpu" toml:"milli_cpu"`
	MemoryMiB    int64 `json:"memory_mib" toml:"memory_mib"`
	Accelerators int   `json:"accelerators" toml:"accelerators"`
}

// Fits reports whether r fits into free.
func (r Resources) Fits(free Resources) bool {
	return r.Slots <= free.Slots && r.MilliCPU <= free.MilliCPU &&
		r.MemoryMiB <= free.MemoryMiB && r.Accelerators <= free.Accelerators
}

// Add returns r + other.
func (r Resources) Add(other Resources) Resources {
	return Resources{
		Slots: r.Slots + other.Slots, MilliCPU: r.MilliCPU + other.MilliCPU,
		MemoryMiB: r.MemoryMiB + other.MemoryMiB, Accelerators: r.Accelerators + other.Accelerators,
	}
}

// Sub returns r - other.
func (r Resources) Sub(other Resources) Resources {
	return Resources{
		Slots: r.Slots - other.Slots, MilliCPU: r.MilliCPU - other.MilliCPU,
		MemoryMiB: r.MemoryMiB - other.MemoryMiB, Accelerators: r.Accelerators - other.Accelerators,
	}
}

// BackendServer describes one backend server of the instance list.
type BackendServer struct {
	ID          BackendServerID `json:"id"`
	Address     string          `json:"address"` // host:port that receives requests
	Region      Region          `json:"region"`
	DataCentre  DataCentre      `json:"data_centre"`
	Rack        Rack            `json:"rack"`
	Capacity    Resources       `json:"capacity"`
	Connections int             `json:"connections"` // largest number of connections that it accepts
	Leaving     bool            `json:"leaving"`
}

// Partition returns the partition of the backend server.
func (b BackendServer) Partition() PartitionID { return PartitionOf(b.DataCentre, b.Rack) }

// Instance describes one entry instance of the instance list.
type Instance struct {
	ID          InstanceID `json:"id"`
	PeerAddress string     `json:"peer_address"` // host:port of the drpc listener
	Region      Region     `json:"region"`
	DataCentre  DataCentre `json:"data_centre"`
	Leaving     bool       `json:"leaving"`
}
