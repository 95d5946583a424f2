//go:build review3

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	service       = "turnero"
	advisorDecide = 5 * time.Millisecond
	advisorPeriod = time.Millisecond
	heartbeat     = 1100 * time.Millisecond
	restartDelay  = 500 * time.Millisecond
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// node is one process of the system. It is started again when it ends.
type node struct {
	index    int
	callers  string
	health   string // address of the readiness check
	settings string
	logPath  string
	mu       sync.Mutex
	cmd      *exec.Cmd
	stopping bool
	done     sync.WaitGroup
}

type system struct {
	dir     string
	root    string
	record  *recorder
	store   *store
	world   *world
	advisor *advisor
	nodes   []*node
	closers []func()
	version int
	stop    chan struct{}
}

func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

func (s *system) serve(h http.Handler) (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	s.closers = append(s.closers, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// used holds the ports that freeAddress has returned.
var used = map[int]bool{}

// freeAddress returns a loopback address with a free port, below the range from which the
// operating system takes the ports of outgoing connections.
func freeAddress() (string, error) {
	for range 1000 {
		port := 12000 + os.Getpid()%18*1000 + rand.IntN(1000)
		if used[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		used[port] = true
		return address, l.Close()
	}
	return "", errors.New("no free port")
}

// newSystem starts the stand-ins and the processes.
func newSystem(root string, record *recorder, nodes, minions int, routes []route) (*system, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	s := &system{dir: dir, root: root, record: record, store: newStore(), stop: make(chan struct{})}
	s.world = &world{jobs: map[string]jobBody{}, record: record, done: map[string]map[string]bool{}, failed: map[string]int{}}
	s.advisor = &advisor{world: s.world}
	advisorAddress, err := s.serve(s.advisor)
	if err != nil {
		return s, err
	}
	s.publish(routes)
	zones := []string{"rosario", "la-plata", "mendoza"}
	for i := range minions {
		m := newMinion(s.world, fmt.Sprintf("i-%04d", i), zones[i%len(zones)], fmt.Sprintf("r%d-%d", i%len(zones), i/33), 64000)
		if m.address, err = freeAddress(); err != nil {
			return s, err
		}
		l, err := net.Listen("tcp", m.address)
		if err != nil {
			return s, err
		}
		m.server = &http.Server{Handler: m}
		go func() { _ = m.server.Serve(l) }()
	}
	go s.beat()
	go s.tick()
	for i := range nodes {
		if err := s.addNode(i, zones[i%len(zones)], advisorAddress); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (s *system) beat() {
	for {
		for _, m := range s.world.minions {
			s.world.mu.Lock()
			up := m.downTill.IsZero()
			gone := !up && time.Since(m.downFrom) > 3*heartbeat
			s.world.mu.Unlock()
			switch {
			case up:
				s.store.put("keyed.servers", m.id, m.entry())
			case gone:
				s.store.put("keyed.servers", m.id, nil)
			}
		}
		select {
		case <-s.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (s *system) tick() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(minionTick):
			s.world.tickAll()
		}
	}
}

var zoneList = regexp.MustCompile(`\{\{#zones\}\}.*\{\{/zones\}\}`)

func (s *system) addNode(i int, zone, advisorAddress string) error {
	storeAddress, err := s.serve(s.store.handler(i))
	if err != nil {
		return err
	}
	var addresses [3]string
	for n := range addresses {
		if addresses[n], err = freeAddress(); err != nil {
			return err
		}
	}
	template, err := os.ReadFile(filepath.Join(s.root, "deploy", "settings.toml"))
	if err != nil {
		return err
	}
	host, port, _ := net.SplitHostPort(addresses[2])
	text := zoneList.ReplaceAllString(string(template), "rosario=pampeana,la-plata=pampeana,mendoza=cuyo")
	text = strings.NewReplacer(
		"{{node-name}}", fmt.Sprintf("edge-%d", i), "{{region}}", map[string]string{"mendoza": "cuyo"}[zone]+map[string]string{"rosario": "pampeana", "la-plata": "pampeana"}[zone],
		"{{zone}}", zone, "{{limits.cpu-share}}", "0.4", "{{limits.memory-mb}}", "284", "{{limits.link-mbps}}", "1000.0",
		"{{bind-addrs.frontend}}", addresses[0], "{{bind-addrs.readiness}}", addresses[1], "{{ip}}", host, "{{internal-ports.0}}", port,
		"{{platform.address}}", storeAddress, "{{advisor}}", advisorAddress,
		"{{contracts}}", "base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
		"{{bounds.hold-max-ms}}", "10000", "{{bounds.status_s}}", "120", "{{bounds.impact-ms}}", "4000",
		"{{bounds.remote-factor}}", "2", "{{bounds.grace-s}}", "6",
	).Replace(text)
	if strings.Contains(text, "{{") {
		return fmt.Errorf("settings template has a field that the rig doesn't know: %s", text)
	}
	n := &node{index: i, callers: addresses[0], health: addresses[1], settings: filepath.Join(s.dir, fmt.Sprintf("node-%d.toml", i)), logPath: filepath.Join(s.dir, fmt.Sprintf("node-%d.log", i))}
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return err
	}
	s.nodes = append(s.nodes, n)
	n.done.Add(1)
	go s.keep(n)
	return nil
}

// keep runs the process of a node with the command of the deploy file.
func (s *system) keep(n *node) {
	defer n.done.Done()
	for {
		n.mu.Lock()
		if n.stopping {
			n.mu.Unlock()
			return
		}
		log, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			n.mu.Unlock()
			return
		}
		cmd := exec.Command(filepath.Join(s.root, "target", "lacewingfork-scheduler"))
		cmd.Dir, cmd.Stdout, cmd.Stderr = s.root, log, log
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LACEWINGFORK_BOOT=" + n.settings}
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		err = cmd.Start()
		n.cmd = cmd
		n.mu.Unlock()
		if err == nil {
			err = cmd.Wait()
		}
		_ = log.Close()
		s.record.printf("process %d ended: %v", n.index, err)
		time.Sleep(restartDelay)
	}
}

func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Signal(sig)
	}
}

func (s *system) close() {
	for _, n := range s.nodes {
		n.mu.Lock()
		n.stopping = true
		n.mu.Unlock()
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
	}
	for _, n := range s.nodes {
		n.done.Wait()
	}
	close(s.stop)
	for _, c := range s.closers {
		c()
	}
	for _, m := range s.world.minions {
		_ = m.server.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
}

type route struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	PathPrefix      string  `json:"path-prefix"`
	Kind            string  `json:"kind"`
	TimeoutMs       int     `json:"timeout-ms"`
	TargetLatencyMs int     `json:"target-latency-ms"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service"`
	MaxAttempts     int     `json:"max-attempts"`
	SlackFactor     float64 `json:"slack-factor"`
	Advisor         any     `json:"advisor,omitempty"`
}

func newRoute(name string) route {
	return route{
		Name: name, Host: name + ".example", PathPrefix: "/" + name + "/", Kind: "unsafe", TimeoutMs: 3000, TargetLatencyMs: 1000,
		Priority: 0, Service: service, MaxAttempts: 3, SlackFactor: 2,
	}
}

// publish writes the next version of the configuration.
func (s *system) publish(routes []route) {
	s.version += 3
	names := []string{}
	for _, r := range routes {
		names = append(names, r.Name)
	}
	data, _ := json.Marshal(map[string]any{
		"version": s.version, "routes": routes,
		"services": []map[string]any{{"name": service, "health-path": "/healthz", "max-conns": 64, "protocol": "h1", "tls": false, "admission-check": false, "standby": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	s.store.put("keyed.op", "config", data)
	s.record.printf("operator: configuration %d is acknowledged, routes %v", s.version, names)
}

type stepBody struct {
	Count         int   `json:"count"`
	CPU           int64 `json:"cpu"`
	MemMB         int64 `json:"mem-mb"`
	EstimateMs    int64 `json:"estimate-ms"`
	DependsOn     []int `json:"depends-on,omitempty"`
	Checkpointing bool  `json:"checkpointing,omitempty"`
	Gang          bool  `json:"gang,omitempty"`
	LongRunning   bool  `json:"long-running,omitempty"`
	MaxPerServer  int   `json:"max-per-server,omitempty"`
}

type jobBody struct {
	Spec       string     `json:"spec"`
	Phases     []stepBody `json:"phases"`
	Repeats    int        `json:"repeats,omitempty"`
	StartAtMs  int64      `json:"start-at-ms,omitempty"`
	IntervalMs int64      `json:"interval-ms,omitempty"`

	// varied is a step whose tasks work one to two times their estimate; 0 for none.
	varied  int
	advised bool
	fails   float64
}

// workOf returns the work of a task of a step.
func (j jobBody) workOf(step int, task string) time.Duration {
	work := time.Duration(j.Phases[step].EstimateMs) * time.Millisecond
	if step > 0 && step == j.varied {
		h := fnv.New32a()
		_, _ = h.Write([]byte(task))
		work += time.Duration(float64(work) * float64(h.Sum32()%1000) / 1000)
	}
	return work
}

var client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}

func (s *system) call(method string, n int, r route, id string, body []byte) (int, string) {
	request, err := http.NewRequest(method, "http://"+s.nodes[n].callers+r.PathPrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = r.Host
	request.Header.Set("Deadline-Ms", "3000")
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, "no answer"
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "no answer"
	}
	return response.StatusCode, string(data)
}

// submit hands a job in, with four retries at other nodes.
func (s *system) submit(r route, id string, j jobBody) bool {
	s.world.mu.Lock()
	s.world.jobs[id] = j
	s.world.mu.Unlock()
	body, _ := json.Marshal(j)
	for attempt := range 5 {
		n := (int(id[15]) + attempt) % len(s.nodes)
		status, text := s.call(http.MethodPost, n, r, id, body)
		s.record.printf("client: POST %s at node %d: %d %s", id, n, status, text)
		if status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// submitAt hands a job in at one node.
func (s *system) submitAt(n int, r route, id string, j jobBody) bool {
	s.world.mu.Lock()
	s.world.jobs[id] = j
	s.world.mu.Unlock()
	body, _ := json.Marshal(j)
	for range 5 {
		status, text := s.call(http.MethodPost, n, r, id, body)
		s.record.printf("client: POST %s at node %d: %d %s", id, n, status, text)
		if status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job, with retries at other nodes.
func (s *system) state(r route, id string) string {
	for attempt := range 5 {
		status, text := s.call(http.MethodGet, attempt%len(s.nodes), r, id, nil)
		if status == http.StatusOK {
			return text
		}
		s.record.printf("client: GET %s at node %d: %d %s", id, attempt%len(s.nodes), status, text)
		time.Sleep(300 * time.Millisecond)
	}
	return ""
}

// stateAt asks one node for the state of a job.
func (s *system) stateAt(n int, r route, id string) string {
	status, text := s.call(http.MethodGet, n, r, id, nil)
	return fmt.Sprintf("%d %s", status, text)
}

// readiness returns the answer of a node to the platform's check.
func (s *system) readiness(n int) string {
	response, err := client.Get("http://" + s.nodes[n].health + "/readyz")
	if err != nil {
		return "no answer"
	}
	_ = response.Body.Close()
	return response.Status
}

// ready waits until every node answers a call.
func (s *system) ready(r route) bool {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for n := range s.nodes {
			status, _ := s.call(http.MethodGet, n, r, "0123456789abcdef", nil)
			all = all && status == http.StatusGone
		}
		if all {
			return true
		}
	}
	return false
}
