package message

import (
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/supervise"
)

// PartitionOpened goes from the scheduling manager to the routing duty when a
// partition duty starts to accept submissions.
type PartitionOpened struct {
	Partition   fleet.PartitionID
	Epoch       fleet.Epoch
	Submissions *supervise.Ring[Submission]
}

// PartitionClosed goes from the scheduling manager to the routing duty when a
// partition duty no longer accepts submissions.
type PartitionClosed struct {
	Partition fleet.PartitionID
	Epoch     fleet.Epoch
}

// PartitionChange is either a PartitionOpened or a PartitionClosed. Its ring
// waits when full: after a lost change requests would go to no holder.
type PartitionChange struct {
	Opened *PartitionOpened
	Closed *PartitionClosed
}

// LinkChange goes from a link duty to the routing duty when the link to
// another entry instance comes up (Forwards is set) or goes down (nil). Its
// ring waits when full.
type LinkChange struct {
	Peer     fleet.InstanceID
	Forwards *supervise.Ring[Submission]
}

// Relinquish goes from a restarted partition duty to the ownership duty. The
// lease has to be acquired again under a greater epoch, because the state of
// this epoch is lost. Its ring waits when full.
type Relinquish struct {
	Partition fleet.PartitionID
	Epoch     fleet.Epoch
}

// PeerHints carries the load hints of the partitions that another instance
// holds. It goes from an accepted link to the routing duty. Its ring drops the
// oldest item.
type PeerHints struct {
	Peer  fleet.InstanceID
	Hints []LoadHint
}

// ExplainQuery asks for the decisions about a request, task or backend server.
// It goes from the operations server to the history duty and the scheduling
// manager, and from the manager to each partition duty. Its rings refuse when
// full.
type ExplainQuery struct {
	// Subject is the identifier of the request, task or backend server.
	Subject string
	Reply   *supervise.Ring[ExplainAnswer]
}

// ExplainAnswer is one duty's part of the answer to an ExplainQuery.
type ExplainAnswer struct {
	Events []Event
	// More is the number of further answers to expect from other duties.
	More int
}
