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
	pumpEvery = 20 * time.Millisecond
	listEvery = 500 * time.Millisecond
	// settled is a time after which every partition of a fresh region is held:
	// W and the margin on the list, and a claim.
	settled = 15 * time.Second
)

// region is some instances around one fake log, list and set of links. All of
// it runs on the test's goroutine but for the duties.
type region struct {
	t       *testing.T
	nodes   []*node
	entries []message.LogEntry
	logDown bool
	servers []fleet.BackendServer
	listed  time.Time
}

// node is one instance: its duty in a tree, and the other ends of its rings.
type node struct {
	id       fleet.Instance
	rings    Rings
	holdings *message.HoldingsRing
	last     message.Holdings
	empty    int // Holdings without own leases that followed some with
	crash    chan struct{}
	cancel   context.CancelFunc
	tree     *supervise.Tree
	done     chan struct{}
	next     int // next log index to read
	gone     bool
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
	n := &node{id: id, rings: NewRings(), crash: make(chan struct{}, 1), done: make(chan struct{})}
	n.holdings = supervise.NewRing[message.Holdings]("holdings", 256, supervise.DropOldest)
	n.rings.Subscribers = []*message.HoldingsRing{n.holdings}
	n.rings.Appends = supervise.NewRing[message.Append]("appends", 64, supervise.Refuse)
	n.rings.Rewinds = supervise.NewRing[message.Rewind]("rewinds", 1, supervise.DropOldest)
	n.rings.SendRequests = supervise.NewRing[message.PromiseRequest]("requests", 64, supervise.DropOldest)
	n.rings.SendPromises = supervise.NewRing[message.Promise]("promises", 64, supervise.DropOldest)
	n.rings.SendGiveBacks = supervise.NewRing[message.GiveBack]("give-backs", 64, supervise.DropOldest)
	r.nodes = append(r.nodes, n)

	n.tree = supervise.NewTree("test", supervise.DefaultIntensity, func(supervise.Event) {})
	n.tree.Start(crashing(NewLeaseDuty(Settings{Instance: id, Lease: lease.DefaultSettings()}, n.rings), n.crash))
	ctx, cancel := context.WithCancel(r.t.Context())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		_ = n.tree.Serve(ctx)
	}()
}

// crashing makes a run of the duty end with a panic when told to.
func crashing(d supervise.Duty, crash <-chan struct{}) supervise.Duty {
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
			panic("told to crash")
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

// kill ends an instance; it stays on the list, and the leases that it
// published count until their end.
func (r *region) kill(n *node) {
	n.gone = true
	n.cancel()
	<-n.done
}

// run carries messages for a while and checks that no partition has two
// holders.
func (r *region) run(d time.Duration) {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		time.Sleep(pumpEvery)
		for _, n := range r.nodes {
			r.pump(n)
		}
		r.list()
		r.check()
	}
}

func (r *region) pump(n *node) {
	for len(n.rings.Rewinds.Items()) > 0 {
		n.next = int((<-n.rings.Rewinds.Items()).From)
	}
	for len(n.rings.Appends.Items()) > 0 {
		a := <-n.rings.Appends.Items()
		if r.logDown {
			_ = a.Result.Put(r.t.Context(), message.AppendResult{ID: a.ID, Err: context.DeadlineExceeded, Indeterminate: true})
			continue
		}
		r.entries = append(r.entries, message.LogEntry{Offset: fleet.Offset(len(r.entries)), ID: a.ID, Data: a.Data})
	}
	if !r.logDown && !n.gone {
		batch := message.LogRecords{
			From: fleet.Offset(n.next), Next: fleet.Offset(len(r.entries)),
			Records: slices.Clone(r.entries[n.next:]), CaughtUp: true,
		}
		if n.rings.Log.Stats().Depth < 2 {
			_ = n.rings.Log.Put(r.t.Context(), batch)
			n.next = len(r.entries)
		}
	}
	r.carry(n)
	for len(n.holdings.Items()) > 0 {
		h := <-n.holdings.Items()
		if len(h.Own) == 0 && len(n.last.Own) > 0 {
			n.empty++
		}
		n.last = h
	}
}

// carry hands the messages of an instance to those that they go to.
func (r *region) carry(n *node) {
	for len(n.rings.SendRequests.Items()) > 0 {
		m := <-n.rings.SendRequests.Items()
		_ = r.node(m.Peer).rings.Requests.Put(r.t.Context(), message.PromiseRequest{Peer: n.id.ID, PromiseRequest: m.PromiseRequest})
	}
	for len(n.rings.SendPromises.Items()) > 0 {
		m := <-n.rings.SendPromises.Items()
		_ = r.node(m.Peer).rings.Promises.Put(r.t.Context(), message.Promise{Peer: n.id.ID, Promise: m.Promise})
	}
	for len(n.rings.SendGiveBacks.Items()) > 0 {
		m := <-n.rings.SendGiveBacks.Items()
		_ = r.node(m.Peer).rings.GiveBacks.Put(r.t.Context(), message.GiveBack{Peer: n.id.ID, GiveBack: m.GiveBack})
	}
}

func (r *region) node(id fleet.InstanceID) *node {
	for _, n := range r.nodes {
		if n.id.ID == id {
			return n
		}
	}
	r.t.Fatalf("no instance %q", id)
	return nil
}

func (r *region) list() {
	if time.Since(r.listed) < listEvery {
		return
	}
	r.listed = time.Now()
	var instances []fleet.Instance
	for _, n := range r.nodes {
		instances = append(instances, n.id)
	}
	for _, n := range r.nodes {
		_ = n.rings.Snapshots.Put(r.t.Context(), message.ListSnapshot{
			SampledAt: r.listed, Instances: instances, BackendServers: r.servers,
		})
	}
}

// held returns the valid holdings of an instance as its subscribers see them.
func (n *node) held() map[fleet.PartitionID]fleet.Epoch {
	held := map[fleet.PartitionID]fleet.Epoch{}
	for _, h := range n.last.Own {
		if time.Now().Before(h.Until) {
			held[h.Partition] = h.Epoch
		}
	}
	return held
}

func (r *region) check() {
	holder := map[fleet.PartitionID]fleet.InstanceID{}
	for _, n := range r.nodes {
		for p := range n.held() {
			if other, twice := holder[p]; twice {
				r.t.Fatalf("partition %s is held by %s and %s", p, other, n.id.ID)
			}
			holder[p] = n.id.ID
		}
	}
}

// total is the number of partitions held by instances that are not gone.
func (r *region) total() int {
	sum := 0
	for _, n := range r.nodes {
		if !n.gone {
			sum += len(n.held())
		}
	}
	return sum
}
