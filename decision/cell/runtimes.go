package cell

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/estimate"
	"lacewingfork.example/lacewingfork/decision/job"
)

// runKind selects the runs whose times are observed together: those of a queue and an
// image. Best-effort runs get idle processor time only, so they are a kind of their own.
type runKind struct {
	queue      job.Queue
	image      imageID
	bestEffort bool
}

// runTimes is what the cell has learnt about the run times of a kind.
type runTimes struct {
	// ratios is the distribution of the run time relative to what the caller's
	// estimate and the rack of the data let expect, in seconds for a ratio of 1. The
	// tasks of a kind are of very different length, but they exceed their estimates
	// in much the same way.
	ratios       estimate.Sketch
	copies, wins int // second copies that have ended, and those that were done first
}

// maxRunKinds bounds the kinds in memory, as callers name the images. Runs of further
// kinds are not observed.
const maxRunKinds = 512

func (c *Cell) kindOf(s *stepState) runKind {
	return runKind{s.occurrence.job.job.Queue, s.image, s.spec.BestEffort}
}

// observeRunTime adds a run that is done to the run times of its kind. One that resumed
// from a checkpoint or was throttled says nothing about the whole time of a task.
func (c *Cell) observeRunTime(r *run) {
	s := r.task.step
	base := c.declaredRunTime(r.worker, r.task)
	if !c.settings.UnevenDemand || !r.fresh || r.speed < fullSpeed || r.confirmedAt == 0 || s.spec.LongRunning || base <= 0 {
		return
	}
	kind := c.kindOf(s)
	times := c.runTimes[kind]
	if times == nil {
		if len(c.runTimes) >= maxRunKinds {
			return
		}
		if c.runTimes == nil {
			c.runTimes = map[runKind]*runTimes{}
		}
		times = &runTimes{}
		c.runTimes[kind] = times
	}
	ratio := float64(c.now.Steady-r.confirmedAt) / float64(base)
	times.ratios.Observe(sketchTime(c.now.Steady), time.Duration(ratio*float64(time.Second)))
}

// sketchTime converts a time of the holder's clock to the one that a sketch decays by.
func sketchTime(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }

// ratiosOf returns the observed run times of a step's kind, or nil if there are too few.
func (c *Cell) ratiosOf(s *stepState) *estimate.Sketch {
	times := c.runTimes[c.kindOf(s)]
	if times == nil || !times.ratios.Sufficient() {
		return nil
	}
	return &times.ratios
}

// scaled returns the run time that is a quantile of the ratios times what was declared.
func scaled(base time.Duration, ratios *estimate.Sketch, quantile float64) time.Duration {
	return time.Duration(float64(base) * ratios.Quantile(quantile).Seconds())
}

// expectedRest returns the median of the time that a run of a kind goes on after it has
// taken a time: of the runs that take longer than that, half end before. With a long
// tail it grows suddenly once a run has outlasted the others.
func expectedRest(base, elapsed time.Duration, ratios *estimate.Sketch) time.Duration {
	ratio := float64(elapsed) / float64(base)
	longer := ratios.FractionAbove(time.Duration(ratio * float64(time.Second)))
	if longer == 0 {
		return 0
	}
	return scaled(base, ratios, 1-longer/2) - elapsed
}
