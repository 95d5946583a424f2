package soak

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/platform/standin"
	"lacewingfork.example/lacewingfork/platform/wire"
	"lacewingfork.example/lacewingfork/supervise"
)

const (
	instances = 4
	servers   = 5
	// restartDelay is the time until the platform restarts a process that has
	// exited.
	restartDelay = 300 * time.Millisecond
)

// deployment is a complete deployment: the stand-in of the platform, a proxy in
// front of each of its endpoints, and the scheduler processes.
type deployment struct {
	t             *testing.T
	dir           string
	checker       *checker
	workload      workload
	store         *standin.Store
	workers       []*standin.Worker
	storeProxies  []*proxy // one per instance
	network       *network // nil unless the workload has partitions
	serverProxies []*proxy
	instances     []*process
}

// process is an entry instance that is restarted whenever it exits.
type process struct {
	deployment    *deployment
	id            int
	settings      string
	callerAddress string
	mu            sync.Mutex
	cmd           *exec.Cmd
	stopping      bool // no restart after the next exit
	done          sync.WaitGroup
	output        bytes.Buffer // of the current process and its predecessors
}

func newDeployment(t *testing.T, binary string, w workload) *deployment {
	t.Helper()
	d := &deployment{t: t, dir: t.TempDir(), checker: newChecker(), workload: w}
	tree := supervise.NewTree("soak", supervise.DefaultIntensity, func(supervise.Event) {})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = tree.Serve(ctx) }() // Serve returns when the context ends
	t.Cleanup(cancel)
	d.store = standin.NewStore(tree)
	storeAddress := serve(t, d.store)
	d.publish(firstVersion)
	for n := range servers {
		id := fmt.Sprintf("i-%d", n)
		var worker *standin.Worker
		var p *proxy
		worker = standin.NewWorker(tree, id, func(e standin.Event) {
			d.checker.observe(e)
			if e.Kind == standin.WorkerReturned {
				go func() { d.store.Put(wire.TopicServers, id, worker.Entry(p.address())) }() // Entry calls the duty that observes
			}
		})
		if w.zones {
			worker.Zone = zoneOf(n)
			d.checker.withLock(func() { d.checker.zones[id] = worker.Zone })
		}
		p = newProxy(t, serve(t, worker))
		d.workers, d.serverProxies = append(d.workers, worker), append(d.serverProxies, p)
		d.store.Put(wire.TopicServers, id, worker.Entry(p.address()))
	}
	if w.partitioned {
		d.network = newNetwork(t, d.serverProxies)
	}
	for n := range instances {
		address, peerAddress := storeAddress, ""
		if d.network != nil {
			address, peerAddress = serve(t, d.network.view(n, d.store, d.serverProxies)), d.network.peerAddresses[n]
		} else {
			peerAddress = freeAddress(t)
		}
		d.storeProxies = append(d.storeProxies, newProxy(t, address))
		d.instances = append(d.instances, d.newProcess(n, binary, peerAddress))
	}
	return d
}

// firstVersion is the version of the configuration with which a deployment starts.
const firstVersion = 3

// publish publishes a version of the configuration. Its route /version-N/ shows whether
// an instance has it in force.
func (d *deployment) publish(version int) {
	route := func(name, prefix string) string {
		return fmt.Sprintf(`{"name":%q,"host":"soak.example","path-prefix":%q,"timeout-ms":3000,"target-latency-ms":400,"priority":0,
			"service":"cutting","max-attempts":%d,"slack-factor":1.5}`, name, prefix, maxAttempts)
	}
	d.store.Put(wire.TopicOperator, wire.KeyConfiguration, fmt.Appendf(nil, `{"version":%d,"routes":[%s,%s],
		"services":[{"name":"cutting"}],"limits":{"max-body-bytes":65536}}`, version, route("r", "/cut/"), route("v", fmt.Sprintf("/version-%d/", version))))
}

// serve runs an HTTP server for the handler and returns its address.
func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections() // unanswered calls are still open
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

// freeAddress returns a loopback address with a free port.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }() // the process listens on it next
	return l.Addr().String()
}

func (d *deployment) newProcess(n int, binary, peerAddress string) *process {
	d.t.Helper()
	p := &process{deployment: d, id: n, callerAddress: freeAddress(d.t), settings: filepath.Join(d.dir, fmt.Sprintf("entry-%d.toml", n))}
	err := os.WriteFile(p.settings, fmt.Appendf(nil, `[instance]
id = "entry-%d"
region = "accra"
data_centre = "accra-1"
[listen]
callers = %q
peers = %q
operations = %q
[store]
address = %q
`, n, p.callerAddress, peerAddress, freeAddress(d.t), d.storeProxies[n].address()), 0o600)
	if err != nil {
		d.t.Fatal(err)
	}
	p.start(binary)
	d.t.Cleanup(p.stop)
	return p
}

// start runs the process and restarts it each time that it exits.
func (p *process) start(binary string) {
	p.done.Add(1)
	go func() {
		defer p.done.Done()
		for {
			cmd := exec.Command(binary, "--settings", p.settings)
			p.mu.Lock()
			if p.stopping {
				p.mu.Unlock()
				return
			}
			cmd.Stdout, cmd.Stderr = &p.output, &p.output
			err := cmd.Start()
			p.cmd = cmd
			p.mu.Unlock()
			if err == nil {
				err = cmd.Wait()
			}
			p.mu.Lock()
			fmt.Fprintf(&p.output, "process exited: %v\n", err)
			p.mu.Unlock()
			time.Sleep(restartDelay)
		}
	}()
}

// signal sends a signal to the current process, which this test started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s) // the process may have exited already
	}
}

// stop kills the process and, if SOAK_LOGS is set, writes its output there.
func (p *process) stop() {
	p.mu.Lock()
	p.stopping = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.done.Wait()
	if dir := os.Getenv("SOAK_LOGS"); dir != "" {
		name := filepath.Join(dir, fmt.Sprintf("entry-%d.jsonl", p.id))
		if err := os.WriteFile(name, p.output.Bytes(), 0o600); err != nil {
			p.deployment.t.Log(err)
		}
	}
}

// restartWorker restarts a worker as a new incarnation and updates its entry in the
// server list.
func (d *deployment) restartWorker(n int) {
	d.workers[n].Restart()
	d.listWorker(n)
}

// listWorker updates the entry of a worker in the server list.
func (d *deployment) listWorker(n int) {
	d.store.Put(wire.TopicServers, fmt.Sprintf("i-%d", n), d.workers[n].Entry(d.serverProxies[n].address()))
}

// clearFaults ends every fault that persists until it is undone.
func (d *deployment) clearFaults() {
	d.store.SetDefaultFault(standin.NoFault)
	for _, p := range d.storeProxies {
		p.setMode(modeForward)
		p.resetConnections()
	}
	for n, p := range d.serverProxies {
		d.workers[n].SetDefaultFault(standin.NoFault)
		p.setMode(modeForward)
		p.resetConnections()
	}
	for _, p := range d.instances {
		p.signal(syscall.SIGCONT)
	}
}
