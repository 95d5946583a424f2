package entry

import (
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

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
	"lacewingfork.example/lacewingfork/peerpb"
	"lacewingfork.example/lacewingfork/platformapi"
	"lacewingfork.example/lacewingfork/settings"
	"lacewingfork.example/lacewingfork/supervise"
)

// Names of the streams; see docs/PROTOCOLS.md.
const streamConfiguration = "configuration"

// providers builds each supervisor from the rings of those that it feeds. fx
// orders the constructors; the rings that close a circle are provided on their
// own.
var providers = fx.Options(
	fx.Provide(
		newOwnHints, newClients, newConfigurationRings, newOwnership,
		newRouting, newPeers, newPlatform, dispatch.New, newScheduling, newCallers, newOperations, newStopper,
	),
	fx.Invoke(startOwnership, startConfiguration, startRouting, startPlatform),
)

type ownHintsRing = *supervise.Ring[[]message.LoadHint]

func newOwnHints() ownHintsRing {
	return supervise.NewRing[[]message.LoadHint]("peers.own-hints", 1, supervise.DropOldest)
}

// platformClients are the clients of the platform's three interfaces.
type platformClients struct {
	log     platformapi.Log
	list    platformapi.InstanceList
	workers platformapi.Workers
}

func newClients(s settings.Settings) (platformClients, error) {
	var made [3]*platformapi.Client
	for i, url := range []string{s.Platform.Log, s.Platform.List, s.Platform.Workers} {
		client, err := platformapi.NewClient(platformapi.ClientSettings{BaseURL: url})
		if err != nil {
			return platformClients{}, err
		}
		made[i] = client
	}
	return platformClients{log: made[0], list: made[1], workers: made[2]}, nil
}

func newPlatform(
	clients platformClients, s settings.Settings, rings *configuration.Rings, owner *ownership.Duty,
	route *routing.Duty, sched *scheduling.Supervisor, links *peers.Supervisor, ops *operations.Supervisor,
) *platform.Platform {
	return platform.New(platform.Settings{
		Log: clients.log, List: clients.list, Workers: clients.workers,
		Streams: []platform.Stream{{
			Name: streamConfiguration, Folds: []*supervise.Ring[message.LogRecords]{rings.Log}, Rewinds: rings.Rewinds,
		}},
		Snapshots: []*message.SnapshotRing{owner.Snapshots, route.Snapshots, sched.Snapshots, links.Snapshots, ops.Snapshots},
		Usage:     []platform.UsageSubscription{{DataCentre: s.Instance.DataCentre, Ring: sched.Usage}},
	})
}

// newConfigurationRings returns the rings of the configuration duty; those that
// lead to other duties are set when it is started.
func newConfigurationRings() *configuration.Rings {
	rings := configuration.NewRings()
	rings.Rewinds = supervise.NewRing[message.Rewind]("configuration.rewinds", 1, supervise.DropOldest)
	return &rings
}

func newOwnership(s settings.Settings) *ownership.Duty {
	return ownership.New(s.Instance.ID, s.Instance.Region)
}

func newRouting(s settings.Settings, hints ownHintsRing, events *supervise.Ring[message.Event]) *routing.Duty {
	place := routing.Settings{Instance: s.Instance.ID, Region: s.Instance.Region, DataCentre: s.Instance.DataCentre}
	return routing.New(place, hints, events)
}

func newPeers(
	tree *supervise.Tree, s settings.Settings, l *Listeners, route *routing.Duty, hints ownHintsRing,
	rings *configuration.Rings,
) *peers.Supervisor {
	place := peers.Settings{Instance: s.Instance.ID, Region: s.Instance.Region, DataCentre: s.Instance.DataCentre}
	receivers := peers.Receivers{
		Submissions: route.Submissions, Hints: route.Hints,
		ConfigurationRequests: rings.Requests, ConfigurationOffers: rings.Offers,
		Control: func(fleet.InstanceID, *peerpb.Frame) {},
	}
	return peers.New(tree, place, l.Peers, receivers, route.Links, hints)
}

func newScheduling(
	tree *supervise.Tree, lines *dispatch.Supervisor, route *routing.Duty, owner *ownership.Duty,
	events *supervise.Ring[message.Event],
) *scheduling.Supervisor {
	return scheduling.New(tree, lines, route.Partitions, owner.Relinquish, events)
}

func newCallers(
	tree *supervise.Tree, s settings.Settings, l *Listeners, route *routing.Duty, registry *prometheus.Registry,
) *callers.Supervisor {
	place := callers.Settings{Instance: s.Instance.ID, StopTimeout: s.Process.StopTimeout}
	var routes []func(*mux.Router)
	return callers.New(tree, place, l.Callers, route.Submissions, callers.NewMetrics(registry), routes...)
}

func newOperations(
	tree *supervise.Tree, s settings.Settings, l *Listeners, events *supervise.Ring[message.Event],
	registry *prometheus.Registry, shutdowner fx.Shutdowner, sched *scheduling.Supervisor,
) *operations.Supervisor {
	place := operations.Settings{Instance: s.Instance.ID, Region: s.Instance.Region, DataCentre: s.Instance.DataCentre}
	return operations.New(tree, place, l.Operations, events, registry, func() { _ = shutdowner.Shutdown() }, sched.Explains)
}

func startOwnership(
	tree *supervise.Tree, owner *ownership.Duty, route *routing.Duty, sched *scheduling.Supervisor, ops *operations.Supervisor,
) {
	owner.Subscribers = []*message.HoldingsRing{route.Holdings, sched.Holdings, ops.Holdings}
	owner.Start(tree.Child("ownership", supervise.DefaultIntensity))
}

func startConfiguration(
	tree *supervise.Tree, s settings.Settings, rings *configuration.Rings, appends *platform.Platform,
	route *routing.Duty, sched *scheduling.Supervisor, front *callers.Supervisor, ops *operations.Supervisor,
	links *peers.Supervisor,
) {
	rings.Subscribers = []*message.ConfigurationRing{
		route.Configurations, sched.Configurations, front.Configurations, ops.Configurations,
	}
	rings.Appends = appends.Appends()
	rings.Asks = links.ConfigurationAsks
	duty := configuration.New(configuration.DefaultSettings(s.Instance.ID), *rings)
	tree.Child("configuration", supervise.DefaultIntensity).Start(duty)
}

func startRouting(tree *supervise.Tree, route *routing.Duty) { route.Start(tree) }

// startPlatform starts the duties that feed all others last.
func startPlatform(tree *supervise.Tree, p *platform.Platform) {
	p.Start(tree.Child("platform", supervise.DefaultIntensity))
}
