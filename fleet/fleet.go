// Package fleet holds the value types that every other package shares: who and
// where machines are, what they hold and what class of work they carry.
package fleet

import "strings"

// InstanceID identifies an entry instance, one of the machines between callers
// and backend servers.
type InstanceID string

// Region is a set of data centres joined by fast links.
type Region string

// DataCentre is one site within a region.
type DataCentre string

// Rack is a rack within a data centre.
type Rack string

// BackendServerID identifies a backend server.
type BackendServerID string

// Caller identifies who sent a request.
type Caller string

// Service names a latency-critical service; Operation names one of its calls.
type (
	Service   string
	Operation string
	Team      string
)

// RequestID identifies one request of a caller across instances.
type RequestID string

// JobID identifies a batch job; TaskID one of its tasks.
type (
	JobID  string
	TaskID string
)

// Epoch counts the leases of a partition. It only grows.
type Epoch uint64

// Offset is a position in a stream of the log service.
type Offset int64

// PartitionID identifies the backend servers of one rack, the unit of
// ownership.
type PartitionID string

// PartitionOf returns the partition of a rack in a data centre.
func PartitionOf(dataCentre DataCentre, rack Rack) PartitionID {
	return PartitionID(string(dataCentre) + "/" + string(rack))
}

// DataCentre returns the data centre that the partition lies in.
func (p PartitionID) DataCentre() DataCentre {
	name, _, _ := strings.Cut(string(p), "/")
	return DataCentre(name)
}

// Class orders work by how long someone can wait for it.
type Class uint8

const (
	// Urgent work is answered while someone waits.
	Urgent Class = iota
	// Normal work can wait a little.
	Normal
	// Batch work may wait for hours.
	Batch
	// ClassCount is the number of classes.
	ClassCount = 3
)

// String returns the class's name in configuration and metrics.
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

// ParseClass is the inverse of String.
func ParseClass(name string) (Class, bool) {
	for c := Urgent; c < ClassCount; c++ {
		if c.String() == name {
			return c, true
		}
	}
	return Batch, false
}

// Resources is what a backend server holds or a piece of work needs.
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

// BackendServer is one backend server as the instance list shows it.
type BackendServer struct {
	ID          BackendServerID `json:"id"`
	Address     string          `json:"address"` // host:port for requests
	Region      Region          `json:"region"`
	DataCentre  DataCentre      `json:"data_centre"`
	Rack        Rack            `json:"rack"`
	Capacity    Resources       `json:"capacity"`
	Connections int             `json:"connections"` // most connections it accepts
	Leaving     bool            `json:"leaving"`
}

// Partition returns the partition that the backend server belongs to.
func (b BackendServer) Partition() PartitionID { return PartitionOf(b.DataCentre, b.Rack) }

// Instance is one entry instance as the instance list shows it.
type Instance struct {
	ID          InstanceID `json:"id"`
	PeerAddress string     `json:"peer_address"` // host:port of the drpc listener
	Region      Region     `json:"region"`
	DataCentre  DataCentre `json:"data_centre"`
	Leaving     bool       `json:"leaving"`
}
