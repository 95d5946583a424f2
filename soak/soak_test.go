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
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/platform/standin"
)

// Settings of a soak, from the environment.
const (
	usualSeed     = 20261204
	usualDuration = 12 * time.Second
	// settleFor bounds the time until everything accepted is done after the
	// last fault: an authority and a lease that run out, and the work itself.
	settleFor = 90 * time.Second
	// submitEvery keeps the servers at about half of their capacity.
	submitEvery = 120 * time.Millisecond
)

func setting(t *testing.T, name string, usual int64) int64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return usual
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		t.Fatalf("%s is %q, expected a whole number", name, text)
	}
	return n
}

// TestSoak plays random faults on real processes and checks the promises from what
// workers and clients see. It guards against faults of the wiring that the model
// of decision/cell cannot show. SOAK_SEED, SOAK_SECONDS and SOAK_RUNS choose the
// seeds; SOAK_LOGS names a folder for the lines of the processes.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "lacewingfork-scheduler")
	build := exec.Command("go", "build", "-o", binary, "lacewingfork.example/lacewingfork/cmd/lacewingfork-scheduler")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	seed := setting(t, "SOAK_SEED", usualSeed)
	seconds := setting(t, "SOAK_SECONDS", int64(usualDuration/time.Second))
	var seeds []int64
	for n := range setting(t, "SOAK_RUNS", 1) {
		seeds = append(seeds, seed+n)
	}
	if os.Getenv("SOAK_SEED") == "" {
		seeds = append(seeds, regressionSeeds...)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			play(t, binary, seed, time.Duration(seconds)*time.Second)
		})
	}
}

// regressionSeeds are the seeds that found something.
var regressionSeeds = []int64{
	1007, // a late order was carried out by the next life of its worker
}

func play(t *testing.T, binary string, seed int64, duration time.Duration) {
	w := newWorld(t, binary)
	random := rand.New(rand.NewPCG(uint64(seed), 1))
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var clients, ends sync.WaitGroup
	clients.Add(1)
	go func() {
		defer clients.Done()
		w.submitJobs(ctx, rand.New(rand.NewPCG(uint64(seed), 2)), &clients)
	}()
	played := w.playFaults(ctx, random, &ends)
	ends.Wait()
	w.heal()
	clients.Wait()
	w.settle()
	w.judge.refused()
	t.Logf("seed %d: %v, %d jobs, %d starts, answers %v", seed, played, w.judge.count["jobs"], w.judge.count["starts"], w.judge.count)
	slices.Sort(w.judge.finds)
	for _, find := range slices.Compact(w.judge.finds) {
		t.Error(find)
	}
}

// fault is one kind of trouble; end undoes it after a while.
type fault struct {
	name string
	play func(w *world, r *rand.Rand) (end func())
}

var faults = []fault{
	{"kill", func(w *world, r *rand.Rand) func() { w.anyInstance(r).signal(syscall.SIGKILL); return nil }},
	{"kill_all", func(w *world, _ *rand.Rand) func() {
		for _, p := range w.instances {
			p.signal(syscall.SIGKILL)
		}
		return nil
	}},
	{"stop", func(w *world, r *rand.Rand) func() { w.anyInstance(r).signal(syscall.SIGTERM); return nil }},
	{"freeze", func(w *world, r *rand.Rand) func() {
		p := w.anyInstance(r)
		p.signal(syscall.SIGSTOP)
		return func() { p.signal(syscall.SIGCONT) }
	}},
	{"store_busy", storeFault(standin.Busy)},
	{"store_silent", storeFault(standin.Silent)},
	{"store_loses", storeFault(standin.Loses)},
	{"cut_from_store", func(w *world, r *rand.Rand) func() { return cut(w.stores[r.IntN(instances)], silent) }},
	{"deaf_store", func(w *world, r *rand.Rand) func() { return cut(w.stores[r.IntN(instances)], deaf) }},
	{"slow_store", func(w *world, r *rand.Rand) func() { return cut(w.stores[r.IntN(instances)], slow) }},
	{"reset_store", func(w *world, r *rand.Rand) func() { w.stores[r.IntN(instances)].reset(); return nil }},
	{"cut_worker", func(w *world, r *rand.Rand) func() { return cut(w.servers[r.IntN(servers)], silent) }},
	{"reset_worker", func(w *world, r *rand.Rand) func() { w.servers[r.IntN(servers)].reset(); return nil }},
	{"late_orders", workerFault(standin.Late)},
	{"lost_answers", workerFault(standin.Loses)},
	{"sick_worker", workerFault(standin.Busy)},
	{"restart_worker", func(w *world, r *rand.Rand) func() { w.restartWorker(r.IntN(servers)); return nil }},
}

func storeFault(f standin.Fault) func(w *world, _ *rand.Rand) func() {
	return func(w *world, _ *rand.Rand) func() {
		w.store.Always(f)
		return func() { w.store.Always(standin.Answers) }
	}
}

func workerFault(f standin.Fault) func(w *world, r *rand.Rand) func() {
	return func(w *world, r *rand.Rand) func() {
		worker := w.workers[r.IntN(servers)]
		worker.Always(f)
		return func() { worker.Always(standin.Answers) }
	}
}

func cut(p *proxy, how path) func() {
	p.set(how)
	return func() {
		p.set(passes)
		p.reset() // what was lost on a connection does not come back
	}
}

func (w *world) anyInstance(r *rand.Rand) *process { return w.instances[r.IntN(instances)] }

// playFaults lets faults come in series that overlap, until the context ends.
func (w *world) playFaults(ctx context.Context, r *rand.Rand, ends *sync.WaitGroup) (played []string) {
	time.Sleep(time.Second) // the processes start
	for ctx.Err() == nil {
		f := faults[r.IntN(len(faults))]
		played = append(played, f.name)
		lasts := time.Duration(500+r.IntN(4000)) * time.Millisecond
		if end := f.play(w, r); end != nil {
			ends.Add(1)
			go func() {
				defer ends.Done()
				time.Sleep(lasts)
				end()
			}()
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(200+r.IntN(1800)) * time.Millisecond):
		}
	}
	return played
}

var httpClient = &http.Client{Timeout: 3 * time.Second}

// ask calls one instance; 0 means that there was no answer.
func (w *world) ask(method string, instance int, id, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+w.instances[instance].callers+"/cut/"+id, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = "soak.example"
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }() // it has been read
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	w.judge.change(func() { w.judge.count[method+" "+strconv.Itoa(response.StatusCode)]++ })
	return response.StatusCode, string(data)
}

// submitJobs hands jobs in until the context ends. Each is a client of its own,
// which comes again at another instance.
func (w *world) submitJobs(ctx context.Context, r *rand.Rand, clients *sync.WaitGroup) {
	for n := 0; ctx.Err() == nil; n++ {
		s := randomJob(r)
		cancels, wait := r.IntN(8) == 0, time.Duration(r.IntN(2000))*time.Millisecond
		first := r.IntN(instances)
		w.judge.submitted(s)
		clients.Add(1)
		go func() {
			defer clients.Done()
			w.client(s, first)
			if cancels && s.accepted {
				time.Sleep(wait)
				w.cancel(s, first)
			}
		}()
		time.Sleep(submitEvery)
	}
}

func randomJob(r *rand.Rand) *submission {
	s := &submission{id: fmt.Sprintf("%016x", r.Uint64()), spec: standin.Spec{RunMs: int64(50 + r.IntN(700)), Fails: r.IntN(20) == 0}}
	for at := range 1 + r.IntN(2) {
		next := step{Count: 1 + r.IntN(4), CPU: int64(500 + r.IntN(4500)), MemMB: 200}
		if at > 0 {
			next.After = []int{at - 1}
		}
		s.steps = append(s.steps, next)
	}
	if r.IntN(40) == 0 {
		s.spec.Lasts, s.spec.Fails = true, false
		s.steps = []step{{Count: 2, CPU: 1000, MemMB: 200, Lasting: true}}
	}
	s.body = s.encode()
	return s
}

// client hands a job in, five times at the most.
func (w *world) client(s *submission, first int) {
	const tries = 5
	rejected := true
	for n := range tries {
		status, _ := w.ask(http.MethodPost, (first+n)%instances, s.id, s.body)
		rejected = rejected && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
		if status == http.StatusOK {
			w.judge.change(func() { s.accepted = true })
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	w.judge.change(func() { s.rejected = rejected })
}

func (w *world) cancel(s *submission, first int) {
	for n := range 5 {
		if status, _ := w.ask(http.MethodDelete, (first+n)%instances, s.id, ""); status == http.StatusOK || status == http.StatusGone {
			w.judge.change(func() { s.cancelled = time.Now() })
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// settle asks for every accepted job until it has the state that it has to have.
func (w *world) settle() {
	deadline := time.Now().Add(settleFor)
	for n, s := range w.accepted() {
		for try := 0; ; try++ {
			status, body := w.ask(http.MethodGet, (n+try)%instances, s.id, "")
			if status == http.StatusOK && s.settled(body) {
				break
			}
			if status == http.StatusGone || time.Now().After(deadline) {
				w.judge.change(func() {
					w.judge.find("LOST: job %s (lasts %v, fails %v, cancelled %v) is %d %s", s.id, s.spec.Lasts, s.spec.Fails, !s.cancelled.IsZero(), status, body)
				})
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func (w *world) accepted() (list []*submission) {
	w.judge.change(func() {
		for _, s := range w.judge.jobs {
			if s.accepted {
				list = append(list, s)
			}
		}
	})
	return list
}

func (s *submission) settled(body string) bool {
	is := func(state string) bool { return strings.Contains(body, state) }
	switch {
	case !s.cancelled.IsZero():
		return is("cancelled") || is("complete") || is("failed")
	case s.spec.Lasts:
		return is("running") || is("cancelled")
	case s.spec.Fails:
		return is("failed") || is("cancelled")
	default:
		return is("complete") || is("cancelled")
	}
}
