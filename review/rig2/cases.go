package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Bounds of the small deployment, as the site files give them.
const (
	contactTime = 3 * time.Second
	drainTime   = 2500 * time.Millisecond
	finishTime  = 14 * time.Second
)

func (s *system) wait(d time.Duration) { time.Sleep(d) }

// quick is the step of a small job.
func quick(count int) step {
	return step{Count: count, CPU: 6000, MemMB: 13000, EstimateMs: 600}
}

// waitComplete waits until the jobs are shown as complete, and returns those that are
// not in time.
func (s *system) waitComplete(r route, ids []string, limit time.Duration) (late []string) {
	until := s.rec.now() + limit
	late = ids
	for len(late) > 0 && s.rec.now() < until {
		var rest []string
		for _, id := range late {
			if _, state := s.state(r, id); state != "complete" {
				rest = append(rest, id)
			}
		}
		if late = rest; len(late) > 0 {
			time.Sleep(500 * time.Millisecond)
		}
	}
	return late
}

// playTwice: an idle minion restarts while the store loses one answer; later this minion
// is cut off, and the process that decides is killed.
func playTwice(s *system, trouble bool) (bool, error) {
	const (
		downTime = 600 * time.Millisecond
		cutTime  = 5500 * time.Millisecond
	)
	first := s.minions[0]
	stop := s.background(s.routes[0], 4, work{RunMs: 300}, step{Count: 6, CPU: 6000, MemMB: 6000, EstimateMs: 300, RequiredLabel: "a"})
	if trouble {
		if err := s.restartMinion(first, downTime); err != nil {
			return false, err
		}
	}
	stop()
	s.wait(5 * time.Second)
	var ids []string
	for range 4 {
		id, ok := s.submit(s.routes[1], work{RunMs: 9000, Saves: true}, step{Count: 24, CPU: 7000, MemMB: 13000, EstimateMs: 9000, Checkpointing: true})
		if !ok {
			return false, errors.New("a job was not accepted")
		}
		ids = append(ids, id)
	}
	s.wait(3 * time.Second)
	if trouble {
		s.rec.say("minion %s with %d runs is cut off for %v", first.id, first.running(), cutTime)
		first.cutOff(true)
		s.holder().kill()
		s.wait(cutTime)
		first.cutOff(false)
		s.rec.say("the cut has healed")
	}
	late := s.waitComplete(s.routes[1], ids, 45*time.Second)
	s.rec.say("jobs not complete: %d of %d; starts beside or after another run: %d", len(late), len(ids), len(s.watch.twice))
	return len(s.watch.twice) > 0, nil
}

// restartMinion drains a minion, lets it leave and starts it again under its id. As it
// leaves, the store loses the answer of one write.
func (s *system) restartMinion(m *minion, down time.Duration) error {
	s.rec.say("minion %s is draining", m.id)
	m.drain()
	s.wait(drainTime + 100*time.Millisecond)
	m.stop(true)
	s.rec.say("minion %s has left", m.id)
	s.store.loseNext()
	s.wait(down)
	if err := m.start(); err != nil {
		return err
	}
	s.rec.say("minion %s has started again under its id", m.id)
	s.wait(2 * time.Second)
	lost, writes := s.store.writes()
	s.rec.say("the store has lost the answer of %d of %d writes", lost, writes)
	return nil
}

// cutOff cuts a minion off from the machines of the system and from the store, or ends
// the cut.
func (m *minion) cutOff(cut bool) {
	m.proxy.cut.Store(cut)
	m.mu.Lock()
	m.reachable = !cut
	m.mu.Unlock()
	if !cut {
		m.proxy.reset()
		m.beat()
	}
}

// playLarge: a job of many tasks is handed in beside small ones, and lasting jobs are
// cancelled later.
func playLarge(s *system, trouble bool) (bool, error) {
	const (
		cancels = 12
		ackTime = 4 * time.Second
	)
	s.watch.quiet = true
	count := 600
	if trouble {
		count = 8000
	}
	var lasting []string
	for range cancels {
		id, ok := s.submit(s.routes[2], work{Lasts: true}, step{Count: 1, CPU: 2000, MemMB: 2000, EstimateMs: 300, LongRunning: true})
		if !ok {
			return false, errors.New("a lasting job was not accepted")
		}
		lasting = append(lasting, id)
	}
	s.wait(3 * time.Second)
	large, ok := s.submit(s.routes[1], work{RunMs: 2000, Saves: true}, step{Count: count, CPU: 100, MemMB: 50, EstimateMs: 2000, Checkpointing: true})
	if !ok {
		return false, errors.New("the large job was not accepted")
	}
	s.rec.say("a job of %d tasks is accepted", count)
	accepted, rejected := 0, 0
	for end := s.rec.now() + 20*time.Second; s.rec.now() < end; s.wait(time.Second) {
		if _, ok := s.submit(s.routes[0], work{RunMs: 500}, quick(6)); ok {
			accepted++
		} else {
			rejected++
		}
	}
	s.rec.say("%d small jobs accepted, %d rejected at each of %d tries; appends refused because of their size: %d, the last at %.1f s", accepted, rejected, clientTries, s.store.oversized, s.store.refusedAt.Seconds())
	unanswered := s.cancelAll(s.routes[2], lasting, ackTime)
	s.rec.say("cancels of accepted jobs: %d, of which %d had no 2xx or 410 within %v", cancels, unanswered, ackTime)
	s.wait(2 * ackTime)
	all, noted := 0, 0
	s.watch.mu.Lock()
	for _, list := range s.watch.runs {
		for _, r := range list {
			if r.ended > 0 && s.rec.now()-r.ended > ackTime {
				all++
				if r.noted {
					noted++
				}
			}
		}
	}
	s.watch.mu.Unlock()
	done, _ := s.watch.counts(large)
	_, state := s.state(s.routes[1], large)
	s.rec.say("the large job: %d of %d tasks have ended done, its state is shown as %q; ends older than %v on all minions: %d, taken note of: %d", done, count, state, ackTime, all, noted)
	if 10*unanswered > cancels {
		s.rec.say("Acks: more than a tenth of the cancels have no answer, with the store, the links and the minions sound all the time")
	}
	if 5*(all-noted) > all {
		s.rec.say("Acks: more than a fifth of the ends are not taken note of, with the store, the links and the minions sound all the time")
	}
	return 10*unanswered > cancels || 5*(all-noted) > all, nil
}

// cancelAll sends the DELETE of one job a second, each again and again at other nodes, and
// returns how many had no 2xx or 410 in time.
func (s *system) cancelAll(r route, ids []string, limit time.Duration) (unanswered int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, id := range ids {
		group.Add(1)
		go func() {
			defer group.Done()
			until := s.rec.now() + limit
			for try := rand.IntN(len(s.processes)); s.rec.now() < until; try++ {
				p := s.processes[try%len(s.processes)]
				status, _ := s.call(p, http.MethodDelete, r, id, nil)
				s.rec.add("client: DELETE %s%s at %s: %d", r.Prefix, id, p.name, status)
				if (status/100 == 2 || status == http.StatusGone) && s.rec.now() <= until {
					return
				}
				s.wait(300 * time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			unanswered++
		}()
		s.wait(time.Second)
	}
	group.Wait()
	return unanswered
}

// playDropped: the operator drops a route whose accepted jobs are not finished, and the
// process that decides is killed later.
func playDropped(s *system, trouble bool) (bool, error) {
	id, ok := s.submit(s.routes[1], work{RunMs: 7000}, step{Count: 6, CPU: 7000, MemMB: 13000, EstimateMs: 7000}, step{Count: 6, CPU: 7000, MemMB: 13000, EstimateMs: 7000, DependsOn: []int{0}})
	if !ok {
		return false, errors.New("the job was not accepted")
	}
	lasting, ok := s.submit(s.routes[1], work{Lasts: true}, step{Count: 2, CPU: 7000, MemMB: 13000, EstimateMs: 300, LongRunning: true})
	if !ok {
		return false, errors.New("the lasting job was not accepted")
	}
	s.wait(time.Second)
	old := s.routes[1]
	s.routes = []route{s.routes[0], s.routes[2]}
	s.publish()
	s.rec.say("the operator drops the route of job %s", id)
	s.wait(3 * time.Second)
	if trouble {
		s.holder().kill()
	}
	s.wait(6 * time.Second)
	// A minion leaves, so that one of the lasting tasks has to be restarted.
	for _, m := range s.minions {
		if slices.ContainsFunc(s.runsOf(lasting), func(r watchedRun) bool { return r.server == m && r.ended == 0 }) {
			s.rec.say("minion %s of the lasting job is draining and leaves", m.id)
			m.drain()
			s.wait(drainTime + 500*time.Millisecond)
			m.stop(true)
			break
		}
	}
	other, ok := s.submit(s.routes[0], work{RunMs: 500}, quick(6))
	if !ok {
		return false, errors.New("the job of another route was not accepted")
	}
	s.wait(25 * time.Second)
	doneOther, _ := s.watch.counts(other)
	done, running := s.watch.counts(id)
	idle := s.rec.now() - s.watch.lastSign(id)
	_, lastingRunning := s.watch.counts(lasting)
	s.rec.say("job %s: %d of 12 tasks done, %d running, nothing running for %.1f s; lasting job: %d of 2 tasks running; job of another route: %d of 6 done", id, done, running, idle.Seconds(), lastingRunning, doneOther)
	status, state := s.state(old, id)
	s.rec.say("the dropped route answers a GET of the job with %d %q", status, state)
	if doneOther != 6 {
		return false, errors.New("the other route does not work")
	}
	violated := done < 12 && running == 0 && idle > 3*time.Second || lastingRunning < 2
	if violated {
		s.rec.say("LOST: an accepted job that nobody has cancelled has nothing running while the minions are idle")
	}
	return violated, nil
}

// runsOf returns all runs of a job.
func (s *system) runsOf(id string) (all []watchedRun) {
	for _, list := range s.watch.jobRuns(id) {
		all = append(all, list...)
	}
	return all
}

// playCrashes: two minions crash one after the other, each just after it has started
// the same task.
func playCrashes(s *system, trouble bool) (bool, error) {
	id, ok := s.submit(s.routes[1], work{RunMs: 6000}, step{Count: 1, CPU: 7000, MemMB: 13000, EstimateMs: 6000})
	if !ok {
		return false, errors.New("the job was not accepted")
	}
	seen := 0
	for crash := 0; trouble && crash < 2; {
		s.wait(20 * time.Millisecond)
		runs := s.runsOf(id)
		if len(runs) <= seen {
			if s.rec.now() > 40*time.Second {
				break
			}
			continue
		}
		seen = len(runs)
		for _, r := range runs {
			if r.ended == 0 {
				s.wait(300 * time.Millisecond)
				s.rec.say("minion %s crashes", r.server.id)
				r.server.stop(false)
				m := r.server
				go func() {
					s.wait(4500 * time.Millisecond)
					_ = m.start()
				}()
				crash++
			}
		}
	}
	state := ""
	for until := s.rec.now() + 40*time.Second; s.rec.now() < until; {
		if _, state = s.state(s.routes[1], id); state == "complete" || state == "failed" || state == "cancelled" {
			break
		}
		s.wait(time.Second)
	}
	failures := 0
	for _, r := range s.runsOf(id) {
		if r.how == "failed" {
			failures++
		}
	}
	s.rec.say("the job is shown as %q after %d runs, of which %d ended failed; max-attempts is %d", state, len(s.runsOf(id)), failures, s.routes[1].MaxAttempts)
	if state == "failed" && failures < s.routes[1].MaxAttempts {
		s.rec.say("LOST: a job is shown as failed without cause")
		return true, nil
	}
	if state != "complete" {
		return true, nil
	}
	return false, nil
}

// background hands jobs in, with a few clients, until stop is called.
func (s *system) background(r route, clients int, w work, steps ...step) (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	for range clients {
		group.Add(1)
		go func() {
			defer group.Done()
			for {
				select {
				case <-done:
					return
				default:
				}
				s.submit(r, w, steps...)
				s.wait(100 * time.Millisecond)
			}
		}()
	}
	return func() {
		close(done)
		group.Wait()
	}
}

// playDraining: the open connections go silent, and two minions drain.
func playDraining(s *system, trouble bool) (bool, error) {
	stop := s.background(s.routes[0], 4, work{RunMs: 300}, step{Count: 12, CPU: 6000, MemMB: 6000, EstimateMs: 300})
	s.wait(5 * time.Second)
	drained := s.minions[:2]
	ackAt := s.rec.now()
	for _, m := range drained {
		m.drain()
		s.rec.say("minion %s is draining, as the store has accepted", m.id)
	}
	s.wait(100 * time.Millisecond)
	silentAt := s.rec.now()
	if trouble {
		s.rec.say("all open connections to the store go silent")
		for _, p := range s.processes {
			p.proxy.goSilent()
		}
	} else {
		silentAt -= contactTime
	}
	s.wait(7 * time.Second)
	stop()
	bound := max(ackAt+drainTime, silentAt+contactTime)
	count, last := 0, time.Duration(0)
	s.watch.mu.Lock()
	for task, list := range s.watch.runs {
		for _, r := range list {
			if slices.Contains(drained, r.server) && r.drained && r.began > bound {
				count++
				last = max(last, r.began)
				s.rec.add("DRAIN: %s run %d started on %s at %.3f s, %.3f s after its draining was accepted, %.3f s after the silence",
					task, r.attempt, r.server.id, r.began.Seconds(), (r.began - ackAt).Seconds(), (r.began - silentAt).Seconds())
			}
		}
	}
	s.watch.mu.Unlock()
	s.rec.say("starts on draining minions later than %.3f s: %d, the last at %.3f s", bound.Seconds(), count, last.Seconds())
	return count > 0, nil
}

// playImages: jobs whose steps run many different images come.
func playImages(s *system, trouble bool) (bool, error) {
	s.watch.quiet = true
	serving, ok := s.submit(s.routes[2], work{Lasts: true, Serves: true}, step{Count: 6, CPU: 13000, MemMB: 2000, EstimateMs: 300, LongRunning: true, Image: "bevel", TargetMs: 45, MaxPerServer: 1})
	if !ok {
		return false, errors.New("the serving job was not accepted")
	}
	const jobs, steps = 750, 4
	const perSecond = 12.5
	rejected := 0
	var accepted []string
	var mu sync.Mutex
	var group sync.WaitGroup
	most := 0
	begin := time.Now()
	for i := range jobs {
		time.Sleep(time.Until(begin.Add(time.Duration(float64(i) / perSecond * float64(time.Second)))))
		var list []step
		for n := range steps {
			image := fmt.Sprintf("regrind-%d", rand.IntN(9))
			if trouble {
				image = fmt.Sprintf("regrind-v%d.%d", i, n)
			}
			list = append(list, step{Count: 1, CPU: 4000, MemMB: 1000, EstimateMs: 100, Fills: true, Image: image})
		}
		group.Add(1)
		go func() {
			defer group.Done()
			id, ok := s.submit(s.routes[1], work{RunMs: 1200}, list...)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				accepted = append(accepted, id)
			} else {
				rejected++
			}
		}()
		for _, p := range s.processes {
			most = max(most, p.resident())
		}
		if i%50 == 0 {
			s.rec.say("%d jobs with %d images handed in; the processes have %d, %d and %d MB", i, i*steps, s.processes[0].resident(), s.processes[1].resident(), s.processes[2].resident())
		}
	}
	group.Wait()
	s.wait(10 * time.Second)
	ends, many := 0, 0
	for _, p := range s.processes {
		p.mu.Lock()
		ends += p.ends
		if p.ends >= 3 {
			many++
		}
		p.mu.Unlock()
	}
	done, running := s.watch.counts(serving)
	s.rec.say("%d accepted, %d rejected; most memory %d MB; processes ended %d times over their memory, %d of them three times or more; serving tasks running: %d (%d)", len(accepted), rejected, most, ends, many, running, done)
	return many >= 2, nil
}
