package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	restartDelay = 300 * time.Millisecond // "after a short delay"
	host         = "review.example"
)

// node is one machine of the system with its process.
type node struct {
	name     string
	frontend string
	ready    string
	settings string
	log      string

	mu     sync.Mutex
	cmd    *exec.Cmd
	ending bool
	down   time.Duration // the next restart comes no earlier
	done   chan struct{}
}

// system is a small deployment: the store, the minions, the operator and the nodes.
type system struct {
	record  *record
	root    string
	dir     string
	store   *store
	minions []*minion
	nodes   []*node
	version int
	client  *http.Client
}

func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	cleanUp()
	os.Exit(2)
}

// cleanUp ends all processes that the case started.
var cleanUp = func() {}

func newSystem(rec *record, root string, nodes, minions int, cpu int64) *system {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fatal("make a temporary folder: %v", err)
	}
	s := &system{record: rec, root: root, dir: dir, store: newStore(rec), version: 3, client: &http.Client{
		Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext, MaxIdleConnsPerHost: 4},
	}}
	cleanUp = s.stop
	s.publish([]string{"jobs"})
	for i := range minions {
		s.minions = append(s.minions, newMinion(rec, s.store, fmt.Sprintf("i-%08x", 0x1000+i), "work", fmt.Sprintf("r1-%d", i/4+1), cpu))
	}
	for i := range nodes {
		s.addNode(i)
	}
	return s
}

// publish writes a configuration with these queues.
func (s *system) publish(queues []string) {
	var routes []map[string]any
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": "r-" + q, "host": host, "path-prefix": "/" + q + "/", "kind": "unsafe", "timeout-ms": 3000, "target-latency-ms": 1000,
			"priority": 0, "service": "work", "max-attempts": 3, "slack-factor": 2.0,
		})
	}
	data, _ := json.Marshal(map[string]any{
		"version": s.version, "routes": routes,
		"services": []map[string]any{{"name": "work", "health-path": "/healthz", "max-conns": 64, "protocol": "h1", "tls": false, "admission-check": false, "standby": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	s.store.put("keyed.op", "config", data)
	s.record.add("operator: version %d with the queues %v is acknowledged", s.version, queues)
	s.version += 3
}

var givenPorts = map[int]bool{}

// freePort returns a port below those that the kernel gives to outgoing connections, so
// that none of these takes it before a process listens.
func freePort() int {
	for range 200 {
		port := 20000 + rand.Intn(10000)
		if givenPorts[port] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		givenPorts[port] = true
		return port
	}
	fatal("find a free port")
	return 0
}

var placeholder = regexp.MustCompile(`\{\{([a-z0-9_.\-]+)\}\}`)

// render fills in the template of the settings as DEPLOY.md says.
func render(template string, fields map[string]any) string {
	return placeholder.ReplaceAllStringFunc(template, func(text string) string {
		var value any = fields
		for _, part := range strings.Split(strings.Trim(text, "{}"), ".") {
			switch v := value.(type) {
			case map[string]any:
				value = v[part]
			case []any:
				i, err := strconv.Atoi(part)
				if err != nil || i >= len(v) {
					return ""
				}
				value = v[i]
			default:
				return ""
			}
		}
		if value == nil {
			return ""
		}
		return fmt.Sprint(value)
	})
}

func (s *system) addNode(i int) {
	n := &node{name: fmt.Sprintf("edge-zone-a-%d", i+1), done: make(chan struct{})}
	n.frontend, n.ready = fmt.Sprintf("127.0.0.1:%d", freePort()), fmt.Sprintf("127.0.0.1:%d", freePort())
	first := freePort()
	template, err := os.ReadFile(filepath.Join(s.root, "deploy/settings.toml"))
	if err != nil {
		fatal("read the template: %v", err)
	}
	text := render(string(template), map[string]any{
		"node-name": n.name, "zone": "zone-a", "region": "region-a", "ip": "127.0.0.1",
		"bind-addrs":     map[string]any{"frontend": n.frontend, "readiness": n.ready},
		"internal-ports": []any{first, first},
		"limits":         map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0},
		"platform":       map[string]any{"address": s.store.address},
		"advisor":        fmt.Sprintf("127.0.0.1:%d", freePort()),
		"bounds":         map[string]any{"hold-max-ms": 10000, "status_s": 120, "impact-ms": 4000, "remote-factor": 1.5, "grace-s": 6},
	})
	n.settings, n.log = filepath.Join(s.dir, n.name+".toml"), filepath.Join(s.dir, n.name+".log")
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		fatal("write settings: %v", err)
	}
	s.nodes = append(s.nodes, n)
	go s.keep(n, s.command())
}

// command is the command of the role in the deploy file.
func (s *system) command() []string {
	data, err := os.ReadFile(filepath.Join(s.root, "deploy/system.toml"))
	if err != nil {
		fatal("read the deploy file: %v", err)
	}
	match := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindSubmatch(data)
	if match == nil {
		fatal("the deploy file has no run line")
	}
	return strings.Fields(string(match[1]))
}

// keep runs the process of a node and starts it again after each end.
func (s *system) keep(n *node, command []string) {
	defer close(n.done)
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal("open a log: %v", err)
	}
	defer func() { _ = out.Close() }()
	for {
		n.mu.Lock()
		if n.ending {
			n.mu.Unlock()
			return
		}
		cmd := exec.Command(filepath.Join(s.root, command[0]), command[1:]...)
		cmd.Dir = s.root
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "LACEWINGFORK_BOOT=" + n.settings}
		cmd.Stdout, cmd.Stderr = out, out
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := cmd.Start(); err != nil {
			n.mu.Unlock()
			fatal("start %s: %v", command[0], err)
		}
		n.cmd = cmd
		n.mu.Unlock()
		s.record.add("node %s starts, process %d", n.name, cmd.Process.Pid)
		err := cmd.Wait()
		s.record.add("node %s ends: %v", n.name, err)
		n.mu.Lock()
		wait := max(restartDelay, n.down)
		n.down = 0
		ending := n.ending
		n.mu.Unlock()
		if !ending {
			time.Sleep(wait)
		}
	}
}

// signal sends a signal to the process of a node; it is started again down after its end.
func (s *system) signal(n *node, sig syscall.Signal, down time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down = down
	s.record.say("node %s gets %v", n.name, sig)
	_ = n.cmd.Process.Signal(sig)
}

func (s *system) stop() {
	for _, n := range s.nodes {
		n.mu.Lock()
		n.ending = true
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
		}
		n.mu.Unlock()
	}
	for _, n := range s.nodes {
		select {
		case <-n.done:
		case <-time.After(3 * time.Second):
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, n := range s.nodes {
			if data, err := os.ReadFile(n.log); err == nil {
				_ = os.WriteFile(filepath.Join(keep, n.name+".log"), data, 0o600)
			}
		}
	}
	_ = os.RemoveAll(s.dir)
}

// isReady asks a node as the platform does.
func (s *system) isReady(n *node) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ready+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := s.client.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitReady waits until all nodes are ready.
func (s *system) waitReady() {
	limit := time.Now().Add(20 * time.Second)
	for _, n := range s.nodes {
		for !s.isReady(n) {
			if time.Now().After(limit) {
				fatal("node %s isn't ready after 20 s", n.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	s.record.say("all %d nodes are ready", len(s.nodes))
}

// leader is the node that gave the newest order to a minion: the node that the store's
// newest claim names.
func (s *system) leader() *node {
	var claim struct {
		Instance string `json:"instance"`
	}
	_ = json.Unmarshal(s.store.newestValue("keyed.cell-0", "0/holder"), &claim)
	for _, n := range s.nodes {
		if n.name == claim.Instance {
			return n
		}
	}
	fatal("the store names no node that wrote under a condition")
	return nil
}

// call sends one request of a client to a node.
func (s *system) call(n *node, method, path string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var reader io.Reader
	if body != nil {
		reader = strings.NewReader(string(body))
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.frontend+path, reader)
	if err != nil {
		fatal("make a request: %v", err)
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", "3000")
	response, err := s.client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(data)
}

// ask sends a request until it has an answer other than 429, 503, 502, 504 or none; each
// try goes to another node that is ready. It returns the last status, 0 for no answer.
func (s *system) ask(method, path string, body []byte, tries int) (status int, answer string) {
	for try := range tries {
		n := s.nodes[(try+int(time.Now().UnixNano()/1e6))%len(s.nodes)]
		for i := range s.nodes {
			if m := s.nodes[(i+try)%len(s.nodes)]; s.isReady(m) {
				n = m
				break
			}
		}
		began := time.Now()
		status, answer = s.call(n, method, path, body)
		s.record.add("client: %s %s to %s: %d %s after %d ms", method, path, n.name, status, answer, time.Since(began).Milliseconds())
		switch status {
		case 0, http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
			time.Sleep(time.Second)
		default:
			return status, answer
		}
	}
	return status, answer
}

type phase map[string]any

// submit hands a job in until it is accepted.
func (s *system) submit(queue, id string, w work, phases ...phase) {
	spec, _ := json.Marshal(w)
	body, _ := json.Marshal(map[string]any{"spec": string(spec), "phases": phases})
	s.record.mu.Lock()
	s.record.jobs[id] = phases
	s.record.mu.Unlock()
	if status, answer := s.ask(http.MethodPost, "/"+queue+"/"+id, body, 5); status/100 != 2 {
		fatal("job %s isn't accepted: %d %s", id, status, answer)
	}
}

// offer hands a job in a few times and returns the answers.
func (s *system) offer(queue, id string, w work, phases ...phase) (statuses []int) {
	spec, _ := json.Marshal(w)
	body, _ := json.Marshal(map[string]any{"spec": string(spec), "phases": phases})
	s.record.mu.Lock()
	s.record.jobs[id] = phases
	s.record.mu.Unlock()
	for range 5 {
		status, _ := s.ask(http.MethodPost, "/"+queue+"/"+id, body, 1)
		statuses = append(statuses, status)
		if status/100 == 2 {
			break
		}
	}
	return statuses
}

// offerAt hands a job in at one node and returns the status.
func (s *system) offerAt(n *node, queue, id string, w work, phases ...phase) int {
	spec, _ := json.Marshal(w)
	body, _ := json.Marshal(map[string]any{"spec": string(spec), "phases": phases})
	s.record.mu.Lock()
	s.record.jobs[id] = phases
	s.record.mu.Unlock()
	status, answer := s.call(n, http.MethodPost, "/"+queue+"/"+id, body)
	s.record.add("client: POST /%s/%s to %s: %d %s", queue, id, n.name, status, answer)
	return status
}

// state asks for the state of a job.
func (s *system) state(queue, id string) string {
	status, answer := s.ask(http.MethodGet, "/"+queue+"/"+id, nil, 5)
	var shown struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(answer), &shown) != nil {
		return strconv.Itoa(status)
	}
	return shown.State
}

// waitState waits until a job is shown in one of these states.
func (s *system) waitState(queue, id string, limit time.Duration, states ...string) string {
	end := time.Now().Add(limit)
	for {
		shown := s.state(queue, id)
		for _, want := range states {
			if shown == want {
				return shown
			}
		}
		if time.Now().After(end) {
			return shown
		}
		time.Sleep(250 * time.Millisecond)
	}
}
