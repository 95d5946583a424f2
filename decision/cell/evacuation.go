package cell

import (
	"maps"
	"slices"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
)

// EvacuationsChanged is the event that reports the data centres whose evacuation
// operators request, as a read showed them that began at ReadAt. Unavailable means
// instead that the store did not answer this read and the one before.
type EvacuationsChanged struct {
	DataCentres []fleet.DataCentre
	ReadAt      time.Duration
	Unavailable bool
}

func (EvacuationsChanged) isEvent() {}

// The decisions on evacuations that a Cell logs.
const (
	NoteEvacuationBegan     NoteEvent = "evacuation_began"
	NoteEvacuationProgress  NoteEvent = "evacuation_progress"
	NoteEvacuationWithdrawn NoteEvent = "evacuation_withdrawn"
	NoteEvacuationUnknown   NoteEvent = "evacuation_unknown_data_centre"
)

const evacuationsKey = Key("evacuations")

// maxDataCentreBytes bounds the name of a data centre in a request.
const maxDataCentreBytes = 200

// ValidDataCentre reports whether a request may name a data centre in this way.
func ValidDataCentre(name fleet.DataCentre) bool {
	return name != "" && len(name) <= maxDataCentreBytes && readable(string(name))
}

// EvacuationRecord is the set of evacuated data centres that a holder has applied. A
// later holder uses it while the store does not answer its read of the requests.
type EvacuationRecord struct {
	DataCentres []fleet.DataCentre `json:"data_centres,omitempty"`
	// Reopened are the withdrawals of the last maxCold.
	Reopened []ReopenedDataCentre `json:"reopened,omitempty"`
}

// ReopenedDataCentre is a data centre whose evacuation was withdrawn.
type ReopenedDataCentre struct {
	Name fleet.DataCentre `json:"name"`
	At   time.Time        `json:"at"`
}

// evacuations is what the holder knows about the operators' requests.
type evacuations struct {
	dataCentres map[fleet.DataCentre]bool
	reopenedAt  map[fleet.DataCentre]time.Duration
	read        bool          // readAt is valid
	readAt      time.Duration // start of the read that showed the set
	// unavailableAt is the start of the last read that the store did not answer, if it
	// repeatedly does not; 0 if it answers.
	unavailableAt time.Duration
	// validFrom is when the holder last lost its authority. Nothing read before counts.
	validFrom    time.Duration
	unknown      map[fleet.DataCentre]bool // logged as data centres without a server
	reservations []*reservation
	migratedAt   time.Duration // time of the last move
	reports      map[fleet.DataCentre]evacuationReport
}

// evacuationsCurrent reports whether the known set is recent enough to order starts:
// a request is in force within the age that the settings allow. While the store does
// not answer, the set that was applied last counts, which after a takeover is that of
// the earlier holder.
func (c *Cell) evacuationsCurrent() bool {
	e, limit := &c.evacuations, c.settings.MaxEvacuationAge
	switch {
	case limit == 0:
		return true
	case e.read && c.now.Steady-e.readAt <= limit:
		return true
	default:
		// The report expires like a read: a holder that has stood still does not know
		// whether the store answers.
		return e.unavailableAt > 0 && c.now.Steady-e.unavailableAt <= limit
	}
}

// evacuationsChanged applies a report on the requests.
func (c *Cell) evacuationsChanged(report EvacuationsChanged) {
	before := c.evacuationsCurrent()
	e := &c.evacuations
	if report.ReadAt < e.validFrom {
		return
	}
	if report.Unavailable {
		e.unavailableAt = report.ReadAt
	} else {
		e.unavailableAt, e.read, e.readAt = 0, true, report.ReadAt
		c.setEvacuations(report.DataCentres)
	}
	if !before && c.evacuationsCurrent() {
		c.needsScheduling = true
	}
}

// forgetEvacuationReads makes starts wait for a new read of the requests, after a time in
// which the holder may have stood still. The steady clock leaves out the suspensions of
// the machine.
func (c *Cell) forgetEvacuationReads() {
	e := &c.evacuations
	e.read, e.unavailableAt, e.validFrom = false, 0, c.now.Steady
}

// setEvacuations puts a set of evacuated data centres into force and records it.
func (c *Cell) setEvacuations(list []fleet.DataCentre) {
	set := map[fleet.DataCentre]bool{}
	for _, name := range list {
		set[name] = true
	}
	e := &c.evacuations
	if maps.Equal(set, e.dataCentres) {
		return
	}
	before := e.dataCentres
	e.dataCentres = set
	for name := range before {
		if !set[name] {
			e.reopenedAt[name] = c.now.Steady
		}
	}
	for name, d := range c.dataCentres {
		d.evacuated, d.reopenedAt = set[name], e.reopenedAt[name]
	}
	for _, name := range slices.Sorted(maps.Keys(set)) {
		if !before[name] {
			c.noteEvacuation(NoteEvacuationBegan, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if !set[name] {
			c.noteEvacuation(NoteEvacuationWithdrawn, name)
			delete(e.unknown, name)
			delete(e.reports, name)
		}
	}
	c.nextBatch.evacuations = true
	c.forgetRoom()
	c.needsScheduling = true
	c.checkEvacuatedNames()
}

func (c *Cell) noteEvacuation(event NoteEvent, name fleet.DataCentre) {
	workers, runs := 0, 0
	for _, w := range c.sortedWorkers {
		if w.server.DataCentre == name {
			workers++
			runs += len(w.runs)
		}
	}
	c.emit(Note{Event: event, Detail: map[string]any{"data_centre": name, "workers": workers, "runs": runs}})
}

// checkEvacuatedNames logs each evacuated data centre that no listed server is in. A
// server that is listed there later gets no start.
func (c *Cell) checkEvacuatedNames() {
	e := &c.evacuations
	if len(e.dataCentres) == len(e.unknown) || !c.serverListRead {
		return
	}
	inUse := map[fleet.DataCentre]bool{}
	for _, w := range c.sortedWorkers {
		inUse[w.server.DataCentre] = true
	}
	for _, name := range slices.Sorted(maps.Keys(e.dataCentres)) {
		if !inUse[name] && !e.unknown[name] {
			e.unknown[name] = true
			known := slices.Sorted(maps.Keys(inUse))
			c.emit(Note{Event: NoteEvacuationUnknown, Detail: map[string]any{
				"data_centre": name, "error": "no listed server is in this data centre", "known": known[:min(len(known), maxNamesInNote)],
			}})
		}
	}
}

// maxNamesInNote bounds the names of data centres in a log line.
const maxNamesInNote = 20

// evacuationRecord returns the record of the set in force.
func (c *Cell) evacuationRecord() *EvacuationRecord {
	e := &c.evacuations
	record := &EvacuationRecord{DataCentres: slices.Sorted(maps.Keys(e.dataCentres))}
	for _, name := range slices.Sorted(maps.Keys(e.reopenedAt)) {
		if age := c.now.Steady - e.reopenedAt[name]; age < maxCold {
			record.Reopened = append(record.Reopened, ReopenedDataCentre{name, c.now.Wall.Add(-age)})
		}
	}
	return record
}

// restoreEvacuations applies the record of the earlier holder.
func (c *Cell) restoreEvacuations(r *EvacuationRecord) {
	for _, name := range r.DataCentres {
		c.evacuations.dataCentres[name] = true
	}
	for _, reopened := range r.Reopened {
		if age := max(0, c.now.Wall.Sub(reopened.At)); age < maxCold {
			c.evacuations.reopenedAt[reopened.Name] = c.now.Steady - age
		}
	}
	for name, d := range c.dataCentres {
		d.evacuated, d.reopenedAt = c.evacuations.dataCentres[name], c.evacuations.reopenedAt[name]
	}
}

func (r *EvacuationRecord) check(report func(key, problem, expected string)) {
	names := slices.Clone(r.DataCentres)
	for _, reopened := range r.Reopened {
		names = append(names, reopened.Name)
	}
	for _, name := range names {
		if !ValidDataCentre(name) {
			report("data_centres", "names no data centre", "printable names of data centres")
		}
	}
}
