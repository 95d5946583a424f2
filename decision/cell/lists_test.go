package cell

import (
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/congestion"
	"lacewingfork.example/lacewingfork/decision/job"
)

// Guards against lists that displace the starts of a holder whose paths are congested,
// and against ends that are learnt late while they are not.
func TestListsAreFetchedLessOftenUnderCongestion(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer time.Duration // time of the answers to starts
		most   int           // lists of a worker that ends a task every 50 ms, in 3 s
		least  int
	}{
		{"no congestion", 0, 61, 40},
		{"congestion", 400 * time.Millisecond, 8, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.cell.settings.Capacity = congestion.Capacity{BytesPerSecond: 1000, Processor: 1}
			f.setUpServers(testServer("a"))
			for range 20 {
				f.cell.dataCentres[""].path.Answered(f.now, f.now-c.answer)
			}
			f.cell.dataCentres[""].path.Answered(f.now, f.now) // the path without a queue
			lists, ends := 0, int64(0)
			for range 60 {
				f.advance(50 * time.Millisecond)
				f.cell.dataCentres[""].path.Answered(f.now, f.now-c.answer)
				ends++
				for _, h := range takeActions[Hold](f) {
					lists++
					f.handle(HoldAnswered{
						Server: h.Server, Number: h.Number, Sent: f.now, OK: true, Incarnation: 1, Clock: f.now,
						Finished: []FinishedRow{{Number: ends, Task: job.TaskRef{Job: testJob}, Attempt: 1, End: job.EndDone}},
					})
				}
			}
			if lists > c.most || lists < c.least {
				t.Errorf("got %d lists in 3 s, want %d to %d", lists, c.least, c.most)
			}
		})
	}
}
