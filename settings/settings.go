// Package settings holds the settings of one entry instance, read from a TOML
// file when the process starts. The command starts the process only when Load
// returns no error; it owns no state, and nothing changes while the process
// runs.
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
// value lies in the range that its key declares.
type Settings struct {
	Instance Instance
	Listen   Listen
	Platform Platform
	Lease    Lease
	Limits   Limits
	Process  Process
}

// Instance says who and where the instance is.
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

// Platform holds the base URLs of the platform's parts, without a trailing
// slash.
type Platform struct {
	Log     string
	List    string
	Workers string
}

// Lease holds the times of partition leases; all instances of a region need
// the same.
type Lease struct {
	TTL time.Duration
	// ListLag bounds the lag of the platform's instance list.
	ListLag time.Duration
	// ListAge is the age from which a snapshot of the list is stale.
	ListAge time.Duration
	// Margin covers the drift between two monotonic clocks within TTL.
	Margin time.Duration
}

// Limits bounds what one instance accepts.
type Limits struct {
	BodyBytes          int64
	HeaderBytes        int
	MaxDeadline        time.Duration
	ConnectionMaxAge   time.Duration
	ExplanationHistory int // events
}

// Process holds what concerns the process as a whole.
type Process struct {
	// StopTimeout bounds a graceful stop; requests that still run afterwards
	// are cut off.
	StopTimeout time.Duration
	LogLevel    string
}

// Load reads and checks a settings file. The error is a *findings.Error that
// holds everything that is wrong with the file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, findings.List{{File: path, Problem: err.Error(), Expected: "a readable settings file"}}.Err()
	}
	return Parse(path, data)
}

// Parse is Load for a file's content; file is its name in the findings.
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
	s.checkTogether(doc)
	if err := doc.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// listPollAllowance is the time between two calls of the list watcher.
const listPollAllowance = 500 * time.Millisecond

// checkTogether reports values that are each in range but don't fit together.
func (s Settings) checkTogether(doc *tomlfile.Document) {
	if s.Lease.Margin > s.Lease.TTL/4 && !doc.Reported("lease.margin") && !doc.Reported("lease.ttl") {
		doc.Report("lease.margin", "is more than a quarter of lease.ttl", "at most "+(s.Lease.TTL/4).String())
	}
	// Snapshots are dated by what they show and fetched every 500 ms, so a
	// smaller age would call every one of them stale.
	if s.Lease.ListAge < s.Lease.ListLag+listPollAllowance && !doc.Reported("lease.list_age") && !doc.Reported("lease.list_lag") {
		doc.Report("lease.list_age", "is less than lease.list_lag and the time between two calls", "at least "+(s.Lease.ListLag+listPollAllowance).String())
	}
	host, _, err := net.SplitHostPort(s.Listen.Peers)
	if err == nil && net.ParseIP(host).IsUnspecified() && s.Listen.AdvertisePeers == "" {
		doc.Report("listen.advertise_peers", "is missing although listen.peers names no single address",
			"the IP:port that other instances dial")
	}
}
