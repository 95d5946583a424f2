package scheduler

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"lacewingfork.example/lacewingfork/decision/cell"
	"lacewingfork.example/lacewingfork/decision/congestion"
	"lacewingfork.example/lacewingfork/internal/clock"
	"lacewingfork.example/lacewingfork/internal/frontend"
	"lacewingfork.example/lacewingfork/records/cellrecord"
	"lacewingfork.example/lacewingfork/scheduler/api"
	"lacewingfork.example/lacewingfork/scheduler/callers"
	"lacewingfork.example/lacewingfork/scheduler/election"
	"lacewingfork.example/lacewingfork/scheduler/holder"
	"lacewingfork.example/lacewingfork/scheduler/logs"
	"lacewingfork.example/lacewingfork/scheduler/message"
	"lacewingfork.example/lacewingfork/scheduler/operations"
	"lacewingfork.example/lacewingfork/scheduler/peers"
	"lacewingfork.example/lacewingfork/scheduler/settings"
	"lacewingfork.example/lacewingfork/scheduler/store"
	"lacewingfork.example/lacewingfork/scheduler/workers"
	"lacewingfork.example/lacewingfork/supervise"
)

// providers builds each supervisor. Rings that form a cycle between supervisors
// are created separately and joined by connect.
var providers = fx.Options(
	fx.Provide(
		holder.NewRings, election.NewRings, peers.NewRings,
		newConfigurations, newOperations, newCallers, newPeers, newStopper,
	),
	fx.Invoke(connect),
)

func newConfigurations(p api.Platform, lines *logs.Log) *store.Configurations {
	return store.NewConfigurations(p.Records, lines)
}

func newOperations(tree *supervise.Tree, l *Listeners, lines *logs.Log, registry *prometheus.Registry) *operations.Supervisor {
	return operations.New(tree, l.Operations, lines, registry)
}

func newCallers(
	tree *supervise.Tree, s settings.Settings, l *Listeners, p api.Platform, c *clock.Clock, lines *logs.Log, rings *peers.Rings,
	registry *prometheus.Registry,
) *callers.Supervisor {
	return callers.New(tree, callersSettings(s), l.Callers, p.Callers, c, lines, rings, registry)
}

const mebibyte = 1 << 20 // bytes

func callersSettings(all settings.Settings) callers.Settings {
	s := all.Callers
	return callers.Settings{
		HeaderTimeout: s.HeaderTime, IdleTimeout: s.IdleTime,
		Limits: frontend.NewLimits(frontend.Settings{
			Connections: s.Connections, Bytes: int64(s.BodyMiB) * mebibyte, BodyTime: s.BodyTime, BodyRate: int64(s.BodyRate),
			WriteTimeout: s.ResponseTime,
		}, int64(all.Instance.MemoryMiB)*mebibyte, frontend.Descriptors()),
	}
}

func newPeers(tree *supervise.Tree, s settings.Settings, l *Listeners, rings *peers.Rings, c *clock.Clock, lines *logs.Log) *peers.Supervisor {
	return peers.New(tree, peers.Settings{Instance: s.Instance.ID, Address: s.Listen.Peers}, l.Peers, rings, c, lines)
}

// components are the inputs of connect.
type components struct {
	fx.In
	Tree           *supervise.Tree
	Settings       settings.Settings
	Platform       api.Platform
	Clock          *clock.Clock
	Log            *logs.Log
	Registry       *prometheus.Registry
	Holder         *holder.Rings
	Election       *election.Rings
	PeerRings      *peers.Rings
	Peers          *peers.Supervisor
	Callers        *callers.Supervisor
	Operations     *operations.Supervisor
	Configurations *store.Configurations
}

// connect joins the rings of the supervisors and starts the duties that need
// rings of others.
func connect(p components) {
	storeTree := p.Tree.Child("store", supervise.DefaultIntensity)
	writer := store.NewWriter(storeTree, p.Platform.Store, p.Clock, p.Log, p.Holder.AppendResults, p.Registry)
	servers := store.NewServers(storeTree, p.Platform.Store, p.Platform.Records, p.Log, p.Holder.ServerChanges)
	evacuations := store.NewEvacuations(storeTree, p.Platform.Store, p.Platform.Records, p.Clock, p.Log, p.Holder.FollowEvacuations, p.Holder.Evacuations)
	workerCalls := workers.New(p.Tree, p.Platform.Workers, p.Platform.Advisor, p.Clock, p.Holder.WorkerEvents, p.Registry)

	p.Holder.Orders, p.Holder.Holds = workerCalls.Orders, workerCalls.Holds
	p.Holder.Appends, p.Holder.FollowServers = writer.Appends, servers.Follow
	p.Holder.RoleEnded, p.Holder.Handovers = p.Election.RoleEnded, p.PeerRings.StartHandover
	p.Holder.Statuses = []*supervise.Ring[holder.Status]{p.PeerRings.LinkTableStatus, p.PeerRings.RouterStatus}

	p.Election.Elected = p.Holder.Elected
	p.Election.Holders = []*supervise.Ring[message.Holder]{p.PeerRings.Holders}
	p.Election.StoreOutage = p.PeerRings.StoreOutage
	p.Election.Members = []*supervise.Ring[[]cellrecord.Member]{p.PeerRings.Members, p.Holder.Members}

	p.PeerRings.LinkChanges, p.PeerRings.Announcements = p.Election.LinkChanges, p.Election.Announcements
	p.PeerRings.HolderHeartbeats, p.PeerRings.Handovers = p.Election.HolderHeartbeats, p.Election.Handovers
	p.PeerRings.Offers, p.PeerRings.Followed = p.Configurations.Offers, p.Configurations.Followed
	p.PeerRings.PeerProgress, p.Configurations.Progress = p.Configurations.PeerProgress, p.PeerRings.Progress
	p.PeerRings.Linked = p.Operations.Linked
	p.PeerRings.HolderRequests, p.PeerRings.PeerHeartbeats = p.Holder.Requests, p.Holder.Heartbeats

	p.Configurations.Subscribers = []*message.ConfigurationRing{
		p.Callers.Configurations, p.Operations.Configurations, p.Holder.Configurations,
		p.PeerRings.Configurations, p.Peers.Configurations(),
	}
	p.Configurations.OtherRecords = evacuations.Records
	p.Configurations.Start(storeTree, p.Platform.Store)
	holder.New(p.Holder, p.Settings.Instance.ID, cellSettings(p.Settings), p.Clock, p.Log, p.Registry).Start(p.Tree)
	election.New(p.Election, electionSettings(p.Settings), p.Platform.Store, p.Clock, p.Log).Start(p.Tree)
	p.Peers.Start()
}

// maxEvacuationAge is the age of the evacuation requests from which no start is ordered.
// The platform allows 5 s from a request to the last start; a start that waits for its
// call, and the call, take up to 1.5 s of it.
const maxEvacuationAge = 3 * time.Second

// workerLease is how long a worker runs its tasks without a hold from a holder.
// It exceeds a takeover, which takes two to three seconds. The work of a failed
// worker is rescheduled only after the lease has expired.
const workerLease = 8 * time.Second

const bytesPerMbit = 1e6 / 8

func cellSettings(all settings.Settings) cell.Settings {
	b, s := all.Bounds, cell.DefaultSettings()
	s.Capacity = congestion.Capacity{BytesPerSecond: all.Instance.LinkMbps * bytesPerMbit, Processor: all.Instance.Processor}
	s.MaxLease, s.Lease = b.LeaseMax, min(workerLease, b.LeaseMax)
	s.MaxEvacuationAge = maxEvacuationAge
	s.StatusRetention, s.MaxTimeOverTarget, s.RemoteFactor = b.StatusKept, b.Impact, b.RemoteFactor
	s.Regions = all.Regions()
	uneven := all.HasContract(settings.ContractPlaces)
	s.TriageByCost, s.ServingRoom, s.UnevenDemand = uneven, all.Decisions.ServingRoom, uneven
	return s
}

func electionSettings(s settings.Settings) election.Settings {
	return election.Settings{
		Instance: s.Instance.ID, Region: s.Instance.Region, Address: s.Listen.Peers, Processor: s.Instance.Processor,
	}
}
