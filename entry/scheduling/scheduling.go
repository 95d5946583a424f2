// Package scheduling is the supervisor of the partition duties.
//
// The manager duty follows the holdings of this instance. For each held partition
// it starts one partition duty, which owns the partition's slots, queue and
// exchanges under one epoch. When a holding ends, the partition duty refuses
// waiting requests, lets running ones complete, and stops. A manager that fails
// first releases the partition duties that it started. It is then restarted and
// reads the holdings again.
package scheduling

import (
	"context"
	"time"

	"lacewingfork.example/lacewingfork/entry/dispatch"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/supervise"
)

// usageCapacity holds one message for each data centre of a region.
const usageCapacity = 16

// announceInterval bounds the time for which a restarted routing duty lacks a
// partition.
const announceInterval = time.Second

// Supervisor runs the manager and the partition duties.
type Supervisor struct {
	tree  *supervise.Tree
	pools *dispatch.Supervisor

	// Input rings of the manager duty.
	Snapshots      *message.SnapshotRing
	Usage          *message.UsageRing
	Holdings       *message.HoldingsRing
	Configurations *message.ConfigurationRing

	// ExplainQueries takes queries about decisions, for every open partition.
	ExplainQueries *supervise.Ring[message.ExplainQuery]

	// Resends asks the configuration duty to send the version in force again. It
	// must be set before the tree serves.
	Resends *supervise.Ring[message.ResendConfiguration]

	// Metrics must be set before the tree serves. Nil records nothing.
	Metrics *Metrics

	changes    *supervise.Ring[message.PartitionChange]
	relinquish *supervise.Ring[message.Relinquish]
	events     *supervise.Ring[message.Event]
	signals    *supervise.Ring[message.TaskSignal]
}

// New adds the scheduling supervisor as a child of root. changes is the ring for
// partitions that open or close; relinquish, events and signals are input rings of
// the ownership, history and ledger duties.
func New(
	root *supervise.Tree, pools *dispatch.Supervisor, changes *supervise.Ring[message.PartitionChange],
	relinquish *supervise.Ring[message.Relinquish], events *supervise.Ring[message.Event],
	signals *supervise.Ring[message.TaskSignal],
) *Supervisor {
	s := &Supervisor{
		tree: root.Child("scheduling", supervise.DefaultIntensity), pools: pools,
		Snapshots:      supervise.NewRing[message.ListSnapshot]("scheduling.snapshots", 1, supervise.DropOldest),
		Usage:          supervise.NewRing[message.UsageReports]("scheduling.usage", usageCapacity, supervise.DropOldest),
		Holdings:       supervise.NewRing[message.Holdings]("scheduling.holdings", 1, supervise.DropOldest),
		Configurations: supervise.NewRing[message.ConfigurationInForce]("scheduling.configurations", 1, supervise.DropOldest),
		ExplainQueries: supervise.NewRing[message.ExplainQuery]("scheduling.explains", explainCapacity, supervise.Refuse),
		changes:        changes, relinquish: relinquish, events: events, signals: signals,
	}
	s.tree.Start(supervise.Duty{
		Name:  "manager",
		Rings: []supervise.AnyRing{s.Snapshots, s.Usage, s.Holdings, s.Configurations, s.ExplainQueries},
		Run:   s.run,
	})
	return s
}

// manager is the state of one run of the manager duty.
type manager struct {
	*Supervisor
	open          map[fleet.PartitionID]*partitionDuty
	servers       map[fleet.PartitionID][]fleet.BackendServer
	configuration message.ConfigurationInForce
	holdings      message.Holdings
	list          message.ListFilter
}

// run is the manager duty.
func (s *Supervisor) run(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	m := &manager{Supervisor: s, open: map[fleet.PartitionID]*partitionDuty{}}
	defer m.closeAll(ctx)
	_ = s.Resends.Put(ctx, message.ResendConfiguration{Ring: s.Configurations})
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case snapshot := <-s.Snapshots.Items():
			if !m.list.Due(time.Now(), snapshot) {
				continue
			}
			m.setServers(ctx, snapshot)
		case usage := <-s.Usage.Items():
			m.forwardUsage(ctx, usage)
		case c := <-s.Configurations.Items():
			m.setConfiguration(ctx, c)
		case h := <-s.Holdings.Items():
			m.holdings = h
		case <-ticker.C:
			m.announceAll(ctx)
			continue
		case q := <-s.ExplainQueries.Items():
			m.explain(ctx, q)
			continue
		case r := <-dumps:
			r.Answer(m.dump())
			continue
		}
		m.reconcile(ctx)
	}
}

// reconcile starts and releases partition duties to match the holdings. A partition
// opens once its backend servers and a configuration are known.
func (m *manager) reconcile(ctx context.Context) {
	held := make(map[fleet.PartitionID]bool, len(m.holdings.Own))
	for _, h := range m.holdings.Own {
		held[h.Partition] = true
		d := m.open[h.Partition]
		if d != nil && d.holding.Epoch == h.Epoch {
			_ = d.rings.lease.Put(ctx, h)
			continue
		}
		m.close(ctx, h.Partition)
		m.start(ctx, h)
	}
	for id := range m.open {
		if !held[id] {
			m.close(ctx, id)
		}
	}
}

func (m *manager) start(ctx context.Context, h message.Holding) {
	servers := m.servers[h.Partition]
	if len(servers) == 0 || m.configuration.Value == nil {
		return
	}
	slots := 0
	for _, s := range servers {
		slots += s.Capacity.Slots
	}
	d := &partitionDuty{
		holding: h, servers: servers, configuration: m.configuration,
		rings: newPartitionRings(h, slots), pools: m.pools,
		relinquish: m.relinquish, events: m.events, signals: m.signals, metrics: m.Metrics,
	}
	m.open[h.Partition] = d
	m.tree.Start(supervise.Duty{Name: d.name(), Rings: d.rings.all(), Run: d.run})
	m.announce(ctx, d)
}

// announceAll announces every open partition again, for a routing or ledger duty
// that was restarted.
func (m *manager) announceAll(ctx context.Context) {
	for _, d := range m.open {
		m.announce(ctx, d)
	}
}

// announce reports an open partition to the routing and ledger duties.
func (m *manager) announce(ctx context.Context, d *partitionDuty) {
	_ = m.changes.Put(ctx, message.PartitionChange{Opened: &message.PartitionOpened{
		Partition: d.holding.Partition, Epoch: d.holding.Epoch, Submissions: d.rings.submissions,
	}})
	_ = m.signals.Put(ctx, message.TaskRoute{
		Partition: d.holding.Partition, Epoch: d.holding.Epoch, Commands: d.rings.tasks,
	})
}

// close reports a partition as closed and releases its duty, which then drains.
func (m *manager) close(ctx context.Context, id fleet.PartitionID) {
	d := m.open[id]
	if d == nil {
		return
	}
	delete(m.open, id)
	_ = m.changes.Put(ctx, message.PartitionChange{Closed: &message.PartitionClosed{Partition: id, Epoch: d.holding.Epoch}})
	_ = d.rings.release.Put(ctx, struct{}{})
}

func (m *manager) closeAll(ctx context.Context) {
	for id := range m.open {
		m.close(ctx, id)
	}
}

func (m *manager) setServers(ctx context.Context, snapshot message.ListSnapshot) {
	m.servers = map[fleet.PartitionID][]fleet.BackendServer{}
	for _, s := range snapshot.BackendServers {
		m.servers[s.Partition()] = append(m.servers[s.Partition()], s)
	}
	for id, d := range m.open {
		_ = d.rings.servers.Put(ctx, m.servers[id])
	}
}

func (m *manager) setConfiguration(ctx context.Context, c message.ConfigurationInForce) {
	m.configuration = c
	for _, d := range m.open {
		_ = d.rings.configuration.Put(ctx, c)
	}
}

func (m *manager) forwardUsage(ctx context.Context, usage message.UsageReports) {
	for id, d := range m.open {
		if id.DataCentre() == usage.DataCentre {
			_ = d.rings.usage.Put(ctx, usage)
		}
	}
}

// explain forwards a query to every open partition and reports how many answers to
// expect.
func (m *manager) explain(ctx context.Context, q message.ExplainQuery) {
	forwarded := 0
	for _, d := range m.open {
		if d.rings.explain.Put(ctx, q) == nil {
			forwarded++
		}
	}
	_ = q.Reply.Put(ctx, message.ExplainAnswer{More: forwarded})
}

type managerDump struct {
	Open                 map[fleet.PartitionID]fleet.Epoch `json:"open"`
	BackendServers       int                               `json:"backend_servers"`
	ConfigurationVersion int64                             `json:"configuration_version"`
}

func (m *manager) dump() managerDump {
	d := managerDump{Open: map[fleet.PartitionID]fleet.Epoch{}, ConfigurationVersion: m.configuration.Version}
	for id, p := range m.open {
		d.Open[id] = p.holding.Epoch
	}
	for _, servers := range m.servers {
		d.BackendServers += len(servers)
	}
	return d
}
