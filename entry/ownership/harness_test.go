package ownership

import (
	"context"
	"slices"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lacewingfork.example/lacewingfork/decision/lease"
	"lacewingfork.example/lacewingfork/entry/message"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/supervise"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	stepInterval = 20 * time.Millisecond
	listInterval = 500 * time.Millisecond
	// settleTime is long enough for every partition of a new region to be held:
	// lease.Settings.W and the margin after an instance is listed, and a claim.
	settleTime = 15 * time.Second
)

// region connects several instances through a fake log, instance list and links.
// Only the duties run outside the test's goroutine.
type region struct {
	t          *testing.T
	nodes      []*node
	entries    []message.LogEntry
	logDown    bool
	servers    []fleet.BackendServer
	lastListAt time.Time
}

// node is one instance: its duty in a supervisor tree and the other ends of the
// duty's rings.
type node struct {
	instance     fleet.Instance
	rings        Rings
	holdings     *message.HoldingsRing
	lastHoldings message.Holdings
	holdingsLost int // number of times that all own leases were lost
	crash        chan struct{}
	cancel       context.CancelFunc
	tree         *supervise.Tree
	done         chan struct{}
	nextEntry    int // index of the next log entry to deliver
	stopped      bool
}

func newRegion(t *testing.T, instances int) *region {
	r := &region{t: t}
	for _, rack := range []fleet.Rack{"r1", "r2", "r3", "r4"} {
		r.servers = append(r.servers, fleet.BackendServer{ID: fleet.BackendServerID(rack), Region: "accra", DataCentre: "osu", Rack: rack})
	}
	r.servers = append(r.servers, fleet.BackendServer{ID: "far", Region: "takoradi", DataCentre: "port", Rack: "r1"})
	for i := range instances {
		r.start(fleet.Instance{ID: fleet.InstanceID('a' + rune(i)), Region: "accra"})
	}
	return r
}

func (r *region) start(id fleet.Instance) {
	n := &node{instance: id, rings: NewRings(), crash: make(chan struct{}, 1), done: make(chan struct{})}
	n.holdings = supervise.NewRing[message.Holdings]("holdings", 256, supervise.DropOldest)
	n.rings.Subscribers = []*message.HoldingsRing{n.holdings}
	n.rings.Appends = supervise.NewRing[message.Append]("appends", 64, supervise.Refuse)
	n.rings.Rewinds = supervise.NewRing[message.Rewind]("rewinds", 1, supervise.DropOldest)
	n.rings.SendRequests = supervise.NewRing[message.PromiseRequest]("requests", 64, supervise.DropOldest)
	n.rings.SendPromises = supervise.NewRing[message.Promise]("promises", 64, supervise.DropOldest)
	n.rings.SendGiveBacks = supervise.NewRing[message.GiveBack]("give-backs", 64, supervise.DropOldest)
	r.nodes = append(r.nodes, n)

	n.tree = supervise.NewTree("test", supervise.DefaultIntensity, func(supervise.Event) {})
	n.tree.Start(withCrash(New(Settings{Instance: id, Lease: lease.DefaultSettings()}, n.rings), n.crash))
	ctx, cancel := context.WithCancel(r.t.Context())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		_ = n.tree.Serve(ctx)
	}()
}

// withCrash returns a duty whose run panics after a receive from crash.
func withCrash(d supervise.Duty, crash <-chan struct{}) supervise.Duty {
	run := d.Run
	d.Run = func(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
		inner, cancel := context.WithCancel(ctx)
		defer cancel()
		crashed := make(chan bool, 1)
		go func() {
			select {
			case <-crash:
				crashed <- true
				cancel()
			case <-inner.Done():
				crashed <- false
			}
		}()
		err := run(inner, dumps)
		cancel()
		if <-crashed {
			panic("injected crash of the duty")
		}
		return err
	}
	return d
}

func (r *region) stop() {
	for _, n := range r.nodes {
		n.cancel()
		<-n.done
	}
}

// kill stops an instance. It stays on the list, and the leases that it published
// remain valid until they expire.
func (r *region) kill(n *node) {
	n.stopped = true
	n.cancel()
	<-n.done
}

// run delivers messages for the duration d and checks that no partition has two
// holders.
func (r *region) run(d time.Duration) {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		time.Sleep(stepInterval)
		for _, n := range r.nodes {
			r.deliver(n)
		}
		r.publishList()
		r.checkSingleHolder()
	}
}

// deliver processes the rewinds, appends and messages of an instance, sends it
// new log entries and records its last holdings.
func (r *region) deliver(n *node) {
	for len(n.rings.Rewinds.Items()) > 0 {
		n.nextEntry = int((<-n.rings.Rewinds.Items()).From)
	}
	for len(n.rings.Appends.Items()) > 0 {
		a := <-n.rings.Appends.Items()
		if r.logDown {
			_ = a.Result.Put(r.t.Context(), message.AppendResult{ID: a.ID, Err: context.DeadlineExceeded, Indeterminate: true})
			continue
		}
		r.entries = append(r.entries, message.LogEntry{Offset: fleet.Offset(len(r.entries)), ID: a.ID, Data: a.Data})
	}
	if !r.logDown && !n.stopped {
		batch := message.LogRecords{
			From: fleet.Offset(n.nextEntry), Next: fleet.Offset(len(r.entries)),
			Records: slices.Clone(r.entries[n.nextEntry:]), CaughtUp: true,
		}
		if n.rings.Log.Stats().Depth < 2 {
			_ = n.rings.Log.Put(r.t.Context(), batch)
			n.nextEntry = len(r.entries)
		}
	}
	r.deliverPeerMessages(n)
	for len(n.holdings.Items()) > 0 {
		h := <-n.holdings.Items()
		if len(h.Own) == 0 && len(n.lastHoldings.Own) > 0 {
			n.holdingsLost++
		}
		n.lastHoldings = h
	}
}

// deliverPeerMessages passes the messages of an instance to their receivers.
func (r *region) deliverPeerMessages(n *node) {
	for len(n.rings.SendRequests.Items()) > 0 {
		m := <-n.rings.SendRequests.Items()
		_ = r.node(m.Peer).rings.Requests.Put(r.t.Context(), message.PromiseRequest{Peer: n.instance.ID, PromiseRequest: m.PromiseRequest})
	}
	for len(n.rings.SendPromises.Items()) > 0 {
		m := <-n.rings.SendPromises.Items()
		_ = r.node(m.Peer).rings.Promises.Put(r.t.Context(), message.Promise{Peer: n.instance.ID, Promise: m.Promise})
	}
	for len(n.rings.SendGiveBacks.Items()) > 0 {
		m := <-n.rings.SendGiveBacks.Items()
		_ = r.node(m.Peer).rings.GiveBacks.Put(r.t.Context(), message.GiveBack{Peer: n.instance.ID, GiveBack: m.GiveBack})
	}
}

func (r *region) node(id fleet.InstanceID) *node {
	for _, n := range r.nodes {
		if n.instance.ID == id {
			return n
		}
	}
	r.t.Fatalf("instance %q is not in the region", id)
	return nil
}

// publishList sends every instance a list snapshot at each listInterval.
func (r *region) publishList() {
	if time.Since(r.lastListAt) < listInterval {
		return
	}
	r.lastListAt = time.Now()
	var instances []fleet.Instance
	for _, n := range r.nodes {
		instances = append(instances, n.instance)
	}
	for _, n := range r.nodes {
		_ = n.rings.Snapshots.Put(r.t.Context(), message.ListSnapshot{
			SampledAt: r.lastListAt, Instances: instances, BackendServers: r.servers,
		})
	}
}

// held returns the valid holdings that the instance published last.
func (n *node) held() map[fleet.PartitionID]fleet.Epoch {
	held := map[fleet.PartitionID]fleet.Epoch{}
	for _, h := range n.lastHoldings.Own {
		if time.Now().Before(h.Until) {
			held[h.Partition] = h.Epoch
		}
	}
	return held
}

// checkSingleHolder fails the test when two instances hold a partition.
func (r *region) checkSingleHolder() {
	holder := map[fleet.PartitionID]fleet.InstanceID{}
	for _, n := range r.nodes {
		for p := range n.held() {
			if other, twice := holder[p]; twice {
				r.t.Fatalf("partition %s is held by %s and %s", p, other, n.instance.ID)
			}
			holder[p] = n.instance.ID
		}
	}
}

// heldPartitions returns the number of partitions held by running instances.
func (r *region) heldPartitions() int {
	sum := 0
	for _, n := range r.nodes {
		if !n.stopped {
			sum += len(n.held())
		}
	}
	return sum
}
