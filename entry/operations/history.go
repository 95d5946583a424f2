package operations

import (
	"context"

	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/supervise"
)

// eventCapacity absorbs a wave of refusals or evictions.
const eventCapacity = 4096

// history is the state of the history duty: the newest events, oldest first.
type history struct {
	events []message.Event
	limit  int
	next   int // place that is overwritten next once the history is full
}

func (h *history) add(e message.Event) {
	if len(h.events) < h.limit {
		h.events = append(h.events, e)
		return
	}
	h.events[h.next] = e
	h.next = (h.next + 1) % h.limit
}

func (h *history) about(subject string) []message.Event {
	found := []message.Event{}
	for i := range h.events {
		if e := h.events[(h.next+i)%len(h.events)]; e.Subject == subject {
			found = append(found, e)
		}
	}
	return found
}

func (s *Supervisor) keepHistory(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	h := &history{limit: s.settings.History}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-s.Events.Items():
			h.add(e)
		case q := <-s.explain.Items():
			_ = q.Reply.Put(ctx, message.ExplainAnswer{Events: h.about(q.Subject)})
		case r := <-dumps:
			r.Answer(map[string]int{"events": len(h.events)})
		}
	}
}
