package cell

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/congestion"
	"lacewingfork.example/lacewingfork/fleet"
)

// answers is what the holder knows about the answers of a worker to its orders.
type answers struct {
	heardAt time.Duration // last answer to any call
	awaited int           // starts without an answer yet
	// awaitedSince is when the worker was first given one of these starts, or when
	// it last answered something if that was later.
	awaitedSince time.Duration
	// missing means that a start or a stop got no answer, and that the worker has
	// answered nothing since.
	missing bool
	// stops is the number of stops without an answer yet, and lastStop the time of
	// the newest one.
	stops    int
	lastStop time.Duration
}

// maxStopTime is the time after which a stop counts as answered in any case: its call
// takes less.
const maxStopTime = 3 * time.Second

func (a *answers) stopSent(now time.Duration) {
	a.stops++
	a.lastStop = now
}

func (a *answers) stopEnded() { a.stops = max(0, a.stops-1) }

// stopsAwaited returns the number of stops without an answer yet.
func (a *answers) stopsAwaited(now time.Duration) int {
	if now-a.lastStop > maxStopTime {
		a.stops = 0
	}
	return a.stops
}

func (a *answers) startOrdered(now time.Duration) {
	if a.awaited == 0 {
		a.awaitedSince = now
	}
	a.awaited++
}

// late reports whether the worker has answered nothing since a start was ordered, for
// longer than the answers of its data centre usually take.
func (w *worker) late(now time.Duration) bool {
	return w.answers.awaited > 0 && now-w.answers.awaitedSince >= w.dataCentre.path.LateAfter()
}

// heard applies an answer of a worker to any call.
func (c *Cell) heard(w *worker) {
	if w.answers.missing || w.late(c.now.Steady) {
		c.needsScheduling = true
	}
	w.answers.heardAt, w.answers.awaitedSince, w.answers.missing = c.now.Steady, c.now.Steady, false
}

// orderUnanswered handles a start or stop without an answer. The worker gets no
// further start until it answers something, so it is asked for its lists at once.
func (c *Cell) orderUnanswered(w *worker) {
	w.answers.missing = true
	if w.extraHoldAt == 0 {
		w.extraHoldAt = c.now.Steady
	}
	c.holdIfDue(w)
}

const (
	// maxUnansweredCalls bounds the starts that wait for an answer and the calls to
	// workers that leave one unanswered, except late starts. A path may carry fewer
	// (package congestion). There are 128 duties for starts; urgent ones would wait
	// behind further ones.
	maxUnansweredCalls = 96
	// maxLateStarts bounds the late starts beside which others may be ordered. The
	// sum of both bounds leaves order duties for starts on sound workers.
	maxLateStarts = 16
	// maxSilentCalls bounds how far calls to silent workers reduce the starts, so that
	// starts on sound workers go on however many are silent.
	maxSilentCalls = 64
	// A data centre is unresponsive while minSilentWorkers of its workers, and one in
	// silentShare, don't answer. Single workers fail more often than that.
	minSilentWorkers = 4
	silentShare      = 30
	// recentAnswer is the time since its last answer in which a worker of an
	// unresponsive data centre may get a start. Each sound worker answers a hold
	// every 1.8 s.
	recentAnswer = time.Second
	// unresponsiveMemory is how long after a data centre was unresponsive other ones
	// are preferred for long-running tasks. A start without an answer may cost such a
	// task a whole lease, and a full link is full again within seconds.
	unresponsiveMemory = 10 * time.Second
)

// dataCentre is what is known about the answers of the workers of a data centre.
type dataCentre struct {
	path            *congestion.Window // of the starts there
	workers, silent int
	// unresponsiveSince is when the data centre became unresponsive; 0 if it is not.
	unresponsiveSince time.Duration
	unresponsiveAt    time.Duration // when it was last unresponsive
	evacuated         bool          // it gets no start
	reopenedAt        time.Duration // when its last evacuation was withdrawn; 0 if none was
}

// countLateStarts counts the starts whose answer is late, and finds the data centres
// whose workers do not answer.
func (c *Cell) countLateStarts() {
	c.lateStarts, c.silentCalls = 0, 0
	for _, d := range c.dataCentres {
		d.workers, d.silent = 0, 0
	}
	for _, w := range c.sortedWorkers {
		late := w.late(c.now.Steady)
		if late {
			c.lateStarts += w.answers.awaited
		}
		if w.answers.missing {
			c.silentCalls += w.answers.stopsAwaited(c.now.Steady)
			if w.extraHoldInFlight != 0 {
				c.silentCalls++
			}
		}
		if !w.listed || w.server.Draining {
			continue
		}
		w.dataCentre.workers++
		if late || w.answers.missing || w.unreachable {
			w.dataCentre.silent++
		}
	}
	for _, d := range c.dataCentres {
		if d.silent < max(minSilentWorkers, d.workers/silentShare) {
			d.unresponsiveSince = 0
			continue
		}
		d.unresponsiveAt = c.now.Steady
		if d.unresponsiveSince == 0 {
			d.unresponsiveSince = c.now.Steady
		}
	}
}

// recentlyUnresponsive reports whether the data centre is, or was lately, unresponsive.
func (d *dataCentre) recentlyUnresponsive(now time.Duration) bool {
	return d.unresponsiveAt > 0 && now-d.unresponsiveAt < unresponsiveMemory
}

// startsExhausted reports whether no further start may be ordered until others are
// answered or late.
func (c *Cell) startsExhausted() bool {
	return c.unansweredStarts+min(c.silentCalls, maxSilentCalls)-min(c.lateStarts, maxLateStarts) >= maxUnansweredCalls
}

// dataCentreOf returns the record of a data centre.
func (c *Cell) dataCentreOf(name fleet.DataCentre) *dataCentre {
	if c.dataCentres[name] == nil {
		c.dataCentres[name] = &dataCentre{path: congestion.NewWindow(), evacuated: c.evacuations.dataCentres[name], reopenedAt: c.evacuations.reopenedAt[name]}
	}
	return c.dataCentres[name]
}

// answersStarts reports whether the worker can be expected to answer a start: it has
// answered the earlier ones or something since, and in a data centre that is
// unresponsive it has answered something lately.
func (c *Cell) answersStarts(w *worker) bool {
	a, now := &w.answers, c.now.Steady
	if a.missing || w.late(now) {
		return false
	}
	since := w.dataCentre.unresponsiveSince
	return since == 0 || a.heardAt >= since && now-a.heardAt <= recentAnswer
}
