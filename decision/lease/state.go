package lease

import (
	"sort"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// Leases returns the leases that are valid at a time, sorted by partition.
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

// Holders calls visit for each partition that has a holder according to the log.
func (m *Member) Holders(visit func(fleet.PartitionID, Ownership)) {
	for p, o := range m.fold.partitions {
		if o.Held() {
			visit(p, *o)
		}
	}
}

// Changes returns the number of ownership changes read from the log. A truncation
// and the load of a snapshot count as one change each.
func (m *Member) Changes() uint64 { return m.changes }

// PartitionReport describes one partition in the state dump.
type PartitionReport struct {
	Partition fleet.PartitionID
	Holder    fleet.InstanceID
	Epoch     fleet.Epoch
	// Valid and Remaining describe this member's lease.
	Valid     bool
	Remaining time.Duration
	// NotAcquiredBecause is the reason why this instance can't acquire the
	// partition now. It is empty if the instance holds it or can acquire it.
	NotAcquiredBecause string
}

// Report returns a report on each partition of the list or the log, sorted by
// partition.
func (m *Member) Report(now time.Time) []PartitionReport {
	m.now = now
	ids := map[fleet.PartitionID]bool{}
	for _, p := range m.list.partitions {
		ids[p] = true
	}
	for p := range m.fold.partitions {
		ids[p] = true
	}
	reports := make([]PartitionReport, 0, len(ids))
	for p := range ids {
		reports = append(reports, m.report(p))
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].Partition < reports[j].Partition })
	return reports
}

func (m *Member) report(p fleet.PartitionID) PartitionReport {
	o := m.fold.OwnershipOf(p)
	r := PartitionReport{Partition: p, Holder: o.Holder.ID, Epoch: o.Epoch}
	if m.Valid(p, m.now) {
		r.Valid, r.Remaining = true, m.own[p].until.Sub(m.now)
		return r
	}
	if r.NotAcquiredBecause = m.acquireRefusal(); r.NotAcquiredBecause != "" {
		return r
	}
	if _, r.NotAcquiredBecause = m.claimableSince(p, o); r.NotAcquiredBecause != "" {
		return r
	}
	if m.pending[p] != nil {
		r.NotAcquiredBecause = "its claim was not read back yet"
	} else if share, _ := m.share(); len(m.own)+len(m.pending) >= share {
		r.NotAcquiredBecause = "this instance holds its fair share and leaves it to others first"
	}
	return r
}
