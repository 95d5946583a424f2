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
	// restartDelay is the time until the platform starts a process anew.
	restartDelay = 300 * time.Millisecond
)

// world is a deployment: the platform's stand-in, a proxy before each of its ends,
// and the processes.
type world struct {
	t         *testing.T
	dir       string
	judge     *judge
	store     *standin.Store
	workers   []*standin.Worker
	stores    []*proxy // one for each instance
	servers   []*proxy
	instances []*process
}

// process is an entry instance that is started anew whenever it ends.
type process struct {
	w        *world
	id       int
	settings string
	callers  string
	mu       sync.Mutex
	command  *exec.Cmd
	down     bool // no further start is wanted
	ended    sync.WaitGroup
	output   bytes.Buffer // of the present and earlier processes
}

func newWorld(t *testing.T, binary string) *world {
	t.Helper()
	w := &world{t: t, dir: t.TempDir(), judge: newJudge()}
	tree := supervise.NewTree("soak", supervise.DefaultIntensity, func(supervise.Event) {})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = tree.Serve(ctx) }() // it ends with the context
	t.Cleanup(cancel)
	w.store = standin.NewStore(tree)
	storeAddress := serve(t, w.store)
	w.store.Put(wire.TopicOperator, wire.KeyConfiguration, fmt.Appendf(nil, `{"version":3,"routes":[{"name":"r","host":"soak.example","path-prefix":"/cut/",
		"timeout-ms":3000,"target-latency-ms":400,"priority":0,"service":"cutting","max-attempts":%d,"slack-factor":1.5}],
		"services":[{"name":"cutting"}],"limits":{"max-body-bytes":65536}}`, maxAttempts))
	for n := range servers {
		id := fmt.Sprintf("i-%d", n)
		worker := standin.NewWorker(tree, id, w.judge.observe)
		p := newProxy(t, serve(t, worker))
		w.workers, w.servers = append(w.workers, worker), append(w.servers, p)
		w.store.Put(wire.TopicServers, id, worker.Entry(p.address()))
	}
	for n := range instances {
		w.stores = append(w.stores, newProxy(t, storeAddress))
		w.instances = append(w.instances, w.newProcess(n, binary))
	}
	return w
}

func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections() // calls without an answer are still open
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

// freeAddress returns an address with a port from the kernel.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }() // the process listens there next
	return l.Addr().String()
}

func (w *world) newProcess(n int, binary string) *process {
	w.t.Helper()
	p := &process{w: w, id: n, callers: freeAddress(w.t), settings: filepath.Join(w.dir, fmt.Sprintf("entry-%d.toml", n))}
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
`, n, p.callers, freeAddress(w.t), freeAddress(w.t), w.stores[n].address()), 0o600)
	if err != nil {
		w.t.Fatal(err)
	}
	p.start(binary)
	w.t.Cleanup(p.end)
	return p
}

// start runs the process, and another one each time that it ends.
func (p *process) start(binary string) {
	p.ended.Add(1)
	go func() {
		defer p.ended.Done()
		for {
			command := exec.Command(binary, "--settings", p.settings)
			p.mu.Lock()
			if p.down {
				p.mu.Unlock()
				return
			}
			command.Stdout, command.Stderr = &p.output, &p.output
			err := command.Start()
			p.command = command
			p.mu.Unlock()
			if err == nil {
				err = command.Wait()
			}
			p.mu.Lock()
			fmt.Fprintf(&p.output, "process ended: %v\n", err)
			p.mu.Unlock()
			time.Sleep(restartDelay)
		}
	}()
}

// signal reaches only the process that this instance has started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(s) // it may have ended meanwhile
	}
}

func (p *process) end() {
	p.mu.Lock()
	p.down = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.ended.Wait()
	if dir := os.Getenv("SOAK_LOGS"); dir != "" {
		name := filepath.Join(dir, fmt.Sprintf("entry-%d.jsonl", p.id))
		if err := os.WriteFile(name, p.output.Bytes(), 0o600); err != nil {
			p.w.t.Log(err)
		}
	}
}

// restartWorker lets a worker begin another life, which its entry shows.
func (w *world) restartWorker(n int) {
	w.workers[n].Restart()
	w.store.Put(wire.TopicServers, fmt.Sprintf("i-%d", n), w.workers[n].Entry(w.servers[n].address()))
}

// heal ends every fault that lasts.
func (w *world) heal() {
	w.store.Always(standin.Answers)
	for _, p := range w.stores {
		p.set(passes)
		p.reset()
	}
	for n, p := range w.servers {
		w.workers[n].Always(standin.Answers)
		p.set(passes)
		p.reset()
	}
	for _, p := range w.instances {
		p.signal(syscall.SIGCONT)
	}
}
