// Package settings holds the settings of one entry instance of the scheduler,
// read from a TOML file at the start of the process and again on a reload. Load
// reports all problems of the file together.
package settings

import (
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"lacewingfork.example/lacewingfork/findings"
	"lacewingfork.example/lacewingfork/findings/tomlfile"
	"lacewingfork.example/lacewingfork/fleet"
)

// Settings are the settings of one entry instance. A reload logs the names of
// changed sections and the state dump prints all fields, so the field names are
// visible outside.
type Settings struct {
	Instance  Instance
	Listen    Listen
	Callers   Callers
	Store     Store
	Advisor   Advisor
	Platform  Platform
	Decisions Decisions
	Bounds    Bounds
	Process   Process
}

// Instance identifies the instance and gives its location and size.
type Instance struct {
	ID         fleet.InstanceID
	Region     fleet.Region
	DataCentre fleet.DataCentre
	Processor  float64 // cores
	MemoryMiB  int
	LinkMbps   float64 // 0 if it is not known
}

// Listen holds the listen addresses as IP:port.
type Listen struct {
	Callers    string
	Peers      string
	Operations string
}

// Callers holds the limits on callers' connections and bodies. The descriptions of
// the settings give their meaning.
type Callers struct {
	Connections  int
	BodyMiB      int
	BodyTime     time.Duration
	BodyRate     int
	HeaderTime   time.Duration
	IdleTime     time.Duration
	ResponseTime time.Duration
}

// Store is the platform's store.
type Store struct{ Address string }

// Advisor is the service that decides which workers may run steps of some
// queues.
type Advisor struct{ Address string }

// Decisions switches on decisions that not every deployment gains from.
type Decisions struct{ ServingRoom bool }

// Platform says which parts of the platform's rules are in force.
type Platform struct {
	Contracts string
	Zones     string
}

// ContractPlaces is the contract of deployments whose demand or servers are uneven, or
// whose data centres may be evacuated.
const ContractPlaces = "places"

// Contracts returns the parts of the platform's rules that are in force.
func (s Settings) Contracts() []string { return strings.Split(s.Platform.Contracts, ",") }

// HasContract reports whether a part of the platform's rules is in force.
func (s Settings) HasContract(name string) bool { return slices.Contains(s.Contracts(), name) }

// Regions returns the regions of the data centres. Parts of the setting that name none
// are left out: such a data centre is in no region that a queue may name.
func (s Settings) Regions() map[fleet.DataCentre]fleet.Region {
	regions := map[fleet.DataCentre]fleet.Region{}
	for part := range strings.SplitSeq(s.Platform.Zones, ",") {
		dataCentre, region, _ := strings.Cut(part, "=")
		dataCentre, region = strings.TrimSpace(dataCentre), strings.TrimSpace(region)
		if dataCentre != "" && region != "" {
			regions[fleet.DataCentre(dataCentre)] = fleet.Region(region)
		}
	}
	return regions
}

// Bounds are the limits that the platform sets. The descriptions of the settings
// give their meaning.
type Bounds struct {
	LeaseMax     time.Duration
	StatusKept   time.Duration
	Impact       time.Duration
	RemoteFactor float64
	Grace        time.Duration
}

// Process holds process-wide settings.
type Process struct{ LogLevel string }

// Load reads and validates a settings file. The error is a *findings.Error.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, findings.List{{File: path, Problem: err.Error(), Expected: "a readable settings file"}}.Err()
	}
	return Parse(path, data)
}

// Parse parses the content of a settings file. file is the name used in
// findings.
func Parse(file string, data []byte) (Settings, error) {
	var s Settings
	doc := tomlfile.Parse(file, data)
	if doc.Malformed() {
		return Settings{}, doc.Err()
	}
	root := doc.Root()
	for _, section := range sections {
		tomlfile.Fill(root.Table(section.Name), section.Keys, &s)
	}
	return s, doc.Err()
}

// Section is one table of the settings file.
type Section struct {
	Name string
	Keys []tomlfile.Key[Settings]
}

// Sections returns all settings with their defaults, ranges and units.
func Sections() []Section { return slices.Clone(sections) }

var logLevels = []string{"debug", "info", "warn", "error"}

var sections = []Section{
	{Name: "instance", Keys: []tomlfile.Key[Settings]{
		{
			Name: "id", Description: "identifier of this entry instance, unique in the deployment", Required: true,
			Range: "not empty", Valid: notEmpty, Field: func(s *Settings) any { return &s.Instance.ID },
		},
		{
			Name: "region", Description: "region that the instance is in", Required: true,
			Range: "not empty", Valid: notEmpty, Field: func(s *Settings) any { return &s.Instance.Region },
		},
		{
			Name: "data_centre", Description: "data centre that the instance is in", Required: true,
			Range: "not empty", Valid: notEmpty, Field: func(s *Settings) any { return &s.Instance.DataCentre },
		},
		{
			Name: "processor", Description: "share of a core that the instance has; larger instances are preferred as holders", Unit: "cores",
			Default: 1.0, Min: 0.01, Max: 1024.0, Field: func(s *Settings) any { return &s.Instance.Processor },
		},
		{
			Name: "memory_mib", Description: "memory of the instance", Unit: "MiB",
			Default: 256, Min: 64, Max: 1 << 20, Field: func(s *Settings) any { return &s.Instance.MemoryMiB },
		},
		{
			Name: "link_mbps", Description: "rate of the instance's own link, each way; 0 if it is not known", Unit: "Mbit/s",
			Default: 0.0, Min: 0.0, Max: 1e6, Field: func(s *Settings) any { return &s.Instance.LinkMbps },
		},
	}},
	{Name: "listen", Keys: []tomlfile.Key[Settings]{
		{
			Name: "callers", Description: "listen address for callers (HTTP)", Required: true,
			Range: addressRange, Valid: validAddress, Field: func(s *Settings) any { return &s.Listen.Callers },
		},
		{
			Name: "peers", Description: "listen address for other entry instances (drpc), which they also dial", Required: true,
			Range: addressRange, Valid: validAddress, Field: func(s *Settings) any { return &s.Listen.Peers },
		},
		{
			Name: "operations", Description: "listen address for readiness, metrics and the state dump (HTTP)", Required: true,
			Range: addressRange, Valid: validAddress, Field: func(s *Settings) any { return &s.Listen.Operations },
		},
	}},
	{Name: "callers", Keys: callersKeys},
	{Name: "store", Keys: []tomlfile.Key[Settings]{
		{
			Name: "address", Description: "address of the platform's store", Required: true,
			Range: addressRange, Valid: validAddress, Field: func(s *Settings) any { return &s.Store.Address },
		},
	}},
	{Name: "advisor", Keys: []tomlfile.Key[Settings]{
		{
			Name: "address", Description: "address of the platform's advisor; empty if no queue has one", Default: "",
			Range: "empty or IP:port", Valid: validAddressOrEmpty, Field: func(s *Settings) any { return &s.Advisor.Address },
		},
	}},
	{Name: "platform", Keys: []tomlfile.Key[Settings]{
		{
			Name: "contracts", Description: "parts of the platform's rules that are in force, separated by commas", Default: "",
			Range: "names separated by commas", Valid: func(string) bool { return true }, Field: func(s *Settings) any { return &s.Platform.Contracts },
		},
		{
			Name: "zones", Description: "regions of the data centres; the tasks of a queue with allowed regions start only in data centres that it names", Default: "",
			Range: "DATA_CENTRE=REGION separated by commas", Valid: func(string) bool { return true }, Field: func(s *Settings) any { return &s.Platform.Zones },
		},
	}},
	{Name: "decisions", Keys: []tomlfile.Key[Settings]{
		{
			Name: "serving_room", Description: "keep best-effort work from pushing serving tasks over their targets, at the cost of its own throughput; for deployments whose serving tasks need up to half of the processors",
			Default: false, Field: func(s *Settings) any { return &s.Decisions.ServingRoom },
		},
	}},
	{Name: "bounds", Keys: []tomlfile.Key[Settings]{
		{
			Name: "lease_max", Description: "longest lease that a worker grants",
			Default: 10 * time.Second, Min: time.Second, Max: time.Hour, Field: func(s *Settings) any { return &s.Bounds.LeaseMax },
		},
		{
			Name: "status_kept", Description: "how long the state of a finished job can be queried",
			Default: 2 * time.Minute, Min: time.Second, Max: 24 * time.Hour, Field: func(s *Settings) any { return &s.Bounds.StatusKept },
		},
		{
			Name: "impact", Description: "how long a task may exceed its target because of other tasks on its server",
			Default: 4 * time.Second, Min: time.Second, Max: time.Hour, Field: func(s *Settings) any { return &s.Bounds.Impact },
		},
		{
			Name: "remote_factor", Description: "slowdown of a task that runs far from its data",
			Default: 1.5, Min: 1.0, Max: 100.0, Field: func(s *Settings) any { return &s.Bounds.RemoteFactor },
		},
		{
			Name: "grace", Description: "time from a stop signal until the process is killed",
			Default: 6 * time.Second, Min: 100 * time.Millisecond, Max: time.Hour, Field: func(s *Settings) any { return &s.Bounds.Grace },
		},
	}},
	{Name: "process", Keys: []tomlfile.Key[Settings]{
		{
			Name: "log_level", Description: "lowest severity that is written to the log", Default: "info",
			Range: strings.Join(logLevels, ", "), Valid: func(text string) bool { return slices.Contains(logLevels, text) },
			Field: func(s *Settings) any { return &s.Process.LogLevel },
		},
	}},
}

// addressRange is the expected form of an address, as shown in findings.
const addressRange = "IP:port"

func notEmpty(text string) bool { return text != "" }

func validAddressOrEmpty(text string) bool { return text == "" || validAddress(text) }

func validAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}
