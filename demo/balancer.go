package demo

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// readinessInterval is the time between readiness checks of the instances.
const readinessInterval = 200 * time.Millisecond

// errNoInstanceReady is returned if no instance passed its last readiness check.
var errNoInstanceReady = errors.New("no entry instance is ready")

// balancer stands in for the load balancer of the platform. It sends requests
// in turn to the instances that passed their last readiness check.
type balancer struct {
	base  http.RoundTripper
	ready atomic.Pointer[[]string]
	next  atomic.Uint64
}

func newBalancer() *balancer {
	return &balancer{base: &http.Transport{MaxIdleConnsPerHost: 256}}
}

// watch checks the readiness of the instances until the context ends.
func (b *balancer) watch(ctx context.Context, instances []instance) {
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		var ready []string
		for _, i := range instances {
			if callJSON(http.MethodGet, "http://"+i.Operations+"/readyz", nil, nil) == nil {
				ready = append(ready, i.Callers)
			}
		}
		b.ready.Store(&ready)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// RoundTrip implements http.RoundTripper. It passes a run time in the context on
// to the backend servers of the stand-in.
func (b *balancer) RoundTrip(r *http.Request) (*http.Response, error) {
	ready := b.ready.Load()
	if ready == nil || len(*ready) == 0 {
		return nil, errNoInstanceReady
	}
	r = r.Clone(r.Context())
	r.URL.Host = (*ready)[b.next.Add(1)%uint64(len(*ready))]
	if millis, ok := r.Context().Value(runMillisKey{}).(int); ok {
		r.Header.Set("Lacewingfork-Simulated-Run-Ms", strconv.Itoa(millis))
	}
	return b.base.RoundTrip(r)
}
