// Package cellrecord encodes and decodes the records of a cell for the store.
package cellrecord

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/decision/cell"
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
	// Unreadable lists the keys of records that could not be decoded.
	Unreadable []string
}

// Decode decodes the items of CellTopic or MemberTopic.
func Decode(items []api.Item) Contents {
	var c Contents
	for _, item := range items {
		if err := c.add(item); err != nil {
			c.Unreadable = append(c.Unreadable, item.Key)
		}
	}
	return c
}

// add decodes one item into c. Items without a value and heartbeats are skipped.
func (c *Contents) add(item api.Item) error {
	if len(item.Value) == 0 || item.Key == HeartbeatKey {
		return nil
	}
	if item.Key == HolderKey {
		return json.Unmarshal(item.Value, &c.Holder)
	}
	if len(item.Key) > len(memberPrefix) && item.Key[:len(memberPrefix)] == memberPrefix {
		var m Member
		if err := json.Unmarshal(item.Value, &m); err != nil {
			return err
		}
		c.Members = append(c.Members, m)
		return nil
	}
	r := cell.Record{Key: cell.Key(item.Key)}
	if err := json.Unmarshal(item.Value, &r); err != nil {
		return err
	}
	c.Records = append(c.Records, r)
	return nil
}
