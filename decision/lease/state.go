package lease

import (
	"sort"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// Leases returns the leases that are valid at a time, in a fixed order.
func (m *Member) Leases(now time.Time) []Lease {
	list := make([]Lease, 0, len(m.own))
	for p, l := range m.own {
		if m.Valid(p, now) {
			list = append(list, Lease{l.PartitionEpoch, l.until})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Partition < list[j].Partition })
	return list
}

// Holders calls visit for each partition that has a holder by the log.
func (m *Member) Holders(visit func(fleet.PartitionID, Ownership)) {
	for p, o := range m.fold.partitions {
		if o.Held() {
			visit(p, *o)
		}
	}
}

// Changes counts the changes of ownership by the log.
func (m *Member) Changes() uint64 { return m.changes }

// PartitionReport explains one partition for the state dump.
type PartitionReport struct {
	Partition fleet.PartitionID
	Holder    fleet.InstanceID
	Epoch     fleet.Epoch
	// Valid and Remaining describe the own lease.
	Valid     bool
	Remaining time.Duration
	// NotAcquiredReason says in words why the partition can't be acquired now; it is
	// empty when it is held by this instance or can be.
	NotAcquiredReason string
}

// Report returns a report on each partition of the list or the log.
func (m *Member) Report(now time.Time) []PartitionReport {
	m.now = now
	names := map[fleet.PartitionID]bool{}
	for _, p := range m.list.partitions {
		names[p] = true
	}
	for p := range m.fold.partitions {
		names[p] = true
	}
	reports := make([]PartitionReport, 0, len(names))
	for p := range names {
		reports = append(reports, m.report(p))
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].Partition < reports[j].Partition })
	return reports
}

func (m *Member) report(p fleet.PartitionID) PartitionReport {
	o := m.fold.Ownership(p)
	r := PartitionReport{Partition: p, Holder: o.Holder.ID, Epoch: o.Epoch}
	if m.Valid(p, m.now) {
		r.Valid, r.Remaining = true, m.own[p].until.Sub(m.now)
		return r
	}
	if r.NotAcquiredReason = m.acquireRefusal(); r.NotAcquiredReason != "" {
		return r
	}
	if _, r.NotAcquiredReason = m.claimableSince(p, o); r.NotAcquiredReason != "" {
		return r
	}
	if m.pending[p] != nil {
		r.NotAcquiredReason = "its claim was not read back yet"
	} else if share, _ := m.share(); len(m.own)+len(m.pending) >= share {
		r.NotAcquiredReason = "this instance holds its fair share and leaves it to others first"
	}
	return r
}
