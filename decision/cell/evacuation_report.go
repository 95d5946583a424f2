package cell

import (
	"maps"
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// EvacuationStats is what still runs in an evacuated data centre: all runs, those of
// long-running tasks, and all by the reason why they are there.
type EvacuationStats struct {
	DataCentre  fleet.DataCentre `json:"data_centre"`
	Workers     int              `json:"workers"`
	Runs        int              `json:"runs"`
	LongRunning int              `json:"long_running_runs"`
	Reasons     map[string]int   `json:"reasons,omitempty"`
}

// Evacuations returns the evacuated data centres, by name.
func (c *Cell) Evacuations() []EvacuationStats {
	if len(c.evacuations.dataCentres) == 0 {
		return nil
	}
	names := slices.Sorted(maps.Keys(c.evacuations.dataCentres))
	stats := make([]EvacuationStats, len(names))
	for i, name := range names {
		stats[i] = EvacuationStats{DataCentre: name, Reasons: map[string]int{}}
	}
	for _, w := range c.sortedWorkers {
		i, evacuated := slices.BinarySearch(names, w.server.DataCentre)
		if !evacuated {
			continue
		}
		stats[i].Workers++
		for _, r := range w.runsInOrder {
			stats[i].Runs++
			stats[i].Reasons[stayingNames[c.stays(r)]]++
			if r.task.step.spec.LongRunning {
				stats[i].LongRunning++
			}
		}
	}
	return stats
}

// evacuationReport is when the progress of an evacuation is logged next.
type evacuationReport struct {
	at       time.Duration
	interval time.Duration
	empty    bool // logged with nothing left
}

// firstEvacuationReport is the time until the first line on the progress of an
// evacuation. Each further one follows after twice the time, up to
// maxEvacuationReport, until nothing runs there.
const (
	firstEvacuationReport = time.Second
	maxEvacuationReport   = 30 * time.Second
)

// reportEvacuations logs what still runs in the evacuated data centres, and why.
func (c *Cell) reportEvacuations() {
	e, due := &c.evacuations, false
	for name := range e.dataCentres {
		if report, known := e.reports[name]; !known {
			e.reports[name] = evacuationReport{at: c.now.Steady + firstEvacuationReport, interval: firstEvacuationReport}
		} else {
			due = due || c.now.Steady >= report.at
		}
	}
	if !due {
		return
	}
	for _, s := range c.Evacuations() {
		report := e.reports[s.DataCentre]
		if c.now.Steady < report.at {
			continue
		}
		report.interval = min(2*report.interval, maxEvacuationReport)
		report.at = c.now.Steady + report.interval
		if !report.empty || s.Runs > 0 {
			detail := map[string]any{"data_centre": s.DataCentre, "workers": s.Workers, "runs": s.Runs, "long_running": s.LongRunning}
			for reason, count := range s.Reasons {
				detail["runs_"+reason] = count
			}
			c.emit(Note{Event: NoteEvacuationProgress, Detail: detail})
		}
		report.empty = s.Runs == 0
		e.reports[s.DataCentre] = report
	}
}

// reportedObstacle is obstacleTo for a log line: a worker counts as evacuated if it
// would have room for the task otherwise.
func (c *Cell) reportedObstacle(w *worker, t *task) obstacle {
	found := c.obstacleTo(w, t)
	if found != obstacleEvacuated {
		return found
	}
	if other := c.obstacleOnOpen(w, t); other != obstacleNone {
		return other
	}
	return obstacleEvacuated
}
