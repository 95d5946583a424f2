package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingfork.example/lacewingfork/decision/outcome"
	"lacewingfork.example/lacewingfork/fleet"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func partitions(region fleet.Region, n, slots int) []Candidate {
	list := make([]Candidate, 0, n)
	for i := range n {
		dc := fleet.DataCentre(fmt.Sprintf("%s-%d", region, i%2+1))
		list = append(list, Candidate{
			Partition: fleet.PartitionOf(dc, fleet.Rack(fmt.Sprintf("r%d", i))), Region: region,
			DataCentre: dc, Slots: slots, Reachable: true, Epoch: 1, Holder: fleet.InstanceID(fmt.Sprintf("e%d", i)),
		})
	}
	return list
}

func full(slots, waiting int) Hint {
	return Hint{At: start, FreeSlots: 0, Waiting: waiting, ExpectedWait: time.Second}
}

// Guards against a request that is sent to another region although a partition
// in its own region can take it, to an unreachable partition, to one that
// refused it, or beyond the byte budget between regions.
func TestChoices(t *testing.T) {
	near, far := partitions("accra", 2, 8), partitions("takoradi", 1, 8)
	cases := []struct {
		name   string
		change func(s *State, request *Request)
		region fleet.Region
		reason outcome.Reason
	}{
		{"free slots nearby", func(*State, *Request) {}, "accra", outcome.NoReason},
		{"region is full", func(s *State, _ *Request) {
			s.Observe(near[0].Partition, 1, full(8, 40))
			s.Observe(near[1].Partition, 1, full(8, 40))
		}, "takoradi", outcome.NoReason},
		{"region is full, budget is spent", func(s *State, request *Request) {
			s.Observe(near[0].Partition, 1, full(8, 40))
			s.Observe(near[1].Partition, 1, full(8, 40))
			request.Bytes = 10_000
		}, "accra", outcome.NoReason},
		{"stale hint says full", func(s *State, _ *Request) {
			old := full(8, 40)
			old.At = start.Add(-time.Minute)
			s.Observe(near[0].Partition, 1, old)
			s.Observe(near[1].Partition, 1, old)
		}, "accra", outcome.NoReason},
		{"refused by the whole region", func(_ *State, request *Request) {
			request.Tried = []fleet.PartitionID{near[0].Partition, near[1].Partition}
		}, "takoradi", outcome.NoReason},
		{"service runs elsewhere only", func(_ *State, request *Request) {
			request.Regions = []fleet.Region{"takoradi"}
		}, "takoradi", outcome.NoReason},
		{"service runs elsewhere, budget is spent", func(_ *State, request *Request) {
			request.Regions, request.Bytes = []fleet.Region{"takoradi"}, 10_000
		}, "", outcome.RegionBudget},
		{"no partition has a holder", func(s *State, _ *Request) {
			s.SetCandidates(nil)
		}, "", outcome.NoHolder},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := New("accra", "accra-1", 1000)
			s.SetCandidates(append(append([]Candidate{}, near...), far...))
			request := Request{Deadline: start.Add(500 * time.Millisecond), Bytes: 100, Random: 7}
			c.change(s, &request)
			got, reason := s.Choose(start, request)
			if got.Region != c.region || reason != c.reason {
				t.Fatalf("got %q in %q, reason %q; want region %q, reason %q", got.Partition, got.Region, reason, c.region, c.reason)
			}
		})
	}
}

// Guards against the choice of an unreachable partition or one that refused the
// request, and against more bytes to other regions than the budget, for random
// candidates, hints and requests.
func TestChooseInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New("accra", "accra-1", 2000)
		list := append(partitions("accra", rapid.IntRange(0, 5).Draw(t, "near"), 8), partitions("takoradi", rapid.IntRange(0, 3).Draw(t, "far"), 8)...)
		for i := range list {
			list[i].Reachable = rapid.Bool().Draw(t, "reachable")
		}
		s.SetCandidates(list)
		now, sent := start, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if len(list) > 0 && rapid.Bool().Draw(t, "hint") {
				c := rapid.SampledFrom(list).Draw(t, "hinted")
				s.Ended(c.Partition, Hint{At: now, FreeSlots: rapid.IntRange(0, 8).Draw(t, "free"), Waiting: rapid.IntRange(0, 50).Draw(t, "waiting")})
			}
			request := Request{Deadline: now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "wait")) * time.Millisecond), Bytes: rapid.IntRange(0, 900).Draw(t, "bytes"), Random: rapid.Uint64().Draw(t, "random")}
			if len(list) > 0 && rapid.Bool().Draw(t, "tried") {
				request.Tried = []fleet.PartitionID{rapid.SampledFrom(list).Draw(t, "refused").Partition}
			}
			got, reason := s.Choose(now, request)
			if reason != outcome.NoReason {
				continue
			}
			if !got.Reachable || contains(request.Tried, got.Partition) {
				t.Fatalf("chose %+v, want a reachable partition not in %v", got, request.Tried)
			}
			if got.Region != "accra" {
				sent += request.Bytes
			}
			s.Sent(got.Partition)
		}
		if allowed := 2000 + int(2000*now.Sub(start).Seconds()); sent > allowed {
			t.Fatalf("sent %d bytes to other regions, want at most %d", sent, allowed)
		}
	})
}

// Guards against requests that are sent to another data centre under light load.
func TestLightLoadStaysInDataCentre(t *testing.T) {
	s := New("accra", "accra-1", 1000)
	s.SetCandidates(partitions("accra", 6, 80))
	random := rand.New(rand.NewPCG(3, 4))
	for range 20 {
		c, _ := s.Choose(start, Request{Deadline: start.Add(time.Second), Random: random.Uint64()})
		s.Sent(c.Partition)
		if c.DataCentre != "accra-1" {
			t.Fatalf("chose %s in %s, want a partition in accra-1", c.Partition, c.DataCentre)
		}
	}
}

// Guards against hints that lag and thereby send all requests to the partition
// that had the lowest load.
func TestLaggingHintsDoNotConcentrateLoad(t *testing.T) {
	const requests = 600
	s := New("accra", "accra-1", 1000)
	list := partitions("accra", 6, 80)
	s.SetCandidates(list)
	for i, c := range list {
		s.Observe(c.Partition, 1, Hint{At: start, FreeSlots: 40 + i})
	}
	random := rand.New(rand.NewPCG(1, 2))
	counts := map[fleet.PartitionID]int{}
	for range requests {
		c, _ := s.Choose(start, Request{Deadline: start.Add(time.Second), Random: random.Uint64()})
		s.Sent(c.Partition)
		counts[c.Partition]++
	}
	for id, n := range counts {
		if n > 2*requests/len(list) {
			t.Errorf("%s got %d of %d requests, want at most %d", id, n, requests, 2*requests/len(list))
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{7, 45, 540} {
		b.Run(fmt.Sprintf("partitions=%d", n), func(b *testing.B) {
			s := New("accra", "accra-1", 1000)
			s.SetCandidates(partitions("accra", n, 80))
			request := Request{Deadline: start.Add(time.Second)}
			b.ReportAllocs()
			for i := range b.N {
				request.Random = uint64(i) * 0x9e3779b97f4a7c15
				c, _ := s.Choose(start, request)
				s.Sent(c.Partition)
				s.Ended(c.Partition, Hint{At: start, FreeSlots: 40})
			}
		})
	}
}
