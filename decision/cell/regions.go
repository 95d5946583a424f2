package cell

import (
	"maps"
	"slices"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// regionSet are the allowed regions of a queue. A nil set allows all.
type regionSet struct{ names []fleet.Region }

// regions are the allowed regions of the queues that have any. A queue that the
// configuration no longer has keeps its last ones.
type regions struct {
	allowed map[job.Queue]*regionSet
	unknown map[fleet.Region]bool // reported
}

// allows reports whether tasks may start on a worker. A data centre whose region is not
// known is in none.
func (r *regionSet) allows(w *worker) bool {
	return r == nil || w.region != "" && slices.Contains(r.names, w.region)
}

// regionsOf returns the allowed regions of a job's queue.
func (c *Cell) regionsOf(j *jobState) *regionSet {
	if len(c.regions.allowed) == 0 {
		return nil
	}
	return c.regions.allowed[j.job.Queue]
}

// regionAllows reports whether the queue of a job allows starts on a worker.
func (c *Cell) regionAllows(w *worker, j *jobState) bool { return c.regionsOf(j).allows(w) }

// setRegions applies the allowed regions of new queues, and reports each region that no
// data centre is in once.
func (c *Cell) setRegions(queues []QueueSettings) {
	known := slices.Collect(maps.Values(c.settings.Regions))
	for _, q := range queues {
		delete(c.regions.allowed, q.Name)
		if len(q.AllowedRegions) == 0 {
			continue
		}
		if c.regions.allowed == nil {
			c.regions = regions{map[job.Queue]*regionSet{}, map[fleet.Region]bool{}}
		}
		c.regions.allowed[q.Name] = &regionSet{slices.Clone(q.AllowedRegions)}
		for _, name := range q.AllowedRegions {
			if name != "" && !slices.Contains(known, name) && !c.regions.unknown[name] && len(c.regions.unknown) < maxUnknownRegions {
				c.regions.unknown[name] = true
				c.emit(Note{Event: NoteRegionUnknown, Detail: map[string]any{"region": quoted(string(name)), "queue": q.Name, "data_centres": len(c.settings.Regions)}})
			}
		}
	}
}

// maxUnknownRegions bounds the unknown regions that are reported.
const maxUnknownRegions = 64

// quoted returns the beginning of a value of another writer.
func quoted(text string) string { return text[:min(len(text), quotedBytes)] }
