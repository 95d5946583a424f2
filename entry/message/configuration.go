package message

import (
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/supervise"
)

// ConfigurationOfferRing takes the offers of peers. It has few places and
// drops the oldest: a newer offer is at least as good.
type ConfigurationOfferRing = supervise.Ring[ConfigurationOffer]

// ConfigurationRequest asks a peer for the newest configuration that it has.
// It goes from the configuration duty to the links towards every peer, and on
// the other side from a link to the configuration duty. Its rings drop the
// oldest, because the question is asked again.
type ConfigurationRequest struct {
	// Version and Offset are what the asking instance has; a peer that has
	// nothing newer does not answer. Offset is that of the last entry folded,
	// -1 for none.
	Version int64
	Offset  fleet.Offset
	// Reply takes the answer on the answering side; unset on the asking side.
	Reply *ConfigurationOfferRing
}

// ConfigurationOffer is a peer's state of the stream `configuration`.
type ConfigurationOffer struct {
	Version int64
	Offset  fleet.Offset
	// Snapshot is encoded as a snapshot entry of the stream.
	Snapshot []byte
}

// ResendConfiguration goes from a subscriber that starts again with clean
// state to the configuration duty, which puts the version in force on the ring
// once more. Its ring waits.
type ResendConfiguration struct{ Ring *ConfigurationRing }
