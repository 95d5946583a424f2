package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/operationsapi"
	"lacewingfork.example/lacewingfork/standin"
)

// standInSettings configures two regions with three data centres and 12 backend
// servers.
const standInSettings = `listen = "127.0.0.1:0"
list_lag_ms = 300
usage_lag_ms = 500
[[regions]]
name = "accra"
data_centres = [
  { name = "accra-1", racks = 1, backend_servers_per_rack = 4 },
  { name = "accra-2", racks = 1, backend_servers_per_rack = 4 },
]
[[regions]]
name = "takoradi"
data_centres = [{ name = "takoradi-1", racks = 1, backend_servers_per_rack = 4 }]
`

// instance is one entry instance of the demo. Its replacement uses the same
// addresses.
type instance struct {
	ID         string
	Region     string
	DataCentre string
	Callers    string
	Peers      string
	Operations string
	Platform   string
	process    *process
}

// cluster is the running system: the stand-in and the entry instances.
type cluster struct {
	bin, work string
	standIn   *process
	platform  string
	instances []*instance
}

func newCluster(bin, work string) (*cluster, error) {
	path := filepath.Join(work, "standin.toml")
	if err := os.WriteFile(path, []byte(standInSettings), 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	standIn, err := start(bin, work, "standin", "lacewingfork-standin", "--settings", path)
	if err != nil {
		return nil, err
	}
	c := &cluster{bin: bin, work: work, standIn: standIn, platform: standIn.readyField("platform")}
	for _, place := range []struct{ id, region, dataCentre string }{
		{"entry-1", "accra", "accra-1"}, {"entry-2", "accra", "accra-2"}, {"entry-3", "takoradi", "takoradi-1"},
	} {
		i := &instance{
			ID: place.id, Region: place.region, DataCentre: place.dataCentre, Platform: c.platform,
			Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operations: "127.0.0.1:0",
		}
		c.instances = append(c.instances, i)
		if err := c.startInstance(i); err != nil {
			c.close()
			return nil, err
		}
	}
	return c, nil
}

func (i *instance) settings() InstanceSettings {
	return InstanceSettings{
		ID: i.ID, Region: i.Region, DataCentre: i.DataCentre,
		Callers: i.Callers, Peers: i.Peers, Operations: i.Operations, Platform: i.Platform,
	}
}

// startInstance starts the process and registers it on the platform's list.
func (c *cluster) startInstance(i *instance) error {
	path := filepath.Join(c.work, i.ID+".toml")
	if err := i.settings().Write(path); err != nil {
		return err
	}
	p, err := start(c.bin, c.work, i.ID, "lacewingfork-entry", "--settings", path)
	if err != nil {
		return err
	}
	i.process = p
	i.Callers, i.Peers, i.Operations = p.readyField("callers"), p.readyField("peers"), p.readyField("operations")
	return c.control(http.MethodPut, "/control/instances", fleet.Instance{
		ID: fleet.InstanceID(i.ID), PeerAddress: i.Peers,
		Region: fleet.Region(i.Region), DataCentre: fleet.DataCentre(i.DataCentre),
	}, nil)
}

// deregister removes an instance whose process has ended from the platform's
// list.
func (c *cluster) deregister(i *instance) error {
	return c.control(http.MethodDelete, "/control/instances/"+i.ID, nil, nil)
}

func (c *cluster) violations() (v standin.Violations, err error) {
	return v, c.control(http.MethodGet, "/control/violations", nil, &v)
}

// keyRuns returns how often requests with the idempotency key ran.
func (c *cluster) keyRuns(key string) (int, error) {
	var runs standin.Runs
	err := c.control(http.MethodGet, "/control/runs?key="+key, nil, &runs)
	return runs.Key, err
}

// control calls the control API of the stand-in.
func (c *cluster) control(method, path string, body, answer any) error {
	return callJSON(method, "http://"+c.platform+path, body, answer)
}

// waitUntilReady waits until every instance has a configuration and at least the given
// number of partitions is held.
func (c *cluster) waitUntilReady(ctx context.Context, partitions int) error {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		held, ready := 0, 0
		for _, i := range c.instances {
			var s operationsapi.Status
			if callJSON(http.MethodGet, "http://"+i.Operations+"/v1/status", nil, &s) == nil && s.Ready {
				ready++
				held += len(s.Partitions)
			}
		}
		if ready == len(c.instances) && held >= partitions {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Errorf("wait for the instances: %d of %d instances ready, %d of %d partitions held", ready, len(c.instances), held, partitions)
		}
	}
}

// copyInstances returns copies of the instances, which another goroutine can read.
// Their addresses stay valid after a replacement.
func (c *cluster) copyInstances() []instance {
	var list []instance
	for _, i := range c.instances {
		list = append(list, *i)
	}
	return list
}

func (c *cluster) callersAddresses() []string {
	var list []string
	for _, i := range c.instances {
		list = append(list, i.Callers)
	}
	return list
}

// close kills all processes.
func (c *cluster) close() {
	for _, i := range c.instances {
		if i.process != nil {
			i.process.kill()
		}
	}
	c.standIn.kill()
}

// callJSON sends one JSON request with a timeout of 2 s. It decodes the response
// into answer unless that is nil.
func callJSON(method, url string, body, answer any) error {
	var encoded io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "encode request body")
		}
		encoded = bytes.NewReader(data)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, encoded)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode/100 != 2 {
		return errors.Errorf("%s %s: got status %s, want 2xx", method, url, response.Status)
	}
	if answer == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(answer)
}

// requireLoopback returns an error unless all addresses are loopback addresses,
// so that the load never reaches another machine.
func requireLoopback(addresses []string) error {
	for _, a := range addresses {
		host, _, err := net.SplitHostPort(a)
		if err != nil || !net.ParseIP(host).IsLoopback() {
			return fmt.Errorf("address %q is not a loopback IP address with a port", a)
		}
	}
	return nil
}
