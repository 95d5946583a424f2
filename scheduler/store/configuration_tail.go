package store

import (
	"context"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/supervise"
)

const (
	// followWait is the time between two looks at the end of the topic while
	// another instance passes publications on. With passOnTime and a read it
	// stays below the time in which a configuration has to be in force
	// everywhere, 2.5 s.
	followWait = time.Second
	// passOnTime is how long the holder may take to pass a publication on after
	// this instance has seen that there is one.
	passOnTime = 500 * time.Millisecond
	// lookAhead is added to the offset of the next record for a look at the end: a
	// read from an offset that exists returns the whole record.
	lookAhead = 1 << 20
)

// configurationTail follows the operators' topic. While this instance is linked to
// the holder it reads only where the topic ends, as the holder passes each
// publication on: a configuration may have a megabyte, and the instances of a
// region share one link to the store. What the holder has not passed on in time is
// read from the store.
type configurationTail struct {
	tail
	followed *supervise.Ring[bool]
	received *supervise.Ring[fleet.Offset]

	following bool // a linked instance passes publications on
}

func (t *configurationTail) run(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	supervise.Replay(t.followed, t.received)
	for {
		for settled := false; !settled; {
			select {
			case t.following = <-t.followed.Items():
			case offset := <-t.received.Items():
				t.skipTo(offset)
			case r := <-dumps:
				r.Answer(map[string]any{"topic": t.topic, "next": t.next, "known": t.positioned, "lost": t.failing, "follows": t.following})
			default:
				settled = true
			}
		}
		if !t.following || !t.positioned || t.passedOver(ctx) {
			if err := t.readOnce(ctx); err != nil {
				return err
			}
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// skipTo leaves out records that a peer has passed on. A tail that has not read the
// newest publication yet begins there.
func (t *configurationTail) skipTo(offset fleet.Offset) {
	t.next, t.positioned = max(t.next, offset), true
}

// passedOver looks where the topic ends and reports whether records have to be
// read: no peer has passed them on in time, or the look has failed.
func (t *configurationTail) passedOver(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, followWait+readAllowance)
	defer cancel()
	began := time.Now()
	end, err := t.store.End(callCtx, t.topic, t.next+lookAhead, followWait)
	if err != nil {
		return true // the read shows and logs the fault
	}
	wait := passOnTime
	if end <= t.next {
		wait = followWait - time.Since(began) // a store that answers at once isn't asked again at once
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case t.following = <-t.followed.Items():
			if !t.following {
				return end > t.next
			}
		case offset := <-t.received.Items():
			late := end > t.next
			t.skipTo(offset)
			if late && end <= t.next {
				return false
			}
		case <-deadline.C:
			return end > t.next
		}
	}
}
