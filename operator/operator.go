// Package operator is the library with which operators describe a deployment
// as Go values and print its configuration:
//
//	func main() {
//		if err := operator.Print(os.Stdout, site); err != nil {
//			fmt.Fprintln(os.Stderr, err)
//			os.Exit(1)
//		}
//	}
//
// `lacewingfork config check` and `lacewingfork config publish` accept the printed
// text. The package holds no state, and a configuration with faults is not printed
// at all.
package operator

import (
	"io"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/findings"
	"lacewingfork.example/lacewingfork/fleet"
	records "lacewingfork.example/lacewingfork/records/configuration"
)

// The types of a configuration. Their definitions describe the fields;
// docs/OPERATIONS.md lists ranges and defaults.
type (
	Configuration = configuration.Configuration
	Region        = configuration.Region
	Service       = configuration.Service
	Operation     = configuration.Operation
	Team          = configuration.Team
	BatchKind     = configuration.BatchKind
	Limits        = configuration.Limits
	Resources     = fleet.Resources
	DataCentre    = fleet.DataCentre
	RegionName    = fleet.Region
)

// The classes of an operation, by how long its result can wait.
const (
	Urgent = fleet.Urgent // latency-critical: a user waits for the result
	Normal = fleet.Normal // tolerates a short delay
	Batch  = fleet.Batch  // tolerates a delay of hours
)

// DefaultLimits returns the limits of a configuration that sets none. A program can
// change some of them.
func DefaultLimits() Limits { return configuration.DefaultLimits }

// Text returns the configuration as TOML. Zero Limits mean DefaultLimits. For an
// invalid configuration the error is a *findings.Error with all faults.
func Text(c Configuration) ([]byte, error) {
	if c.Limits == (Limits{}) {
		c.Limits = DefaultLimits()
	}
	list := configuration.Check(&c)
	for i := range list {
		list[i].File = "configuration"
	}
	if err := list.Err(); err != nil {
		return nil, err
	}
	text, err := records.Encode(&c)
	if err != nil {
		return nil, err
	}
	if len(text) > records.MaxTextBytes {
		return nil, findings.List{{
			File: "configuration", Problem: "is too long to publish", Expected: "at most 128 KiB of TOML",
		}}.Err()
	}
	return text, nil
}

// Print writes the configuration as TOML. It writes nothing when Text fails.
func Print(w io.Writer, c Configuration) error {
	text, err := Text(c)
	if err != nil {
		return err
	}
	if _, err := w.Write(text); err != nil {
		return errors.Wrap(err, "print configuration")
	}
	return nil
}
