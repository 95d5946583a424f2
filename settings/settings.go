// Package settings defines the settings of one entry instance, which are read
// from a TOML file when the process starts. The process starts only when Load
// returns no error. The package holds no state, and the settings don't change
// while the process runs.
package settings

import (
	"net"
	"os"
	"time"

	"lacewingfork.example/lacewingfork/findings"
	"lacewingfork.example/lacewingfork/findings/tomlfile"
	"lacewingfork.example/lacewingfork/fleet"
)

// Settings are the settings of one entry instance. Load guarantees that each
// value is in the range of its key in Sections.
type Settings struct {
	Instance Instance
	Listen   Listen
	Platform Platform
	Lease    Lease
	Limits   Limits
	Process  Process
}

// Instance holds the identifier and the location of the instance.
type Instance struct {
	ID         fleet.InstanceID
	Region     fleet.Region
	DataCentre fleet.DataCentre
}

// Listen holds the listen addresses as IP:port; port 0 lets the kernel choose.
type Listen struct {
	Callers    string
	Peers      string
	Operations string
	// AdvertisePeers is the address that other instances dial. Empty means
	// the bound address of Peers; port 0 stands for its bound port.
	AdvertisePeers string
}

// Platform holds the base URLs of the platform's services, without a trailing
// slash.
type Platform struct {
	Log     string
	List    string
	Workers string
}

// Lease holds the durations of partition leases. They must be the same on all
// instances of a region.
type Lease struct {
	// TTL is how long a lease lasts without a renewal.
	TTL time.Duration
	// ListLag bounds the lag of the platform's instance list.
	ListLag time.Duration
	// ListAge is the age, lag included, from which a snapshot of the list is
	// stale.
	ListAge time.Duration
	// Margin is the allowance for drift between two monotonic clocks within TTL.
	Margin time.Duration
}

// Limits holds the limits of one instance.
type Limits struct {
	BodyBytes          int64         // largest body of a request
	HeaderBytes        int           // largest header of a request
	MaxDeadline        time.Duration // longest deadline of a request
	ConnectionMaxAge   time.Duration // age at which a pooled connection is replaced
	ExplanationHistory int           // number of events kept

	// The limits on callers. The descriptions of the settings give their meaning.
	Connections  int
	BodyMiB      int
	BodyTime     time.Duration
	BodyRate     int
	HeaderTime   time.Duration
	IdleTime     time.Duration
	ResponseTime time.Duration
}

// Process holds the settings of the process as a whole.
type Process struct {
	// StopTimeout bounds a graceful stop. Requests still in flight afterwards
	// are cut off.
	StopTimeout time.Duration
	LogLevel    string
}

// Load reads and checks a settings file. The error is a *findings.Error that
// holds all faults of the file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, findings.List{{File: path, Problem: err.Error(), Expected: "a readable settings file"}}.Err()
	}
	return Parse(path, data)
}

// Parse checks the content of a settings file as Load does; file is its name in
// the findings.
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
	s.checkCombinations(doc)
	if err := doc.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// listPollInterval is the time between two polls of the instance list.
const listPollInterval = 500 * time.Millisecond

// checkCombinations reports values that are valid on their own but not in
// combination.
func (s Settings) checkCombinations(doc *tomlfile.Document) {
	if s.Lease.Margin > s.Lease.TTL/4 && !doc.Reported("lease.margin") && !doc.Reported("lease.ttl") {
		doc.Report("lease.margin", "is more than a quarter of lease.ttl", "at most "+(s.Lease.TTL/4).String())
	}
	// A fetched snapshot is up to list_lag old and is used until the next poll.
	// With a smaller list_age it would become stale before that.
	if s.Lease.ListAge < s.Lease.ListLag+listPollInterval && !doc.Reported("lease.list_age") && !doc.Reported("lease.list_lag") {
		doc.Report("lease.list_age", "is less than lease.list_lag plus the poll interval of the list", "at least "+(s.Lease.ListLag+listPollInterval).String())
	}
	host, _, err := net.SplitHostPort(s.Listen.Peers)
	if err == nil && net.ParseIP(host).IsUnspecified() && s.Listen.AdvertisePeers == "" {
		doc.Report("listen.advertise_peers", "is missing although listen.peers is an unspecified address",
			"the IP:port that other instances dial")
	}
}
