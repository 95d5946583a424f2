package cell

import (
	"testing"
	"time"
)

// Guards against calls to unresponsive workers that occupy all 128 order duties, so
// that starts on sound workers wait in the queue: a start without an answer is
// followed by a stop and by an extra hold.
func TestCallsToUnresponsiveWorkersLeaveOrderDuties(t *testing.T) {
	const orderDuties, startsInFlight = 128, 32
	f := newUnresponsiveRegion(t, 0, 175)
	f.run(2 * time.Second)
	f.silent = true
	step := oneTaskStep()
	step.Count = 300
	f.submit("00000000000000b1", step)
	most, at := 0, time.Duration(0)
	for began := f.now; f.now-began < 3*time.Second; {
		f.run(10 * time.Millisecond)
		calls := len(f.pending) + len(f.unstopped)
		for _, h := range f.held {
			if h.Extra && f.far(h.Server) {
				calls++
			}
		}
		if calls > most {
			most, at = calls, f.now-began
		}
	}
	if most > orderDuties-startsInFlight {
		t.Errorf("got %d calls without an answer at once after %v, want at most %d of %d order duties", most, at, orderDuties-startsInFlight, orderDuties)
	}
}
