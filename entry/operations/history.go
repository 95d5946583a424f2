package operations

import (
	"context"

	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/supervise"
)

// eventRingCapacity is large enough for a burst of refusals or evictions.
const eventRingCapacity = 4096

// history is the state of the history duty: a circular buffer of the newest
// events.
type history struct {
	events []message.Event
	limit  int
	oldest int // index of the oldest event, which is overwritten next once the buffer is full
}

func (h *history) add(e message.Event) {
	if len(h.events) < h.limit {
		h.events = append(h.events, e)
		return
	}
	h.events[h.oldest] = e
	h.oldest = (h.oldest + 1) % h.limit
}

// find returns the events about subject, oldest first.
func (h *history) find(subject string) []message.Event {
	found := []message.Event{}
	for i := range h.events {
		if e := h.events[(h.oldest+i)%len(h.events)]; e.Subject == subject {
			found = append(found, e)
		}
	}
	return found
}

// runHistory runs the history duty.
func (s *Supervisor) runHistory(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	h := &history{limit: s.settings.History}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-s.Events.Items():
			h.add(e)
		case q := <-s.historyQueries.Items():
			_ = q.Reply.Put(ctx, message.ExplainAnswer{Events: h.find(q.Subject)})
		case r := <-dumps:
			r.Answer(map[string]int{"events": len(h.events)})
		}
	}
}
