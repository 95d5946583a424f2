package requestkey

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// BenchmarkMemory reports the heap bytes per used key in a table.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{4_096, 16_384, MaxKeys} {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			var perKey float64
			for b.Loop() {
				before := heapBytes()
				now := time.UnixMilli(1_800_000_000_000)
				t := New("la-plata/rack-017", 7, 0)
				for i := range n {
					key, _ := t.Issue(now, uint64(i))
					t.Use(now, key.String(), fleet.RequestID(fmt.Sprintf("%032x", i)))
				}
				perKey = float64(heapBytes()-before) / float64(n)
				runtime.KeepAlive(t)
			}
			b.ReportMetric(perKey, "bytes/key")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
