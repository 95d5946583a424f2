// Package cellrecord encodes the records of a cell for the store.
package cellrecord

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/decision/cell"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/scheduler/api"
)

const (
	// CellTopic holds the records of the cell; its fence is the epoch.
	CellTopic api.Topic = "cell-0"
	// MemberTopic holds the entry instances and who holds the cell.
	MemberTopic api.Topic = "members"
	// Producer is the name under which holders append.
	Producer = "holder"
	// HolderKey names the record of the holder in both topics.
	HolderKey = "0/holder"
	// HeartbeatKey names the record by which an idle holder shows that it lives.
	HeartbeatKey = "0/alive"
	// memberPrefix begins the key of an entry instance.
	memberPrefix = "member/"
)

// Holder is the record of who holds the cell.
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
	Processor float64          `json:"processor"` // share of a core
	// StoreLatencyMs is the time of a call to the store from there, in milliseconds.
	StoreLatencyMs int64 `json:"store_ms"`
}

// MemberKey returns the key of an instance's record.
func MemberKey(id fleet.InstanceID) string { return memberPrefix + string(id) }

// Encode returns the records as items of the store.
func Encode(records []cell.Record) ([]api.Item, error) {
	items := make([]api.Item, 0, len(records))
	for _, r := range records {
		item := api.Item{Key: string(r.Key)}
		if !r.Dropped() {
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

// EncodeValue returns the item of a holder or a member.
func EncodeValue(key string, value any) (api.Item, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return api.Item{}, errors.Wrapf(err, "encode record %s", key)
	}
	return api.Item{Key: key, Value: data}, nil
}

// Contents is what a topic of the cell holds.
type Contents struct {
	Holder  Holder
	Members []Member
	Records []cell.Record
	// Unreadable are the keys of records that could not be decoded.
	Unreadable []string
}

// Decode reads the items of CellTopic or MemberTopic.
func Decode(items []api.Item) Contents {
	var d Contents
	for _, item := range items {
		if err := d.add(item); err != nil {
			d.Unreadable = append(d.Unreadable, item.Key)
		}
	}
	return d
}

func (d *Contents) add(item api.Item) error {
	if len(item.Value) == 0 || item.Key == HeartbeatKey {
		return nil
	}
	if item.Key == HolderKey {
		return json.Unmarshal(item.Value, &d.Holder)
	}
	if len(item.Key) > len(memberPrefix) && item.Key[:len(memberPrefix)] == memberPrefix {
		var m Member
		if err := json.Unmarshal(item.Value, &m); err != nil {
			return err
		}
		d.Members = append(d.Members, m)
		return nil
	}
	r := cell.Record{Key: cell.Key(item.Key)}
	if err := json.Unmarshal(item.Value, &r); err != nil {
		return err
	}
	d.Records = append(d.Records, r)
	return nil
}
