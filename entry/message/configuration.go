package message

import (
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/supervise"
)

// ConfigurationOfferRing receives the offers of peers. Its capacity is small
// and it drops the oldest item: a newer offer is at least as good.
type ConfigurationOfferRing = supervise.Ring[ConfigurationOffer]

// ConfigurationRequest asks a peer for its newest configuration. It goes from
// the configuration duty to the links towards every peer, and on the peer from
// a link to the configuration duty. Its rings drop the oldest item, because the
// request is repeated.
type ConfigurationRequest struct {
	// Version and Offset describe the state of the requesting instance; a peer
	// without a newer state does not answer. Offset is that of the last entry
	// folded, or -1 for none.
	Version int64
	Offset  fleet.Offset
	// Reply receives the answer. It is set on the answering side only.
	Reply *ConfigurationOfferRing
}

// ConfigurationOffer answers a ConfigurationRequest with a peer's state of the
// stream `configuration`.
type ConfigurationOffer struct {
	Version int64
	Offset  fleet.Offset
	// Snapshot is the state, encoded as a snapshot entry of the stream.
	Snapshot []byte
}

// ResendConfiguration asks the configuration duty to put the version in force
// on Ring again. It comes from a subscriber that has restarted with empty
// state. Its ring waits when full.
type ResendConfiguration struct{ Ring *ConfigurationRing }
