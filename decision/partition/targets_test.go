package partition

import (
	"math"
	"slices"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/fleet"
)

// The measurements of docs/POLICY.md. Each asserts the target's bound and logs
// what was measured: go test -run TestTarget -v ./decision/partition

const (
	shortMedian = 100 * time.Millisecond
	longRun     = 10 * time.Second
)

// misdeclaredConfiguration has declared run times that are off by 10 times: the short
// operation is declared 10 times too long, the long one 10 times too short.
var misdeclaredConfiguration = &configuration.Configuration{
	Services: []configuration.Service{{Name: "planner", Operations: []configuration.Operation{
		{Name: "short", Class: fleet.Urgent, ExpectedRunTime: 10 * shortMedian},
		{Name: "long", Class: fleet.Normal, ExpectedRunTime: longRun / 10},
	}}},
	Limits: configuration.DefaultLimits,
}

// forEachDeployment runs a measurement at both sizes, beside the others: they
// share nothing.
func forEachDeployment(t *testing.T, measure func(*testing.T, deployment)) {
	t.Parallel()
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			measure(t, d)
		})
	}
}

func policies() map[string]func() policy {
	return map[string]func() policy{
		"lacewing":     func() policy { return &statePolicy{configuration: misdeclaredConfiguration} },
		"fifo-random":  func() policy { return &queuePolicy{random: true} },
		"least-loaded": func() policy { return &queuePolicy{} },
	}
}

func urgentJob(w *simulation, deadline time.Duration) *job {
	return &job{run: w.heavyTailRun(shortMedian), work: Work{
		Service: "planner", Operation: "short", Class: fleet.Urgent, Idempotent: true, Deadline: time.Time{}.Add(deadline),
	}}
}

func longJob(w *simulation) *job {
	return &job{run: longRun/2 + time.Duration(w.random.Int64N(int64(longRun))), work: Work{
		Service: "planner", Operation: "long", Class: fleet.Normal, Deadline: time.Time{}.Add(time.Minute),
	}}
}

// swingingRate is a rate that rises 4 times within 2 s, stays for 8 s and falls back,
// every 20 s; low is the part of the slots in use at the bottom.
func swingingRate(d deployment, low float64, run time.Duration) func(time.Duration) float64 {
	base := low * float64(d.slots()) / run.Seconds()
	return func(t time.Duration) float64 {
		switch phase := t % (20 * time.Second); {
		case t < warmUp || phase < 8*time.Second:
			return base
		case phase < 10*time.Second:
			return base * (1 + 3*float64(phase-8*time.Second)/float64(2*time.Second))
		case phase < 18*time.Second:
			return 4 * base
		}
		return base
	}
}

func constantRate(d deployment, load float64, run time.Duration) func(time.Duration) float64 {
	rate := load * float64(d.slots()) / run.Seconds()
	return func(time.Duration) float64 { return rate }
}

// p99Wait returns the p99 wait of the started jobs of an operation.
func p99Wait(w *simulation, operation fleet.Operation, from time.Duration) time.Duration {
	var waits []time.Duration
	for _, j := range w.jobs {
		if j.work.Operation == operation && j.arrived > from {
			if j.server >= 0 && !j.refused {
				waits = append(waits, j.started-j.arrived)
			} else if !j.refused {
				waits = append(waits, w.now-j.arrived)
			}
		}
	}
	slices.Sort(waits)
	return waits[len(waits)*99/100]
}

// Guards the target on short work behind long work: p99 wait at most a tenth
// of first-in-first-out's and within 1.5 times that without the long work.
func TestTargetShortBehindLong(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, d deployment) {
		run := func(name string, low, long float64) (time.Duration, float64) {
			w := newSimulation(d, policies()[name]())
			w.addArrivals(swingingRate(d, low, meanHeavyTailRun(shortMedian)), func() *job { return urgentJob(w, 5*time.Second) })
			if long > 0 {
				w.addArrivals(constantRate(d, long, longRun), func() *job { return longJob(w) })
			}
			w.runUntil(60 * time.Second)
			refused, all := 0.0, 0.0
			for _, j := range w.jobs {
				if j.work.Operation == "short" && j.arrived > 20*time.Second {
					all++
					if j.refused {
						refused++
					}
				}
			}
			return p99Wait(w, "short", 20*time.Second), refused / all
		}
		with, refused := run("lacewing", 0.09, 0.8)
		without, _ := run("lacewing", 0.09, 0)
		fifo, _ := run("fifo-random", 0.09, 0.8)
		least, _ := run("least-loaded", 0.09, 0.8)
		t.Logf("%s: p99 wait of short work %v (refused %.4f), without long work %v, first in first out %v, least loaded %v",
			d.name, with, refused, without, fifo, least)
		for _, low := range []float64{0.11, 0.13} {
			beside, _ := run("lacewing", low, 0.8)
			alone, _ := run("lacewing", low, 0)
			t.Logf("%s: with short work in %.0f%% of the slots at the crest %v, without long work %v", d.name, 400*low, beside, alone)
		}
		if 10*with > fifo {
			t.Errorf("%s: p99 wait %v is more than a tenth of %v", d.name, with, fifo)
		}
		// Waits below a millisecond can't be told from none on the path.
		if with > max(without*3/2, time.Millisecond) {
			t.Errorf("%s: p99 wait %v is more than 1.5 times %v", d.name, with, without)
		}
	})
}

// Guards the targets at the crest of a swing to 1.6 times the capacity:
// goodput within the deadline at least 95% of capacity, and 99.9% of admitted
// urgent requests started before their deadline.
func TestTargetGoodputAtPeak(t *testing.T) {
	const deadline = time.Second
	forEachDeployment(t, func(t *testing.T, d deployment) {
		run := func(name string) (goodput, late float64) {
			w := newSimulation(d, policies()[name]())
			w.addArrivals(swingingRate(d, 0.4, meanHeavyTailRun(shortMedian)), func() *job { return urgentJob(w, deadline) })
			w.runUntil(38 * time.Second)
			good, admitted, missed := 0, 0, 0
			for _, j := range w.jobs {
				crest := j.ended%(20*time.Second) >= 11*time.Second && j.ended%(20*time.Second) < 18*time.Second
				if crest && j.ended > warmUp && j.inTime() {
					good++
				}
				if j.admitted && j.arrived > warmUp && j.arrived < w.now-time.Second {
					admitted++
					if j.server < 0 || j.started-j.arrived > deadline {
						missed++
					}
				}
			}
			capacity := float64(d.slots()) / meanHeavyTailRun(shortMedian).Seconds()
			return float64(good) / (14 * capacity), float64(missed) / float64(admitted)
		}
		goodput, late := run("lacewing")
		least, leastLate := run("least-loaded")
		t.Logf("%s: goodput at the crest %.3f of capacity (least loaded %.3f); admitted urgent requests that didn't start in time %.5f (least loaded %.3f)",
			d.name, goodput, least, late, leastLate)
		if goodput < 0.95 {
			t.Errorf("%s: goodput %.3f of capacity, want 0.95", d.name, goodput)
		}
		if late > 0.001 {
			t.Errorf("%s: %.5f of admitted urgent requests wait beyond their deadline, want 0.001", d.name, late)
		}
	})
}

// Guards the target on batch throughput: at least 90% of least loaded's with
// the same latency-critical load.
func TestTargetBatchThroughput(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, d deployment) {
		run := func(name string) (ended int, wait time.Duration) {
			w := newSimulation(d, policies()[name]())
			w.addArrivals(constantRate(d, 0.4, meanHeavyTailRun(shortMedian)), func() *job { return urgentJob(w, 5*time.Second) })
			keepTaskBacklog(w)
			w.runUntil(60 * time.Second)
			for _, j := range w.jobs {
				if j.task && j.answered && j.ended > 20*time.Second {
					ended++
				}
			}
			return ended, p99Wait(w, "short", 20*time.Second)
		}
		batch, wait := run("lacewing")
		least, leastWait := run("least-loaded")
		t.Logf("%s: %d batch tasks in 40 s at a p99 wait of %v (least loaded %d at %v)", d.name, batch, wait, least, leastWait)
		if float64(batch) < 0.9*float64(least) {
			t.Errorf("%s: %d batch tasks, want 90%% of %d", d.name, batch, least)
		}
	})
}

// Guards the target on a server that fails everything: under 1% of requests
// after its first 2 s.
func TestTargetFailingServer(t *testing.T) {
	const failsFrom = 10 * time.Second
	forEachDeployment(t, func(t *testing.T, d deployment) {
		run := func(name string) float64 {
			w := newSimulation(d, policies()[name]())
			w.failing = func(server int) bool { return server == 3 && w.now >= failsFrom }
			w.addArrivals(constantRate(d, 0.5, meanHeavyTailRun(shortMedian)), func() *job { return urgentJob(w, time.Second) })
			w.runUntil(40 * time.Second)
			bad, all := 0.0, 0.0
			for _, j := range w.jobs {
				if j.arrived >= failsFrom+2*time.Second && j.arrived < w.now-2*time.Second {
					all++
					if j.failed || j.refused {
						bad++
					}
				}
			}
			return bad / all
		}
		cost, least := run("lacewing"), run("least-loaded")
		t.Logf("%s: a server that fails everything costs %.5f of requests after 2 s (least loaded %.3f)", d.name, cost, least)
		if cost >= 0.01 {
			t.Errorf("%s: %.4f of requests fail, want under 0.01", d.name, cost)
		}
	})
}

// Guards the target on retries: at most 1.1 attempts for each request that was
// placed while every server fails everything, and no server is taken out.
func TestTargetRetryAmplification(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, d deployment) {
		l := &statePolicy{configuration: misdeclaredConfiguration}
		w := newSimulation(d, l)
		w.failing = func(int) bool { return true }
		w.addArrivals(constantRate(d, 0.5, meanHeavyTailRun(shortMedian)), func() *job { return urgentJob(w, time.Second) })
		w.runUntil(10 * time.Second)
		placed, out := 0, 0
		for _, j := range w.jobs {
			if j.attempts > 0 {
				placed++
			}
		}
		for _, s := range l.states {
			for i := range s.servers.Len() {
				if s.breakers.Out(i) {
					out++
				}
			}
		}
		amplification := float64(w.attempts) / float64(placed)
		t.Logf("%s: %.4f attempts for each request at full failure, %d servers out", d.name, amplification, out)
		if amplification > 1.1 || out > 0 {
			t.Errorf("%s: %.4f attempts, %d servers out; want at most 1.1 and none", d.name, amplification, out)
		}
	})
}

// Guards against a wave of cancellations at the crest that loses requests,
// leaves places in the queue taken, or costs goodput of the rest: each second
// half of the requests that wait or run are cancelled.
func TestTargetCancellationWave(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, d deployment) {
		w := newSimulation(d, policies()["lacewing"]())
		w.addArrivals(swingingRate(d, 0.4, meanHeavyTailRun(shortMedian)), func() *job { return urgentJob(w, time.Second) })
		cancelled := 0
		var wave func()
		wave = func() {
			for _, j := range w.jobs[max(0, len(w.jobs)-5000):] {
				if !j.refused && !j.answered && j.id%2 == 0 {
					cancelled++
					w.policy.cancel(w, j)
				}
			}
			w.schedule(w.now+time.Second, wave)
		}
		w.schedule(10*time.Second, wave)
		w.runUntil(18 * time.Second)
		good, open := 0, 0
		for _, j := range w.jobs {
			if j.ended >= 11*time.Second && j.inTime() {
				good++
			}
			if !j.refused && !j.answered && j.server < 0 && w.now-j.arrived > time.Second {
				open++
			}
		}
		goodput := float64(good) / 7 / (float64(d.slots()) / meanHeavyTailRun(shortMedian).Seconds())
		t.Logf("%s: goodput %.3f of capacity with %d cancellations in waves, %d requests without an ending", d.name, goodput, cancelled, open)
		if goodput < 0.95 || open > 0 {
			t.Errorf("%s: goodput %.3f, %d requests without an ending; want 0.95 and none", d.name, goodput, open)
		}
	})
}

// Guards the target on evictions: at most a tenth of those of a policy without
// hysteresis, under noisy reports in waves beside a pair that interferes. Two
// of three tasks slow the service down by 40% each; every 20 s all service
// times double for 5 s whatever runs.
func TestTargetEvictionsUnderNoise(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, d deployment) {
		run := func(eager bool) (evictions int, slowdown float64) {
			l := &statePolicy{configuration: misdeclaredConfiguration, noHysteresis: eager}
			w := newSimulation(d, l)
			samples := 0.0
			l.latency = func(server int) map[fleet.Service]time.Duration {
				factor := 1.0
				for id, j := range l.tasks {
					if j.server == server && j.id%3 > 0 && !l.throttled[id] {
						factor += 0.4
					}
				}
				slowdown, samples = slowdown+factor-1, samples+1
				if w.now%(20*time.Second) < 5*time.Second {
					factor *= 2
				}
				noisy := factor * math.Exp(0.3*w.random.NormFloat64())
				return map[fleet.Service]time.Duration{"planner": time.Duration(noisy * float64(shortMedian))}
			}
			w.addArrivals(constantRate(d, 0.05, meanHeavyTailRun(shortMedian)), func() *job { return urgentJob(w, time.Second) })
			for range d.servers {
				j := &job{task: true, run: time.Hour, work: Work{}}
				w.schedule(warmUp, func() {
					j.work.Operation = fleet.Operation([]string{"still", "weave", "weave"}[len(w.jobs)%3])
					w.submit(j)
				})
			}
			w.runUntil(5 * time.Minute)
			return len(l.evictions), slowdown / samples
		}
		evictions, slowdown := run(false)
		eager, eagerSlowdown := run(true)
		t.Logf("%s: %d evictions in 5 minutes at a mean slowdown of %.3f (without hysteresis %d at %.3f)",
			d.name, evictions, slowdown, eager, eagerSlowdown)
		if 10*evictions > eager {
			t.Errorf("%s: %d evictions, want at most a tenth of %d", d.name, evictions, eager)
		}
	})
}

// keepTaskBacklog keeps a backlog of 40 batch tasks, offered each 100 ms.
func keepTaskBacklog(w *simulation) {
	newTask := func() *job {
		return &job{task: true, run: 2*time.Second + time.Duration(w.random.Int64N(int64(4*time.Second))), work: Work{Operation: "weave"}}
	}
	var offer func()
	offer = func() {
		open := 0
		for _, j := range w.jobs {
			if j.task && j.server < 0 {
				open++
			}
		}
		for ; open < 40; open++ {
			w.submit(newTask())
		}
		if l, ok := w.policy.(*statePolicy); ok {
			l.offer(w)
		}
		w.schedule(w.now+100*time.Millisecond, offer)
	}
	w.schedule(warmUp, offer)
}
