package lease

import (
	"sort"

	"lacewingfork.example/lacewingfork/fleet"
)

// memberExpiry is the number of log offsets without a renewal after which a
// member that holds nothing is removed; it must then join again. 7 members that
// each renew once per second write this many records in about 20 minutes.
const memberExpiry fleet.Offset = 10_000

// Fold is the state obtained by applying the records of one ownership stream in
// log order. It is deterministic: every member that applies the same records has
// the same state. After a truncation it is incomplete until it reads a usable
// snapshot.
type Fold struct {
	members              map[MemberKey]*foldMember
	latest               map[fleet.InstanceID]MemberKey
	partitions           map[fleet.PartitionID]*Ownership
	nextOffset           fleet.Offset // offset after the last record applied
	incomplete           bool
	oldest               fleet.Offset // oldest offset that remained after the truncation
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

// Ownership is the state of one partition according to the log.
type Ownership struct {
	Holder   MemberKey // zero while unheld
	Epoch    fleet.Epoch
	Acquired fleet.Offset // offset of the claim
}

// Held reports whether a member holds the partition according to the log.
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

// HandleTruncation discards the state after the log dropped records before
// oldest, some of which the fold had not applied.
func (f *Fold) HandleTruncation(oldest fleet.Offset) {
	f.clear()
	f.incomplete, f.oldest, f.buffered = true, oldest, nil
}

// Complete reports whether the state reflects every record of the stream.
func (f *Fold) Complete() bool { return !f.incomplete }

// OwnershipOf returns the ownership of a partition, or the zero value if it was
// never held.
func (f *Fold) OwnershipOf(p fleet.PartitionID) Ownership {
	if o := f.partitions[p]; o != nil {
		return *o
	}
	return Ownership{}
}

// Joined reports whether k is the newest incarnation of its instance that has
// joined.
func (f *Fold) Joined(k MemberKey) bool {
	return k.Incarnation != 0 && f.latest[k.ID] == k
}

// HeldBy returns the number of partitions that the member holds according to the
// log.
func (f *Fold) HeldBy(k MemberKey) int {
	if m := f.members[k]; m != nil {
		return m.held
	}
	return 0
}

// LastRenewalOf returns the offset of the holder's last claim or renewal of the
// ownership.
func (f *Fold) LastRenewalOf(o Ownership) fleet.Offset {
	if m := f.members[o.Holder]; m != nil {
		return max(o.Acquired, m.lastRenewal)
	}
	return o.Acquired
}

// Stopping reports whether the member has announced a planned stop and claims
// nothing more.
func (f *Fold) Stopping(k MemberKey) bool {
	m := f.members[k]
	return m != nil && m.stopping
}

// Apply applies one record and reports whether it had an effect. It appends the
// claims that a Claim record won to accepted and returns the slice.
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

// join accepts only an incarnation greater than the last one. Leases of earlier
// incarnations stay until they are claimed, because duties of that run may still
// use them.
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

// removeExpiredMembers removes members that hold nothing if they have been
// replaced by a later incarnation or have not renewed for memberExpiry.
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

// acceptable reports whether a claim is accepted. It rejects a claim that ends an
// epoch other than the current one, and a claim that another member's renewal or
// claim has overtaken since the claimant read the log. A member's own renewals do
// not invalidate its new claim of a partition that it already holds.
func (f *Fold) acceptable(claimant MemberKey, c PartitionClaim) bool {
	o := f.OwnershipOf(c.Partition)
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

// FoldState is the complete state of a fold, as stored in a snapshot record.
type FoldState struct {
	// NextOffset is the offset of the first record not included in the state.
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

// State returns a copy of the state. Members and partitions are sorted.
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

// buffer keeps records until it reads a snapshot that includes every record
// dropped by the truncation. It then loads the snapshot's state and replays the
// buffered records that the state does not include.
func (f *Fold) buffer(e Entry) {
	f.buffered = append(f.buffered, e)
	s := e.Record.State
	if e.Record.Kind != Snapshot || s == nil || s.NextOffset < f.oldest {
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
