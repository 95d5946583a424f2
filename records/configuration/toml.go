// Package configuration encodes and decodes configurations as TOML and the
// entries of the stream "configuration". The configuration duty, the operators'
// library and the command line use it. It holds no state; a text that does not
// decode is reported as findings or an error.
package configuration

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"

	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/findings"
	"lacewingfork.example/lacewingfork/findings/tomlfile"
	"lacewingfork.example/lacewingfork/fleet"
)

// MaxTextBytes bounds the text of a publication, so that a snapshot with its
// escaped text and the kept verdicts fits one entry of the log (512 KiB).
const MaxTextBytes = 128 << 10

// Decode decodes and checks a configuration. The error is a *findings.Error
// with all findings; file is the file name that they contain.
func Decode(file string, text []byte) (*configuration.Configuration, error) {
	if len(text) > MaxTextBytes {
		return nil, findings.List{{
			File: file, Problem: fmt.Sprintf("has %d bytes", len(text)), Expected: fmt.Sprintf("at most %d", MaxTextBytes),
		}}.Err()
	}
	doc := tomlfile.Parse(file, text)
	if doc.Malformed() {
		return nil, doc.Err()
	}
	c := read(doc.Root())
	for _, f := range configuration.Check(c) {
		if !doc.Reported(f.Key) {
			doc.Report(f.Key, f.Problem, f.Expected)
		}
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

func read(root *tomlfile.Table) *configuration.Configuration {
	c := &configuration.Configuration{}
	c.AllRegions = readTables(root, "region", regionKeys, nil)
	c.Services = readTables(root, "service", serviceKeys, func(t *tomlfile.Table, s *service) {
		s.Operations = readTables(t, "operation", operationKeys, nil)
	})
	c.Teams = readTables(root, "team", teamKeys, nil)
	c.Kinds = readTables(root, "kind", kindKeys, nil)
	tomlfile.Fill(root.Table("limits"), limitKeys, &c.Limits)
	return c
}

// readTables reads an array of tables. For each one, nested reads what keys do
// not cover, unless it is nil.
func readTables[T any](parent *tomlfile.Table, name string, keys []tomlfile.Key[T], nested func(*tomlfile.Table, *T)) []T {
	var values []T
	for _, t := range parent.Tables(name) {
		var value T
		tomlfile.Fill(t, keys, &value)
		if nested != nil {
			nested(t, &value)
		}
		values = append(values, value)
	}
	return values
}

// document is the TOML form of a configuration.
type document struct {
	Limits   limitsTable    `toml:"limits"`
	Regions  []regionTable  `toml:"region,omitempty"`
	Services []serviceTable `toml:"service,omitempty"`
	Teams    []teamTable    `toml:"team,omitempty"`
	Kinds    []kindTable    `toml:"kind,omitempty"`
}

type limitsTable struct {
	MaxDeadline          duration `toml:"max_deadline"`
	LongShare            float64  `toml:"long_share"`
	LongRunTime          duration `toml:"long_run_time"`
	EvictionsPerMinute   int      `toml:"evictions_per_minute"`
	RegionBytesPerSecond int64    `toml:"region_bytes_per_second"`
}

type regionTable struct {
	Name        fleet.Region       `toml:"name"`
	DataCentres []fleet.DataCentre `toml:"data_centres"`
}

type serviceTable struct {
	Name       fleet.Service    `toml:"name"`
	Regions    []fleet.Region   `toml:"regions,omitempty"`
	Operations []operationTable `toml:"operation"`
}

type operationTable struct {
	Name            fleet.Operation `toml:"name"`
	Class           string          `toml:"class"`
	Idempotent      bool            `toml:"idempotent"`
	Deadline        duration        `toml:"deadline"`
	ExpectedRunTime duration        `toml:"expected_run_time"`
}

type teamTable struct {
	Name    fleet.Team `toml:"name"`
	Share   float64    `toml:"share"`
	MaxJobs int        `toml:"max_jobs"`
}

type kindTable struct {
	Name            string   `toml:"name"`
	ExpectedRunTime duration `toml:"expected_run_time"`
	fleet.Resources
}

// duration is encoded as a string such as "250ms".
type duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Encode encodes a configuration as TOML. Decode inverts it if the configuration
// passes Check.
func Encode(c *configuration.Configuration) ([]byte, error) {
	d := document{Limits: limitsTable{
		MaxDeadline: duration(c.Limits.MaxDeadline), LongShare: c.Limits.LongShare,
		LongRunTime: duration(c.Limits.LongRunTime), EvictionsPerMinute: c.Limits.EvictionsPerMinute,
		RegionBytesPerSecond: c.Limits.RegionBytesPerSecond,
	}}
	for _, r := range c.AllRegions {
		d.Regions = append(d.Regions, regionTable(r))
	}
	for _, s := range c.Services {
		table := serviceTable{Name: s.Name, Regions: s.Regions}
		for _, o := range s.Operations {
			table.Operations = append(table.Operations, operationTable{
				Name: o.Name, Class: o.Class.String(), Idempotent: o.Idempotent,
				Deadline: duration(o.Deadline), ExpectedRunTime: duration(o.ExpectedRunTime),
			})
		}
		d.Services = append(d.Services, table)
	}
	for _, t := range c.Teams {
		d.Teams = append(d.Teams, teamTable(t))
	}
	for _, k := range c.Kinds {
		d.Kinds = append(d.Kinds, kindTable{Name: k.Name, ExpectedRunTime: duration(k.ExpectedRunTime), Resources: k.Resources})
	}
	text, err := toml.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	return text, nil
}
