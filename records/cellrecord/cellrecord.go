// Package cellrecord encodes and decodes the records of a cell for the store.
package cellrecord

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/decision/cell"
	"lacewingfork.example/lacewingfork/decision/election"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/scheduler/api"
)

const (
	// CellTopic stores the records of the cell. Appends are fenced by epoch.
	CellTopic api.Topic = "cell-0"
	// MemberTopic stores the records of the entry instances and of the current
	// holder.
	MemberTopic api.Topic = "members"
	// Producer is the producer name under which holders append.
	Producer = "holder"
	// HolderKey is the key of the holder record in both topics.
	HolderKey = "0/holder"
	// HeartbeatKey is the key of the record that an idle holder appends to show
	// that it is alive.
	HeartbeatKey = "0/alive"
	// memberPrefix is the key prefix of member records.
	memberPrefix = "member/"
)

// Holder is the record of the entry instance that holds the cell.
type Holder struct {
	Epoch    fleet.Epoch      `json:"epoch"`
	Round    int              `json:"round"`
	Instance fleet.InstanceID `json:"instance"`
	Address  string           `json:"address"`
}

// Member is the record of an entry instance.
type Member struct {
	Instance  fleet.InstanceID `json:"instance"`
	Address   string           `json:"address"`
	Region    fleet.Region     `json:"region"`
	Processor float64          `json:"processor"` // in cores
	// StoreLatencyMs is the duration of a store call from the instance, in
	// milliseconds.
	StoreLatencyMs int64 `json:"store_ms"`
}

// MemberKey returns the key of the member record of an instance.
func MemberKey(id fleet.InstanceID) string { return memberPrefix + string(id) }

// Encode encodes the records as store items. A dropped record becomes an item
// without a value.
func Encode(records []cell.Record) ([]api.Item, error) {
	items := make([]api.Item, 0, len(records))
	for _, r := range records {
		item := api.Item{Key: string(r.Key)}
		if !r.Deletes() {
			value, err := json.Marshal(r)
			if err != nil {
				return nil, errors.Wrapf(err, "encode record %s", r.Key)
			}
			item.Value = value
		}
		items = append(items, item)
	}
	return items, nil
}

// EncodeValue encodes a Holder or Member record as a store item.
func EncodeValue(key string, value any) (api.Item, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return api.Item{}, errors.Wrapf(err, "encode record %s", key)
	}
	return api.Item{Key: key, Value: data}, nil
}

// Contents are the decoded records of CellTopic or MemberTopic.
type Contents struct {
	Holder  Holder
	Members []Member
	Records []cell.Record
	// Unreadable lists the records that could not be decoded or are not valid.
	Unreadable []Unreadable
}

// Unreadable is a record that another writer has left, and why it cannot be used.
type Unreadable struct{ Key, Reason string }

// reasonBytes bounds the reason. A record may have a megabyte of odd values.
const reasonBytes = 500

// Decode decodes the items of CellTopic or MemberTopic.
func Decode(items []api.Item) Contents {
	var c Contents
	for _, item := range items {
		if err := c.add(item); err != nil {
			c.Unreadable = append(c.Unreadable, Unreadable{Key: item.Key, Reason: fmt.Sprintf("%.*s", reasonBytes, err)})
		}
	}
	return c
}

// add decodes one item into c. Items without a value and heartbeats are skipped.
func (c *Contents) add(item api.Item) error {
	switch {
	case len(item.Value) == 0 || item.Key == HeartbeatKey:
		return nil
	case item.Key == HolderKey:
		h, err := decode[Holder](item)
		if err == nil {
			c.Holder = h
		}
		return err
	case strings.HasPrefix(item.Key, memberPrefix):
		m, err := decode[Member](item)
		if err != nil {
			return err
		}
		if item.Key != MemberKey(m.Instance) {
			return errors.Errorf("record of member %.64q has the key %.64q", m.Instance, item.Key)
		}
		c.Members = append(c.Members, m)
		return nil
	}
	r := cell.Record{Key: cell.Key(item.Key)}
	err := json.Unmarshal(item.Value, &r)
	if err == nil {
		err = r.Check()
	}
	if err == nil {
		c.Records = append(c.Records, r)
		return nil
	}
	// The worker that the key names may be running something, so the next holder
	// has to wait for it.
	if id, ok := cell.ServerOfKey(r.Key); ok {
		c.Records = append(c.Records, cell.Record{Key: r.Key, Server: &cell.Server{ID: id}})
	}
	return err
}

// decode decodes and checks the record of an item.
func decode[T interface{ check() error }](item api.Item) (T, error) {
	var record T
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return record, err
	}
	return record, record.check()
}

// check returns an error if no holder can have written the record. A later holder
// counts on from the round.
func (h Holder) check() error {
	if h.Instance == "" || h.Round < 1 || h.Round > election.MaxRound || election.RoundOf(h.Epoch) != h.Round {
		return errors.Errorf("holder %.64q of round %d with epoch %d, want an instance, a round of 1 to %d and an epoch of that round",
			h.Instance, h.Round, h.Epoch, int64(election.MaxRound))
	}
	return nil
}

// maxStoreLatencyMs bounds the latency by what a time.Duration can hold.
const maxStoreLatencyMs = math.MaxInt64 / int64(time.Millisecond)

// check returns an error if no instance can have written the record.
func (m Member) check() error {
	if m.Instance == "" || m.Processor < 0 || m.StoreLatencyMs < 0 || m.StoreLatencyMs > maxStoreLatencyMs {
		return errors.Errorf("member %.64q with %g cores and a store latency of %d ms, want an instance, 0 cores or more and 0 to %d ms",
			m.Instance, m.Processor, m.StoreLatencyMs, maxStoreLatencyMs)
	}
	return nil
}
