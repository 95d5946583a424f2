package callers

import (
	"testing"

	"lacewingfork.example/lacewingfork/decision/cell"
	"lacewingfork.example/lacewingfork/scheduler/api"
)

// Guards against a call that is routed by a shorter prefix or to another host's
// queue.
func TestFindUsesLongestPrefixOfHost(t *testing.T) {
	table := newRouteTable(&api.Configuration{Version: 4, Routes: []api.Route{
		{Host: "a.example", PathPrefix: "/cut/", Queue: cell.QueueSettings{Name: "short"}},
		{Host: "a.example", PathPrefix: "/cut/zi93/", Queue: cell.QueueSettings{Name: "long"}},
		{Host: "b.example", PathPrefix: "/cut/", Queue: cell.QueueSettings{Name: "other"}},
	}})
	for _, c := range []struct{ host, path, queue, rest string }{
		{"a.example", "/cut/5c", "short", "5c"},
		{"a.example:8161", "/cut/zi93/5c", "long", "5c"},
		{"b.example", "/cut/", "other", ""},
		{"c.example", "/cut/5c", "", ""},
		{"a.example", "/cu", "", ""},
	} {
		got, rest, ok := table.find(c.host, c.path)
		if ok != (c.queue != "") || string(got.Queue.Name) != c.queue || rest != c.rest {
			t.Errorf("%s%s: got queue %q, rest %q, want queue %q, rest %q", c.host, c.path, got.Queue.Name, rest, c.queue, c.rest)
		}
	}
}
