package partition

import (
	"math"
	"slices"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/configuration"
	"lacewingfork.example/lacewingfork/fleet"
)

// The measurements of docs/POLICY.md. Each test asserts the bound of a target and
// logs the measured value: go test -run TestTarget -v ./decision/partition

const (
	shortMedian = 100 * time.Millisecond
	longRun     = 10 * time.Second
)

// misdeclaredConfiguration declares run times that are wrong by a factor of 10:
// too long for the short operation, too short for the long one.
var misdeclaredConfiguration = &configuration.Configuration{
	Services: []configuration.Service{{Name: "planner", Operations: []configuration.Operation{
		{Name: "short", Class: fleet.Urgent, ExpectedRunTime: 10 * shortMedian},
		{Name: "long", Class: fleet.Normal, ExpectedRunTime: longRun / 10},
	}}},
	Limits: configuration.DefaultLimits,
}

// forEachDeployment runs a measurement for both deployments, in parallel with
// the others: they share no state.
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
		"partition":    func() policy { return &statePolicy{configuration: misdeclaredConfiguration} },
		"fifo-random":  func() policy { return &queuePolicy{random: true} },
		"least-loaded": func() policy { return &queuePolicy{} },
	}
}

func urgentJob(sim *simulation, deadline time.Duration) *job {
	return &job{run: sim.heavyTailRun(shortMedian), work: Work{
		Service: "planner", Operation: "short", Class: fleet.Urgent, Idempotent: true, Deadline: time.Time{}.Add(deadline),
	}}
}

func longJob(sim *simulation) *job {
	return &job{run: longRun/2 + time.Duration(sim.random.Int64N(int64(longRun))), work: Work{
		Service: "planner", Operation: "long", Class: fleet.Normal, Deadline: time.Time{}.Add(time.Minute),
	}}
}

// swingingRate returns an arrival rate that every 20 s rises to 4 times its base
// within 2 s, stays there for 8 s and falls back; low is the fraction of the
// slots in use at the base rate.
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

// p99Wait returns the 99th percentile of the wait of the jobs of an operation
// that arrived after from. Refused jobs don't count; the wait of a job that was
// not started lasts until now.
func p99Wait(sim *simulation, operation fleet.Operation, from time.Duration) time.Duration {
	var waits []time.Duration
	for _, j := range sim.jobs {
		if j.work.Operation == operation && j.arrived > from {
			if j.server >= 0 && !j.refused {
				waits = append(waits, j.started-j.arrived)
			} else if !j.refused {
				waits = append(waits, sim.now-j.arrived)
			}
		}
	}
	slices.Sort(waits)
	return waits[len(waits)*99/100]
}

// Guards the target for short work queued behind long work: its p99 wait is at
// most a tenth of that of first in, first out, and at most 1.5 times that
// without long work.
func TestTargetShortBehindLong(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, d deployment) {
		run := func(name string, low, long float64) (time.Duration, float64) {
			sim := newSimulation(d, policies()[name]())
			sim.addArrivals(swingingRate(d, low, meanHeavyTailRun(shortMedian)), func() *job { return urgentJob(sim, 5*time.Second) })
			if long > 0 {
				sim.addArrivals(constantRate(d, long, longRun), func() *job { return longJob(sim) })
			}
			sim.runUntil(60 * time.Second)
			refused, all := 0.0, 0.0
			for _, j := range sim.jobs {
				if j.work.Operation == "short" && j.arrived > 20*time.Second {
					all++
					if j.refused {
						refused++
					}
				}
			}
			return p99Wait(sim, "short", 20*time.Second), refused / all
		}
		with, refused := run("partition", 0.09, 0.8)
		without, _ := run("partition", 0.09, 0)
		fifo, _ := run("fifo-random", 0.09, 0.8)
		least, _ := run("least-loaded", 0.09, 0.8)
		t.Logf("%s: p99 wait of short work %v (refused %.4f), without long work %v, first in first out %v, least loaded %v",
			d.name, with, refused, without, fifo, least)
		for _, low := range []float64{0.11, 0.13} {
			beside, _ := run("partition", low, 0.8)
			alone, _ := run("partition", low, 0)
			t.Logf("%s: with short work in %.0f%% of the slots at the peak %v, without long work %v", d.name, 400*low, beside, alone)
		}
		if 10*with > fifo {
			t.Errorf("%s: p99 wait %v, want at most a tenth of the %v of first in, first out", d.name, with, fifo)
		}
		// On the request path, waits below a millisecond are not noticeable.
		if with > max(without*3/2, time.Millisecond) {
			t.Errorf("%s: p99 wait %v, want at most 1.5 times the %v without long work", d.name, with, without)
		}
	})
}

// Guards the targets at a load peak of 1.6 times the capacity: goodput within
// the deadline is at least 95% of capacity, and 99.9% of admitted urgent requests
// start before their deadline.
func TestTargetGoodputAtPeak(t *testing.T) {
	const deadline = time.Second
	forEachDeployment(t, func(t *testing.T, d deployment) {
		run := func(name string) (goodput, late float64) {
			sim := newSimulation(d, policies()[name]())
			sim.addArrivals(swingingRate(d, 0.4, meanHeavyTailRun(shortMedian)), func() *job { return urgentJob(sim, deadline) })
			sim.runUntil(38 * time.Second)
			good, admitted, missed := 0, 0, 0
			for _, j := range sim.jobs {
				peak := j.ended%(20*time.Second) >= 11*time.Second && j.ended%(20*time.Second) < 18*time.Second
				if peak && j.ended > warmUp && j.inTime() {
					good++
				}
				if j.admitted && j.arrived > warmUp && j.arrived < sim.now-time.Second {
					admitted++
					if j.server < 0 || j.started-j.arrived > deadline {
						missed++
					}
				}
			}
			capacity := float64(d.slots()) / meanHeavyTailRun(shortMedian).Seconds()
			return float64(good) / (14 * capacity), float64(missed) / float64(admitted)
		}
		goodput, late := run("partition")
		least, leastLate := run("least-loaded")
		t.Logf("%s: goodput at the peak %.3f of capacity (least loaded %.3f); admitted urgent requests that didn't start in time %.5f (least loaded %.3f)",
			d.name, goodput, least, late, leastLate)
		if goodput < 0.95 {
			t.Errorf("%s: goodput %.3f of capacity, want at least 0.95", d.name, goodput)
		}
		if late > 0.001 {
			t.Errorf("%s: %.5f of admitted urgent requests wait beyond their deadline, want at most 0.001", d.name, late)
		}
	})
}

// Guards the target for batch throughput: at least 90% of that of the
// least-loaded policy under the same latency-critical load.
func TestTargetBatchThroughput(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, d deployment) {
		run := func(name string) (ended int, wait time.Duration) {
			sim := newSimulation(d, policies()[name]())
			sim.addArrivals(constantRate(d, 0.4, meanHeavyTailRun(shortMedian)), func() *job { return urgentJob(sim, 5*time.Second) })
			keepTaskBacklog(sim)
			sim.runUntil(60 * time.Second)
			for _, j := range sim.jobs {
				if j.task && j.answered && j.ended > 20*time.Second {
					ended++
				}
			}
			return ended, p99Wait(sim, "short", 20*time.Second)
		}
		batch, wait := run("partition")
		least, leastWait := run("least-loaded")
		t.Logf("%s: %d batch tasks in 40 s at a p99 wait of %v (least loaded %d at %v)", d.name, batch, wait, least, leastWait)
		if float64(batch) < 0.9*float64(least) {
			t.Errorf("%s: %d batch tasks, want at least 90%% of %d", d.name, batch, least)
		}
	})
}

// Guards the target for a server that fails every request: from 2 s after it
// begins to fail, less than 1% of requests fail.
func TestTargetFailingServer(t *testing.T) {
	const failsFrom = 10 * time.Second
	forEachDeployment(t, func(t *testing.T, d deployment) {
		run := func(name string) float64 {
			sim := newSimulation(d, policies()[name]())
			sim.failing = func(server int) bool { return server == 3 && sim.now >= failsFrom }
			sim.addArrivals(constantRate(d, 0.5, meanHeavyTailRun(shortMedian)), func() *job { return urgentJob(sim, time.Second) })
			sim.runUntil(40 * time.Second)
			failed, all := 0.0, 0.0
			for _, j := range sim.jobs {
				if j.arrived >= failsFrom+2*time.Second && j.arrived < sim.now-2*time.Second {
					all++
					if j.failed || j.refused {
						failed++
					}
				}
			}
			return failed / all
		}
		cost, least := run("partition"), run("least-loaded")
		t.Logf("%s: a server that fails everything costs %.5f of requests after 2 s (least loaded %.3f)", d.name, cost, least)
		if cost >= 0.01 {
			t.Errorf("%s: %.4f of requests fail, want under 0.01", d.name, cost)
		}
	})
}

// Guards the target for retries: while every server fails every request, there
// are at most 1.1 attempts for each placed request, and no server is taken out
// of service.
func TestTargetRetryAmplification(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, d deployment) {
		p := &statePolicy{configuration: misdeclaredConfiguration}
		sim := newSimulation(d, p)
		sim.failing = func(int) bool { return true }
		sim.addArrivals(constantRate(d, 0.5, meanHeavyTailRun(shortMedian)), func() *job { return urgentJob(sim, time.Second) })
		sim.runUntil(10 * time.Second)
		placed, out := 0, 0
		for _, j := range sim.jobs {
			if j.attempts > 0 {
				placed++
			}
		}
		for _, s := range p.states {
			for i := range s.servers.Len() {
				if s.breakers.Out(i) {
					out++
				}
			}
		}
		amplification := float64(sim.attempts) / float64(placed)
		t.Logf("%s: %.4f attempts per request while all fail, %d servers out of service", d.name, amplification, out)
		if amplification > 1.1 || out > 0 {
			t.Errorf("%s: %.4f attempts per request, %d servers out of service; want at most 1.1 and none", d.name, amplification, out)
		}
	})
}

// Guards against bursts of cancellations at a load peak that lose requests, leak
// queue entries or reduce the goodput of the other requests. Every second, half
// of the waiting and running requests are cancelled.
func TestTargetCancellationBurst(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, d deployment) {
		sim := newSimulation(d, policies()["partition"]())
		sim.addArrivals(swingingRate(d, 0.4, meanHeavyTailRun(shortMedian)), func() *job { return urgentJob(sim, time.Second) })
		cancelled := 0
		var cancelHalf func()
		cancelHalf = func() {
			for _, j := range sim.jobs[max(0, len(sim.jobs)-5000):] {
				if !j.refused && !j.answered && j.id%2 == 0 {
					cancelled++
					sim.policy.cancel(sim, j)
				}
			}
			sim.schedule(sim.now+time.Second, cancelHalf)
		}
		sim.schedule(10*time.Second, cancelHalf)
		sim.runUntil(18 * time.Second)
		good, open := 0, 0
		for _, j := range sim.jobs {
			if j.ended >= 11*time.Second && j.inTime() {
				good++
			}
			if !j.refused && !j.answered && j.server < 0 && sim.now-j.arrived > time.Second {
				open++
			}
		}
		goodput := float64(good) / 7 / (float64(d.slots()) / meanHeavyTailRun(shortMedian).Seconds())
		t.Logf("%s: goodput %.3f of capacity with %d cancellations in bursts, %d requests not ended", d.name, goodput, cancelled, open)
		if goodput < 0.95 || open > 0 {
			t.Errorf("%s: goodput %.3f of capacity, %d requests not ended; want at least 0.95 and none", d.name, goodput, open)
		}
	})
}

// Guards the target for evictions: at most a tenth of those of a policy without
// hysteresis, under noisy reports. Two of three tasks slow the service down by
// 40% each, and every 20 s all service times double for 5 s regardless of the
// tasks.
func TestTargetEvictionsUnderNoise(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, d deployment) {
		run := func(noHysteresis bool) (evictions int, slowdown float64) {
			p := &statePolicy{configuration: misdeclaredConfiguration, noHysteresis: noHysteresis}
			sim := newSimulation(d, p)
			samples := 0.0
			p.latency = func(server int) map[fleet.Service]time.Duration {
				factor := 1.0
				for id, j := range p.tasks {
					if j.server == server && j.id%3 > 0 && !p.throttled[id] {
						factor += 0.4
					}
				}
				slowdown, samples = slowdown+factor-1, samples+1
				if sim.now%(20*time.Second) < 5*time.Second {
					factor *= 2
				}
				noisy := factor * math.Exp(0.3*sim.random.NormFloat64())
				return map[fleet.Service]time.Duration{"planner": time.Duration(noisy * float64(shortMedian))}
			}
			sim.addArrivals(constantRate(d, 0.05, meanHeavyTailRun(shortMedian)), func() *job { return urgentJob(sim, time.Second) })
			for range d.servers {
				j := &job{task: true, run: time.Hour, work: Work{}}
				sim.schedule(warmUp, func() {
					j.work.Operation = fleet.Operation([]string{"harmless", "interfering", "interfering"}[len(sim.jobs)%3])
					sim.submit(j)
				})
			}
			sim.runUntil(5 * time.Minute)
			return len(p.evictions), slowdown / samples
		}
		evictions, slowdown := run(false)
		baselineEvictions, baselineSlowdown := run(true)
		t.Logf("%s: %d evictions in 5 minutes at a mean slowdown of %.3f (without hysteresis %d at %.3f)",
			d.name, evictions, slowdown, baselineEvictions, baselineSlowdown)
		if 10*evictions > baselineEvictions {
			t.Errorf("%s: %d evictions, want at most a tenth of the %d without hysteresis", d.name, evictions, baselineEvictions)
		}
	})
}

// keepTaskBacklog keeps a backlog of 40 batch tasks, offered every 100 ms.
func keepTaskBacklog(sim *simulation) {
	newTask := func() *job {
		return &job{task: true, run: 2*time.Second + time.Duration(sim.random.Int64N(int64(4*time.Second))), work: Work{Operation: "weave"}}
	}
	var offer func()
	offer = func() {
		open := 0
		for _, j := range sim.jobs {
			if j.task && j.server < 0 {
				open++
			}
		}
		for ; open < 40; open++ {
			sim.submit(newTask())
		}
		if p, ok := sim.policy.(*statePolicy); ok {
			p.offer(sim)
		}
		sim.schedule(sim.now+100*time.Millisecond, offer)
	}
	sim.schedule(warmUp, offer)
}
