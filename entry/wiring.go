package entry

import (
	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"lacewingfork.example/lacewingfork/decision/lease"
	"lacewingfork.example/lacewingfork/entry/batch"
	"lacewingfork.example/lacewingfork/entry/callers"
	"lacewingfork.example/lacewingfork/entry/configuration"
	"lacewingfork.example/lacewingfork/entry/dispatch"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/entry/operations"
	"lacewingfork.example/lacewingfork/entry/ownership"
	"lacewingfork.example/lacewingfork/entry/peers"
	"lacewingfork.example/lacewingfork/entry/platform"
	"lacewingfork.example/lacewingfork/entry/routing"
	"lacewingfork.example/lacewingfork/entry/scheduling"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/internal/frontend"
	"lacewingfork.example/lacewingfork/platformapi"
	ownershiprecords "lacewingfork.example/lacewingfork/records/ownership"
	taskrecords "lacewingfork.example/lacewingfork/records/task"
	"lacewingfork.example/lacewingfork/settings"
	"lacewingfork.example/lacewingfork/supervise"
)

// streamConfiguration is the name of the configuration stream; see
// docs/PROTOCOLS.md.
const streamConfiguration = "configuration"

// providers builds each supervisor from the rings of those to which it sends. fx
// orders the constructors; rings that would make a dependency cycle have their
// own constructors.
var providers = fx.Options(
	fx.Provide(
		newMetrics, newOwnHints, newClients, newConfigurationRings, newOwnershipRings,
		newRouting, newPeers, newPlatform, newDispatch, newBatch, newScheduling, newCallers, newOperations, newStopper,
	),
	fx.Invoke(startOwnership, startConfiguration, startRouting, startBatch, startPlatform),
)

// ownHintRing receives the load hints of the partitions that this instance holds.
type ownHintRing = *supervise.Ring[[]message.LoadHint]

func newOwnHints() ownHintRing {
	return supervise.NewRing[[]message.LoadHint]("peers.own-hints", 1, supervise.DropOldest)
}

// metrics holds the metrics of every supervisor except operations.
type metrics struct {
	batch         *batch.Metrics
	callers       *callers.Metrics
	configuration *configuration.Metrics
	dispatch      *dispatch.Metrics
	ownership     *ownership.Metrics
	peers         *peers.Metrics
	platform      *platform.Metrics
	routing       *routing.Metrics
	scheduling    *scheduling.Metrics
}

func newMetrics(registry *prometheus.Registry) metrics {
	return metrics{
		batch: batch.NewMetrics(registry), callers: callers.NewMetrics(registry),
		configuration: configuration.NewMetrics(registry), dispatch: dispatch.NewMetrics(registry),
		ownership: ownership.NewMetrics(registry), peers: peers.NewMetrics(registry),
		platform: platform.NewMetrics(registry), routing: routing.NewMetrics(registry),
		scheduling: scheduling.NewMetrics(registry),
	}
}

// platformClients holds the clients of the platform's three interfaces.
type platformClients struct {
	log     platformapi.Log
	list    platformapi.InstanceList
	workers platformapi.Workers
}

func newClients(s settings.Settings) (platformClients, error) {
	var created [3]*platformapi.Client
	for i, url := range []string{s.Platform.Log, s.Platform.List, s.Platform.Workers} {
		client, err := platformapi.NewClient(platformapi.ClientSettings{BaseURL: url})
		if err != nil {
			return platformClients{}, err
		}
		created[i] = client
	}
	return platformClients{log: created[0], list: created[1], workers: created[2]}, nil
}

func newPlatform(
	clients platformClients, m metrics, s settings.Settings, rings *configuration.Rings, owner *ownership.Rings,
	route *routing.Duty, sched *scheduling.Supervisor, links *peers.Supervisor, ops *operations.Supervisor, ledger *batch.Supervisor,
) *platform.Platform {
	return platform.New(platform.Settings{
		Log: clients.log, List: clients.list, Workers: clients.workers, Metrics: m.platform,
		Streams: []platform.Stream{
			{Name: streamConfiguration, Folds: []*supervise.Ring[message.LogRecords]{rings.Log}, Rewinds: rings.Rewinds},
			{
				Name: ownershiprecords.Stream(s.Instance.Region), Folds: []*supervise.Ring[message.LogRecords]{owner.Log},
				Rewinds: owner.Rewinds,
			},
			{
				Name: taskrecords.Stream(s.Instance.Region), Folds: []*supervise.Ring[message.LogRecords]{ledger.Records},
				Rewinds: ledger.Rewinds(),
			},
		},
		Snapshots:   []*message.SnapshotRing{owner.Snapshots, route.Snapshots, sched.Snapshots, links.Snapshots, ops.Snapshots, ledger.Snapshots},
		UsageRegion: &platform.UsageRegion{Region: s.Instance.Region, Rings: []*message.UsageRing{sched.Usage, ledger.Usage}},
	})
}

// newConfigurationRings returns the rings of the configuration duty. The rings to
// other duties are set when it is started.
func newConfigurationRings() *configuration.Rings {
	rings := configuration.NewRings()
	rings.Rewinds = supervise.NewRing[message.Rewind]("configuration.rewinds", 1, supervise.DropOldest)
	return &rings
}

// newOwnershipRings returns the rings of the ownership duty. The rings to other
// duties are set when it is started.
func newOwnershipRings() *ownership.Rings {
	rings := ownership.NewRings()
	rings.Rewinds = supervise.NewRing[message.Rewind]("ownership.rewinds", 1, supervise.DropOldest)
	return &rings
}

func newRouting(s settings.Settings, m metrics, hints ownHintRing, events *supervise.Ring[message.Event]) *routing.Duty {
	config := routing.Settings{Instance: s.Instance.ID, Region: s.Instance.Region, DataCentre: s.Instance.DataCentre}
	duty := routing.New(config, hints, events)
	duty.Metrics = m.routing
	return duty
}

func newPeers(
	tree *supervise.Tree, m metrics, s settings.Settings, l *Listeners, route *routing.Duty, hints ownHintRing,
	rings *configuration.Rings, owner *ownership.Rings,
) *peers.Supervisor {
	config := peers.Settings{Instance: s.Instance.ID, Region: s.Instance.Region, DataCentre: s.Instance.DataCentre}
	receivers := peers.Receivers{
		Submissions: route.Submissions, Hints: route.Hints,
		ConfigurationRequests: rings.Requests, ConfigurationOffers: rings.Offers,
		PromiseRequests: owner.Requests, Promises: owner.Promises, GiveBacks: owner.GiveBacks,
	}
	links := peers.New(tree, config, l.Peers, receivers, route.Links, hints)
	links.Metrics = m.peers
	return links
}

func newDispatch(tree *supervise.Tree, m metrics, s settings.Settings) *dispatch.Supervisor {
	dispatcher := dispatch.New(tree, s.Limits.ConnectionMaxAge)
	dispatcher.Metrics = m.dispatch
	return dispatcher
}

func newScheduling(
	tree *supervise.Tree, m metrics, dispatcher *dispatch.Supervisor, route *routing.Duty, owner *ownership.Rings,
	events *supervise.Ring[message.Event], ledger *batch.Supervisor,
) *scheduling.Supervisor {
	sched := scheduling.New(tree, dispatcher, route.Partitions, owner.Relinquish, events, ledger.Signals)
	sched.Metrics = m.scheduling
	return sched
}

func newBatch(s settings.Settings, m metrics, clients platformClients, events *supervise.Ring[message.Event]) *batch.Supervisor {
	return batch.New(batch.Settings{
		Instance: s.Instance.ID, Region: s.Instance.Region, Workers: clients.workers, Events: events, Metrics: m.batch,
		Rewinds: supervise.NewRing[message.Rewind]("batch.rewinds", 1, supervise.DropOldest),
	})
}

func startBatch(tree *supervise.Tree, ledger *batch.Supervisor, p *platform.Platform) {
	ledger.Start(tree, p.Appends())
}

// instanceMemory is the memory of an instance, in bytes.
const instanceMemory = 256 << 20

func newCallers(
	tree *supervise.Tree, s settings.Settings, l *Listeners, route *routing.Duty, m metrics, ledger *batch.Supervisor,
	registry *prometheus.Registry, logger *log.Logger,
) *callers.Supervisor {
	config := callers.Settings{
		Instance: s.Instance.ID, StopTimeout: s.Process.StopTimeout,
		MaxBodyBytes: s.Limits.BodyBytes, MaxHeaderBytes: s.Limits.HeaderBytes, MaxDeadline: s.Limits.MaxDeadline,
		HeaderTimeout: s.Limits.HeaderTime, IdleTimeout: s.Limits.IdleTime,
		Limits: frontend.NewLimits(frontend.Settings{
			Connections: s.Limits.Connections, Bytes: int64(s.Limits.BodyMiB) << 20, BodyTime: s.Limits.BodyTime,
			BodyRate: int64(s.Limits.BodyRate), WriteTimeout: s.Limits.ResponseTime,
		}, instanceMemory, frontend.Descriptors()),
		Log: func(event string, pairs ...any) {
			logger.Warn("clients were cut off", append([]any{"event", event}, pairs...)...)
		},
	}
	return callers.New(
		tree, config, l.Callers, route.Submissions, m.callers, registry, callers.RegisterJobs(ledger.Commands),
	)
}

func newOperations(
	tree *supervise.Tree, s settings.Settings, l *Listeners, events *supervise.Ring[message.Event],
	registry *prometheus.Registry, shutdowner fx.Shutdowner, sched *scheduling.Supervisor,
) *operations.Supervisor {
	config := operations.Settings{
		Instance: s.Instance.ID, Region: s.Instance.Region, DataCentre: s.Instance.DataCentre,
		History: s.Limits.ExplanationHistory,
	}
	return operations.New(tree, config, l.Operations, events, registry, func() { _ = shutdowner.Shutdown() }, sched.ExplainQueries)
}

func startOwnership(
	tree *supervise.Tree, m metrics, s settings.Settings, l *Listeners, owner *ownership.Rings, p *platform.Platform, links *peers.Supervisor,
	route *routing.Duty, sched *scheduling.Supervisor, ops *operations.Supervisor, ledger *batch.Supervisor,
) {
	owner.Subscribers = []*message.HoldingsRing{route.Holdings, sched.Holdings, ops.Holdings, ledger.Holdings}
	owner.Appends, owner.Events = p.Appends(), ops.Events
	owner.SendRequests, owner.SendPromises, owner.SendGiveBacks = links.PromiseRequests, links.Promises, links.GiveBacks
	duty := ownership.New(ownership.Settings{
		Instance: fleet.Instance{
			ID: s.Instance.ID, Region: s.Instance.Region, DataCentre: s.Instance.DataCentre,
			PeerAddress: advertised(s.Listen, l),
		},
		Lease: leaseSettings(s.Lease), Metrics: m.ownership,
	}, *owner)
	tree.Child("ownership", supervise.DefaultIntensity).Start(duty)
}

// leaseSettings returns the lease settings. Times that cannot be configured keep
// their defaults, except that the renewal interval stays a quarter of the TTL.
func leaseSettings(s settings.Lease) lease.Settings {
	l := lease.DefaultSettings()
	l.TTL, l.ListLag, l.ListStale, l.Margin = s.TTL, s.ListLag, s.ListAge, s.Margin
	l.RenewEvery = s.TTL / 4
	return l
}

func startConfiguration(
	tree *supervise.Tree, m metrics, s settings.Settings, rings *configuration.Rings, p *platform.Platform,
	route *routing.Duty, sched *scheduling.Supervisor, callerServer *callers.Supervisor, ops *operations.Supervisor,
	links *peers.Supervisor, ledger *batch.Supervisor,
) {
	rings.Subscribers = []*message.ConfigurationRing{
		route.Configurations, sched.Configurations, callerServer.Configurations, ops.Configurations, ledger.Configurations,
	}
	route.Resends, sched.Resends, callerServer.Resends, ops.Resends = rings.Resends, rings.Resends, rings.Resends, rings.Resends
	ledger.Resends = rings.Resends
	rings.Appends = p.Appends()
	rings.PeerRequests = links.ConfigurationRequests
	dutySettings := configuration.DefaultSettings(s.Instance.ID)
	dutySettings.Metrics = m.configuration
	duty := configuration.New(dutySettings, *rings)
	tree.Child("configuration", supervise.DefaultIntensity).Start(duty)
}

func startRouting(tree *supervise.Tree, route *routing.Duty) { route.Start(tree) }

// startPlatform starts the duties of the platform package. It is the last to be
// invoked, because these duties send to all others.
func startPlatform(tree *supervise.Tree, p *platform.Platform) {
	p.Start(tree.Child("platform", supervise.DefaultIntensity))
}
