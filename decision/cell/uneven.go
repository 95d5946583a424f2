package cell

import "time"

// unevenNoteInterval is the least time between two notes on uneven demand. Each of its
// decisions may be made many times a second.
const unevenNoteInterval = 5 * time.Second

// unevenCounts counts the decisions on uneven demand and unlike servers.
type unevenCounts struct {
	RackWaits    int // tasks that began to wait for the rack of their data
	RemoteStarts int // starts outside the rack of the data
	ColdStarts   int // starts on cold servers
	Copies       int // second runs of speculative tasks that were started
	CopyWins     int // those that were done first
}

// UnevenDecisions are the keys of NoteUnevenDemand that count decisions.
var UnevenDecisions = []string{"rack_waits", "remote_starts", "cold_starts", "copies", "copy_wins"}

// noteUneven logs the decisions on uneven demand since the last note.
func (c *Cell) noteUneven() {
	if c.uneven == (unevenCounts{}) || c.now.Steady-c.unevenNotedAt < unevenNoteInterval {
		return
	}
	c.emit(Note{Event: NoteUnevenDemand, Detail: map[string]any{
		"rack_waits": c.uneven.RackWaits, "remote_starts": c.uneven.RemoteStarts, "cold_starts": c.uneven.ColdStarts, "copies": c.uneven.Copies, "copy_wins": c.uneven.CopyWins,
		"awaiting_rack": c.racks.waiting,
	}})
	c.uneven, c.unevenNotedAt = unevenCounts{}, c.now.Steady
}

// unevenStarted notes a start that has been ordered.
func (c *Cell) unevenStarted(r *run) {
	c.racks.started(c, r)
	if c.now.Steady < r.worker.cold.until {
		r.worker.cold.lastStart = c.now.Steady
		c.uneven.ColdStarts++
	}
	if rack := r.task.step.spec.DataRack; rack != "" && rack != r.worker.server.Rack() {
		c.uneven.RemoteStarts++
	}
}
