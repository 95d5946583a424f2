package operations

import (
	"context"

	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/supervise"
)

const (
	// historyEvents bounds the explanations kept: about 4 MiB at 500 bytes.
	historyEvents = 8192
	// eventCapacity absorbs a wave of refusals or evictions.
	eventCapacity = 4096
)

// history is the state of the history duty: the newest events, oldest first.
type history struct {
	events []message.Event
	next   int // place that is overwritten next once the history is full
}

func (h *history) add(e message.Event) {
	if len(h.events) < historyEvents {
		h.events = append(h.events, e)
		return
	}
	h.events[h.next] = e
	h.next = (h.next + 1) % historyEvents
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
	h := &history{}
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
