package store

import (
	"context"
	"maps"
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

// serverReadLimits let the holder read the list on another connection 2 s after a read, with
// serverReadInterval, if the present one has gone silent: no task may start on a server
// 2.5 s after it has reported that it drains.
var serverReadLimits = readLimits{wait: 500 * time.Millisecond, allowance: 600 * time.Millisecond}

// Servers is the duty that follows the server list while this instance holds
// the cell.
type Servers struct {
	store   api.Store
	records api.RecordDecoder
	log     *logs.Log
	changes *supervise.Ring[message.ServerChange]
	// Follow switches the tail on and off. Only the newest value counts.
	Follow *supervise.Ring[bool]
	// following and listed outlive a failure of the duty: the holder asks for the
	// list once for each role, and must learn of servers that are removed before
	// the duty reads again.
	following bool
	listed    map[fleet.BackendServerID]bool
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
	if s.following {
		t = s.newTail()
	}
	for {
		if t == nil {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case follow := <-s.Follow.Items():
				t = s.follow(follow)
			case r := <-dumps:
				r.Answer(nil)
			}
			continue
		}
		select {
		case follow := <-s.Follow.Items():
			t = s.follow(follow)
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

// follow begins with an empty list and returns its tail, or nil if following is
// false.
func (s *Servers) follow(following bool) *tail {
	s.following, s.listed = following, map[fleet.BackendServerID]bool{}
	if !following {
		return nil
	}
	return s.newTail()
}

// newTail returns a tail that starts with the full list.
func (s *Servers) newTail() *tail {
	return &tail{store: s.store, log: s.log, topic: api.ServerTopic, interval: serverReadInterval, limits: serverReadLimits, onSnapshot: s.replaceList, onChange: s.applyChanges}
}

// replaceList replaces the list by the newest record of every server and
// forwards the change.
func (s *Servers) replaceList(ctx context.Context, items []api.Item) error {
	listed := map[fleet.BackendServerID]bool{}
	change := s.decode(items, listed)
	change.Full = true
	for id := range s.listed {
		if !listed[id] {
			change.Removed = append(change.Removed, id)
		}
	}
	if err := s.changes.Put(ctx, change); err != nil {
		return err
	}
	s.listed = listed
	return nil
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
	listed := maps.Clone(s.listed)
	if err := s.changes.Put(ctx, s.decode(last, listed)); err != nil {
		return err
	}
	s.listed = listed
	return nil
}

// decode returns the changes in the listed servers and applies them to listed. A
// server whose entry can no longer be decoded is removed.
func (s *Servers) decode(items []api.Item, listed map[fleet.BackendServerID]bool) message.ServerChange {
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
			if reason != "" {
				s.log.Event("server_entry_finding", "server", id, "offset", item.Offset, "error", reason)
			}
			listed[id] = true
			change.Servers = append(change.Servers, server)
			continue
		}
		if listed[id] {
			delete(listed, id)
			change.Removed = append(change.Removed, id)
		}
	}
	return change
}
