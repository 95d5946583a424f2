package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/platform/standin"
)

// Defaults and timing of a soak run.
const (
	defaultSeed     = 20261204
	defaultDuration = 12 * time.Second
	// settleTimeout bounds the time from the last fault until every accepted job has
	// reached its expected state: expiry of an authority and of a lease, and the work
	// itself.
	settleTimeout = 90 * time.Second
	// submitInterval is the time between two jobs. It loads the servers to about
	// half of their capacity.
	submitInterval = 120 * time.Millisecond
)

// envSetting returns the whole number in the named environment variable, or the
// fallback if the variable is not set.
func envSetting(t *testing.T, name string, fallback int64) int64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		t.Fatalf("%s is %q, want a whole number", name, text)
	}
	return n
}

// Guards against violations of the scheduling guarantees that arise between
// processes and that the model of decision/cell therefore cannot show. It injects
// random faults into real processes and checks what workers and clients observe.
// SOAK_SEED, SOAK_RUNS and SOAK_SECONDS set the first seed, the number of seeds and
// the duration of each run. SOAK_LOGS names a directory for the process logs.
func TestSoak(t *testing.T) {
	binary := buildScheduler(t)
	seed := envSetting(t, "SOAK_SEED", defaultSeed)
	seconds := envSetting(t, "SOAK_SECONDS", int64(defaultDuration/time.Second))
	var seeds []int64
	for n := range envSetting(t, "SOAK_RUNS", 1) {
		seeds = append(seeds, seed+n)
	}
	if os.Getenv("SOAK_SEED") == "" {
		seeds = append(seeds, regressionSeeds...)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runSeed(t, binary, seed, time.Duration(seconds)*time.Second, everyFault)
		})
	}
}

// Guards against a late acknowledgement to an earlier incarnation of a worker that
// removes the ends of the next one (TWICE).
func TestSoakLateAcknowledgement(t *testing.T) {
	runSeed(t, buildScheduler(t), 41011, defaultDuration, everyFault)
}

// buildScheduler builds the daemon and returns the path of its binary.
func buildScheduler(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "lacewingfork-scheduler")
	build := exec.Command("go", "build", "-o", binary, "lacewingfork.example/lacewingfork/cmd/lacewingfork-scheduler")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// regressionSeeds are seeds that exposed a fault in the past.
var regressionSeeds = []int64{
	1007, // a delayed start was executed by the next incarnation of its worker
}

// runSeed runs the workload and the faults drawn from one seed and reports every
// violation.
func runSeed(t *testing.T, binary string, seed int64, duration time.Duration, w workload) {
	d := newDeployment(t, binary, w)
	random := rand.New(rand.NewPCG(uint64(seed), 1))
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var clients, undos sync.WaitGroup
	clients.Add(1)
	go func() {
		defer clients.Done()
		d.submitJobs(ctx, rand.New(rand.NewPCG(uint64(seed), 2)), &clients)
	}()
	injected := d.injectFaults(ctx, random, &undos)
	undos.Wait()
	d.clearFaults()
	clients.Wait()
	if w.atEnd != nil {
		w.atEnd(d)
	}
	d.awaitExpectedStates()
	d.checker.checkRejected()
	counts, violations := d.checker.result()
	t.Logf("seed %d: faults %v, %d jobs, %d starts, counts %v", seed, injected, counts["jobs"], counts["starts"], counts)
	for _, violation := range violations {
		t.Error(violation)
	}
}

// fault is one kind of fault. inject applies it and returns a function that ends
// it, or nil if it needs no end.
type fault struct {
	name   string
	inject func(d *deployment, r *rand.Rand) (undo func())
}

// workload is what a soak run draws from its seed.
type workload struct {
	faults []fault
	job    func(r *rand.Rand) *submission
	atEnd  func(d *deployment) // nil, or called once the faults have ended
	// partitioned gives each instance paths of its own, which partition cuts.
	partitioned bool
	// zones gives the servers zones in turn.
	zones bool
}

// everyFault is the workload of TestSoak.
var everyFault = workload{faults: faults, job: randomJob}

// faults are drawn by index: a change of their order changes the meaning of a
// seed.
var faults = []fault{
	{"kill", func(d *deployment, r *rand.Rand) func() { d.randomInstance(r).signal(syscall.SIGKILL); return nil }},
	{"kill_all", func(d *deployment, _ *rand.Rand) func() {
		for _, p := range d.instances {
			p.signal(syscall.SIGKILL)
		}
		return nil
	}},
	{"stop", func(d *deployment, r *rand.Rand) func() { d.randomInstance(r).signal(syscall.SIGTERM); return nil }},
	{"freeze", func(d *deployment, r *rand.Rand) func() {
		p := d.randomInstance(r)
		p.signal(syscall.SIGSTOP)
		return func() { p.signal(syscall.SIGCONT) }
	}},
	{"store_busy", storeFault(standin.Unavailable)},
	{"store_silent", storeFault(standin.Unresponsive)},
	{"store_loses", storeFault(standin.AnswerLost)}, // the store executes calls but sends no answers
	{"cut_from_store", func(d *deployment, r *rand.Rand) func() {
		return setProxyMode(d.storeProxies[r.IntN(instances)], modeDropAll)
	}},
	{"store_requests_lost", func(d *deployment, r *rand.Rand) func() {
		return setProxyMode(d.storeProxies[r.IntN(instances)], modeDropRequests)
	}},
	{"slow_store", func(d *deployment, r *rand.Rand) func() {
		return setProxyMode(d.storeProxies[r.IntN(instances)], modeDelay)
	}},
	{"reset_store", func(d *deployment, r *rand.Rand) func() {
		d.storeProxies[r.IntN(instances)].resetConnections()
		return nil
	}},
	{"cut_worker", func(d *deployment, r *rand.Rand) func() {
		return setProxyMode(d.serverProxies[r.IntN(servers)], modeDropAll)
	}},
	{"reset_worker", func(d *deployment, r *rand.Rand) func() {
		d.serverProxies[r.IntN(servers)].resetConnections()
		return nil
	}},
	{"late_orders", workerFault(standin.ExecutedLate)},
	{"lost_answers", workerFault(standin.AnswerLost)},
	{"worker_busy", workerFault(standin.Unavailable)},
	{"restart_worker", func(d *deployment, r *rand.Rand) func() { d.restartWorker(r.IntN(servers)); return nil }},
}

// storeFault returns a fault that applies f to every call of the store.
func storeFault(f standin.Fault) func(d *deployment, _ *rand.Rand) func() {
	return func(d *deployment, _ *rand.Rand) func() {
		d.store.SetDefaultFault(f)
		return func() { d.store.SetDefaultFault(standin.NoFault) }
	}
}

// workerFault returns a fault that applies f to every call of a random worker.
func workerFault(f standin.Fault) func(d *deployment, r *rand.Rand) func() {
	return func(d *deployment, r *rand.Rand) func() {
		worker := d.workers[r.IntN(servers)]
		worker.SetDefaultFault(f)
		return func() { worker.SetDefaultFault(standin.NoFault) }
	}
}

// setProxyMode switches the proxy to a mode and returns a function that restores
// forwarding.
func setProxyMode(p *proxy, mode proxyMode) func() {
	p.setMode(mode)
	return func() {
		p.setMode(modeForward)
		p.resetConnections() // dropped bytes are not sent again, so open connections are unusable
	}
}

func (d *deployment) randomInstance(r *rand.Rand) *process { return d.instances[r.IntN(instances)] }

// injectFaults injects faults, which may overlap, until the context ends. It
// returns their names in order.
func (d *deployment) injectFaults(ctx context.Context, r *rand.Rand, undos *sync.WaitGroup) (injected []string) {
	time.Sleep(time.Second) // wait for the processes to start
	for ctx.Err() == nil {
		f := d.workload.faults[r.IntN(len(d.workload.faults))]
		injected = append(injected, f.name)
		duration := time.Duration(500+r.IntN(4000)) * time.Millisecond
		if undo := f.inject(d, r); undo != nil {
			undos.Add(1)
			go func() {
				defer undos.Done()
				time.Sleep(duration)
				undo()
			}()
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(200+r.IntN(1800)) * time.Millisecond):
		}
	}
	return injected
}

var httpClient = &http.Client{Timeout: 3 * time.Second}

// call sends a request to one instance and returns the status and the body. Status
// 0 means that there was no response.
func (d *deployment) call(method string, instance int, id, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+d.instances[instance].callerAddress+"/cut/"+id, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = "soak.example"
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	d.checker.withLock(func() { d.checker.counts[method+" "+strconv.Itoa(response.StatusCode)]++ })
	return response.StatusCode, string(data)
}

// submitJobs submits jobs until the context ends. Each job has a client of its own,
// which retries at another instance.
func (d *deployment) submitJobs(ctx context.Context, r *rand.Rand, clients *sync.WaitGroup) {
	for n := 0; ctx.Err() == nil; n++ {
		s := d.workload.job(r)
		cancels, wait := r.IntN(8) == 0, time.Duration(r.IntN(2000))*time.Millisecond
		first := r.IntN(instances)
		d.checker.addSubmission(s)
		clients.Add(1)
		go func() {
			defer clients.Done()
			d.submit(s, first)
			if cancels && s.accepted {
				time.Sleep(wait)
				d.cancel(s, first)
			}
		}()
		time.Sleep(submitInterval)
	}
}

// randomJob draws a job of one or two steps, or now and then one with a long-running
// step.
func randomJob(r *rand.Rand) *submission {
	s := &submission{id: fmt.Sprintf("%016x", r.Uint64()), spec: standin.Spec{RunMs: int64(50 + r.IntN(700)), Fails: r.IntN(20) == 0}}
	for i := range 1 + r.IntN(2) {
		next := step{Count: 1 + r.IntN(4), CPU: int64(500 + r.IntN(4500)), MemMB: 200}
		if i > 0 {
			next.After = []int{i - 1}
		}
		s.steps = append(s.steps, next)
	}
	if r.IntN(40) == 0 {
		s.spec.LongRunning, s.spec.Fails = true, false
		s.steps = []step{{Count: 2, CPU: 1000, MemMB: 200, LongRunning: true}}
	}
	s.body = s.encode()
	return s
}

// submit submits a job, with at most five attempts.
func (d *deployment) submit(s *submission, first int) {
	const attempts = 5
	rejected := true
	for n := range attempts {
		status, _ := d.call(http.MethodPost, (first+n)%instances, s.id, s.body)
		rejected = rejected && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
		if status == http.StatusOK {
			d.checker.withLock(func() { s.accepted = true })
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	d.checker.withLock(func() { s.rejected = rejected })
}

// cancel cancels a job, with at most five attempts. Status 410, for a job that no
// longer exists, counts as an acknowledgement.
func (d *deployment) cancel(s *submission, first int) {
	for n := range 5 {
		if status, _ := d.call(http.MethodDelete, (first+n)%instances, s.id, ""); status == http.StatusOK || status == http.StatusGone {
			d.checker.withLock(func() { s.cancelled = time.Now() })
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// awaitExpectedStates polls the state of every accepted job until it is the expected
// one, and reports jobs that do not reach it within settleTimeout.
func (d *deployment) awaitExpectedStates() {
	deadline := time.Now().Add(settleTimeout)
	for n, s := range d.accepted() {
		for attempt := 0; ; attempt++ {
			status, body := d.call(http.MethodGet, (n+attempt)%instances, s.id, "")
			if status == http.StatusOK && s.inExpectedState(body) {
				break
			}
			if status == http.StatusGone || time.Now().After(deadline) {
				d.checker.withLock(func() {
					d.checker.reportf("LOST: job %s (long-running %v, fails %v, cancelled %v) has status %d, body %s, want its expected state", s.id, s.spec.LongRunning, s.spec.Fails, !s.cancelled.IsZero(), status, body)
				})
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// accepted returns the accepted jobs.
func (d *deployment) accepted() (list []*submission) {
	d.checker.withLock(func() {
		for _, s := range d.checker.jobs {
			if s.accepted {
				list = append(list, s)
			}
		}
	})
	return list
}

// inExpectedState reports whether the reply shows a state that is allowed at the end of a run.
func (s *submission) inExpectedState(body string) bool {
	has := func(state string) bool { return strings.Contains(body, state) }
	switch {
	case s.spec.CrashingTask != "":
		return true // the job may end as failed or stay unfinished
	case !s.cancelled.IsZero():
		return has("cancelled") || has("complete") || has("failed")
	case s.spec.LongRunning:
		return has("running") || has("cancelled")
	case s.spec.Fails:
		return has("failed") || has("cancelled")
	default:
		return has("complete") || has("cancelled")
	}
}
