package failure

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/operationsapi"
	"lacewingfork.example/lacewingfork/operator"
	"lacewingfork.example/lacewingfork/operator/examples"
	"lacewingfork.example/lacewingfork/records/configuration"
	"lacewingfork.example/lacewingfork/standin"
)

const (
	// takeoverTarget bounds the time from the loss of a holder, or from when
	// the other members may claim its partitions, until they hold them.
	takeoverTarget = 10 * time.Second
	// configurationTarget bounds the time until an accepted configuration is
	// in force on every instance.
	configurationTarget = 3 * time.Second
	listLag             = 300 * time.Millisecond
	partitions          = 3 // also the number of instances
)

// deployment is one deployment: a region of two data centres with three racks and
// three entry instances.
type deployment struct {
	t          *testing.T
	dir        string
	standIn    *standin.StandIn
	instances  []*instance
	httpClient http.Client
}

// newDeployment starts a deployment, publishes the first configuration and waits
// until every instance holds a partition. The test runs in parallel with others.
func newDeployment(t *testing.T) *deployment {
	t.Helper()
	t.Parallel()
	deploymentSlots <- struct{}{}
	t.Cleanup(func() { <-deploymentSlots })
	settings := standin.DefaultSettings()
	settings.ListLagMillis, settings.UsageLagMillis = listLag.Milliseconds(), 500
	settings.Regions = []standin.Region{{Name: "accra", DataCentres: []standin.DataCentre{
		{Name: "accra-1", Racks: 2, BackendServers: 3}, {Name: "accra-2", Racks: 1, BackendServers: 3},
	}}}
	platform, err := standin.Start(settings, standin.ListenTCP)
	must(t, err)
	t.Cleanup(platform.Close)
	s := &deployment{t: t, dir: t.TempDir(), standIn: platform, httpClient: http.Client{Timeout: time.Second}}
	for n := range partitions {
		i := &instance{
			ID: fmt.Sprintf("entry-%d", n+1), DataCentre: fmt.Sprintf("accra-%d", n%2+1), Platform: platform.Address(),
			Callers: anyPort, Peers: anyPort, Operations: anyPort,
		}
		s.instances = append(s.instances, i)
		s.start(i)
	}
	if code, out := s.publish(0, "operator", 1); code != exitOK {
		t.Fatalf("first publication: got exit code %d, want %d: %s", code, exitOK, out)
	}
	await(t, "a partition on every instance", func() bool { return s.eachHoldsPartition() })
	return s
}

// start runs the process of an instance and registers it on the platform's list.
func (s *deployment) start(i *instance) {
	s.t.Helper()
	i.run(s.t, s.dir)
	s.standIn.PutInstance(fleet.Instance{
		ID: fleet.InstanceID(i.ID), PeerAddress: i.Peers, Region: "accra", DataCentre: fleet.DataCentre(i.DataCentre),
	})
}

// status requests the status of an instance; ok is false if the request fails.
func (s *deployment) status(i *instance) (status operationsapi.Status, ok bool) {
	return status, s.get("http://"+i.Operations+"/v1/status", &status) == nil
}

func (s *deployment) get(url string, answer any) error {
	response, err := s.httpClient.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: got status %s, want 200", url, response.Status)
	}
	return json.NewDecoder(response.Body).Decode(answer)
}

// holdings returns the holder of each partition, as the instances report it.
func (s *deployment) holdings(of ...*instance) map[fleet.PartitionID]string {
	held := map[fleet.PartitionID]string{}
	for _, i := range of {
		status, _ := s.status(i)
		for _, p := range status.Partitions {
			held[p] = i.ID
		}
	}
	return held
}

// eachHoldsPartition reports whether all partitions are held and every instance
// holds one.
func (s *deployment) eachHoldsPartition() bool {
	held := s.holdings(s.instances...)
	return len(held) == partitions && len(slices.Compact(slices.Sorted(maps.Values(held)))) == len(s.instances)
}

// holder returns an instance with a partition that it holds, and the other
// instances.
func (s *deployment) holder() (holder *instance, partition fleet.PartitionID, others []*instance) {
	s.t.Helper()
	holder, others = s.instances[0], s.instances[1:]
	status, ok := s.status(holder)
	if !ok || len(status.Partitions) == 0 {
		s.t.Fatalf("%s: got partitions %v (status available: %t), want at least one", holder.ID, status.Partitions, ok)
	}
	return holder, status.Partitions[0], others
}

// command runs the lacewingfork command and returns its exit code and output.
func (s *deployment) command(arguments ...string) (code int, output string) {
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	all := []string{"--log", "http://" + s.standIn.Address(), "--json"}
	for _, i := range s.instances {
		all = append(all, "--callers", i.Callers, "--operations", i.Operations)
	}
	cmd := exec.CommandContext(ctx, filepath.Join(binDir, "lacewingfork"), append(all, arguments...)...)
	var stderr strings.Builder
	cmd.Stderr = &stderr
	out, _ := cmd.Output()
	return cmd.ProcessState.ExitCode(), string(out) + stderr.String()
}

// publish publishes a configuration. Its limit on evictions distinguishes it from
// other configurations.
func (s *deployment) publish(replaces int64, by string, evictions int, more ...string) (code int, output string) {
	c := examples.Asante()
	c.AllRegions = c.AllRegions[:1]
	c.Limits.EvictionsPerMinute = evictions
	text, err := operator.Text(c)
	path := filepath.Join(s.dir, by+".toml")
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	if err != nil {
		return -1, err.Error()
	}
	arguments := []string{"config", "publish", path, "--replaces", fmt.Sprint(replaces), "--operator", by}
	return s.command(append(arguments, more...)...)
}

// publications counts the appends to the stream of configurations.
func (s *deployment) publications() int {
	states := s.standIn.Streams()
	return states[slices.IndexFunc(states, func(state standin.StreamState) bool { return state.Stream == configuration.Stream })].Appends
}

// awaitVersion waits until every instance reports a version or a later one, and
// checks the time since began against the target.
func (s *deployment) awaitVersion(version int64, began time.Time) {
	s.t.Helper()
	await(s.t, fmt.Sprintf("version %d on every instance", version), func() bool {
		return !slices.ContainsFunc(s.instances, func(i *instance) bool {
			status, ok := s.status(i)
			return !ok || status.ConfigurationVersion < version
		})
	})
	took := time.Since(began)
	s.t.Logf("version %d in force everywhere after %v", version, took)
	if took > configurationTarget {
		s.t.Errorf("got version %d in force after %v, want at most %v", version, took, configurationTarget)
	}
}

// sum returns the total of a counter over all backend servers.
func (s *deployment) sum(counter func(standin.BackendStats) int) int {
	total := 0
	for _, b := range s.standIn.BackendServers() {
		total += counter(b)
	}
	return total
}

func tasksStarted(b standin.BackendStats) int { return b.TasksStarted }

// requests returns the number of requests to the selected backend servers.
func (s *deployment) requests(selected func(fleet.BackendServerID) bool) int {
	return s.sum(func(b standin.BackendStats) int {
		if !selected(b.ID) {
			return 0
		}
		return b.Requests
	})
}

// inPartition selects the backend servers of a partition.
func inPartition(p fleet.PartitionID) func(fleet.BackendServerID) bool {
	prefix := strings.ReplaceAll(string(p), "/", "-") + "-"
	return func(id fleet.BackendServerID) bool { return strings.HasPrefix(string(id), prefix) }
}

// oneServer selects a single backend server.
func oneServer(server fleet.BackendServerID) func(fleet.BackendServerID) bool {
	return func(id fleet.BackendServerID) bool { return id == server }
}
