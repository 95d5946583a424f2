package demo

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// checkEvery is how often the balancer asks an instance whether it is ready.
const checkEvery = 200 * time.Millisecond

// errNoneReady is returned while no instance is ready.
var errNoneReady = errors.New("no entry instance is ready")

// balancer stands for the platform's balancer: it sends each request to an
// instance that was ready when last asked.
type balancer struct {
	base  http.RoundTripper
	ready atomic.Pointer[[]string]
	next  atomic.Uint64
}

func newBalancer() *balancer {
	return &balancer{base: &http.Transport{MaxIdleConnsPerHost: 256}}
}

// watch follows the readiness of the instances until the context ends.
func (b *balancer) watch(ctx context.Context, instances []instance) {
	ticker := time.NewTicker(checkEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		var ready []string
		for _, i := range instances {
			if call(http.MethodGet, "http://"+i.Operations+"/readyz", nil, nil) == nil {
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

// RoundTrip implements http.RoundTripper. A run time in the context is passed
// to the stand-in's backend servers.
func (b *balancer) RoundTrip(r *http.Request) (*http.Response, error) {
	ready := b.ready.Load()
	if ready == nil || len(*ready) == 0 {
		return nil, errNoneReady
	}
	r = r.Clone(r.Context())
	r.URL.Host = (*ready)[b.next.Add(1)%uint64(len(*ready))]
	if millis, ok := r.Context().Value(runMillisKey{}).(int); ok {
		r.Header.Set("Lacewingfork-Simulated-Run-Ms", strconv.Itoa(millis))
	}
	return b.base.RoundTrip(r)
}
