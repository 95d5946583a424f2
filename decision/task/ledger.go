package task

import (
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// Settings are the durations and bounds of a Ledger.
type Settings struct {
	Instance fleet.InstanceID
	Region   fleet.Region
	// Lease is the time for which a worker runs a task without a renewal. It
	// exceeds the 10 s that the takeover of a partition may take, so that
	// running tasks survive a takeover.
	Lease time.Duration
	// RenewEvery is the interval between renewals of a worker's leases.
	RenewEvery time.Duration
	// CallTimeout bounds the duration of a worker call.
	CallTimeout time.Duration
	// Margin is the allowance for clock drift between this instance and the
	// workers.
	Margin time.Duration
	// PartitionWait is the time that a task waits for each partition in its
	// order of preference before the next partition may start it too.
	PartitionWait time.Duration
	// ReadBackTimeout is the time within which an appended record has to be
	// read back. If the log returns nothing for that time it is considered
	// unresponsive, and only probes are offered.
	ReadBackTimeout time.Duration
	// TooLargeAfter is the time for which a job has to exceed every listed
	// backend server before it is set aside, so that a rack that is briefly
	// missing from the list has no such effect.
	TooLargeAfter time.Duration
	// MaxCalls bounds the calls in flight and is the capacity of the runners'
	// ring. CallsPerServer bounds the calls in flight to one worker, so that an
	// unresponsive worker blocks only a few runners.
	MaxCalls       int
	CallsPerServer int
	// StartTimeout is the time after which a start that was not read back is
	// abandoned and its reservation released. It is long, so that tasks start
	// while the log is slow.
	StartTimeout time.Duration
	// OffersPerPartition bounds the unanswered offers plus the starts that are
	// not read back.
	OffersPerPartition int
	// SnapshotRecords is the minimum number of records between snapshots.
	// SnapshotAge is the age of the last snapshot after which one is written
	// for fewer records.
	SnapshotRecords int
	SnapshotAge     time.Duration
}

// DefaultSettings returns the settings of an entry instance.
func DefaultSettings(instance fleet.InstanceID, region fleet.Region) Settings {
	return Settings{
		Instance: instance, Region: region,
		Lease: 15 * time.Second, RenewEvery: 3 * time.Second,
		CallTimeout: 3 * time.Second, Margin: time.Second,
		PartitionWait: 2 * time.Second, ReadBackTimeout: 2 * time.Second,
		TooLargeAfter: 30 * time.Second, StartTimeout: 20 * time.Second,
		MaxCalls: 1024, CallsPerServer: 2, OffersPerPartition: 64,
		SnapshotRecords: 50_000, SnapshotAge: 2 * time.Minute,
	}
}

// Ledger plans the batch work of one entry instance. It is not safe for concurrent
// use. After each input the owner calls Step, which returns the actions to
// perform, and calls Step again no later than NextStep.
type Ledger struct {
	settings Settings
	fold     *Fold
	out      Actions
	timers   timers

	rebuild     rebuild
	pending     map[string]*pendingAppend
	queuedParts []Append // snapshot parts not appended yet
	outage      logOutage

	holdings   map[fleet.PartitionID]*holding
	proposals  map[Ref]*proposal
	servers    map[fleet.BackendServerID]*server // of the held partitions
	listed     []fleet.BackendServer             // the region's
	eligible   map[fleet.Resources][]fleet.PartitionID
	shares     map[fleet.Team]float64
	queues     map[fleet.JobID]*jobQueue
	teamQueues map[fleet.Team][]*jobQueue
	offered    map[fleet.Team]int // slots of proposals, by team

	calls                int
	nextCall             uint64
	recordsSinceSnapshot int
	lastSnapshotAt       time.Time
	snapshotDue          bool
	tooLargeSince        map[fleet.JobID]time.Time
}

// holding is a partition that this instance holds.
type holding struct {
	partition fleet.PartitionID
	epoch     fleet.Epoch
	until     time.Time
	takenAt   time.Time
	// ready is set once the Held record was read back. From then on the fold
	// contains every start of earlier epochs that can be accepted.
	ready    bool
	servers  []*server
	offers   int // proposals of the partition that are not read back
	declined []declined
	// nextScanAt is the earliest time of the next scan, set after one that found no
	// task to offer.
	nextScanAt time.Time
}

// declined marks a task size that the partition had no room for.
type declined struct {
	resources fleet.Resources
	until     time.Time
}

// NewLedger returns a Ledger with empty state.
func NewLedger(now time.Time, s Settings) *Ledger {
	l := &Ledger{
		settings: s, fold: NewFold(), lastSnapshotAt: now,
		pending:  map[string]*pendingAppend{},
		holdings: map[fleet.PartitionID]*holding{}, proposals: map[Ref]*proposal{},
		servers:  map[fleet.BackendServerID]*server{},
		eligible: map[fleet.Resources][]fleet.PartitionID{},
		shares:   map[fleet.Team]float64{},
		queues:   map[fleet.JobID]*jobQueue{}, teamQueues: map[fleet.Team][]*jobQueue{},
		offered:       map[fleet.Team]int{},
		tooLargeSince: map[fleet.JobID]time.Time{},
		// Call IDs must not repeat after a restart of the duty, so that late
		// results of earlier calls do not match.
		nextCall: uint64(now.UnixNano()),
	}
	l.timers.add(now.Add(time.Second), l.checkTooLarge)
	return l
}

// Fold returns the state derived from the records. The caller must not retain or
// modify it.
func (l *Ledger) Fold() *Fold { return l.fold }

// Ready reports whether the state was rebuilt and has caught up with the log once.
func (l *Ledger) Ready() bool { return l.rebuild.done && l.rebuild.caughtUp }

// LogUnresponsive reports whether the log has stopped returning appended records.
func (l *Ledger) LogUnresponsive() bool { return l.outage.since != (time.Time{}) }

// Step runs the timers that are due and returns the actions to perform.
func (l *Ledger) Step(now time.Time) Actions {
	l.timers.fire(now)
	if l.Ready() {
		l.offerTasks(now)
		l.checkSnapshot(now)
	}
	out := l.out
	l.out = Actions{}
	return out
}

// NextStep returns when Step is due next; the zero time means never.
func (l *Ledger) NextStep() time.Time { return l.timers.due() }

// SetTeams sets the teams' shares, from 0 to 1.
func (l *Ledger) SetTeams(shares map[fleet.Team]float64) { l.shares = shares }

// SetHoldings replaces the set of partitions that this instance holds.
func (l *Ledger) SetHoldings(now time.Time, held []Holding) {
	kept := map[fleet.PartitionID]bool{}
	for _, h := range held {
		kept[h.Partition] = true
		known := l.holdings[h.Partition]
		if known != nil && known.epoch == h.Epoch {
			known.until = h.Until
			continue
		}
		if known != nil {
			l.dropHolding(known)
		}
		l.addHolding(now, h)
	}
	for id, h := range l.holdings {
		if !kept[id] {
			l.dropHolding(h)
		}
	}
}

// Holding is a partition that this instance holds until its lease ends.
type Holding struct {
	Partition fleet.PartitionID
	Epoch     fleet.Epoch
	Until     time.Time
}

func (l *Ledger) addHolding(now time.Time, from Holding) {
	h := &holding{
		partition: from.Partition, epoch: from.Epoch, until: from.Until, takenAt: now,
	}
	l.holdings[h.partition] = h
	l.appendHeld(now, h)
}

// appendHeld appends the Held record. If the fold already has it, the partition is
// opened at once: a restarted duty holds its partitions under the same epoch.
func (l *Ledger) appendHeld(now time.Time, h *holding) {
	if !l.Ready() || l.holdings[h.partition] != h {
		return
	}
	if l.fold.Epoch(h.partition) == h.epoch {
		l.openHolding(now, h)
		return
	}
	l.append(now, Record{Kind: Held, Partition: h.partition, Epoch: h.epoch})
}

// Epoch returns the newest recorded epoch of a partition, or 0.
func (f *Fold) Epoch(p fleet.PartitionID) fleet.Epoch {
	n, ok := f.partitions.numbers[p]
	if !ok {
		return 0
	}
	return f.epochs[n]
}

// dropHolding removes a partition that is no longer held. Its tasks keep running
// and are adopted by the next holder.
func (l *Ledger) dropHolding(h *holding) {
	for _, p := range l.proposals {
		if p.holding == h {
			l.withdraw(p)
		}
	}
	for _, s := range h.servers {
		l.calls -= len(s.inFlight)
		if l.servers[s.id] == s {
			delete(l.servers, s.id)
		}
	}
	for id, p := range l.pending {
		if p.record.Partition == h.partition && p.record.Epoch == h.epoch {
			delete(l.pending, id)
		}
	}
	delete(l.holdings, h.partition)
}

// SetServers updates the region's backend servers from the instance list and
// evicts the tasks of servers that are leaving.
func (l *Ledger) SetServers(now time.Time, listed []fleet.BackendServer) {
	var regional []fleet.BackendServer
	for _, s := range listed {
		if s.Region == l.settings.Region {
			regional = append(regional, s)
		}
	}
	if !slices.Equal(regional, l.listed) { // most lists repeat the one before
		l.listed = regional
		l.refreshEligible(now)
	}
	for _, s := range l.listed {
		h := l.holdings[s.Partition()]
		if h == nil || !h.ready {
			continue
		}
		known := l.serverOf(now, h, s.ID)
		if s.Leaving {
			l.evictAll(now, known)
		}
	}
}
