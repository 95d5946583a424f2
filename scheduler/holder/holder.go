// Package holder is the duty that holds the cell while this instance is
// elected. It owns the cell's state: it feeds events to the decisions, sends
// their actions to the other duties and appends their records. When it fails or
// is superseded it drops all state, and the cell is restored from the store by
// the next holder.
package holder

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingfork.example/lacewingfork/decision/cell"
	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/internal/clock"
	"lacewingfork.example/lacewingfork/scheduler/api"
	"lacewingfork.example/lacewingfork/scheduler/logs"
	"lacewingfork.example/lacewingfork/scheduler/message"
	"lacewingfork.example/lacewingfork/scheduler/store"
	"lacewingfork.example/lacewingfork/supervise"
)

const (
	requestCapacity = 1024 // more callers than the deployments have at a time
	eventCapacity   = 4096 // answers to every order in progress and every hold
	changeCapacity  = 16
	// tickInterval is the resolution of holds, lapses and due times.
	tickInterval = 50 * time.Millisecond
	// ticksPerStatus is the number of ticks between two statuses; counts of
	// pending jobs may be two seconds old.
	ticksPerStatus = 4
	// heartbeatInterval is how often an idle holder shows in the store that it lives;
	// the others wait several times as long before they take over.
	heartbeatInterval = 300 * time.Millisecond
	// minAppendInterval is the least time between the answer to an append and the next
	// one: each call of the store is priced, and an append takes 4 ms.
	minAppendInterval = 20 * time.Millisecond
	// drainLimit bounds the events that are applied before their actions are
	// carried out.
	drainLimit = 64
	// authorityTimeout is how long a holder goes on without a sign that nobody
	// else holds the cell. cell.Settings.AuthorityBound is larger.
	authorityTimeout = 2 * time.Second
)

// Status is what the holder tells the links and the readiness check.
type Status struct {
	Epoch       fleet.Epoch
	IsHolder    bool
	StoreOutage time.Duration
	Pending     map[job.Queue]int
}

// Rings are the inputs and outputs of the duty.
type Rings struct {
	Requests       *supervise.Ring[message.Request]
	WorkerEvents   *supervise.Ring[message.WorkerEvent]
	AppendResults  *supervise.Ring[message.AppendResult]
	ServerChanges  *supervise.Ring[message.ServerChange]
	Configurations *message.ConfigurationRing
	Elected        *supervise.Ring[message.Elected]
	// Heartbeats are the beliefs of the instances that are linked to this one.
	Heartbeats *supervise.Ring[message.Heartbeat]
	// StepDown ends the holder's role on a planned stop.
	StepDown *supervise.Ring[struct{}]

	Orders        *supervise.Ring[message.Order]
	Holds         *supervise.Ring[message.Order]
	Appends       *supervise.Ring[store.Append]
	FollowServers *supervise.Ring[bool]
	// RoleEnded tells the election duty that the role has ended.
	RoleEnded *supervise.Ring[fleet.Epoch]
	// Statuses are told the newest status.
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
		Elected:        supervise.NewRing[message.Elected]("holder.elected", 1, supervise.DropOldest),
		Heartbeats:     supervise.NewRing[message.Heartbeat]("holder.beats", 256, supervise.DropOldest),
		StepDown:       supervise.NewRing[struct{}]("holder.step-down", 1, supervise.DropOldest),
	}
}

// Duty holds the cell.
type Duty struct {
	rings    *Rings
	settings cell.Settings
	clock    *clock.Clock
	log      *logs.Log
	metrics  *metrics

	configuration *api.Configuration
	role          *role
}

// role is the state of one epoch.
type role struct {
	epoch               fleet.Epoch
	cell                *cell.Cell
	requests            map[cell.Token]message.Request
	nextToken           cell.Token
	sequence            uint64
	appendInFlight      bool
	unacknowledgedSince time.Duration // begin of the first append since the last acknowledgement
	appendedAt          time.Duration
	confirmedAt         time.Duration
	hasAuthority        bool
	configured          bool
	ticks               int
}

// New returns the duty.
func New(rings *Rings, settings cell.Settings, c *clock.Clock, log *logs.Log, registry prometheus.Registerer) *Duty {
	return &Duty{rings: rings, settings: settings, clock: c, log: log, metrics: newMetrics(registry)}
}

// Start adds the duty below root.
func (d *Duty) Start(root *supervise.Tree) {
	r := d.rings
	root.Child("holder", supervise.DefaultIntensity).Start(supervise.Duty{
		Name:  "cell",
		Rings: []supervise.Measured{r.Requests, r.WorkerEvents, r.AppendResults, r.ServerChanges, r.Configurations, r.Elected, r.Heartbeats, r.StepDown},
		Run:   d.run,
	})
}

func (d *Duty) run(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	d.role = nil
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ask := <-d.rings.Requests.Items():
			d.checkAuthority()
			d.handleRequest(ask)
		case e := <-d.rings.WorkerEvents.Items():
			d.checkAuthority()
			d.handleWorkerEvent(e)
		case committed := <-d.rings.AppendResults.Items():
			d.handleAppendResult(committed)
		case change := <-d.rings.ServerChanges.Items():
			d.handleServerChange(change)
		case d.configuration = <-d.rings.Configurations.Items():
			d.configure()
		case elected := <-d.rings.Elected.Items():
			d.beginRole(elected)
		case beat := <-d.rings.Heartbeats.Items():
			d.handleHeartbeat(beat)
		case <-d.rings.StepDown.Items():
			d.endRole("stopping")
		case <-ticker.C:
			d.tick()
		case r := <-dumps:
			r.Answer(d.dump())
		}
		d.drain()
		d.executeActions(ctx)
	}
}

// drain applies what already waits, so that one pass of decisions serves it all.
func (d *Duty) drain() {
	for range drainLimit {
		select {
		case e := <-d.rings.WorkerEvents.Items():
			d.handleWorkerEvent(e)
		case ask := <-d.rings.Requests.Items():
			d.handleRequest(ask)
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
		confirmedAt: now.Steady, appendedAt: now.Steady, hasAuthority: true,
	}
	d.role.cell.Restore(now, elected.Records)
	d.configure()
	_ = d.rings.FollowServers.Put(context.Background(), true) // the newest wish wins; never refused
	d.metrics.takeovers.Inc()
	d.log.Event("holder_began", "epoch", elected.Epoch, "round", elected.Round, "records", len(elected.Records))
	d.publish()
}

// endRole drops the role. Callers that wait are told to ask the next holder.
func (d *Duty) endRole(reason string) {
	r := d.role
	if r == nil {
		return
	}
	d.role = nil
	for _, ask := range r.requests {
		d.reply(ask, message.Response{ID: ask.ID, NotHolder: true})
	}
	_ = d.rings.FollowServers.Put(context.Background(), false)
	_ = d.rings.RoleEnded.Put(context.Background(), r.epoch)
	d.log.Event("holder_ended", "epoch", r.epoch, "reason", reason, "waiting_callers", len(r.requests))
	d.publish()
}

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

func (d *Duty) handle(e cell.Event) { d.role.cell.Handle(d.clock.Now(), e) }

func (d *Duty) handleRequest(ask message.Request) {
	r := d.role
	if r == nil || !r.configured {
		d.reply(ask, message.Response{ID: ask.ID, NotHolder: true})
		return
	}
	r.nextToken++
	r.requests[r.nextToken] = ask
	switch ask.Kind {
	case message.RequestSubmit:
		d.handle(cell.Submitted{Token: r.nextToken, Job: *ask.Body})
	case message.RequestCancel:
		d.handle(cell.CancelRequested{Token: r.nextToken, Queue: ask.Queue, ID: ask.Job})
	case message.RequestState:
		d.handle(cell.StateRequested{Token: r.nextToken, Queue: ask.Queue, ID: ask.Job})
	}
}

func (d *Duty) reply(ask message.Request, a message.Response) {
	// A caller that has gone no longer reads its ring; the answer is dropped.
	if ask.Reply.Put(context.Background(), a) != nil {
		d.metrics.unreadResponses.Inc()
	}
}

func (d *Duty) handleWorkerEvent(e message.WorkerEvent) {
	if d.role != nil && d.role.epoch == e.Epoch {
		d.handle(e.Event)
	}
}

func (d *Duty) handleAppendResult(c message.AppendResult) {
	r := d.role
	if r == nil || r.epoch != c.Epoch {
		return
	}
	if c.Fenced {
		d.endRole("fenced_by_store")
		return
	}
	if c.Refused {
		r.appendInFlight, r.appendedAt = false, d.clock.Steady()
		r.sequence-- // the store has not seen it
		d.handle(cell.StoreHealth{Waiting: d.storeOutage()})
		d.handle(cell.BatchRefused{Batch: c.Batch})
		return
	}
	r.appendInFlight, r.unacknowledgedSince, r.appendedAt, r.confirmedAt = false, 0, d.clock.Steady(), d.clock.Steady()
	d.handle(cell.StoreHealth{})
	if c.Batch > 0 {
		d.handle(cell.Committed{Batch: c.Batch})
	}
	d.checkAuthority()
}

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

// handleHeartbeat takes in what a linked instance believes. An instance that does not
// reach the store either confirms that nobody can have taken over through it.
func (d *Duty) handleHeartbeat(beat message.Heartbeat) {
	r := d.role
	if r == nil {
		return
	}
	if beat.Epoch > r.epoch {
		d.endRole("peer_knows_later_epoch")
		return
	}
	if beat.Epoch == r.epoch && beat.StoreOutage > 0 {
		r.confirmedAt = d.clock.Steady()
		d.checkAuthority()
	}
}

func (d *Duty) checkAuthority() {
	r := d.role
	if r == nil {
		return
	}
	held := d.clock.Steady()-r.confirmedAt < authorityTimeout
	if held == r.hasAuthority {
		return
	}
	r.hasAuthority = held
	d.log.Event("holder_authority", "epoch", r.epoch, "held", held, "confirmed_ms_ago", (d.clock.Steady() - r.confirmedAt).Milliseconds())
	d.handle(cell.AuthorityChanged{Held: held})
}

func (d *Duty) tick() {
	r := d.role
	if r == nil {
		return
	}
	if slept := d.clock.Suspended(); slept > 0 {
		d.log.Event("instance_was_suspended", "slept_ms", slept.Milliseconds())
		r.confirmedAt -= authorityTimeout // until the store or a peer confirms it again
	}
	if silent := d.storeOutage(); silent > 0 {
		d.handle(cell.StoreHealth{Waiting: silent})
	}
	d.checkAuthority()
	d.handle(cell.Tick{})
	if r.ticks++; r.ticks%ticksPerStatus == 0 {
		d.publish()
	}
}

// storeOutage is for how long the store has acknowledged none of the appends.
func (d *Duty) storeOutage() time.Duration {
	if d.role == nil || d.role.unacknowledgedSince == 0 {
		return 0
	}
	return d.clock.Steady() - d.role.unacknowledgedSince
}

func (d *Duty) publish() {
	status := Status{StoreOutage: d.storeOutage()}
	if d.role != nil {
		status.Epoch, status.IsHolder, status.Pending = d.role.epoch, true, d.role.cell.Pending()
	}
	for _, ring := range d.rings.Statuses {
		_ = ring.Put(context.Background(), status) // the newest wins; never refused
	}
}

type dump struct {
	Epoch           fleet.Epoch `json:"epoch,omitempty"`
	IsHolder        bool        `json:"holds"`
	StoreOutage     string      `json:"store_silent,omitempty"`
	PendingRequests int         `json:"waiting_callers"`
	Cell            *cell.Stats `json:"cell,omitempty"`
}

func (d *Duty) dump() dump {
	if d.role == nil {
		return dump{}
	}
	stats := d.role.cell.Stats()
	return dump{
		Epoch: d.role.epoch, IsHolder: true, StoreOutage: d.storeOutage().String(), PendingRequests: len(d.role.requests), Cell: &stats,
	}
}
