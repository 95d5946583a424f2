package store

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"lacewingfork.example/lacewingfork/scheduler/api"
	"lacewingfork.example/lacewingfork/scheduler/logs"
	"lacewingfork.example/lacewingfork/scheduler/message"
)

// versionRecords decodes documents that consist of a version.
type versionRecords struct{ api.RecordDecoder }

func (versionRecords) Configuration(document []byte) (api.Configuration, error) {
	version, err := strconv.ParseInt(string(document), 10, 64)
	return api.Configuration{Version: version, Document: document}, err
}

// Guards against a configuration that stays unknown to a holder without the store:
// each instance offers its version only once on a link.
func TestOlderOffersDoNotDisplaceNewestOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := NewConfigurations(versionRecords{}, logs.New())
		applied := message.NewConfigurationRing("test.configurations")
		c.Subscribers = []*message.ConfigurationRing{applied}
		_ = c.Offers.Put(ctx, message.Publication{Document: []byte("8"), Offset: 12})
		for range 4 {
			_ = c.Offers.Put(ctx, message.Publication{Document: []byte("7"), Offset: 11})
		}
		go func() { _ = c.run(ctx, nil) }()
		time.Sleep(time.Second)
		if got := (<-applied.Items()).Version; got != 8 {
			t.Errorf("got version %d in force after offers of version 8 and four of version 7, want 8", got)
		}
	})
}
