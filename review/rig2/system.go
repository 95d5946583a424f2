package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of a small deployment.
const (
	memoryMB     = 284
	restartDelay = time.Second // until a process that has ended is started again
	clientTries  = 5
	deadlineTime = 3 * time.Second
)

// places are the zones of the machines, and their regions.
var places = [][2]string{{"rosario", "pampeana"}, {"la-plata", "pampeana"}, {"mendoza", "cuyo"}}

// process is one process of the system. It is started again whenever it ends.
type process struct {
	system   *system
	index    int
	name     string
	settings string
	frontend string
	proxy    *proxy // to the store

	mu       sync.Mutex
	cmd      *exec.Cmd
	stopping bool
	ends     int // ends by itself or by the platform because of its memory
	killed   bool
	done     sync.WaitGroup
}

// system is a small deployment: processes, store and minions.
type system struct {
	rec       *record
	watch     *watch
	store     *store
	minions   []*minion
	processes []*process
	dir       string
	root      string
	program   string
	client    *http.Client
	stops     []func()
	routes    []route
	version   int
	memory    bool // processes over their memory are killed
}

type route struct {
	Name, Host, Prefix string
	MaxAttempts        int
}

const service = "turnero"

// newSystem builds the deployment without starting its processes.
func newSystem(rec *record, processes, minions int) (*system, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	s := &system{
		rec: rec, watch: newWatch(rec), store: newStore(rec), dir: dir, root: root, program: filepath.Join(root, "target", "lacewingfork-scheduler"),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}},
	}
	if _, err := os.Stat(s.program); err != nil {
		return s, err
	}
	s.routes = []route{{"r-quick", "nony24.example", "/quick/", 4}, {"r-regrind", "nony24.example", "/regrind/", 3}, {"r-last", "nony24.example", "/last/", 3}}
	s.publish()
	for i := range minions {
		m, err := newMinion(rec, s.watch, s.store, fmt.Sprintf("i-%02d", i), service, places[i%len(places)][0], fmt.Sprintf("r1-%d", i/4), kindOf(i, minions), 64000)
		if err != nil {
			return s, err
		}
		s.minions = append(s.minions, m)
	}
	for i := range processes {
		if err := s.addProcess(i); err != nil {
			return s, err
		}
	}
	return s, nil
}

// kindOf returns the kind of a minion: the first five of twelve are of kind b.
func kindOf(i, all int) string {
	if 12*i < 5*all {
		return "b"
	}
	return "a"
}

// publish writes the next version of the configuration.
func (s *system) publish() {
	s.version += 3
	var routes []any
	for i, r := range s.routes {
		routes = append(routes, map[string]any{
			"name": r.Name, "host": r.Host, "path-prefix": r.Prefix, "kind": "unsafe", "timeout-ms": 3000, "target-latency-ms": 400 + 300*i,
			"priority": i % 3, "service": service, "max-attempts": r.MaxAttempts, "slack-factor": 1.5,
		})
	}
	document, _ := json.Marshal(map[string]any{
		"version": s.version, "routes": routes,
		"services": []any{map[string]any{"name": service, "health-path": "/healthz", "max-conns": 64, "protocol": "h1", "tls": false, "admission-check": false, "standby": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	s.store.put("keyed.op", "config", document)
	s.rec.add("operator: version %d with %d routes", s.version, len(routes))
}

// Ports of processes are chosen outside the range that the kernel uses for outgoing
// connections.
const (
	leastPort = 12000
	ports     = 18000
)

// freePorts returns ports that are free on an address.
func freePorts(ip string, n int) ([]int, error) {
	var found []int
	for range 1000 {
		port := leastPort + rand.IntN(ports)
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil || slices.Contains(found, port) {
			continue
		}
		_ = l.Close()
		if found = append(found, port); len(found) == n {
			return found, nil
		}
	}
	return nil, fmt.Errorf("no %d free ports on %s", n, ip)
}

// addProcess adds a process with the settings that deploy/settings.toml renders.
func (s *system) addProcess(index int) error {
	place := places[index%len(places)]
	ip := fmt.Sprintf("127.0.1.%d", index+1)
	ports, err := freePorts(ip, 3)
	if err != nil {
		return err
	}
	address, stop, err := serve(s.store.handler(index))
	if err != nil {
		return err
	}
	p, err := newProxy(address)
	if err != nil {
		return err
	}
	s.stops = append(s.stops, stop, p.close)
	name := fmt.Sprintf("edge-%s-%d", place[0], index/len(places)+1)
	template, err := os.ReadFile(filepath.Join(s.root, "deploy", "settings.toml"))
	if err != nil {
		return err
	}
	text := string(template)
	if from, to := strings.Index(text, "{{#zones}}"), strings.Index(text, "{{/zones}}"); from >= 0 && to > from {
		var zones []string
		for _, z := range places {
			zones = append(zones, z[0]+"="+z[1])
		}
		text = text[:from] + strings.Join(zones, ",") + text[to+len("{{/zones}}"):]
	}
	frontend := fmt.Sprintf("%s:%d", ip, ports[0])
	for key, value := range map[string]string{
		"node-name": name, "region": place[1], "zone": place[0], "limits.cpu-share": "0.4", "limits.memory-mb": strconv.Itoa(memoryMB), "limits.link-mbps": "1000.0",
		"bind-addrs.frontend": frontend, "bind-addrs.readiness": fmt.Sprintf("%s:%d", ip, ports[1]), "ip": ip, "internal-ports.0": strconv.Itoa(ports[2]),
		"platform.address": p.address(), "advisor": "127.0.0.1:9", "contracts": "base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
		"bounds.hold-max-ms": "10000", "bounds.status_s": "120", "bounds.impact-ms": "4000", "bounds.remote-factor": "2", "bounds.grace-s": "6",
	} {
		text = strings.ReplaceAll(text, "{{"+key+"}}", value)
	}
	path := filepath.Join(s.dir, name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	s.processes = append(s.processes, &process{system: s, index: index, name: name, settings: path, frontend: frontend, proxy: p})
	return nil
}

// start runs the process and starts it again whenever it ends.
func (p *process) start() {
	p.done.Add(1)
	go func() {
		defer p.done.Done()
		log, err := os.Create(filepath.Join(p.system.dir, p.name+".log"))
		if err != nil {
			return
		}
		defer func() { _ = log.Close() }()
		for {
			cmd := exec.Command(p.system.program)
			cmd.Dir, cmd.Stdout, cmd.Stderr = p.system.root, log, log
			cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "LACEWINGFORK_BOOT=" + p.settings}
			p.mu.Lock()
			if p.stopping {
				p.mu.Unlock()
				return
			}
			p.killed = false
			if err := cmd.Start(); err != nil {
				p.mu.Unlock()
				return
			}
			p.cmd = cmd
			p.mu.Unlock()
			err := cmd.Wait()
			p.mu.Lock()
			p.cmd = nil
			if !p.killed && !p.stopping {
				p.ends++
				p.system.rec.say("process %s ended by itself: %v", p.name, err)
			}
			p.mu.Unlock()
			time.Sleep(restartDelay)
		}
	}()
}

// kill ends the process with SIGKILL; it is started again.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.killed = true
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		p.system.rec.say("process %s is killed", p.name)
	}
}

// resident returns the memory of the process in MB.
func (p *process) resident() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb >> 10
		}
	}
	return 0
}

// limitMemory kills processes over their memory, as the platform does.
func (p *process) limitMemory() {
	for {
		time.Sleep(50 * time.Millisecond)
		p.mu.Lock()
		stopping := p.stopping
		p.mu.Unlock()
		if stopping {
			return
		}
		if mb := p.resident(); mb > memoryMB {
			p.mu.Lock()
			if p.cmd != nil && !p.killed {
				p.killed = true
				p.ends++
				_ = p.cmd.Process.Signal(syscall.SIGKILL)
				p.system.rec.say("platform: process %s has %d MB, memory-mb is %d: it is killed", p.name, mb, memoryMB)
			}
			p.mu.Unlock()
		}
	}
}

// start starts all processes and waits until each of them is ready to take requests.
func (s *system) start() error {
	for _, p := range s.processes {
		p.start()
		if s.memory {
			go p.limitMemory()
		}
	}
	for _, p := range s.processes {
		for {
			status, _ := s.call(p, http.MethodGet, s.routes[0], "", nil)
			if status == http.StatusOK {
				break
			}
			if s.rec.now() > 15*time.Second {
				return fmt.Errorf("process %s does not serve after 15 s", p.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	for s.store.lastWriter() < 0 {
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
	s.rec.say("%d processes serve, %d minions are up, the last write under a condition was of %s", len(s.processes), len(s.minions), s.holder().name)
	return nil
}

// holder returns the process that last wrote to the store under a condition.
func (s *system) holder() *process { return s.processes[max(0, s.store.lastWriter())] }

// stop ends everything that the test started.
func (s *system) stop() {
	for _, p := range s.processes {
		p.mu.Lock()
		p.stopping = true
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
		}
		p.mu.Unlock()
	}
	for _, p := range s.processes {
		p.done.Wait()
	}
	for _, m := range s.minions {
		_ = m.server.Close()
		m.proxy.close()
	}
	for _, stop := range s.stops {
		stop()
	}
	if os.Getenv("RIG2_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
}

// call makes one call to a process, and returns its status, 0 for none.
func (s *system) call(p *process, method string, r route, id string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadlineTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+p.frontend+r.Prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = r.Host
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadlineTime.Milliseconds(), 10))
	request.Header.Set("Content-Type", "application/json")
	response, err := s.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	var state struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(data, &state)
	return response.StatusCode, state.State
}

// step is a step of a job.
type step struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu"`
	MemMB         int64  `json:"mem-mb"`
	EstimateMs    int64  `json:"estimate-ms"`
	DependsOn     []int  `json:"depends-on,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	MaxPerServer  int    `json:"max-per-server,omitempty"`
	RequiredLabel string `json:"required-label,omitempty"`
	LongRunning   bool   `json:"long-running,omitempty"`
	Fills         bool   `json:"fills,omitempty"`
	Image         string `json:"image,omitempty"`
	TargetMs      int64  `json:"target-ms,omitempty"`
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in, with the client's retries at other nodes. It returns its ID
// and whether it was accepted.
func (s *system) submit(r route, w work, steps ...step) (id string, accepted bool) {
	id = newID()
	spec, _ := json.Marshal(w)
	body, _ := json.Marshal(map[string]any{"spec": string(spec), "phases": steps})
	first := rand.IntN(len(s.processes))
	for try := range clientTries {
		p := s.processes[(first+try)%len(s.processes)]
		status, _ := s.call(p, http.MethodPost, r, id, body)
		s.rec.add("client: POST %s%s at %s: %d", r.Prefix, id, p.name, status)
		if status/100 == 2 {
			return id, true
		}
		time.Sleep(time.Second)
	}
	return id, false
}

// state asks for the state of a job, at one node after the other.
func (s *system) state(r route, id string) (status int, state string) {
	first := rand.IntN(len(s.processes))
	for try := range clientTries {
		p := s.processes[(first+try)%len(s.processes)]
		status, state = s.call(p, http.MethodGet, r, id, nil)
		s.rec.add("client: GET %s%s at %s: %d %s", r.Prefix, id, p.name, status, state)
		if status == http.StatusOK || status == http.StatusGone {
			return status, state
		}
		time.Sleep(500 * time.Millisecond)
	}
	return status, state
}
