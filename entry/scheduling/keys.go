package scheduling

import (
	"math/rand/v2"
	"time"

	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/decision/requestkey"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
)

// maxKeptAnswerBytes bounds the remembered answers of a partition. With the 3
// partitions that an instance holds they stay well below its 256 MB.
const maxKeptAnswerBytes = 8 << 20

// keyedRequests joins repeats of a request key to the first use. It belongs to
// the partition duty; the answers are lost with the epoch.
type keyedRequests struct {
	table     *requestkey.Table
	first     map[fleet.RequestID]*firstUse
	kept      []fleet.RequestID // answered first uses, oldest first
	keptBytes int
}

// firstUse is the request that stands for a key.
type firstUse struct {
	waiting []message.Submission // repeats that wait for the answer
	answer  message.Answer       // once ended is set
	ended   bool
}

func newKeyedRequests(table *requestkey.Table) *keyedRequests {
	return &keyedRequests{table: table, first: map[fleet.RequestID]*firstUse{}}
}

// issue returns a new key as an answer.
func (k *keyedRequests) issue(id fleet.RequestID) message.Answer {
	key, ok := k.table.Issue(time.Now(), rand.Uint64())
	if !ok {
		return message.Refusal(id, outcome.QueueFull, time.Second)
	}
	return message.Answer{ID: id, Outcome: outcome.Answered, Key: key.String()}
}

// admit reports whether the request is to be run. Otherwise it has been
// answered or waits for the first use of its key.
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

// end notes how a first use ended and answers the repeats that waited for it.
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
	k.keep(r.ID, a)
	return a
}

// keep forgets the oldest answers beyond the bound; a repeat of their key then
// has an unknown outcome.
func (k *keyedRequests) keep(id fleet.RequestID, a message.Answer) {
	k.kept = append(k.kept, id)
	k.keptBytes += answerBytes(a)
	for k.keptBytes > maxKeptAnswerBytes || len(k.kept) > requestkey.MaxKeys {
		oldest := k.kept[0]
		k.kept = k.kept[1:]
		k.keptBytes -= answerBytes(k.first[oldest].answer)
		delete(k.first, oldest)
	}
}

// answerBytes estimates what a kept answer takes.
func answerBytes(a message.Answer) int {
	const overhead = 512
	size := overhead + len(a.Body)
	for _, f := range a.Fields {
		size += len(f.Name) + len(f.Value)
	}
	return size
}

func copyFor(s message.Submission, a message.Answer) message.Answer {
	a.ID = s.Request.ID
	return a
}
