package lease

import (
	"sort"

	"lacewingfork.example/lacewingfork/fleet"
)

// memberExpiry is the distance in offsets after which a member that holds
// nothing and has not renewed is forgotten; it must join again. 7 members
// renewing each second use it up in about 20 minutes.
const memberExpiry fleet.Offset = 10_000

// Fold is the deterministic fold of one ownership stream. Log order decides.
// After a truncation it is incomplete until a usable snapshot is read.
type Fold struct {
	members              map[MemberKey]*foldMember
	latest               map[fleet.InstanceID]MemberKey
	partitions           map[fleet.PartitionID]*Ownership
	nextOffset           fleet.Offset // offset after the last record applied
	incomplete           bool
	oldestKept           fleet.Offset // oldest offset kept when the log was truncated
	buffered             []Entry      // records read while incomplete
	recordsSinceSnapshot int          // records since the last snapshot
}

type foldMember struct {
	address     string
	joined      fleet.Offset
	lastRenewal fleet.Offset
	held        int
	stopping    bool
}

// Ownership is what the log says about one partition.
type Ownership struct {
	Holder   MemberKey // zero while unheld
	Epoch    fleet.Epoch
	Acquired fleet.Offset // offset of the claim
}

// Held reports whether a member holds the partition by the log.
func (o Ownership) Held() bool { return o.Holder != MemberKey{} }

// NewFold returns the fold of an empty stream.
func NewFold() *Fold {
	f := &Fold{}
	f.clear()
	return f
}

func (f *Fold) clear() {
	f.members = map[MemberKey]*foldMember{}
	f.latest = map[fleet.InstanceID]MemberKey{}
	f.partitions = map[fleet.PartitionID]*Ownership{}
}

// Truncated tells the fold that records before oldest are gone and that it
// missed some of them. The state is discarded.
func (f *Fold) Truncated(oldest fleet.Offset) {
	f.clear()
	f.incomplete, f.oldestKept, f.buffered = true, oldest, nil
}

// Complete reports whether the fold knows the whole state.
func (f *Fold) Complete() bool { return !f.incomplete }

// Ownership returns the ownership of a partition; the zero value if never held.
func (f *Fold) Ownership(p fleet.PartitionID) Ownership {
	if o := f.partitions[p]; o != nil {
		return *o
	}
	return Ownership{}
}

// Joined reports whether the key is the newest incarnation of its member.
func (f *Fold) Joined(k MemberKey) bool {
	return k.Incarnation != 0 && f.latest[k.ID] == k
}

// HeldBy returns the number of partitions that the member holds by the log.
func (f *Fold) HeldBy(k MemberKey) int {
	if m := f.members[k]; m != nil {
		return m.held
	}
	return 0
}

// LastRenewalOf returns the offset of the last claim or renewal that keeps the
// ownership alive.
func (f *Fold) LastRenewalOf(o Ownership) fleet.Offset {
	if m := f.members[o.Holder]; m != nil {
		return max(o.Acquired, m.lastRenewal)
	}
	return o.Acquired
}

// Stopping reports whether the member has said that it claims nothing any more.
func (f *Fold) Stopping(k MemberKey) bool {
	m := f.members[k]
	return m != nil && m.stopping
}

// Apply folds one record. It reports whether the record had effect; for a
// claim, accepted lists the accepted claims (reusing the slice given).
func (f *Fold) Apply(e Entry, accepted []PartitionClaim) (bool, []PartitionClaim) {
	if f.incomplete {
		f.buffer(e)
		return false, accepted
	}
	f.nextOffset = e.Offset + 1
	f.recordsSinceSnapshot++
	r := &e.Record
	switch r.Kind {
	case Join:
		return f.join(e.Offset, r), accepted
	case Renew:
		return f.renew(e.Offset, r), accepted
	case Claim:
		return f.claim(e.Offset, r, accepted)
	case Release:
		return f.release(r), accepted
	case Snapshot:
		f.recordsSinceSnapshot = 0
	}
	return false, accepted
}

// join accepts only growing incarnations. Leases of earlier incarnations stay
// until they are claimed, because duties of that run may still use them.
func (f *Fold) join(at fleet.Offset, r *Record) bool {
	old, known := f.latest[r.Member.ID]
	if known && old.Incarnation >= r.Member.Incarnation {
		return false
	}
	f.removeExpiredMembers(at)
	f.latest[r.Member.ID] = r.Member
	f.members[r.Member] = &foldMember{address: r.Address, joined: at, lastRenewal: at}
	return true
}

// removeExpiredMembers removes members that hold nothing and have been silent for long, and
// replaced incarnations that hold nothing.
func (f *Fold) removeExpiredMembers(at fleet.Offset) {
	for k, m := range f.members {
		replaced := f.latest[k.ID] != k
		if m.held > 0 || (!replaced && at-m.lastRenewal < memberExpiry) {
			continue
		}
		delete(f.members, k)
		if !replaced {
			delete(f.latest, k.ID)
		}
	}
}

func (f *Fold) renew(at fleet.Offset, r *Record) bool {
	if !f.Joined(r.Member) {
		return false
	}
	f.members[r.Member].lastRenewal = at
	return true
}

func (f *Fold) claim(at fleet.Offset, r *Record, accepted []PartitionClaim) (bool, []PartitionClaim) {
	if !f.Joined(r.Member) {
		return false, accepted
	}
	before := len(accepted)
	for _, c := range r.Claims {
		if !f.acceptable(r.Member, c) {
			continue
		}
		f.assign(at, r.Member, c.Partition)
		accepted = append(accepted, c)
	}
	return len(accepted) > before, accepted
}

// acceptable rejects a claim of an old epoch, and one whose holder renewed or
// changed after what the claimant had read. A member that claims its own
// partition anew is not hindered by its own renewals.
func (f *Fold) acceptable(claimant MemberKey, c PartitionClaim) bool {
	o := f.Ownership(c.Partition)
	if c.EndsEpoch != o.Epoch {
		return false
	}
	return !o.Held() || o.Holder == claimant || (c.SeenHolder == o.Holder && c.SeenRenewal == f.LastRenewalOf(o))
}

func (f *Fold) assign(at fleet.Offset, k MemberKey, p fleet.PartitionID) {
	o := f.partitions[p]
	if o == nil {
		o = &Ownership{}
		f.partitions[p] = o
	}
	f.addHeld(o.Holder, -1)
	f.addHeld(k, 1)
	o.Holder, o.Acquired = k, at
	o.Epoch++
}

func (f *Fold) addHeld(k MemberKey, by int) {
	if m := f.members[k]; m != nil {
		m.held += by
	}
}

func (f *Fold) release(r *Record) bool {
	effect := false
	if m := f.members[r.Member]; m != nil && r.Stopping {
		m.stopping = true
	}
	for _, pe := range r.Released {
		o := f.partitions[pe.Partition]
		if o == nil || o.Holder != r.Member || o.Epoch != pe.Epoch {
			continue
		}
		f.addHeld(o.Holder, -1)
		o.Holder = MemberKey{}
		effect = true
	}
	return effect
}

// FoldState is the whole state of a fold, for a snapshot record.
type FoldState struct {
	// NextOffset is the offset of the first record that is not part of the state.
	NextOffset fleet.Offset
	Members    []MemberState
	Partitions []PartitionState
}

// MemberState is one member of a FoldState.
type MemberState struct {
	Key         MemberKey
	Address     string
	Joined      fleet.Offset
	LastRenewal fleet.Offset
	Latest      bool
	Stopping    bool
}

// PartitionState is one partition of a FoldState.
type PartitionState struct {
	Partition fleet.PartitionID
	Ownership
}

// State returns a copy of the state, in a fixed order.
func (f *Fold) State() FoldState {
	s := FoldState{NextOffset: f.nextOffset}
	for k, m := range f.members {
		s.Members = append(s.Members, MemberState{
			Key: k, Address: m.address, Joined: m.joined,
			LastRenewal: m.lastRenewal, Latest: f.latest[k.ID] == k, Stopping: m.stopping,
		})
	}
	for p, o := range f.partitions {
		s.Partitions = append(s.Partitions, PartitionState{Partition: p, Ownership: *o})
	}
	sort.Slice(s.Members, func(i, j int) bool {
		a, b := s.Members[i].Key, s.Members[j].Key
		return a.ID < b.ID || (a.ID == b.ID && a.Incarnation < b.Incarnation)
	})
	sort.Slice(s.Partitions, func(i, j int) bool { return s.Partitions[i].Partition < s.Partitions[j].Partition })
	return s
}

// buffer keeps records until a snapshot is read whose missing records are all
// buffered, then replays the records after the snapshot's state.
func (f *Fold) buffer(e Entry) {
	f.buffered = append(f.buffered, e)
	s := e.Record.State
	if e.Record.Kind != Snapshot || s == nil || s.NextOffset < f.oldestKept {
		return
	}
	f.load(*s)
	replay := f.buffered
	f.incomplete, f.buffered = false, nil
	for _, b := range replay {
		if b.Offset >= s.NextOffset {
			f.Apply(b, nil)
		}
	}
}

func (f *Fold) load(s FoldState) {
	f.clear()
	f.nextOffset = s.NextOffset
	for _, m := range s.Members {
		f.members[m.Key] = &foldMember{
			address: m.Address, joined: m.Joined, lastRenewal: m.LastRenewal, stopping: m.Stopping,
		}
		if m.Latest {
			f.latest[m.Key.ID] = m.Key
		}
	}
	for _, p := range s.Partitions {
		o := p.Ownership
		f.partitions[p.Partition] = &o
		f.addHeld(o.Holder, 1)
	}
}
