package holder

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/cell"
)

const (
	// behindLag is the time that an answer of a worker waits from which the holder is
	// behind. A start whose answer is seen 150 ms late counts as unanswered.
	behindLag = 75 * time.Millisecond
	// punctualTicks is the number of ticks without such a lag after which it is not
	// behind any longer.
	punctualTicks = 20
)

// checkLag reports the time that answers have waited since the last tick, and tells
// the decisions when the holder falls behind and when it has caught up.
func (d *Duty) checkLag() {
	r := d.role
	lag := r.lag
	r.lag = 0
	d.metrics.lag.Set(lag.Seconds())
	if lag >= behindLag {
		r.punctualTicks = 0
	} else {
		r.punctualTicks++
	}
	behind := r.punctualTicks < punctualTicks && (r.behind || lag >= behindLag)
	if behind == r.behind {
		return
	}
	r.behind = behind
	event := "holder_caught_up"
	if behind {
		event = "holder_behind"
	}
	d.log.Event(event, "epoch", r.epoch, "oldest_answer_ms", lag.Milliseconds(), "queued_answers", d.rings.WorkerEvents.Stats().Depth)
	d.handle(cell.HolderLoad{Behind: behind})
}
