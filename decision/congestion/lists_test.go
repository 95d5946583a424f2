package congestion

import (
	"testing"
	"time"
)

// Guards against lists that displace the starts on a narrow link or a small processor,
// and against ends that are learnt late where there is capacity enough.
func TestListInterval(t *testing.T) {
	const mbps = 1e6 / 8
	for _, c := range []struct {
		name     string
		capacity Capacity
		workers  int
		bytes    int
		from, to time.Duration
	}{
		{"capacity is not known", Capacity{}, 5400, 10 << 20, 0, 0},
		{"few workers on a wide link", Capacity{1000 * mbps, 0.4}, 66, 66 << 10, 0, 150 * time.Millisecond},
		{"many workers on a wide link", Capacity{200 * mbps, 0.8}, 540, 800 << 10, 0, 500 * time.Millisecond},
		{"narrow link", Capacity{2 * mbps, 1}, 90, 120 << 10, 900 * time.Millisecond, 1100 * time.Millisecond},
		{"small processor", Capacity{1000 * mbps, 0.07}, 90, 120 << 10, 500 * time.Millisecond, 1100 * time.Millisecond},
		{"more workers than an instance can list", Capacity{2 * mbps, 0.07}, 5400, 10 << 20, maxListInterval, maxListInterval},
	} {
		if got := ListInterval(c.capacity, c.workers, c.bytes); got < c.from || got > c.to {
			t.Errorf("%s: got %v, want %v to %v", c.name, got, c.from, c.to)
		}
	}
}
