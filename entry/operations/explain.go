package operations

import (
	"context"
	"slices"

	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/supervise"
)

// explainReplyCapacity is the capacity of the reply ring of an explain query. It
// is enough for the history duty, the scheduling manager and every partition of
// a region.
const explainReplyCapacity = 128

// explainAll queries every duty that records decisions. It returns the events
// received within queryTimeout, oldest first.
func (s *Supervisor) explainAll(ctx context.Context, subject string) []message.Event {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	query := message.ExplainQuery{
		Subject: subject,
		Reply:   supervise.NewRing[message.ExplainAnswer]("operations.explained", explainReplyCapacity, supervise.Refuse),
	}
	expected := 0
	for _, ring := range s.explainers {
		if ring.Put(ctx, query) == nil {
			expected++
		}
	}
	events := []message.Event{}
	for expected > 0 {
		select {
		case a := <-query.Reply.Items():
			events = append(events, a.Events...)
			expected += a.More - 1
		case <-ctx.Done():
			expected = 0
		}
	}
	return mergeEvents(events)
}

// mergeEvents sorts events by time and removes duplicates recorded by two
// duties.
func mergeEvents(events []message.Event) []message.Event {
	slices.SortStableFunc(events, func(a, b message.Event) int { return a.At.Compare(b.At) })
	return slices.CompactFunc(events, func(a, b message.Event) bool {
		return a.At.Equal(b.At) && a.Subject == b.Subject && a.Event == b.Event
	})
}
