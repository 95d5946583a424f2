package holder

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/decision/authority"
	"lacewingfork.example/lacewingfork/decision/cell"
	"lacewingfork.example/lacewingfork/internal/clock"
	"lacewingfork.example/lacewingfork/records/cellrecord"
	"lacewingfork.example/lacewingfork/scheduler/logs"
	"lacewingfork.example/lacewingfork/scheduler/message"
)

// newHolder returns a duty that has just been elected. It has to be called in a
// synctest bubble.
func newHolder() *Duty {
	d := New(NewRings(), "self", cell.DefaultSettings(), clock.New(), logs.New(), prometheus.NewRegistry())
	now := d.clock.Steady()
	d.role = &role{epoch: 7, cell: cell.New(cell.DefaultSettings(), 1), authority: authority.New(now), hasAuthority: true}
	return d
}

// Guards against a holder that gives orders after it has stood still, because the first
// event that it handles afterwards is not one of those that check the authority.
func TestNoEventIsHandledWithoutAuthority(t *testing.T) {
	for name, handle := range map[string]func(*Duty){
		"pass time":     func(d *Duty) { d.handle(cell.PassTime{}) },
		"server change": func(d *Duty) { d.handleServerChange(message.ServerChange{Full: true}) },
		"append refused": func(d *Duty) {
			d.handleAppendResult(message.AppendResult{Epoch: 7, Refused: true})
		},
		"append sent before": func(d *Duty) {
			d.handleAppendResult(message.AppendResult{Epoch: 7, SentAt: d.clock.Steady() - authority.Timeout})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newHolder()
				time.Sleep(authority.Timeout)
				handle(d)
				if d.role.hasAuthority || d.role.cell.Stats().Authority {
					t.Error("the event was handled with authority, want none: nothing has confirmed the role for the timeout")
				}
				d.handleAppendResult(message.AppendResult{Epoch: 7, SentAt: d.clock.Steady()})
				if !d.role.cell.Stats().Authority {
					t.Error("no authority after an append that was sent now")
				}
			})
		})
	}
}

// Guards against two holders on the sides of a partition (TWICE, users' record of 5
// December 2026).
func TestReportOfOnePeerDoesNotConfirmRole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newHolder()
		d.members = []cellrecord.Member{{Instance: "self"}, {Instance: "near"}, {Instance: "far"}}
		d.registerMembers()
		time.Sleep(authority.Timeout)
		report := func(m message.Heartbeat) {
			m.Epoch, m.StoreOutage, m.Answered = 7, time.Second, d.clock.Steady()
			d.handleHeartbeat(m)
		}
		report(message.Heartbeat{Instance: "near"})
		d.handle(cell.Tick{})
		if d.role.cell.Stats().Authority {
			t.Error("authority by the report of one of two instances, want none: the other one may have claimed the cell")
		}
		report(message.Heartbeat{Instance: "far"})
		if !d.role.cell.Stats().Authority {
			t.Error("no authority although no instance can reach the store")
		}
	})
}
