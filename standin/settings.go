package standin

import (
	"fmt"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// Settings configures the stand-in. Times are in milliseconds.
type Settings struct {
	// Listen is the host:port of the platform's API. With port 0 the kernel
	// chooses the port.
	Listen string `toml:"listen"`
	// BackendHost is the loopback address that backend servers listen on.
	BackendHost string `toml:"backend_host"`
	// ListLagMillis is the lag of the instance list.
	ListLagMillis int64 `toml:"list_lag_ms"`
	// UsageLagMillis is the minimum age of usage reports.
	UsageLagMillis int64 `toml:"usage_lag_ms"`
	// UsageEveryMillis is the time between two usage samples.
	UsageEveryMillis int64     `toml:"usage_every_ms"`
	AppendsPerSecond int       `toml:"appends_per_second"` // limit over all streams; 0 means no limit
	Retention        Retention `toml:"retention"`
	Capacity         Capacity  `toml:"backend_server"`
	Regions          []Region  `toml:"regions"`
	// Instances are the entry instances that are on the list from the start.
	Instances []Instance `toml:"instances"`
	// Interference lists by how many percent one running task of a class
	// extends the run time of each request on its backend server.
	Interference []Interference `toml:"interference"`
}

// Retention limits the number and the age of a stream's records. Zero means no
// limit.
type Retention struct {
	Records   int   `toml:"records"`
	AgeMillis int64 `toml:"age_ms"`
}

// Capacity is the capacity of each backend server.
type Capacity struct {
	Slots        int   `toml:"slots"`
	Connections  int   `toml:"connections"`
	MilliCPU     int64 `toml:"milli_cpu"`
	MemoryMiB    int64 `toml:"memory_mib"`
	Accelerators int   `toml:"accelerators"`
}

// Region is a region with its data centres.
type Region struct {
	Name        string       `toml:"name"`
	DataCentres []DataCentre `toml:"data_centres"`
}

// DataCentre is a data centre with Racks racks of BackendServers backend servers
// each.
type DataCentre struct {
	Name           string `toml:"name"`
	Racks          int    `toml:"racks"`
	BackendServers int    `toml:"backend_servers_per_rack"`
}

// Instance is an entry instance on the instance list.
type Instance struct {
	ID          string `toml:"id"`
	PeerAddress string `toml:"peer_address"`
	Region      string `toml:"region"`
	DataCentre  string `toml:"data_centre"`
}

// Interference is the slowdown that a task of one class of batch work causes.
type Interference struct {
	Class   string `toml:"class"`
	Percent int    `toml:"percent"`
}

// DefaultSettings returns settings with one region of one data centre with two
// racks of four backend servers. Their capacity is that of the users' servers.
func DefaultSettings() Settings {
	return Settings{
		Listen:           "127.0.0.1:0",
		BackendHost:      "127.0.0.1",
		ListLagMillis:    500,
		UsageLagMillis:   1000,
		UsageEveryMillis: 250,
		Retention:        Retention{Records: 100_000, AgeMillis: time.Hour.Milliseconds()},
		Capacity:         Capacity{Slots: 8, Connections: 64, MilliCPU: 64_000, MemoryMiB: 250_000},
		Regions: []Region{{Name: "accra", DataCentres: []DataCentre{
			{Name: "accra-1", Racks: 2, BackendServers: 4},
		}}},
	}
}

func (s Settings) listLag() time.Duration { return time.Duration(s.ListLagMillis) * time.Millisecond }

func (s Settings) usageLag() time.Duration { return time.Duration(s.UsageLagMillis) * time.Millisecond }

func (s Settings) usageEvery() time.Duration {
	return time.Duration(s.UsageEveryMillis) * time.Millisecond
}

// interference returns by how many percent a task of the class slows requests.
func (s Settings) interference(class string) int {
	for _, i := range s.Interference {
		if i.Class == class {
			return i.Percent
		}
	}
	return 0
}

// backendServers returns the configured backend servers, without addresses and
// capacities.
func (s Settings) backendServers() []fleet.BackendServer {
	var list []fleet.BackendServer
	for _, region := range s.Regions {
		for _, dc := range region.DataCentres {
			for rack := range dc.Racks {
				for n := range dc.BackendServers {
					list = append(list, s.backendServer(region.Name, dc.Name, rack+1, n+1))
				}
			}
		}
	}
	return list
}

func (s Settings) backendServer(region, dataCentre string, rack, n int) fleet.BackendServer {
	rackName := fmt.Sprintf("rack-%d", rack)
	return fleet.BackendServer{
		ID:         fleet.BackendServerID(fmt.Sprintf("%s-%s-server-%d", dataCentre, rackName, n)),
		Region:     fleet.Region(region),
		DataCentre: fleet.DataCentre(dataCentre),
		Rack:       fleet.Rack(rackName),
	}
}

// resources returns the capacity without the connections.
func (c Capacity) resources() fleet.Resources {
	return fleet.Resources{
		Slots: c.Slots, MilliCPU: c.MilliCPU, MemoryMiB: c.MemoryMiB, Accelerators: c.Accelerators,
	}
}

func (i Instance) instance() fleet.Instance {
	return fleet.Instance{
		ID: fleet.InstanceID(i.ID), PeerAddress: i.PeerAddress,
		Region: fleet.Region(i.Region), DataCentre: fleet.DataCentre(i.DataCentre),
	}
}
