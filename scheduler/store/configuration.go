package store

import (
	"context"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/scheduler/api"
	"lacewingfork.example/lacewingfork/scheduler/logs"
	"lacewingfork.example/lacewingfork/scheduler/message"
	"lacewingfork.example/lacewingfork/supervise"
)

// Configurations is the duty that owns the configuration in force. The version
// never decreases: the store may return an older state for some seconds.
type Configurations struct {
	records api.RecordDecoder
	log     *logs.Log
	inForce *api.Configuration
	applied fleet.Offset // publications before it are applied, as far as is known
	// Subscribers receive each version that comes into force.
	Subscribers []*message.ConfigurationRing
	// Offers carries publications received from peers.
	Offers *supervise.Ring[message.Publication]
	// PeerProgress carries how far the holder has applied the publications, and
	// Progress how far this instance has.
	PeerProgress *supervise.Ring[message.ConfigurationProgress]
	Progress     *supervise.Ring[message.ConfigurationProgress]
	// OtherRecords receives the operators' records that are no publications.
	OtherRecords *supervise.Ring[[]api.Item]
	// Followed carries whether a linked instance passes publications on.
	Followed *supervise.Ring[bool]
	// read carries publications that the tail has read from the store.
	read *supervise.Ring[message.Publication]
	// received carries to the tail the offset after the newest publication that
	// a peer has passed on.
	received *supervise.Ring[fleet.Offset]
}

// NewConfigurations returns the duty; Start starts it together with its tail.
func NewConfigurations(records api.RecordDecoder, log *logs.Log) *Configurations {
	return &Configurations{
		records: records, log: log,
		Offers:       supervise.NewGreatestRing("configuration.offers", message.ComparePublications),
		PeerProgress: supervise.NewRing[message.ConfigurationProgress]("configuration.peer-progress", 1, supervise.DropOldest),
		Followed:     supervise.NewStateRing[bool]("configuration.followed"),
		read:         supervise.NewRing[message.Publication]("configuration.read", 16, supervise.Wait),
		received:     supervise.NewStateRing[fleet.Offset]("configuration.received"),
	}
}

// Start adds the duty and its tail below tree.
func (c *Configurations) Start(tree *supervise.Tree, store api.Store) {
	forward := func(ctx context.Context, items []api.Item) error {
		var others []api.Item
		for _, item := range items {
			if !c.records.IsConfiguration(item) {
				others = append(others, item)
				continue
			}
			if len(item.Value) == 0 {
				continue
			}
			if err := c.read.Put(ctx, message.Publication{Document: item.Value, Offset: item.Offset}); err != nil {
				return err
			}
		}
		if c.OtherRecords != nil && len(others) > 0 {
			_ = c.OtherRecords.Put(ctx, others) // drops the oldest; never fails
		}
		return nil
	}
	tree.Start(supervise.Duty{
		Name: "configuration/tail", Rings: []supervise.AnyRing{c.Followed, c.received},
		Run: func(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
			t := configurationTail{
				tail:     tail{store: store, log: c.log, topic: api.OperatorTopic, onSnapshot: forward, onChange: forward},
				followed: c.Followed, received: c.received,
			}
			return t.run(ctx, dumps)
		},
	})
	tree.Start(supervise.Duty{Name: "configuration", Rings: []supervise.AnyRing{c.Offers, c.PeerProgress, c.read}, Run: c.run})
}

func (c *Configurations) run(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case publication := <-c.read.Items():
			c.apply(ctx, publication, "store")
			c.reportProgress(ctx, publication.Offset+1)
		case publication := <-c.Offers.Items():
			// Instances of earlier versions don't pass the offset on.
			if c.apply(ctx, publication, "peer") && publication.Offset > 0 {
				c.skipTo(ctx, publication.Offset+1)
			}
		case progress := <-c.PeerProgress.Items():
			// The holder repeats it with each heartbeat.
			if c.inForce != nil && c.inForce.Version >= progress.Version && progress.End > c.applied {
				c.skipTo(ctx, progress.End)
			}
		case r := <-dumps:
			version := int64(0)
			if c.inForce != nil {
				version = c.inForce.Version
			}
			r.Answer(map[string]int64{"version": version})
		}
	}
}

// skipTo makes the tail leave out the records before an offset.
func (c *Configurations) skipTo(ctx context.Context, end fleet.Offset) {
	_ = c.received.Put(ctx, end) // keeps the newest; never fails
	c.reportProgress(ctx, end)
}

// reportProgress tells the linked instances up to which offset the publications are
// applied, so that they don't read a version that is published again.
func (c *Configurations) reportProgress(ctx context.Context, end fleet.Offset) {
	c.applied = max(c.applied, end)
	if c.Progress != nil && c.inForce != nil {
		_ = c.Progress.Put(ctx, message.ConfigurationProgress{Version: c.inForce.Version, End: end}) // keeps the newest; never fails
	}
}

// maxFindings bounds the logged findings on a publication.
const maxFindings = 16

// apply puts a publication into force if it is newer than the one in force, and
// reports whether it did.
func (c *Configurations) apply(ctx context.Context, publication message.Publication, source string) bool {
	decoded, err := c.records.Configuration(publication.Document)
	if err != nil {
		c.log.Event("configuration_unreadable", "source", source, "error", err)
		return false
	}
	if c.inForce != nil && decoded.Version <= c.inForce.Version {
		return false
	}
	decoded.Offset = publication.Offset
	c.inForce = &decoded
	c.log.Event("configuration_in_force", "version", decoded.Version, "routes", len(decoded.Routes), "source", source)
	for _, finding := range decoded.Findings[:min(len(decoded.Findings), maxFindings)] {
		c.log.Event("configuration_finding", "version", decoded.Version, "error", finding)
	}
	for _, ring := range c.Subscribers {
		_ = ring.Put(ctx, c.inForce) // keeps the newest; never fails
	}
	return true
}
