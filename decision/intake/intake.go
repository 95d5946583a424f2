// Package intake decides which clients of an HTTP front end are cut off so that
// requests that never end can't exhaust the memory and the descriptors of a
// process. It keeps one budget of connections and one of body bytes. It makes no
// calls and reads no clock; the duty of package internal/frontend owns its state.
package intake

import "time"

// ID identifies a connection. A connection carries one request at a time.
type ID uint64

// Limits are the budgets of a front end.
type Limits struct {
	// Connections bounds the open connections.
	Connections int
	// Bytes bounds the bodies of all requests that have not been answered.
	Bytes int64
	// ReservedBytes is the part of Bytes that only ordinary bodies may use: those
	// of at most OrdinaryBytes that are complete or have begun less than
	// OrdinaryTime ago.
	ReservedBytes int64
	OrdinaryBytes int64
	OrdinaryTime  time.Duration
	// BodyTime is the longest time that a body may take to arrive.
	BodyTime time.Duration
	// MinRate is the least average rate of a body, in bytes a second, not counting
	// its first RateGrace.
	MinRate   int64
	RateGrace time.Duration
}

// Reason says why a client was cut off or refused.
type Reason string

// The reasons.
const (
	// ReasonConnections means that another client needed the connection.
	ReasonConnections Reason = "connections"
	// ReasonBytes means that the budget of bytes was used up.
	ReasonBytes Reason = "bytes"
	// ReasonBodyTime means that the body took longer than BodyTime.
	ReasonBodyTime Reason = "body_time"
	// ReasonBodyRate means that the body arrived at less than MinRate.
	ReasonBodyRate Reason = "body_rate"
	// ReasonFull means that a new connection was refused because each of the others
	// carried a complete request.
	ReasonFull Reason = "connections_full"
)

// Reasons lists all reasons.
func Reasons() []Reason {
	return []Reason{ReasonConnections, ReasonBytes, ReasonBodyTime, ReasonBodyRate, ReasonFull}
}

// Cut says that a client is cut off.
type Cut struct {
	ID     ID
	Reason Reason
	// Close means that its connection has to be closed at once. Otherwise its
	// request is rejected first.
	Close bool
}

// state is the state of a connection.
type state int

const (
	waiting  state = iota // idle, or its header is not complete
	arriving              // its body is not complete
	complete              // its request is complete and not answered
	rejected              // its request was cut off and its connection is about to close
	states
)

// connection is one open connection.
type connection struct {
	id    ID
	state state
	since time.Duration // when the state began
	bytes int64         // charged to the budget
	// general means that the body may not use the reserved part of the budget.
	general    bool
	prev, next *connection // in the queue of the state
}

// Intake is the state of the budgets. Times are on a clock that does not go back.
type Intake struct {
	limits      Limits
	connections map[ID]*connection
	// queues hold the connections by state, the oldest first. Those whose body
	// arrives are in queues[arriving] if it is ordinary, otherwise in general.
	queues  [states]queue
	general queue
	bytes   int64 // of all bodies
	// generalBytes is the part of bytes that is not ordinary.
	generalBytes int64
	// held holds the bytes of bodies that were cut off and whose goroutines have not
	// let go of them yet; heldBytes is their sum.
	held      map[ID]int64
	heldBytes int64
}

// New returns an Intake without connections.
func New(limits Limits) *Intake {
	return &Intake{limits: limits, connections: map[ID]*connection{}, held: map[ID]int64{}}
}

// Usage is what the budgets are used for.
type Usage struct {
	Connections, Arriving, Complete int
	Bytes, GeneralBytes, HeldBytes  int64
}

// Usage returns the use of the budgets.
func (i *Intake) Usage() Usage {
	return Usage{
		Connections: len(i.connections), Arriving: i.queues[arriving].length + i.general.length,
		Complete: i.queues[complete].length, Bytes: i.bytes, GeneralBytes: i.generalBytes,
		HeldBytes: i.heldBytes,
	}
}

// Open adds a connection. If there are too many, it cuts off the one that has waited
// for the end of its request, or for its next request, for the longest time. It
// refuses the new one if all others carry complete requests.
func (i *Intake) Open(now time.Duration, id ID) (cuts []Cut, accepted bool) {
	if _, known := i.connections[id]; known {
		return nil, true
	}
	for len(i.connections) >= max(1, i.limits.Connections) {
		victim := i.oldestIncomplete()
		if victim == nil {
			return append(cuts, Cut{ID: id, Reason: ReasonFull, Close: true}), false
		}
		i.hold(victim)
		i.remove(victim)
		cuts = append(cuts, Cut{ID: victim.id, Reason: ReasonConnections, Close: true})
	}
	i.add(now, id)
	return cuts, true
}

// Begin says that the header of a request is complete and its body arrives. It
// returns false if the connection has been cut off.
func (i *Intake) Begin(now time.Duration, id ID) bool {
	c := i.connections[id]
	if c == nil || c.state == rejected {
		return false
	}
	i.release(c)
	i.move(now, c, arriving)
	return true
}

// Grow charges the body of a connection with the given number of bytes in all. It
// returns false if the body itself is cut off or was before; Cuts of other bodies
// make room for it.
func (i *Intake) Grow(now time.Duration, id ID, bytes int64) (cuts []Cut, kept bool) {
	c := i.connections[id]
	if c == nil || c.state != arriving {
		return nil, false
	}
	i.promote(now)
	i.charge(c, max(c.bytes, bytes))
	if c.bytes > i.limits.OrdinaryBytes {
		i.makeGeneral(c)
	}
	cuts = i.fit(now)
	return cuts, c.state == arriving
}

// Waits reports whether the body of a connection must not grow yet: bodies that were
// cut off for it are still held, and with them the budget would be exceeded.
func (i *Intake) Waits(id ID) bool {
	c := i.connections[id]
	switch {
	case c == nil || c.state != arriving:
		return false
	case c.general:
		return i.generalBytes+i.heldBytes > i.limits.Bytes-i.limits.ReservedBytes
	default:
		return i.bytes+i.heldBytes > i.limits.Bytes
	}
}

// Complete says that a request is complete; bytes is the size of its body. It
// returns false if the connection has been cut off, so that the request must not
// run.
func (i *Intake) Complete(now time.Duration, id ID, bytes int64) bool {
	c := i.connections[id]
	if c == nil || c.state == rejected {
		return false
	}
	i.charge(c, min(c.bytes, bytes))
	i.move(now, c, complete)
	return true
}

// End says that a request has been answered, so that its body is no longer held. It
// has to be called for a request that was cut off, too.
func (i *Intake) End(now time.Duration, id ID) {
	i.letGo(id)
	if c := i.connections[id]; c != nil && c.state != rejected {
		i.release(c)
		i.move(now, c, waiting)
	}
}

// Close removes a connection that has been closed. It has to be called for one that
// was cut off, too.
func (i *Intake) Close(id ID) {
	i.letGo(id)
	if c := i.connections[id]; c != nil {
		i.remove(c)
	}
}

// Expire cuts off the bodies that take too long or arrive too slowly.
func (i *Intake) Expire(now time.Duration) (cuts []Cut) {
	i.promote(now)
	cuts = i.fit(now)
	for _, q := range []*queue{&i.general, &i.queues[arriving]} {
		for c := q.first; c != nil; {
			next, age := c.next, now-c.since
			switch {
			case age > i.limits.BodyTime:
				cuts = append(cuts, i.reject(now, c, ReasonBodyTime))
			case age > i.limits.RateGrace && float64(c.bytes) < float64(i.limits.MinRate)*(age-i.limits.RateGrace).Seconds():
				cuts = append(cuts, i.reject(now, c, ReasonBodyRate))
			}
			c = next
		}
	}
	return cuts
}

// oldestIncomplete returns the connection to cut off for a new one, or nil.
func (i *Intake) oldestIncomplete() *connection {
	if c := i.queues[rejected].first; c != nil {
		return c
	}
	oldest := i.queues[waiting].first
	for _, c := range []*connection{i.queues[arriving].first, i.general.first} {
		if oldest == nil || c != nil && c.since < oldest.since {
			oldest = c
		}
	}
	return oldest
}
