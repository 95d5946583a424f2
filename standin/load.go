package standin

import (
	"bytes"
	"fmt"
	"net"
	"os"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"

	"lacewingfork.example/lacewingfork/findings"
)

// maxBackendServers limits the backend servers of a settings file, because each
// one opens a listener in the same process.
const maxBackendServers = 1000

// LoadSettings reads a settings file over the defaults. All errors in the file
// are returned together as a *findings.Error.
func LoadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return ParseSettings(path, data)
}

// ParseSettings parses the data of a settings file over the defaults. The name is
// used in errors.
func ParseSettings(name string, data []byte) (Settings, error) {
	settings := DefaultSettings()
	defaults := settings.Regions
	settings.Regions = nil
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil {
		return Settings{}, decodeFindings(name, err).Err()
	}
	if settings.Regions == nil {
		settings.Regions = defaults
	}
	return settings, settings.check(name).Err()
}

// decodeFindings converts a TOML decoding error to findings.
func decodeFindings(name string, err error) findings.List {
	var list findings.List
	var strict *toml.StrictMissingError
	var decode *toml.DecodeError
	switch {
	case errors.As(err, &strict):
		for _, e := range strict.Errors {
			line, _ := e.Position()
			list.Add(findings.Finding{File: name, Line: line, Key: keyOf(e.Key()), Problem: "unknown key", Expected: "a key of the stand-in's settings"})
		}
	case errors.As(err, &decode):
		line, _ := decode.Position()
		list.Add(findings.Finding{File: name, Line: line, Key: keyOf(decode.Key()), Problem: decode.Error()})
	default:
		list.Add(findings.Finding{File: name, Problem: err.Error()})
	}
	return list
}

// keyOf returns the parts of the key joined by dots.
func keyOf(key toml.Key) string {
	out := ""
	for i, part := range key {
		if i > 0 {
			out += "."
		}
		out += part
	}
	return out
}

// check returns a finding for each value out of range.
func (s Settings) check(name string) findings.List {
	var list findings.List
	add := func(key, problem, expected string) {
		list.Add(findings.Finding{File: name, Key: key, Problem: problem, Expected: expected})
	}
	if _, _, err := net.SplitHostPort(s.Listen); err != nil {
		add("listen", fmt.Sprintf("%q is not an address", s.Listen), "host:port")
	}
	if ip := net.ParseIP(s.BackendHost); ip == nil || !ip.IsLoopback() {
		add("backend_host", fmt.Sprintf("%q is not a loopback address", s.BackendHost), "an address such as 127.0.0.1")
	}
	numbers := []struct {
		key     string
		value   int64
		minimum int64
	}{
		{"list_lag_ms", s.ListLagMillis, 0},
		{"usage_lag_ms", s.UsageLagMillis, 0},
		{"usage_every_ms", s.UsageEveryMillis, 1},
		{"appends_per_second", int64(s.AppendsPerSecond), 0},
		{"retention.records", int64(s.Retention.Records), 0},
		{"retention.age_ms", s.Retention.AgeMillis, 0},
		{"backend_server.slots", int64(s.Capacity.Slots), 1},
		{"backend_server.connections", int64(s.Capacity.Connections), 1},
	}
	for _, n := range numbers {
		if n.value < n.minimum {
			add(n.key, fmt.Sprintf("%d is out of range", n.value), fmt.Sprintf("at least %d", n.minimum))
		}
	}
	s.checkRegions(add)
	return list
}

// checkRegions adds findings for missing or repeated names and for sizes out of
// range.
func (s Settings) checkRegions(add func(key, problem, expected string)) {
	seen := map[string]bool{}
	servers := 0
	for _, region := range s.Regions {
		if region.Name == "" {
			add("regions.name", "is missing", "a name")
		}
		for _, dc := range region.DataCentres {
			if dc.Name == "" || seen[dc.Name] {
				add("regions.data_centres.name", fmt.Sprintf("%q is missing or repeated", dc.Name), "a unique name")
			}
			seen[dc.Name] = true
			if dc.Racks < 0 || dc.BackendServers < 0 {
				add("regions.data_centres", "has a negative size", "at least 0")
				continue
			}
			servers += dc.Racks * dc.BackendServers
		}
	}
	if servers > maxBackendServers {
		add("regions", fmt.Sprintf("have %d backend servers", servers), fmt.Sprintf("at most %d", maxBackendServers))
	}
}
