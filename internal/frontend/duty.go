package frontend

import (
	"context"
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/decision/intake"
	"lacewingfork.example/lacewingfork/supervise"
)

// duty is the state of one run of the intake duty.
type duty struct {
	gate  *Gate
	state *intake.Intake
	conns map[intake.ID]*conn
	cuts  map[intake.Reason]int // since the last log line
	// waiting holds the questions of bodies that must not grow yet.
	waiting []request
	logged  time.Duration
}

func (g *Gate) run(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	d := &duty{gate: g, state: intake.New(g.limits.Limits), conns: map[intake.ID]*conn{}, cuts: map[intake.Reason]int{}}
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-g.requests.Items():
			d.serve(r)
		case <-ticker.C:
			d.apply(d.state.Expire(d.now()))
			d.answerWaiting()
			d.report()
		case r := <-dumps:
			r.Answer(map[string]any{"usage": d.state.Usage(), "limits": g.limits.Limits})
		}
	}
}

func (d *duty) now() time.Duration { return time.Since(d.gate.start) }

// serve handles what a connection tells and answers what may be answered by now.
func (d *duty) serve(r request) {
	kept := d.handle(r)
	if kept && r.kind == grew && d.state.Waits(r.conn.id) {
		d.waiting = append(d.waiting, r)
	} else {
		r.answer(kept)
	}
	d.answerWaiting()
}

// handle handles what a connection tells and returns the answer to a question.
func (d *duty) handle(r request) bool {
	now, id := d.now(), r.conn.id
	switch r.kind {
	case closed:
		d.state.Close(id)
		delete(d.conns, id)
		return true
	case ended:
		d.state.End(now, id)
		return true
	}
	// net/http may close a connection, after a failed write, before the handler ends.
	if r.conn.cut || r.conn.closed.Load() {
		return false
	}
	if _, known := d.conns[id]; !known { // a new one, or the duty has been restarted
		cuts, accepted := d.state.Open(now, id)
		d.apply(cuts)
		if !accepted {
			return false
		}
		d.conns[id] = r.conn
	}
	switch r.kind {
	case began:
		return d.state.Begin(now, id)
	case grew:
		cuts, kept := d.state.Grow(now, id, r.bytes)
		d.apply(cuts)
		return kept
	case completed:
		return d.state.Complete(now, id, r.bytes)
	}
	return true
}

// answerWaiting answers the questions of bodies that may grow now or were cut off.
func (d *duty) answerWaiting() {
	d.waiting = slices.DeleteFunc(d.waiting, func(r request) bool {
		if !r.conn.cut && d.state.Waits(r.conn.id) {
			return false
		}
		r.answer(!r.conn.cut)
		return true
	})
}

// apply cuts off clients. It does not block.
func (d *duty) apply(cuts []intake.Cut) {
	for _, cut := range cuts {
		d.cuts[cut.Reason]++
		d.gate.cuts.WithLabelValues(string(cut.Reason)).Inc()
		c := d.conns[cut.ID]
		if c == nil {
			continue // it was refused, and its goroutine closes it
		}
		c.cut = true
		if !cut.Close {
			c.stopReading() // its goroutine rejects the request
			continue
		}
		delete(d.conns, cut.ID)
		if c.Conn != nil {
			_ = c.Conn.Close() // if this fails, it is closed already
		}
	}
}

// report updates the metrics and logs what was cut off since the last line.
func (d *duty) report() {
	usage := d.state.Usage()
	d.gate.bytes.Set(float64(usage.Bytes))
	d.gate.connections.Set(float64(usage.Connections))
	d.gate.incompletes.Set(float64(usage.Arriving))
	if len(d.cuts) == 0 || d.now()-d.logged < logInterval {
		return
	}
	pairs := []any{"connections", usage.Connections, "incomplete", usage.Arriving, "bytes", usage.Bytes}
	for _, reason := range intake.Reasons() {
		if n := d.cuts[reason]; n > 0 {
			pairs = append(pairs, "cut_"+string(reason), n)
		}
	}
	d.gate.log("clients_cut", pairs...)
	d.logged = d.now()
	clear(d.cuts)
}
