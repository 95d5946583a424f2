package congestion

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// startBytes is the size of a start on the wire, and repeatBytes what follows one
	// without an answer: a connection, a stop and a list.
	startBytes  = 700
	repeatBytes = 2500
	// linkQueue is the longest queue of an emulated link.
	linkQueue = 500 * time.Millisecond
	// fixedWindow and fixedTimeout are those of the baseline.
	fixedWindow  = 96
	fixedTimeout = 700 * time.Millisecond
)

// limiter bounds the calls in flight on a path.
type limiter interface {
	Allows() bool
	Sent()
	Ended()
	Answered(now, sent time.Duration)
	Lost(now, sent time.Duration)
	Timeout() time.Duration
}

// fixed is the baseline: a constant window.
type fixed struct{ inFlight int }

func (f *fixed) Allows() bool                { return f.inFlight < fixedWindow }
func (f *fixed) Sent()                       { f.inFlight++ }
func (f *fixed) Ended()                      { f.inFlight-- }
func (f *fixed) Answered(_, _ time.Duration) {}
func (f *fixed) Lost(_, _ time.Duration)     {}
func (f *fixed) Timeout() time.Duration      { return fixedTimeout }

// emulatedLink is a link with a drop-tail queue.
type emulatedLink struct {
	bytesPerSecond float64
	delay          time.Duration // one way
	loss           float64
	busyUntil      time.Duration
}

// send returns when a message arrives, or false if it is lost.
func (l *emulatedLink) send(now time.Duration, bytes int, random *rand.Rand) (time.Duration, bool) {
	start := max(now, l.busyUntil)
	if start-now > linkQueue || random.Float64() < l.loss {
		return 0, false
	}
	l.busyUntil = start + time.Duration(float64(bytes)/l.bytesPerSecond*float64(time.Second))
	return l.busyUntil + l.delay, true
}

// arrival is an answer or the end of a time limit.
type arrival struct {
	at, sent time.Duration
	answered bool
}

type arrivals []arrival

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i].at < a[j].at }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)        { *a = append(*a, x.(arrival)) }
func (a *arrivals) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// pathRun plays an offered load on a link.
type pathRun struct {
	link    *emulatedLink
	limiter limiter
	random  *rand.Rand
	offered float64 // starts a second
	backlog float64 // due and not sent
	pending arrivals
	// answered counts the starts answered in each second, unanswered those that may
	// or may not have run.
	answered   [32]int
	unanswered int
}

// step plays one millisecond. owed are the bytes that follow unanswered starts.
func (r *pathRun) step(now time.Duration) {
	for len(r.pending) > 0 && r.pending[0].at <= now {
		a := heap.Pop(&r.pending).(arrival)
		r.limiter.Ended()
		if a.answered {
			r.limiter.Answered(a.at, a.sent)
			r.answered[a.at/time.Second]++
			continue
		}
		r.limiter.Lost(a.at, a.sent)
		r.unanswered++
		r.backlog++ // started again once it is settled
		r.link.send(now, repeatBytes, r.random)
	}
	r.backlog += r.offered / 1000
	for r.backlog >= 1 && r.limiter.Allows() {
		r.backlog--
		r.limiter.Sent()
		arrives, ok := r.link.send(now, startBytes, r.random)
		answer := arrives + r.link.delay + time.Millisecond
		if limit := now + r.limiter.Timeout(); !ok || answer > limit {
			heap.Push(&r.pending, arrival{at: limit, sent: now})
		} else {
			heap.Push(&r.pending, arrival{at: answer, sent: now, answered: true})
		}
	}
}

func (r *pathRun) run(from, to time.Duration) {
	for now := from; now < to; now += time.Millisecond {
		r.step(now)
	}
}

// goodput returns the starts answered a second in a span of seconds.
func (r *pathRun) goodput(from, to int) float64 {
	sum := 0
	for _, n := range r.answered[from:to] {
		sum += n
	}
	return float64(sum) / float64(to-from)
}

func newPathRun(l limiter, mbps float64, delay time.Duration, loss, load float64) *pathRun {
	bytes := mbps * 1e6 / 8
	return &pathRun{
		link: &emulatedLink{bytesPerSecond: bytes, delay: delay, loss: loss}, limiter: l,
		random: rand.New(rand.NewPCG(1, 2)), offered: load * bytes / startBytes,
	}
}

// goodputAt returns the goodput of a path at an offered load relative to the link's
// rate, after five seconds.
func goodputAt(l limiter, mbps float64, delay time.Duration, loss, load float64) float64 {
	r := newPathRun(l, mbps, delay, loss, load)
	r.run(0, 20*time.Second)
	return r.goodput(5, 20)
}

// Guards against congestion collapse: goodput that falls when more is offered than the
// link carries.
func TestGoodputDoesNotFallUnderOverload(t *testing.T) {
	worstOfFixed := 1.0
	for _, mbps := range []float64{0.5, 2, 20, 200} {
		for _, delay := range []time.Duration{8 * time.Millisecond, 40 * time.Millisecond, 200 * time.Millisecond} {
			for _, loss := range []float64{0, 0.01} {
				best, bestOfFixed := 0.0, 0.0
				for _, load := range []float64{0.5, 1, 2} {
					best = max(best, goodputAt(NewWindow(), mbps, delay, loss, load))
					bestOfFixed = max(bestOfFixed, goodputAt(&fixed{}, mbps, delay, loss, load))
				}
				got := goodputAt(NewWindow(), mbps, delay, loss, 4)
				ofFixed := goodputAt(&fixed{}, mbps, delay, loss, 4)
				worstOfFixed = min(worstOfFixed, ofFixed/max(bestOfFixed, 1))
				name := fmt.Sprintf("%g Mbit/s, %v, loss %g", mbps, delay, loss)
				if got < 0.9*best {
					t.Errorf("%s: got a goodput of %.0f/s at 4 times the link, want at least 0.9 of its best, %.0f/s", name, got, best)
				}
				if got < 0.9*ofFixed {
					t.Errorf("%s: got a goodput of %.0f/s at 4 times the link, want at least 0.9 of that of the constant window, %.0f/s", name, got, ofFixed)
				}
			}
		}
	}
	if worstOfFixed > 0.9 {
		t.Errorf("the constant window kept %.2f of its best goodput everywhere, want a load under which it collapses", worstOfFixed)
	}
}

// Guards against starts that may or may not have run because they were sent into the
// queue of a narrow link.
func TestStartsThatDoNotFitAreNotSent(t *testing.T) {
	adaptive := newPathRun(NewWindow(), 0.5, 20*time.Millisecond, 0, 4)
	adaptive.run(0, 20*time.Second)
	baseline := newPathRun(&fixed{}, 0.5, 20*time.Millisecond, 0, 4)
	baseline.run(0, 20*time.Second)
	if adaptive.unanswered > 60 || baseline.unanswered < 10*adaptive.unanswered {
		t.Errorf("got %d unanswered starts in 20 s, and %d with the constant window, want few and ten times as many", adaptive.unanswered, baseline.unanswered)
	}
}

// Guards against a narrow path that slows a sound one.
func TestNarrowPathDoesNotSlowAnotherOne(t *testing.T) {
	alone := newPathRun(NewWindow(), 20, 8*time.Millisecond, 0, 0.9)
	alone.run(0, 20*time.Second)
	beside, narrow := newPathRun(NewWindow(), 20, 8*time.Millisecond, 0, 0.9), newPathRun(NewWindow(), 0.5, 8*time.Millisecond, 0, 4)
	for now := time.Duration(0); now < 20*time.Second; now += time.Millisecond {
		beside.step(now)
		narrow.step(now)
	}
	if got, want := beside.goodput(5, 20), alone.goodput(5, 20); got < 0.9*want {
		t.Errorf("got a goodput of %.0f/s beside a narrow path, want at least 0.9 of %.0f/s", got, want)
	}
}

// Guards against a window that stays small after a link has become wide again.
func TestWindowFollowsTheLink(t *testing.T) {
	for _, delay := range []time.Duration{8 * time.Millisecond, 100 * time.Millisecond} {
		wide := newPathRun(NewWindow(), 200, delay, 0, 1)
		wide.run(0, 10*time.Second)
		r := newPathRun(NewWindow(), 2, delay, 0, 100)
		r.run(0, 10*time.Second)
		r.backlog = 0
		r.link.bytesPerSecond *= 100
		r.run(10*time.Second, 16*time.Second)
		if got, want := r.goodput(12, 16), wide.goodput(5, 10); got < 0.9*want {
			t.Errorf("delay %v: got a goodput of %.0f/s from 2 s after the link has become wide, want at least 0.9 of %.0f/s", delay, got, want)
		}
	}
}

// Guards against a window that closes for good.
func TestWindowKeepsPathInUse(t *testing.T) {
	w := NewWindow()
	for i := range 100 {
		w.Sent()
		w.Ended()
		w.Lost(time.Duration(i)*time.Second, time.Duration(i)*time.Second)
	}
	if !w.Allows() || w.Limit() < minLimit {
		t.Errorf("got a limit of %d after 100 losses, want at least %d", w.Limit(), minLimit)
	}
}
