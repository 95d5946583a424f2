package intake

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model holds what the property test knows about the connections of an Intake.
type model struct {
	t      *rapid.T
	intake *Intake
	limits Limits
	now    time.Duration
	nextID ID
	known  map[ID]*modelConnection
	held   map[ID]int64 // bytes of bodies that were cut off
}

type modelConnection struct {
	state   state
	since   time.Duration
	bytes   int64
	general bool
}

// Guards against a budget that is exceeded, a reserved share that large or old
// bodies use, a cut of a complete request, a cut of any but the oldest, and a cut
// without need.
func TestBudgetsHoldUnderAnyEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			Connections: rapid.SampledFrom([]int{2, 8, 30}).Draw(t, "connections"), Bytes: 600,
			ReservedBytes: rapid.SampledFrom([]int64{0, 150, 400}).Draw(t, "reserved"), OrdinaryBytes: 100, OrdinaryTime: 2 * time.Second,
			BodyTime: 6 * time.Second, MinRate: 20, RateGrace: 4 * time.Second,
		}
		m := &model{t: t, intake: New(limits), limits: limits, known: map[ID]*modelConnection{}, held: map[ID]int64{}}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			m.step()
			m.check()
		}
	})
}

// actions holds the actions of a step, the frequent ones several times.
var actions = []string{
	"open", "open", "begin", "begin", "begin", "grow", "grow", "grow", "grow", "grow", "grow", "complete", "end", "close", "let go", "wait", "wait", "expire", "expire",
}

func (m *model) step() {
	switch rapid.SampledFrom(actions).Draw(m.t, "action") {
	case "open":
		m.open()
	case "begin":
		m.change(func(id ID, c *modelConnection) {
			if got := m.intake.Begin(m.now, id); got != (c.state != rejected) {
				m.t.Fatalf("Begin of %d: got %t in state %d", id, got, c.state)
			}
			if c.state != rejected {
				*c = modelConnection{state: arriving, since: m.now}
			}
		})
	case "grow":
		m.grow(rapid.SampledFrom([]int64{0, 30, 60, 200, 400}).Draw(m.t, "bytes"))
	case "complete":
		m.change(func(id ID, c *modelConnection) {
			if got := m.intake.Complete(m.now, id, c.bytes); got != (c.state != rejected) {
				m.t.Fatalf("Complete of %d: got %t in state %d", id, got, c.state)
			}
			if c.state != rejected {
				c.state, c.since = complete, m.now
			}
		})
	case "end":
		m.change(func(id ID, c *modelConnection) {
			m.intake.End(m.now, id)
			delete(m.held, id)
			if c.state != rejected {
				*c = modelConnection{state: waiting, since: m.now}
			}
		})
	case "close":
		m.change(func(id ID, _ *modelConnection) {
			m.intake.Close(id)
			delete(m.known, id)
			delete(m.held, id)
		})
	case "let go": // of the bodies of connections that were closed
		for id := range m.held {
			if m.known[id] == nil {
				m.intake.Close(id)
				delete(m.held, id)
			}
		}
	case "wait":
		m.now += rapid.SampledFrom([]time.Duration{time.Millisecond, 600 * time.Millisecond, 2500 * time.Millisecond}).Draw(m.t, "time")
	case "expire":
		m.promote()
		m.apply(m.intake.Expire(m.now), true)
		m.checkGeneral()
		for id, c := range m.known {
			if c.state == arriving && (m.now-c.since > m.limits.BodyTime || m.tooSlow(c)) {
				m.t.Fatalf("%d with %d bytes after %v was not cut off", id, c.bytes, m.now-c.since)
			}
		}
	}
}

// change calls f for a connection, if there is any.
func (m *model) change(f func(ID, *modelConnection)) {
	if len(m.known) == 0 {
		return
	}
	ids := []ID{}
	for id := range m.known {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	id := rapid.SampledFrom(ids).Draw(m.t, "id")
	f(id, m.known[id])
}

func (m *model) open() {
	m.nextID++
	cuts, accepted := m.intake.Open(m.now, m.nextID)
	if full := len(m.known) >= m.limits.Connections; full != (len(cuts) == 1) || len(cuts) > 1 || !full && !accepted {
		m.t.Fatalf("Open: got accepted %t and cuts %v with %d of %d connections", accepted, cuts, len(m.known), m.limits.Connections)
	}
	if !accepted {
		if cuts[0] != (Cut{ID: m.nextID, Reason: ReasonFull, Close: true}) {
			m.t.Fatalf("a connection was refused with %+v", cuts[0])
		}
		for id, c := range m.known {
			if c.state != complete {
				m.t.Fatalf("Open was refused although connection %d is in state %d", id, c.state)
			}
		}
		return
	}
	for _, cut := range cuts {
		victim := m.known[cut.ID]
		for id, c := range m.known {
			older := c.state != complete && c.state != rejected && victim.state != rejected && c.since < victim.since
			if victim.state == complete || c.state == rejected && victim.state != rejected || older {
				m.t.Fatalf("Open cut off %d in state %d of %v rather than %d in state %d of %v", cut.ID, victim.state, victim.since, id, c.state, c.since)
			}
		}
		m.hold(cut.ID, victim)
		delete(m.known, cut.ID)
	}
	m.known[m.nextID] = &modelConnection{state: waiting, since: m.now}
}

func (m *model) grow(more int64) {
	m.change(func(id ID, c *modelConnection) {
		wasArriving := c.state == arriving
		if wasArriving {
			m.promote()
			c.bytes += more
			c.general = c.general || c.bytes > m.limits.OrdinaryBytes
		}
		cuts, kept := m.intake.Grow(m.now, id, c.bytes)
		m.apply(cuts, false)
		if wasArriving {
			m.checkGeneral()
		}
		if kept != (wasArriving && c.state == arriving) {
			m.t.Fatalf("Grow of %d: got %t in state %d", id, kept, c.state)
		}
	})
}

// promote makes the bodies general that have been arriving for too long.
func (m *model) promote() {
	for _, c := range m.known {
		c.general = c.general || c.state == arriving && m.now-c.since > m.limits.OrdinaryTime
	}
}

func (m *model) sums() (bytes, general int64) {
	for _, c := range m.known {
		bytes += c.bytes
		if c.general {
			general += c.bytes
		}
	}
	return bytes, general
}

// apply checks each cut against the state before it.
func (m *model) apply(cuts []Cut, expiry bool) {
	for _, cut := range cuts {
		victim := m.known[cut.ID]
		if victim == nil || victim.state != arriving || cut.Close {
			m.t.Fatalf("got cut %+v of %+v, want one of an arriving body", cut, victim)
		}
		age := m.now - victim.since
		bytes, general := m.sums()
		switch cut.Reason {
		case ReasonBytes:
			needed := general > m.limits.Bytes-m.limits.ReservedBytes || bytes > m.limits.Bytes
			for id, c := range m.known {
				if c.state == arriving && (c.general && !victim.general || c.general == victim.general && c.since < victim.since) {
					m.t.Fatalf("cut off %d (%+v) rather than %d (%+v)", cut.ID, victim, id, c)
				}
			}
			if !needed {
				m.t.Fatalf("cut off %d without need: %d bytes, %d of them general", cut.ID, bytes, general)
			}
		case ReasonBodyTime:
			if !expiry || age <= m.limits.BodyTime {
				m.t.Fatalf("cut off %d after %v", cut.ID, age)
			}
		case ReasonBodyRate:
			if !expiry || !m.tooSlow(victim) {
				m.t.Fatalf("cut off %d with %d bytes after %v", cut.ID, victim.bytes, age)
			}
		default:
			m.t.Fatalf("got cut %+v for a body", cut)
		}
		m.hold(cut.ID, victim)
		*victim = modelConnection{state: rejected, since: m.now}
	}
}

func (m *model) tooSlow(c *modelConnection) bool {
	counted := m.now - c.since - m.limits.RateGrace
	return counted > 0 && float64(c.bytes) < float64(m.limits.MinRate)*counted.Seconds()
}

// checkGeneral checks which bodies may not use the reserved share, after a call that
// considers their ages.
func (m *model) checkGeneral() {
	if _, general := m.sums(); m.intake.Usage().GeneralBytes != general {
		m.t.Fatalf("got %d bytes that are not ordinary, want %d", m.intake.Usage().GeneralBytes, general)
	}
}

func (m *model) hold(id ID, c *modelConnection) {
	if c.bytes > 0 {
		m.held[id] = c.bytes
	}
}

// check compares the usage with the model and the budgets. A body that has become
// old counts as ordinary until the next body grows or the bodies expire.
func (m *model) check() {
	usage := m.intake.Usage()
	bytes, _ := m.sums()
	if usage.Bytes != bytes || usage.Connections != len(m.known) {
		m.t.Fatalf("got usage %+v, want %d bytes and %d connections", usage, bytes, len(m.known))
	}
	held := int64(0)
	for _, n := range m.held {
		held += n
	}
	if usage.HeldBytes != held {
		m.t.Fatalf("got %d bytes held of bodies that were cut off, want %d", usage.HeldBytes, held)
	}
	for id, c := range m.known {
		over := usage.Bytes+held > m.limits.Bytes
		if c.general {
			over = usage.GeneralBytes+held > m.limits.Bytes-m.limits.ReservedBytes
		}
		// The model makes a body general later than the Intake while none grows.
		if got := m.intake.Waits(id); got != (over && c.state == arriving) && m.now-c.since <= m.limits.OrdinaryTime {
			m.t.Fatalf("Waits of %d (%+v): got %t with usage %+v", id, c, got, usage)
		}
	}
	if usage.Bytes > m.limits.Bytes || usage.GeneralBytes > m.limits.Bytes-m.limits.ReservedBytes || usage.Connections > m.limits.Connections {
		m.t.Fatalf("got usage %+v beyond the limits %+v", usage, m.limits)
	}
}
