package standin

import (
	"fmt"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// Settings describe the stand-in. Times are in milliseconds.
type Settings struct {
	// Listen is host:port of the platform's API; port 0 lets the kernel choose.
	Listen string `toml:"listen"`
	// BackendHost is the loopback address that backend servers listen on.
	BackendHost      string    `toml:"backend_host"`
	ListLagMillis    int64     `toml:"list_lag_ms"`
	UsageLagMillis   int64     `toml:"usage_lag_ms"`
	UsageEveryMillis int64     `toml:"usage_every_ms"`
	AppendsPerSecond int       `toml:"appends_per_second"` // of all streams; 0 means no bound
	Retention        Retention `toml:"retention"`
	Capacity         Capacity  `toml:"backend_server"`
	Regions          []Region  `toml:"regions"`
	// Instances are the entry instances on the list from the start.
	Instances []Instance `toml:"instances"`
	// Interference is how many percent one running task of a class adds to the
	// run time of each request on its backend server.
	Interference []Interference `toml:"interference"`
}

// Retention bounds what a stream keeps. Zero means no bound.
type Retention struct {
	Records   int   `toml:"records"`
	AgeMillis int64 `toml:"age_ms"`
}

// Capacity is what each backend server holds.
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

// DataCentre has Racks racks with BackendServers backend servers each.
type DataCentre struct {
	Name           string `toml:"name"`
	Racks          int    `toml:"racks"`
	BackendServers int    `toml:"backend_servers_per_rack"`
}

// Instance is an entry instance on the list.
type Instance struct {
	ID          string `toml:"id"`
	PeerAddress string `toml:"peer_address"`
	Region      string `toml:"region"`
	DataCentre  string `toml:"data_centre"`
}

// Interference is the slowdown by one class of batch work.
type Interference struct {
	Class   string `toml:"class"`
	Percent int    `toml:"percent"`
}

// DefaultSettings have one region of one data centre and two racks of four
// backend servers with the users' sizes.
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

func (s Settings) interference(class string) int {
	for _, i := range s.Interference {
		if i.Class == class {
			return i.Percent
		}
	}
	return 0
}

// backendServers lists the configured backend servers, without addresses.
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

// resources is the configured capacity of a backend server.
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
