package operations

import (
	"context"
	"slices"

	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/supervise"
)

// explainAnswers has room for the history duty, the scheduling manager and the
// partitions of an instance that holds all of a region's.
const explainAnswers = 128

// explainAll asks every duty that explains and merges what comes within the
// query timeout, oldest first.
func (s *Supervisor) explainAll(ctx context.Context, subject string) []message.Event {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	query := message.ExplainQuery{
		Subject: subject,
		Reply:   supervise.NewRing[message.ExplainAnswer]("operations.explained", explainAnswers, supervise.Refuse),
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
	return ordered(events)
}

// ordered sorts by time and drops events that two duties remember.
func ordered(events []message.Event) []message.Event {
	slices.SortStableFunc(events, func(a, b message.Event) int { return a.At.Compare(b.At) })
	return slices.CompactFunc(events, func(a, b message.Event) bool {
		return a.At.Equal(b.At) && a.Subject == b.Subject && a.Event == b.Event
	})
}
