package demo

import (
	"bytes"
	"os"
	"text/template"

	"github.com/go-faster/errors"
)

// InstanceSettings are the settings of an entry instance of the demo and of
// the failure tests. The lease is shorter than the default to shorten the
// takeovers; the targets are the same.
type InstanceSettings struct {
	ID, Region, DataCentre     string
	Callers, Peers, Operations string // listen addresses
	Platform                   string // host:port
}

var instanceSettings = template.Must(template.New("instance").Parse(`[instance]
id = "{{.ID}}"
region = "{{.Region}}"
data_centre = "{{.DataCentre}}"
[listen]
callers = "{{.Callers}}"
peers = "{{.Peers}}"
operations = "{{.Operations}}"
[platform]
log = "http://{{.Platform}}"
list = "http://{{.Platform}}"
workers = "http://{{.Platform}}"
[lease]
ttl = "2s"
list_lag = "1s"
list_age = "1500ms"
margin = "100ms"
[process]
stop_timeout = "20s"
`))

// Write writes the settings to a TOML file at path.
func (s InstanceSettings) Write(path string) error {
	var text bytes.Buffer
	if err := instanceSettings.Execute(&text, s); err != nil {
		return errors.Wrap(err, "encode settings")
	}
	if err := os.WriteFile(path, text.Bytes(), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	return nil
}
