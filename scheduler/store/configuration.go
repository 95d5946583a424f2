package store

import (
	"context"

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
	// Subscribers receive each version that comes into force.
	Subscribers []*message.ConfigurationRing
	// Offers carries publications received from peers.
	Offers *supervise.Ring[[]byte]
	// documents carries publications that the tail has read from the store.
	documents *supervise.Ring[[]byte]
}

// NewConfigurations returns the duty; Start starts it together with its tail.
func NewConfigurations(records api.RecordDecoder, log *logs.Log) *Configurations {
	return &Configurations{
		records: records, log: log,
		Offers:    supervise.NewRing[[]byte]("configuration.offers", 4, supervise.DropOldest),
		documents: supervise.NewRing[[]byte]("configuration.read", 16, supervise.Wait),
	}
}

// Start adds the duty and its tail below tree.
func (c *Configurations) Start(tree *supervise.Tree, store api.Store) {
	forward := func(ctx context.Context, items []api.Item) error {
		for _, item := range items {
			if !c.records.IsConfiguration(item) || len(item.Value) == 0 {
				continue
			}
			if err := c.documents.Put(ctx, item.Value); err != nil {
				return err
			}
		}
		return nil
	}
	tree.Start(supervise.Duty{Name: "configuration/tail", Run: func(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
		t := tail{store: store, log: c.log, topic: api.OperatorTopic, onSnapshot: forward, onChange: forward}
		return t.run(ctx, dumps)
	}})
	tree.Start(supervise.Duty{Name: "configuration", Rings: []supervise.AnyRing{c.Offers, c.documents}, Run: c.run})
}

func (c *Configurations) run(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case document := <-c.documents.Items():
			c.apply(ctx, document, "store")
		case document := <-c.Offers.Items():
			c.apply(ctx, document, "peer")
		case r := <-dumps:
			version := int64(0)
			if c.inForce != nil {
				version = c.inForce.Version
			}
			r.Answer(map[string]int64{"version": version})
		}
	}
}

// apply puts a publication into force if it is newer than the one in force.
func (c *Configurations) apply(ctx context.Context, document []byte, source string) {
	decoded, err := c.records.Configuration(document)
	if err != nil {
		c.log.Event("configuration_unreadable", "source", source, "error", err)
		return
	}
	if c.inForce != nil && decoded.Version <= c.inForce.Version {
		return
	}
	c.inForce = &decoded
	c.log.Event("configuration_in_force", "version", decoded.Version, "routes", len(decoded.Routes), "source", source)
	for _, ring := range c.Subscribers {
		_ = ring.Put(ctx, c.inForce) // keeps the newest; never fails
	}
}
