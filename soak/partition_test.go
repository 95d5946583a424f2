package soak

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/platform/standin"
	"lacewingfork.example/lacewingfork/platform/wire"
	"lacewingfork.example/lacewingfork/records/cellrecord"
)

const (
	// partitionDuration is how long the processes run in TestSoakPartitions.
	partitionDuration = 24 * time.Second
	// shortestPartition and partitionSpread bound the time of a partition, which is
	// longer or shorter than the lease of a worker. The time of any fault is added.
	shortestPartition = time.Second
	partitionSpread   = 11 * time.Second
)

// network gives each instance paths of its own to the other instances, the servers and
// the store, so that a partition can cut some of them. Every address that an instance
// learns from the store or from another instance is replaced by that of its own proxy.
type network struct {
	peerAddresses [instances]string
	peers         [instances][instances]*proxy // by the instance that calls
	servers       [instances][servers]*proxy
}

// newNetwork returns the paths to the servers behind the given proxies.
func newNetwork(t *testing.T, serverProxies []*proxy) *network {
	n := &network{}
	for to := range instances {
		n.peerAddresses[to] = freeAddress(t)
	}
	for from := range instances {
		for to := range instances {
			n.peers[from][to] = newProxy(t, n.peerAddresses[to])
		}
		for to, p := range serverProxies {
			n.servers[from][to] = newProxy(t, p.address())
		}
	}
	for from := range instances {
		for to := range instances {
			// An instance announces its own address to others.
			n.peers[from][to].rewrite = map[string]string{n.peerAddresses[from]: n.peers[to][from].address()}
		}
	}
	return n
}

// view returns the store as an instance sees it.
func (n *network) view(instance int, store http.Handler, serverProxies []*proxy) http.Handler {
	seen := map[string]string{}
	for to := range instances {
		if to != instance {
			seen[n.peerAddresses[to]] = n.peers[instance][to].address()
		}
	}
	for to, p := range serverProxies {
		seen[p.address()] = n.servers[instance][to].address()
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorded := httptest.NewRecorder()
		store.ServeHTTP(recorded, r)
		if r.Context().Err() != nil {
			return
		}
		body := recorded.Body.Bytes()
		if strings.HasPrefix(r.URL.Path, wire.PathNewest) {
			body = replaceInItems(body, seen)
		} else {
			body = replaceAll(body, seen)
		}
		for name, values := range recorded.Header() {
			w.Header()[name] = values
		}
		w.Header().Del("Content-Length")
		w.WriteHeader(recorded.Code)
		_, _ = w.Write(body) // the caller has left if this fails
	})
}

// replaceAll replaces addresses, which all have the same length.
func replaceAll(body []byte, addresses map[string]string) []byte {
	for from, to := range addresses {
		body = bytes.ReplaceAll(body, []byte(from), []byte(to))
	}
	return body
}

// replaceInItems replaces addresses in the encoded values of a page of newest records.
func replaceInItems(body []byte, addresses map[string]string) []byte {
	var page struct {
		Items []struct {
			Key    string `json:"key"`
			Value  string `json:"value"`
			Offset int64  `json:"offset"`
		} `json:"items"`
		More bool  `json:"more"`
		End  int64 `json:"end"`
	}
	if json.Unmarshal(body, &page) != nil {
		return body // an error of the store
	}
	for i := range page.Items {
		value, err := base64.StdEncoding.DecodeString(page.Items[i].Value)
		if err == nil {
			page.Items[i].Value = base64.StdEncoding.EncodeToString(replaceAll(value, addresses))
		}
	}
	replaced, err := json.Marshal(page)
	if err != nil {
		return body
	}
	return replaced
}

// partition cuts random instances and servers from the others and from the store. In
// one of three cases only requests are lost.
func partition(d *deployment, r *rand.Rand) (undo func()) {
	mode := modeDropAll
	if r.IntN(3) == 0 {
		mode = modeDropRequests
	}
	cutInstances := r.Perm(instances)[:1+r.IntN(instances-1)]
	cutServers := r.Perm(servers)[:r.IntN(servers)]
	length := shortestPartition + time.Duration(r.Int64N(int64(partitionSpread)))
	return d.cutOff(cutInstances, cutServers, mode, length)
}

// cutOff cuts instances and servers from the others and from the store. The returned
// function ends the cut after the given length.
func (d *deployment) cutOff(cutInstances, cutServers []int, mode proxyMode, length time.Duration) (undo func()) {
	var cut []*proxy
	for from := range instances {
		inside := slices.Contains(cutInstances, from)
		for to := range instances {
			if inside != slices.Contains(cutInstances, to) {
				cut = append(cut, d.network.peers[from][to])
			}
		}
		for to := range servers {
			if inside != slices.Contains(cutServers, to) {
				cut = append(cut, d.network.servers[from][to])
			}
		}
		if inside {
			cut = append(cut, d.storeProxies[from])
		}
	}
	for _, p := range cut {
		p.setMode(mode)
	}
	return func() {
		time.Sleep(length) // the time of the fault
		for _, p := range cut {
			setProxyMode(p, modeForward)()
		}
	}
}

// holder returns the index of the instance that the store names as the holder.
func (d *deployment) holder() int {
	recorded := httptest.NewRecorder()
	d.store.ServeHTTP(recorded, httptest.NewRequest(http.MethodGet, wire.PathNewest+"?topic=keyed.members&part=0", nil))
	var page struct {
		Items []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"items"`
	}
	if err := json.Unmarshal(recorded.Body.Bytes(), &page); err != nil {
		d.t.Error(err)
	}
	for _, item := range page.Items {
		for n := range instances {
			if item.Key == cellrecord.HolderKey && bytes.Contains(item.Value, fmt.Appendf(nil, `"entry-%d"`, n)) {
				return n
			}
		}
	}
	d.t.Error("the store names no holder")
	return 0
}

// partitions is the workload of TestSoakPartitions: servers that are in use to the full
// while partitions, takeovers and woken holders follow each other.
func partitions() workload {
	cut := fault{"partition", partition}
	return workload{
		faults:      append(faultsNamed("kill", "stop", "freeze"), cut, cut, cut),
		job:         partitionJob,
		partitioned: true,
	}
}

// partitionJob draws a job of some seconds with several tasks, or one of tasks that last.
func partitionJob(r *rand.Rand) *submission {
	s := &submission{id: fmt.Sprintf("%016x", r.Uint64()), spec: standin.Spec{RunMs: int64(200 + r.IntN(2500))}}
	s.steps = []step{{Count: 1 + r.IntN(8), CPU: 500, MemMB: 200}, {Count: 1 + r.IntN(4), CPU: 800, MemMB: 200, After: []int{0}}}
	if r.IntN(12) == 0 {
		s.spec = standin.Spec{LongRunning: true}
		s.steps = []step{{Count: 3, CPU: 300, MemMB: 200, LongRunning: true}}
	}
	s.body = s.encode()
	return s
}

// Guards against two holders that both give orders while a partition divides instances
// and servers (TWICE, users' record of 5 December 2026), and against what woken holders
// and takeovers in a series leave behind.
func TestSoakPartitions(t *testing.T) {
	binary := buildScheduler(t)
	seed := envSetting(t, "SOAK_SEED", defaultSeed)
	for n := range envSetting(t, "SOAK_RUNS", 1) {
		t.Run(fmt.Sprintf("seed %d", seed+n), func(t *testing.T) {
			runSeed(t, binary, seed+n, partitionDuration, partitions())
		})
	}
}

// Guards against a holder that goes on for as long as a peer on its side of a partition
// can't reach the store either: the other side starts its tasks again, and it starts
// those of the other side (TWICE, users' record of 5 December 2026).
func TestSoakHolderAndPeerCutOff(t *testing.T) {
	w := partitions()
	w.job = func(r *rand.Rand) *submission {
		s := partitionJob(r)
		if r.IntN(3) == 0 {
			s.spec, s.steps = standin.Spec{LongRunning: true}, []step{{Count: 6, CPU: 100, MemMB: 200, LongRunning: true}}
			s.body = s.encode()
		}
		return s
	}
	cut := false
	w.faults = []fault{{"holder_and_peer_cut", func(d *deployment, _ *rand.Rand) func() {
		if cut {
			return nil
		}
		cut = true
		time.Sleep(4 * time.Second) // until work runs on all servers
		holder := d.holder()
		return d.cutOff([]int{holder, (holder + 1) % instances}, []int{0, 1}, modeDropAll, leaseAndMore)
	}}}
	runSeed(t, buildScheduler(t), envSetting(t, "SOAK_SEED", defaultSeed), partitionDuration, w)
}

// leaseAndMore is longer than the lease of a worker and the time after which the next
// holder starts again what it can't reach.
const leaseAndMore = 14 * time.Second
