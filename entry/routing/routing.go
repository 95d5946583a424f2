// Package routing holds the routing duty, started by the root supervisor.
//
// It owns the table of partitions and their holders, the load hints and the
// requests in flight. It hands each request to the partition duty of this
// instance or to the link of the instance that holds the chosen partition, and
// passes the one answer back. When it fails, requests in flight get an unknown
// outcome from the goroutines that wait for them, and the table is rebuilt from
// the next holdings and snapshot.
package routing

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"time"

	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/decision/routing"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/supervise"
)

const (
	// submissionCapacity holds what arrives while the duty handles a change
	// of the table; beyond it the instance is overloaded.
	submissionCapacity = 1024
	// answerCapacity is larger than what is answered within one scheduling
	// delay of the duty; partition duties wait when it is full.
	answerCapacity = 4096
	// maxAttempts bounds how many holders one request is offered to.
	maxAttempts = 3
	// hintInterval paces the load hints to other instances: half of the time
	// after which a hint no longer counts.
	hintInterval = time.Second
	// answerGrace is how long after the deadline an answer is waited for; it
	// covers the delay to another region and the holder's own timer.
	answerGrace = 250 * time.Millisecond
)

// Settings place the instance.
type Settings struct {
	Instance   fleet.InstanceID
	Region     fleet.Region
	DataCentre fleet.DataCentre
}

// Duty is the routing duty's outside: its input rings.
type Duty struct {
	settings Settings

	Submissions    *supervise.Ring[message.Submission]
	Snapshots      *message.SnapshotRing
	Holdings       *message.HoldingsRing
	Configurations *message.ConfigurationRing
	Partitions     *supervise.Ring[message.PartitionChange]
	Links          *supervise.Ring[message.LinkChange]
	Hints          *supervise.Ring[message.PeerHints]
	// Wanted asks the configuration duty for the version in force; set before
	// the tree serves.
	Wanted *supervise.Ring[message.ConfigurationWanted]
	// Metrics is set before the tree serves; nil counts nothing.
	Metrics  *Metrics
	answers  *supervise.Ring[message.Answer]
	ownHints *supervise.Ring[[]message.LoadHint]
	events   *supervise.Ring[message.Event]
}

// New returns the routing duty; Start puts it below a supervisor. ownHints
// takes the load of the partitions of this instance for the others.
func New(settings Settings, ownHints *supervise.Ring[[]message.LoadHint], events *supervise.Ring[message.Event]) *Duty {
	return &Duty{
		settings:       settings,
		Submissions:    supervise.NewRing[message.Submission]("routing.submissions", submissionCapacity, supervise.Refuse),
		Snapshots:      supervise.NewRing[message.ListSnapshot]("routing.snapshots", 1, supervise.DropOldest),
		Holdings:       supervise.NewRing[message.Holdings]("routing.holdings", 1, supervise.DropOldest),
		Configurations: supervise.NewRing[message.ConfigurationInForce]("routing.configurations", 1, supervise.DropOldest),
		Partitions:     supervise.NewRing[message.PartitionChange]("routing.partitions", 64, supervise.Wait),
		Links:          supervise.NewRing[message.LinkChange]("routing.links", 64, supervise.Wait),
		Hints:          supervise.NewRing[message.PeerHints]("routing.hints", 64, supervise.DropOldest),
		ownHints:       ownHints,
		answers:        supervise.NewRing[message.Answer]("routing.answers", answerCapacity, supervise.Wait),
		events:         events,
	}
}

// Start puts the duty below a supervisor.
func (d *Duty) Start(tree *supervise.Tree) {
	tree.Start(supervise.Duty{
		Name: "routing",
		Rings: []supervise.Measured{
			d.Submissions, d.Snapshots, d.Holdings, d.Configurations, d.Partitions, d.Links, d.Hints, d.answers,
		},
		Run: d.run,
	})
}

// router is the state of one run of the duty.
type router struct {
	*Duty
	state            *routing.State
	ownPartitions    map[fleet.PartitionID]message.PartitionOpened
	links            map[fleet.InstanceID]*supervise.Ring[message.Submission]
	holders          map[fleet.PartitionID]message.HolderView // own region
	announcedHolders map[fleet.PartitionID]message.HolderView // by the holders' hints
	knownPartitions  map[fleet.PartitionID]partitionInfo
	configuration    message.ConfigurationInForce
	snapshotFilter   message.ListFilter
	inFlight         map[fleet.RequestID]*pendingRequest
	expiries         expiryHeap
	lateAnswers      uint64
	rerouted         uint64
}

// partitionInfo sums up the backend servers of a partition.
type partitionInfo struct {
	region     fleet.Region
	dataCentre fleet.DataCentre
	slots      int
}

// pendingRequest is a request that was handed to a holder.
type pendingRequest struct {
	submission message.Submission
	partition  fleet.PartitionID
	tried      []fleet.PartitionID
	target     *supervise.Ring[message.Submission]
	expires    time.Time
	index      int // place in the expiry heap
}

func (d *Duty) run(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	r := &router{
		Duty:             d,
		state:            routing.New(d.settings.Region, d.settings.DataCentre, 0),
		ownPartitions:    map[fleet.PartitionID]message.PartitionOpened{},
		links:            map[fleet.InstanceID]*supervise.Ring[message.Submission]{},
		knownPartitions:  map[fleet.PartitionID]partitionInfo{},
		announcedHolders: map[fleet.PartitionID]message.HolderView{},
		inFlight:         map[fleet.RequestID]*pendingRequest{},
	}
	_ = d.Wanted.Put(ctx, message.ConfigurationWanted{Ring: d.Configurations})
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	ticker := time.NewTicker(hintInterval)
	defer ticker.Stop()
	for {
		timer.Reset(r.untilExpiry())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case s := <-d.Submissions.Items():
			r.submit(ctx, s)
		case a := <-d.answers.Items():
			r.handleAnswer(ctx, a)
		case h := <-d.Holdings.Items():
			r.holders = h.Holders
			r.rebuild()
		case s := <-d.Snapshots.Items():
			if r.snapshotFilter.Due(time.Now(), s) {
				r.applySnapshot(s.BackendServers)
				r.rebuild()
			}
		case c := <-d.Configurations.Items():
			r.configuration = c
			r.state.SetBudget(time.Now(), c.Value.Limits.RegionBytesPerSecond)
		case change := <-d.Partitions.Items():
			if r.applyPartitionChange(change) {
				r.rebuild()
			}
		case change := <-d.Links.Items():
			if r.applyLinkChange(change) {
				r.rebuild()
			}
		case hints := <-d.Hints.Items():
			r.observeHints(hints)
		case <-ticker.C:
			_ = d.ownHints.Put(ctx, r.ownLoadHints())
		case <-timer.C:
			r.expire()
		case request := <-dumps:
			request.Answer(r.dump())
		}
	}
}

func (r *router) submit(ctx context.Context, s message.Submission) {
	if s.Cancel {
		r.cancel(ctx, s)
		return
	}
	if r.inFlight[s.Request.ID] != nil {
		s.Deliver(message.Refuse(s.Request.ID, outcome.MalformedRequest, 0))
		return
	}
	f := &pendingRequest{submission: s, expires: s.Request.Deadline.Add(answerGrace)}
	r.route(ctx, f)
}

// route hands the request to a holder, or refuses it as not run when none can
// take it. A forwarded request and one bound to a partition by its key get one
// try.
func (r *router) route(ctx context.Context, f *pendingRequest) {
	s := f.submission
	reason := outcome.NoHolder
	for len(f.tried) < maxAttempts {
		var chosen routing.Candidate
		before := r.state.RegionBytes()
		chosen, reason = r.choose(f)
		r.Metrics.countRegionBytes(r.state.RegionBytes() - before)
		if reason != outcome.NoReason {
			break
		}
		target := r.target(chosen, s.Forwarded)
		if target == nil {
			reason = outcome.NotHolder
			break
		}
		f.partition = chosen.Partition
		f.tried = append(f.tried, chosen.Partition)
		onward := s
		onward.Partition = chosen.Partition
		onward.Reply = r.answers
		if err := target.Put(ctx, onward); err != nil {
			reason = outcome.RingFull
			continue
		}
		f.target = target
		r.state.Sent(chosen.Partition)
		r.inFlight[s.Request.ID] = f
		heap.Push(&r.expiries, f)
		return
	}
	s.Deliver(message.Refuse(s.Request.ID, reason, time.Second))
}

func (r *router) choose(f *pendingRequest) (routing.Candidate, outcome.Reason) {
	s := f.submission
	if s.Partition != "" {
		c, ok := r.state.Find(s.Partition)
		if !ok || len(f.tried) > 0 {
			return routing.Candidate{}, outcome.NoHolder
		}
		return c, outcome.NoReason
	}
	need := routing.Need{
		Deadline: s.Request.Deadline, Bytes: len(s.Request.Body), Tried: f.tried, Random: rand.Uint64(),
	}
	if r.configuration.Value != nil {
		need.Regions = r.configuration.Value.Regions(s.Request.Service)
	}
	return r.state.Choose(time.Now(), need)
}

// target returns the ring of the holder. A forwarded request goes only to a
// partition of this instance, so that it can't travel in a circle.
func (r *router) target(c routing.Candidate, forwarded bool) *supervise.Ring[message.Submission] {
	if own, ok := r.ownPartitions[c.Partition]; ok {
		return own.Submissions
	}
	if forwarded {
		return nil
	}
	return r.links[c.Holder]
}

func (r *router) handleAnswer(ctx context.Context, a message.Answer) {
	f := r.inFlight[a.ID]
	if f == nil {
		r.lateAnswers++
		r.Metrics.countLateAnswer()
		return
	}
	r.remove(f)
	r.state.Ended(f.partition, hintOf(a))
	if r.mayReroute(f, a) {
		r.rerouted++
		r.Metrics.countReroute(a.Reason)
		r.route(ctx, f)
		return
	}
	if !f.submission.Deliver(a) {
		r.lateAnswers++
		r.Metrics.countLateAnswer()
	}
}

// mayReroute allows another holder only when the request was not run, or may
// run again.
func (r *router) mayReroute(f *pendingRequest, a message.Answer) bool {
	s := f.submission
	if s.Forwarded || s.Partition != "" || len(f.tried) >= maxAttempts || !time.Now().Before(s.Request.Deadline) {
		return false
	}
	switch a.Outcome {
	case outcome.RefusedNotRun:
		return rerouteHelps(a.Reason)
	case outcome.Unknown:
		return s.Request.Idempotent && a.Reason == outcome.LinkLost
	default:
		return false
	}
}

// rerouteHelps is false for refusals that every holder would repeat.
func rerouteHelps(reason outcome.Reason) bool {
	switch reason {
	case outcome.NotHolder, outcome.NoCapacity, outcome.QueueFull, outcome.RingFull, outcome.Stopping,
		outcome.LeaseLapsed, outcome.ConnectFailed, outcome.LinkDown, outcome.DutyFailed, outcome.DeadlineExceeded:
		return true
	default:
		return false
	}
}

func hintOf(a message.Answer) routing.Hint {
	if a.Hint.Epoch == 0 {
		return routing.Hint{}
	}
	return routing.Hint{
		At: time.Now(), FreeSlots: a.Hint.FreeSlots, Waiting: a.Hint.Waiting, ExpectedWait: a.Hint.ExpectedWait,
	}
}

func (r *router) cancel(ctx context.Context, s message.Submission) {
	if f := r.inFlight[s.Request.ID]; f != nil {
		_ = f.target.Put(ctx, s)
	}
}

// expire ends the requests that got no answer in time. Their holder may have
// run them.
func (r *router) expire() {
	now := time.Now()
	for len(r.expiries) > 0 && !now.Before(r.expiries[0].expires) {
		f := r.expiries[0]
		r.remove(f)
		r.state.Ended(f.partition, routing.Hint{})
		f.submission.Deliver(message.Unknown(f.submission.Request.ID, outcome.BackendTimeout))
	}
}

func (r *router) remove(f *pendingRequest) {
	delete(r.inFlight, f.submission.Request.ID)
	heap.Remove(&r.expiries, f.index)
}

func (r *router) untilExpiry() time.Duration {
	if len(r.expiries) == 0 {
		return time.Hour
	}
	return max(time.Millisecond, time.Until(r.expiries[0].expires))
}

// expiryHeap orders flights by the time at which they expire.
type expiryHeap []*pendingRequest

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push is part of heap.Interface.
func (h *expiryHeap) Push(x any) {
	f := x.(*pendingRequest)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop is part of heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return f
}
