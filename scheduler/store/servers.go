package store

import (
	"context"
	"time"

	"lacewingfork.example/lacewingfork/decision/cell"
	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/scheduler/api"
	"lacewingfork.example/lacewingfork/scheduler/logs"
	"lacewingfork.example/lacewingfork/scheduler/message"
	"lacewingfork.example/lacewingfork/supervise"
)

// serverReadInterval is the time between two reads of the server list. A
// draining server must be noticed well within the time that the platform gives
// it to drain, which is several seconds, and each call to the store has a cost.
const serverReadInterval = 600 * time.Millisecond

// Servers is the duty that follows the server list while this instance holds
// the cell.
type Servers struct {
	store   api.Store
	records api.RecordDecoder
	log     *logs.Log
	changes *supervise.Ring[message.ServerChange]
	// Follow switches the tail on and off. Only the newest value counts.
	Follow *supervise.Ring[bool]
	listed map[fleet.BackendServerID]bool
}

// NewServers adds the duty below tree. Its changes go to the holder.
func NewServers(tree *supervise.Tree, store api.Store, records api.RecordDecoder, log *logs.Log, changes *supervise.Ring[message.ServerChange]) *Servers {
	s := &Servers{
		store: store, records: records, log: log, changes: changes,
		Follow: supervise.NewRing[bool]("servers.wanted", 1, supervise.DropOldest),
	}
	tree.Start(supervise.Duty{Name: "servers", Rings: []supervise.AnyRing{s.Follow}, Run: s.run})
	return s
}

func (s *Servers) run(ctx context.Context, dumps <-chan supervise.DumpRequest) error {
	var t *tail
	for {
		if t == nil {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case follow := <-s.Follow.Items():
				t = s.tail(follow)
			case r := <-dumps:
				r.Answer(nil)
			}
			continue
		}
		select {
		case follow := <-s.Follow.Items():
			t = s.tail(follow)
			continue
		case r := <-dumps:
			r.Answer(map[string]any{"next": t.next, "servers": len(s.listed)})
		default:
		}
		if err := t.readOnce(ctx); err != nil {
			return err
		}
	}
}

// tail returns a tail that starts with the full list, or nil if follow is false.
func (s *Servers) tail(follow bool) *tail {
	if !follow {
		return nil
	}
	s.listed = map[fleet.BackendServerID]bool{}
	return &tail{store: s.store, log: s.log, topic: api.ServerTopic, interval: serverReadInterval, onSnapshot: s.replaceList, onChange: s.applyChanges}
}

// replaceList replaces the list by the newest record of every server and
// forwards the change.
func (s *Servers) replaceList(ctx context.Context, items []api.Item) error {
	before := s.listed
	s.listed = map[fleet.BackendServerID]bool{}
	change := s.decode(items)
	change.Full = true
	for id := range before {
		if !s.listed[id] {
			change.Removed = append(change.Removed, id)
		}
	}
	return s.changes.Put(ctx, change)
}

// applyChanges applies the last record of each server and forwards the change.
func (s *Servers) applyChanges(ctx context.Context, items []api.Item) error {
	newest := map[string]int{}
	for i, item := range items {
		newest[item.Key] = i
	}
	var last []api.Item
	for i, item := range items {
		if newest[item.Key] == i {
			last = append(last, item)
		}
	}
	return s.changes.Put(ctx, s.decode(last))
}

// decode returns the changes in the listed servers. A server whose entry can no
// longer be decoded is removed.
func (s *Servers) decode(items []api.Item) message.ServerChange {
	var change message.ServerChange
	for _, item := range items {
		id := fleet.BackendServerID(item.Key)
		var server cell.Server
		ok, reason := false, ""
		if len(item.Value) > 0 {
			if server, ok, reason = s.records.Server(item); !ok {
				s.log.Event("server_entry_unreadable", "server", id, "offset", item.Offset, "error", reason)
			}
		}
		if ok {
			s.listed[id] = true
			change.Servers = append(change.Servers, server)
			continue
		}
		if s.listed[id] {
			delete(s.listed, id)
			change.Removed = append(change.Removed, id)
		}
	}
	return change
}
