package intake

import "time"

// queue is a list of connections, the oldest first.
type queue struct {
	first, last *connection
	length      int
}

// insert adds a connection behind those that are as old or older.
func (q *queue) insert(c *connection) {
	after := q.last
	for after != nil && after.since > c.since {
		after = after.prev
	}
	c.prev = after
	if after == nil {
		c.next, q.first = q.first, c
	} else {
		c.next, after.next = after.next, c
	}
	if c.next == nil {
		q.last = c
	} else {
		c.next.prev = c
	}
	q.length++
}

func (q *queue) remove(c *connection) {
	if c.prev == nil {
		q.first = c.next
	} else {
		c.prev.next = c.next
	}
	if c.next == nil {
		q.last = c.prev
	} else {
		c.next.prev = c.prev
	}
	c.prev, c.next = nil, nil
	q.length--
}

// queueOf returns the queue that a connection is in.
func (i *Intake) queueOf(c *connection) *queue {
	if c.state == arriving && c.general {
		return &i.general
	}
	return &i.queues[c.state]
}

func (i *Intake) add(now time.Duration, id ID) {
	c := &connection{id: id, since: now}
	i.connections[id] = c
	i.queueOf(c).insert(c)
}

func (i *Intake) remove(c *connection) {
	i.release(c)
	i.queueOf(c).remove(c)
	delete(i.connections, c.id)
}

// move changes the state of a connection.
func (i *Intake) move(now time.Duration, c *connection, to state) {
	i.queueOf(c).remove(c)
	c.state, c.since = to, now
	i.queueOf(c).insert(c)
}

// charge sets the bytes of a connection.
func (i *Intake) charge(c *connection, bytes int64) {
	i.bytes += bytes - c.bytes
	if c.general {
		i.generalBytes += bytes - c.bytes
	}
	c.bytes = bytes
}

// release ends the charge of a connection.
func (i *Intake) release(c *connection) {
	i.charge(c, 0)
	if c.general {
		q := i.queueOf(c)
		q.remove(c)
		c.general = false
		i.queueOf(c).insert(c)
	}
}

// makeGeneral excludes an arriving body from the reserved part of the budget.
func (i *Intake) makeGeneral(c *connection) {
	if c.general {
		return
	}
	i.queueOf(c).remove(c)
	c.general = true
	i.generalBytes += c.bytes
	i.queueOf(c).insert(c)
}

// promote excludes the bodies that have been arriving for too long from the
// reserved part. fit has to be called after it.
func (i *Intake) promote(now time.Duration) {
	for c := i.queues[arriving].first; c != nil && now-c.since > i.limits.OrdinaryTime; c = i.queues[arriving].first {
		i.makeGeneral(c)
	}
}

// fit cuts off arriving bodies, the oldest first, until the others are within the
// budget. Complete bodies alone never exceed it: each of them was within the budget
// when it arrived.
func (i *Intake) fit(now time.Duration) (cuts []Cut) {
	for {
		victim := i.general.first
		switch {
		case i.generalBytes > i.limits.Bytes-i.limits.ReservedBytes:
		case i.bytes <= i.limits.Bytes:
			return cuts
		case victim == nil:
			victim = i.queues[arriving].first
		}
		if victim == nil {
			return cuts // unreachable
		}
		cuts = append(cuts, i.reject(now, victim, ReasonBytes))
	}
}

// reject cuts off an arriving body. Its connection counts until it is closed.
func (i *Intake) reject(now time.Duration, c *connection, reason Reason) Cut {
	i.hold(c)
	i.release(c)
	i.move(now, c, rejected)
	return Cut{ID: c.id, Reason: reason}
}

// hold keeps the bytes of a body that is cut off until its goroutine lets go of them.
func (i *Intake) hold(c *connection) {
	if c.bytes > 0 {
		i.held[c.id] = c.bytes
		i.heldBytes += c.bytes
	}
}

// letGo ends hold.
func (i *Intake) letGo(id ID) {
	i.heldBytes -= i.held[id]
	delete(i.held, id)
}
