package message

import (
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/supervise"
)

// PartitionOpened goes from the scheduling manager to the routing duty when a
// partition duty takes submissions.
type PartitionOpened struct {
	Partition   fleet.PartitionID
	Epoch       fleet.Epoch
	Submissions *supervise.Ring[Submission]
}

// PartitionClosed goes from the scheduling manager to the routing duty when a
// partition duty takes no more submissions.
type PartitionClosed struct {
	Partition fleet.PartitionID
	Epoch     fleet.Epoch
}

// PartitionChange is one of the two. Its ring waits: a lost change would leave
// requests without a holder.
type PartitionChange struct {
	Opened *PartitionOpened
	Closed *PartitionClosed
}

// LinkChange goes from a link duty to the routing duty when the link to
// another entry instance comes up (Forwards set) or goes down. Its ring waits.
type LinkChange struct {
	Peer     fleet.InstanceID
	Forwards *supervise.Ring[Submission]
}

// Relinquish goes from a partition duty that was restarted to the ownership
// duty: the lease has to be taken anew under a greater epoch, because the
// state of this one is lost. Its ring waits.
type Relinquish struct {
	Partition fleet.PartitionID
	Epoch     fleet.Epoch
}

// PeerHints are the load hints of the partitions that another instance holds.
// They go from an accepted link to the routing duty; the ring drops the
// oldest.
type PeerHints struct {
	Peer  fleet.InstanceID
	Hints []LoadHint
}

// ExplainQuery asks what was decided about a request, task or backend server.
// It goes from the operations server to the history duty and the scheduling
// manager, and from there to each partition duty. Its rings refuse when full.
type ExplainQuery struct {
	Subject string
	Reply   *supervise.Ring[ExplainAnswer]
}

// ExplainAnswer is one duty's part of the answer.
type ExplainAnswer struct {
	Events []Event
	// More is the number of further answers that will come.
	More int
}
