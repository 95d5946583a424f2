// Package holder is the duty that holds the cell while this instance is
// elected. It owns the state of the cell: it passes events to the decisions,
// sends their actions to the other duties and appends their records. When it
// fails or is superseded it drops all state, and the next holder restores the
// cell from the store.
package holder

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/decision/authority"
	"lacewingfork.example/lacewingfork/decision/cell"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/internal/clock"
	"lacewingfork.example/lacewingfork/records/cellrecord"
	"lacewingfork.example/lacewingfork/scheduler/api"
	"lacewingfork.example/lacewingfork/scheduler/logs"
	"lacewingfork.example/lacewingfork/scheduler/message"
	"lacewingfork.example/lacewingfork/scheduler/store"
	"lacewingfork.example/lacewingfork/supervise"
)

const (
	requestCapacity = 1024 // exceeds the concurrent callers of every deployment
	eventCapacity   = 4096 // answers to all orders in flight and all holds
	changeCapacity  = 16
	// tickInterval is the resolution of holds, lease expiry and due times.
	tickInterval = 50 * time.Millisecond
	// ticksPerStatus is the number of ticks between two published statuses.
	// Published counts of pending jobs may be up to two seconds old.
	ticksPerStatus = 4
	// heartbeatInterval is the time after which an idle holder appends a
	// heartbeat record. The other instances wait several times as long before
	// they take over.
	heartbeatInterval = 300 * time.Millisecond
	// minAppendInterval is the minimum time between the answer to an append and
	// the next append: each call to the store has a cost, and an append takes 4
	// ms.
	minAppendInterval = 20 * time.Millisecond
	// stepDownTimeout bounds the time until the leases are recorded on a planned stop.
	// The next holder otherwise waits for the longest ones.
	stepDownTimeout = 300 * time.Millisecond
	// drainLimit bounds the number of events applied before their actions are
	// executed.
	drainLimit = 64
)

// Rings are the inputs and outputs of the duty.
type Rings struct {
	Requests       *supervise.Ring[message.Request]
	WorkerEvents   *supervise.Ring[message.WorkerEvent]
	AppendResults  *supervise.Ring[message.AppendResult]
	ServerChanges  *supervise.Ring[message.ServerChange]
	Configurations *message.ConfigurationRing
	// Evacuations carries the operators' requests to evacuate data centres.
	Evacuations *supervise.Ring[message.Evacuations]
	Elected     *supervise.Ring[message.Elected]
	// Heartbeats carries the heartbeats of instances linked to this one.
	Heartbeats *supervise.Ring[message.Heartbeat]
	// Members carries the registered instances.
	Members *supervise.Ring[[]cellrecord.Member]
	// StepDown ends the role of holder on a planned stop, and hands the cell over.
	StepDown *supervise.Ring[struct{}]

	Orders        *supervise.Ring[message.Order]
	Holds         *supervise.Ring[message.Order]
	Appends       *supervise.Ring[store.Append]
	FollowServers *supervise.Ring[bool]
	// FollowEvacuations switches the reads of these requests on and off.
	FollowEvacuations *supervise.Ring[bool]
	// Handovers asks the link table to hand the cell over after a planned stop.
	Handovers *supervise.Ring[struct{}]
	// RoleEnded reports to the election duty that the role has ended.
	RoleEnded *supervise.Ring[fleet.Epoch]
	// Statuses receive each published status.
	Statuses []*supervise.Ring[Status]
}

// NewRings returns the rings that the duty reads.
func NewRings() *Rings {
	return &Rings{
		Requests:       supervise.NewRing[message.Request]("holder.asks", requestCapacity, supervise.Refuse),
		WorkerEvents:   supervise.NewRing[message.WorkerEvent]("holder.events", eventCapacity, supervise.Wait),
		AppendResults:  supervise.NewRing[message.AppendResult]("holder.commits", 2, supervise.Wait),
		ServerChanges:  supervise.NewRing[message.ServerChange]("holder.servers", changeCapacity, supervise.Wait),
		Configurations: message.NewConfigurationRing("holder.configurations"),
		Evacuations:    supervise.NewStateRing[message.Evacuations]("holder.evacuations"),
		Elected:        supervise.NewRing[message.Elected]("holder.elected", 1, supervise.DropOldest),
		Heartbeats:     supervise.NewRing[message.Heartbeat]("holder.beats", 256, supervise.DropOldest),
		Members:        supervise.NewStateRing[[]cellrecord.Member]("holder.members"),
		StepDown:       supervise.NewRing[struct{}]("holder.step-down", 1, supervise.DropOldest),

		FollowEvacuations: supervise.NewRing[bool]("evacuations.wanted", 1, supervise.DropOldest),
	}
}

// Duty holds the cell while this instance is elected.
type Duty struct {
	rings    *Rings
	instance fleet.InstanceID
	settings cell.Settings
	clock    *clock.Clock
	log      *logs.Log
	metrics  *metrics

	configuration *api.Configuration
	members       []cellrecord.Member // nil until they have been read
	role          *role
}

// role is the holder's state for one epoch.
type role struct {
	epoch               fleet.Epoch
	cell                *cell.Cell
	requests            map[cell.Token]message.Request
	nextToken           cell.Token
	sequence            uint64
	appendInFlight      bool
	unacknowledgedSince time.Duration // start of the first append since the last acknowledgement; 0 if none
	appendedAt          time.Duration // end of the last append
	authority           *authority.Authority
	hasAuthority        bool          // as the decisions know it
	steppedDownAt       time.Duration // 0 unless the process is stopping
	configured          bool          // a configuration has been passed to the decisions
	ticks               int
	lag                 time.Duration // longest time that an answer waited since the last tick
	behind              bool
	punctualTicks       int // ticks since the last one with a lag
}

// New returns the duty; Start starts it.
func New(rings *Rings, instance fleet.InstanceID, settings cell.Settings, c *clock.Clock, log *logs.Log, registry prometheus.Registerer) *Duty {
	return &Duty{rings: rings, instance: instance, settings: settings, clock: c, log: log, metrics: newMetrics(registry)}
}

// Start adds the duty below root.
func (d *Duty) Start(root *supervise.Tree) {
	r := d.rings
	root.Child("holder", supervise.DefaultIntensity).Start(supervise.Duty{
		Name:  "cell",
		Rings: []supervise.AnyRing{r.Requests, r.WorkerEvents, r.AppendResults, r.ServerChanges, r.Configurations, r.Evacuations, r.Elected, r.Heartbeats, r.Members, r.StepDown},
		Run:   d.run,
	})
}

func (d *Duty) run(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	d.endRole("duty_failed") // of the run before, if it panicked
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	pass := time.NewTimer(tickInterval)
	defer pass.Stop()
	supervise.Replay(d.rings.Members)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case request := <-d.rings.Requests.Items():
			d.handleRequest(request)
		case e := <-d.rings.WorkerEvents.Items():
			d.handleWorkerEvent(e)
		case result := <-d.rings.AppendResults.Items():
			d.handleAppendResult(result)
		case change := <-d.rings.ServerChanges.Items():
			d.handleServerChange(change)
		case d.configuration = <-d.rings.Configurations.Items():
			d.configure()
		case evacuations := <-d.rings.Evacuations.Items():
			d.handleEvacuations(evacuations)
		case elected := <-d.rings.Elected.Items():
			d.beginRole(elected)
		case heartbeat := <-d.rings.Heartbeats.Items():
			d.handleHeartbeat(heartbeat)
		case d.members = <-d.rings.Members.Items():
			d.registerMembers()
		case <-d.rings.StepDown.Items():
			d.stepDown()
		case <-ticker.C:
			d.tick()
		case <-pass.C:
			if d.role != nil {
				d.handle(cell.PassTime{})
			}
		case r := <-dumps:
			r.Answer(d.dump())
		}
		d.drain()
		d.executeActions(ctx)
		if d.role != nil {
			if wait, due := d.role.cell.PassDue(d.clock.Steady()); due && wait > 0 {
				pass.Reset(wait)
			}
		}
	}
}

// drain applies events and requests that are already queued, so that one pass
// executes the actions of all of them.
func (d *Duty) drain() {
	for range drainLimit {
		select {
		case e := <-d.rings.WorkerEvents.Items():
			d.handleWorkerEvent(e)
		case request := <-d.rings.Requests.Items():
			d.handleRequest(request)
		default:
			return
		}
	}
}

func (d *Duty) beginRole(elected message.Elected) {
	d.endRole("elected_again")
	now := d.clock.Now()
	d.role = &role{
		epoch: elected.Epoch, cell: cell.New(d.settings, elected.Round), requests: map[cell.Token]message.Request{},
		authority: authority.New(elected.ClaimedAt), appendedAt: now.Steady, hasAuthority: true,
	}
	d.registerMembers()
	d.role.cell.Restore(now, elected.Records)
	d.configure()
	_ = d.rings.FollowServers.Put(context.Background(), true) // keeps the newest; never fails
	_ = d.rings.FollowEvacuations.Put(context.Background(), true)
	d.metrics.takeovers.Inc()
	d.log.Event("holder_began", "epoch", elected.Epoch, "round", elected.Round, "records", len(elected.Records))
	d.publish()
}

// endRole drops the role. Pending requests are answered with NotHolder, so that
// the routers send them to the next holder.
func (d *Duty) endRole(reason string) {
	r := d.role
	if r == nil {
		return
	}
	d.role = nil
	for _, request := range r.requests {
		d.reply(request, message.Response{ID: request.ID, NotHolder: true})
	}
	_ = d.rings.FollowServers.Put(context.Background(), false)
	_ = d.rings.FollowEvacuations.Put(context.Background(), false)
	_ = d.rings.RoleEnded.Put(context.Background(), r.epoch)
	d.log.Event("holder_ended", "epoch", r.epoch, "reason", reason, "waiting_callers", len(r.requests))
	d.publish()
}

// configure passes the queues of the configuration in force to the decisions.
func (d *Duty) configure() {
	if d.role == nil || d.configuration == nil {
		return
	}
	queues := make([]cell.QueueSettings, 0, len(d.configuration.Routes))
	for _, route := range d.configuration.Routes {
		queues = append(queues, route.Queue)
	}
	d.role.configured = true
	d.handle(cell.QueuesChanged{Queues: queues})
}

// handle passes an event to the decisions. It checks the authority first: the process
// may have stood still before any event.
func (d *Duty) handle(e cell.Event) {
	d.checkAuthority()
	d.role.cell.Handle(d.clock.Now(), e)
}

// handleRequest passes a request to the decisions and keeps it until the reply.
func (d *Duty) handleRequest(request message.Request) {
	r := d.role
	if r == nil || !r.configured {
		d.reply(request, message.Response{ID: request.ID, NotHolder: true})
		return
	}
	r.nextToken++
	r.requests[r.nextToken] = request
	switch request.Kind {
	case message.RequestSubmit:
		d.handle(cell.Submitted{Token: r.nextToken, Job: *request.Body})
	case message.RequestCancel:
		d.handle(cell.CancelRequested{Token: r.nextToken, Queue: request.Queue, ID: request.Job})
	case message.RequestState:
		d.handle(cell.StateRequested{Token: r.nextToken, Queue: request.Queue, ID: request.Job})
	}
}

func (d *Duty) reply(request message.Request, response message.Response) {
	// A caller that has left no longer reads its ring; the response is dropped.
	if request.Reply.Put(context.Background(), response) != nil {
		d.metrics.unreadResponses.Inc()
	}
}

func (d *Duty) handleWorkerEvent(e message.WorkerEvent) {
	if d.role != nil && d.role.epoch == e.Epoch {
		d.role.lag = max(d.role.lag, d.clock.Steady()-e.AnsweredAt)
		d.handle(e.Event)
	}
}

// handleAppendResult passes the outcome of an append to the decisions. A fenced
// append ends the role.
func (d *Duty) handleAppendResult(result message.AppendResult) {
	r := d.role
	if r == nil || r.epoch != result.Epoch {
		return
	}
	if result.Fenced {
		d.endRole("fenced_by_store")
		return
	}
	if result.Refused {
		r.appendInFlight, r.appendedAt = false, d.clock.Steady()
		r.sequence-- // the store has not accepted the number
		d.handle(cell.StoreHealth{Waiting: d.storeOutage()})
		d.handle(cell.BatchRefused{Batch: result.Batch})
		return
	}
	r.appendInFlight, r.unacknowledgedSince, r.appendedAt = false, 0, d.clock.Steady()
	r.authority.StoreConfirmed(result.SentAt)
	d.handle(cell.StoreHealth{})
	if result.Batch > 0 {
		d.handle(cell.Committed{Batch: result.Batch})
	}
	d.handOverIfReleased()
}

// handleServerChange passes a change of the server list to the decisions.
func (d *Duty) handleServerChange(change message.ServerChange) {
	if d.role == nil {
		return
	}
	for _, s := range change.Servers {
		d.handle(cell.ServerListed{Server: s})
	}
	for _, id := range change.Removed {
		d.handle(cell.ServerUnlisted{ID: id})
	}
	if change.Full {
		d.handle(cell.ServerListRead{})
	}
}

func (d *Duty) tick() {
	r := d.role
	if r == nil {
		return
	}
	if suspended := d.clock.Suspended(); suspended > 0 {
		d.log.Event("instance_was_suspended", "slept_ms", suspended.Milliseconds())
		r.authority.Suspended(d.clock.Steady())
	}
	if outage := d.storeOutage(); outage > 0 {
		d.handle(cell.StoreHealth{Waiting: outage})
	}
	d.checkLag()
	d.handle(cell.Tick{})
	d.handOverIfReleased()
	if d.role == nil {
		return
	}
	if r.ticks++; r.ticks%ticksPerStatus == 0 {
		d.publish()
	}
}

// storeOutage returns how long appends have been unacknowledged.
func (d *Duty) storeOutage() time.Duration {
	if d.role == nil || d.role.unacknowledgedSince == 0 {
		return 0
	}
	return d.clock.Steady() - d.role.unacknowledgedSince
}
