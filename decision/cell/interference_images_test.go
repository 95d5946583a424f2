package cell

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// submitImages submits a job with a step for each image, whose tasks never start.
func (f *fixture) submitImages(n int, images ...string) fleet.JobID {
	id := fleet.JobID(fmt.Sprintf("%016x", n))
	var steps []job.Step
	for _, image := range images {
		step := oneTaskStep()
		step.Image = image
		steps = append(steps, step)
	}
	f.submit(id, steps...)
	return id
}

// Guards against a holder that runs out of memory, and whose successors do, because
// callers keep naming new images (review/7), and against the loss of what was learnt of
// the images in use.
func TestFloodOfImagesIsBounded(t *testing.T) {
	f := newFixture(t, 1)
	f.configureQueue()
	m := f.cell.interference
	f.submitImages(1, "serving", "batch")
	serving, batch := m.id("serving"), m.id("batch")
	m.observe(serving, 45, 30, defaultLoad, []segment{{weight: 1, shares: addShare(nil, batch, 0.4)}})
	want := m.pressure(serving, batch)
	for i := range 5000 {
		id := f.submitImages(2+i, fmt.Sprintf("release-%d", i), fmt.Sprintf("release-%d-b", i))
		f.handle(CancelRequested{Token: 2, Queue: "q", ID: id})
		f.advance(100 * time.Millisecond)
		if len(m.names) > maxImages || len(m.pressures) > maxImages {
			t.Fatalf("the model has %d images after %d jobs, want at most %d", len(m.names), i, maxImages)
		}
	}
	if got := m.pressure(m.id("serving"), m.id("batch")); got != want || m.id("serving") != serving {
		t.Errorf("pressure %g of index %d, want %g of %d as before the flood", got, m.id("serving"), want, serving)
	}
	if s := f.cell.Stats(); s.Images >= maxImages || s.ImageEvictions == 0 {
		t.Errorf("got %d images and %d evictions in the state dump", s.Images, s.ImageEvictions)
	}
}

// Guards against images in use that lose their index, and against estimates of one image
// that are used for another.
func TestImagesKeepTheirIndexWhileInUse(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(t, 1)
		f.configureQueue()
		m := f.cell.interference
		live := map[fleet.JobID][]string{}
		next := 1
		rt.Repeat(map[string]func(*rapid.T){
			"submit": func(rt *rapid.T) {
				var names []string
				for range rapid.IntRange(1, 40).Draw(rt, "images") {
					names = append(names, fmt.Sprintf("image-%d", rapid.IntRange(0, 400).Draw(rt, "image")))
				}
				live[f.submitImages(next, names...)] = names
				next++
			},
			"cancel": func(*rapid.T) {
				for id := range live {
					f.handle(CancelRequested{Token: 2, Queue: "q", ID: id})
					delete(live, id)
					break
				}
			},
			"pass": func(*rapid.T) { f.advance(time.Second) },
			"": func(rt *rapid.T) {
				if len(m.names) > maxImages {
					rt.Fatalf("%d images, want at most %d", len(m.names), maxImages)
				}
				for id, names := range live {
					for i, s := range f.cell.jobs[id].occurrences[0].steps {
						if s.image != otherImages && m.names[s.image] != names[i] {
							rt.Fatalf("step %d of %s has the index of %q, want that of %q", i, id, m.names[s.image], names[i])
						}
					}
				}
			},
		})
	})
}

// Guards against a record that the store refuses for its size, and against one of an
// earlier version that makes the next holder use as much memory.
func TestInterferenceRecordIsBounded(t *testing.T) {
	const storeLimit = 262144
	m := newInterferenceModel()
	m.enableFilter()
	for i := range maxImages {
		m.id(fmt.Sprintf("%0200d", i))
	}
	for a := range m.pressures {
		for b := range m.pressures[a] {
			m.pressures[a][b] = pressure{known: true, value: 11.25, count: a * b}
		}
	}
	text, err := json.Marshal(Record{Key: interferenceKey, Interference: m.record()})
	if err != nil || len(text) >= storeLimit {
		t.Errorf("the record has %d bytes (%v), want less than %d", len(text), err, storeLimit)
	}
	large := &InterferenceRecord{}
	for i := range 3000 {
		large.Images = append(large.Images, fmt.Sprintf("old-%d", i))
		large.MinTailMS, large.MeanPressure = append(large.MinTailMS, 5), append(large.MeanPressure, 2)
	}
	large.Pairs = []InterferencePair{{Serving: 2900, BestEffort: 2901, Pressure: 4}}
	next := newInterferenceModel()
	next.restore(large)
	if got := next.pressure(next.id("old-2900"), next.id("old-2901")); len(next.names) > maxImages || got != 4 {
		t.Errorf("restored %d images and a pressure of %g, want at most %d and 4", len(next.names), got, maxImages)
	}
}

// BenchmarkImagesEverSeen measures a start with many images named before.
func BenchmarkImagesEverSeen(b *testing.B) {
	for _, images := range []int{100, 1000, 10000, 100000} {
		b.Run(fmt.Sprintf("images=%d", images), func(b *testing.B) {
			m := newInterferenceModel()
			for i := range images {
				if name := fmt.Sprintf("image-%d", i); !m.hasRoomFor(name) {
					m.evict(make([]bool, len(m.names)))
				} else {
					m.id(name)
				}
			}
			b.ReportMetric(float64(len(m.pressures)*len(m.pressures)*40)/1e6, "MB")
			b.ResetTimer()
			for i := range b.N {
				m.pressure(imageID(i%len(m.names)), imageID((i+1)%len(m.names)))
			}
		})
	}
}
