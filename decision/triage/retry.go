package triage

import (
	"hash/fnv"
	"math"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

const (
	// returnsPerSecond is the rate at which rejected callers are told to come again. A
	// cell accepts some hundred jobs a second.
	returnsPerSecond = 200
	// maxSpread bounds the additional time: callers come again a few times only, and
	// what they wait for may lose its use meanwhile.
	maxSpread = 5 * time.Second
	// spreadPart is the part of a long time by which it varies in any case, as all
	// callers that are rejected in a burst are told similar times.
	spreadPart = 4
	// maxRetryAfter bounds the whole time.
	maxRetryAfter = 30 * time.Second
)

// RetryAfter returns the time after which a rejected caller should come again: base,
// and an additional time that is spread by the job's identifier over as many seconds as
// the callers that are expected already need. It is a whole number of seconds, as
// callers see it.
func RetryAfter(id fleet.JobID, base time.Duration, expected int) time.Duration {
	spread := min(max(time.Duration(expected/returnsPerSecond)*time.Second, base/spreadPart), maxSpread)
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id)) // never fails
	seconds := math.Ceil(base.Seconds()) + float64(hash.Sum32()%uint32(1+spread/time.Second))
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}

const (
	// maxPromises bounds the promises in memory, at some 100 bytes each. At a hundred
	// rejections a second, 4,000 callers are expected at a time.
	maxPromises = 4096
	// promiseKept is how long after its time a promise still counts.
	promiseKept = 10 * time.Second
)

// Promise is what a rejected caller was told.
type Promise struct {
	// FirstAt is the time of its first submission, and ReturnAt when it was told to
	// come again.
	FirstAt, ReturnAt time.Duration
}

// Promises are the callers that were told to come again. When there are more than
// maxPromises, the oldest are dropped: their callers come as new ones.
type Promises struct {
	byID  map[fleet.JobID]Promise
	order []fleet.JobID // by the time of the first submission; some may be gone
}

// Len returns the number of callers that are expected.
func (p *Promises) Len() int { return len(p.byID) }

// Add records that a caller was told to come again after a time.
func (p *Promises) Add(now time.Duration, id fleet.JobID, after time.Duration) {
	p.expire(now)
	earlier, known := p.byID[id]
	if !known {
		if p.byID == nil {
			p.byID = map[fleet.JobID]Promise{}
		}
		for len(p.byID) >= maxPromises || len(p.order) >= 2*maxPromises {
			p.drop()
		}
		earlier.FirstAt = now
		p.order = append(p.order, id)
	}
	p.byID[id] = Promise{FirstAt: earlier.FirstAt, ReturnAt: now + after}
}

// Get returns the promise to the caller of a job. It counts if the caller comes neither
// earlier than it was told nor long after.
func (p *Promises) Get(now time.Duration, id fleet.JobID) (Promise, bool) {
	promise, known := p.byID[id]
	return promise, known && now >= promise.ReturnAt && now < promise.ReturnAt+promiseKept
}

// Remove forgets the promise to the caller of an accepted job.
func (p *Promises) Remove(id fleet.JobID) { delete(p.byID, id) }

// expire drops the oldest promises whose callers have not come. A later one that has
// expired stays until the ones before it are gone.
func (p *Promises) expire(now time.Duration) {
	for len(p.order) > 0 {
		if promise, known := p.byID[p.order[0]]; known && now < promise.ReturnAt+promiseKept {
			return
		}
		p.drop()
	}
}

func (p *Promises) drop() {
	delete(p.byID, p.order[0])
	p.order = p.order[1:]
}
