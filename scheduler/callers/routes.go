package callers

import (
	"slices"
	"strings"

	"lacewingfork.example/lacewingfork/scheduler/api"
)

// routeTable finds the route of a call. It is immutable.
type routeTable struct {
	version int64
	limits  api.Limits
	byHost  map[string][]api.Route // sorted by prefix length, longest first
}

func newRouteTable(c *api.Configuration) *routeTable {
	t := &routeTable{version: c.Version, limits: c.Limits, byHost: map[string][]api.Route{}}
	for _, r := range c.Routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b api.Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return t
}

// find returns the route with the longest prefix of the path, and the rest of
// the path after the prefix.
func (t *routeTable) find(host, path string) (route api.Route, rest string, ok bool) {
	name, _, _ := strings.Cut(host, ":")
	for _, r := range t.byHost[name] {
		if after, found := strings.CutPrefix(path, r.PathPrefix); found {
			return r, after, true
		}
	}
	return api.Route{}, "", false
}
