package scheduling

import (
	"math/rand/v2"
	"time"

	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/decision/requestkey"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
)

// maxRetainedAnswerBytes bounds the answers that a partition retains for repeats,
// in bytes. An instance holds 3 partitions, whose answers together stay well below
// its 256 MB of memory.
const maxRetainedAnswerBytes = 8 << 20

// keyedRequests joins repeats of a request key to the first request with that key.
// It is owned by the partition duty. The answers are lost when the epoch ends.
type keyedRequests struct {
	table         *requestkey.Table
	first         map[fleet.RequestID]*firstUse
	retained      []fleet.RequestID // answered first uses, oldest first
	retainedBytes int
}

// firstUse is the state of the first request with a key.
type firstUse struct {
	waiting []message.Submission // repeats to answer when the first use ends
	answer  message.Answer       // valid once ended is set
	ended   bool
}

func newKeyedRequests(table *requestkey.Table) *keyedRequests {
	return &keyedRequests{table: table, first: map[fleet.RequestID]*firstUse{}}
}

// issue returns an answer with a new key, or a refusal when the table is full.
func (k *keyedRequests) issue(id fleet.RequestID) message.Answer {
	key, ok := k.table.Issue(time.Now(), rand.Uint64())
	if !ok {
		return message.Refusal(id, outcome.QueueFull, time.Second)
	}
	return message.Answer{ID: id, Outcome: outcome.Answered, Key: key.String()}
}

// admit reports whether to run the request. Otherwise the request has been answered
// or waits for the first use of its key.
func (k *keyedRequests) admit(s message.Submission) bool {
	r := s.Request
	if r.Key == "" {
		return true
	}
	use := k.table.Use(time.Now(), r.Key, r.ID)
	switch use.Action {
	case requestkey.Run:
		k.first[r.ID] = &firstUse{}
		return true
	case requestkey.Join:
		k.join(s, use.Joined)
	case requestkey.Refuse:
		a := message.Refusal(r.ID, use.Reason, use.RetryAfter)
		a.KeyChecked = true
		s.Deliver(a)
	default:
		s.Deliver(message.UnknownOutcome(r.ID, use.Reason))
	}
	return false
}

// join answers a repeat like the first use with the given ID, or lets it wait for
// the end of that use.
func (k *keyedRequests) join(s message.Submission, id fleet.RequestID) {
	first := k.first[id]
	switch {
	case first == nil:
		s.Deliver(message.UnknownOutcome(s.Request.ID, outcome.AnswerNoLongerKept))
	case first.ended:
		s.Deliver(copyFor(s, first.answer))
	default:
		first.waiting = append(first.waiting, s)
	}
}

// end records the answer of a first use and answers the repeats that wait for it.
// It returns the answer for the first use itself.
func (k *keyedRequests) end(r *message.Request, a message.Answer) message.Answer {
	first := k.first[r.ID]
	if first == nil {
		return a
	}
	a.KeyChecked = true
	for _, s := range first.waiting {
		s.Deliver(copyFor(s, a))
	}
	first.waiting = nil
	if a.Outcome == outcome.RefusedNotRun {
		k.table.Release(r.Key, r.ID)
		delete(k.first, r.ID)
		return a
	}
	first.answer, first.ended = a, true
	k.retain(r.ID, a)
	return a
}

// retain stores an answer and evicts the oldest answers above the bounds. A repeat
// of an evicted answer's key has an unknown outcome.
func (k *keyedRequests) retain(id fleet.RequestID, a message.Answer) {
	k.retained = append(k.retained, id)
	k.retainedBytes += answerBytes(a)
	for k.retainedBytes > maxRetainedAnswerBytes || len(k.retained) > requestkey.MaxKeys {
		oldest := k.retained[0]
		k.retained = k.retained[1:]
		k.retainedBytes -= answerBytes(k.first[oldest].answer)
		delete(k.first, oldest)
	}
}

// answerBytes estimates the memory of a retained answer in bytes.
func answerBytes(a message.Answer) int {
	const overhead = 512 // bytes per answer besides its body and fields
	size := overhead + len(a.Body)
	for _, f := range a.Fields {
		size += len(f.Name) + len(f.Value)
	}
	return size
}

// copyFor returns the answer with the request ID of s.
func copyFor(s message.Submission, a message.Answer) message.Answer {
	a.ID = s.Request.ID
	return a
}
