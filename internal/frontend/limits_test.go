package frontend

import "testing"

// Guards against budgets that exceed what an instance has, or that leave no room for
// the 64 connections of each of some client machines and for a body of 1 MiB.
func TestLimitsFollowSizeOfInstance(t *testing.T) {
	const largestBody = 1 << 20
	for _, c := range []struct {
		memory      int64
		descriptors uint64
		connections int
	}{
		{184 << 20, 4100, 1472}, {536 << 20, 8192, 4288}, {536 << 20, 4100, 2600}, {64 << 20, 360, 106}, {184 << 20, 100, 1},
	} {
		got := NewLimits(Settings{}, c.memory, c.descriptors)
		if got.Connections != c.connections || got.Bytes != c.memory/8 || got.Bytes-got.ReservedBytes < largestBody {
			t.Errorf("%d MiB and %d descriptors: got %+v, want %d connections and an eighth of the memory", c.memory>>20, c.descriptors, got, c.connections)
		}
	}
	if got := NewLimits(Settings{Connections: 7, Bytes: 9}, 1, 1); got.Connections != 7 || got.Bytes != 9 {
		t.Errorf("got %+v, want the values that were set", got)
	}
}
