package task

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingfork.example/lacewingfork/fleet"
)

const (
	// maxAppendInterval bounds the time between retries of an append while the
	// log is unavailable.
	maxAppendInterval = 10 * time.Second
	// ringFullPause is the time before a retry when the log writer's ring is
	// full.
	ringFullPause = 200 * time.Millisecond
	// outageProbeInterval is the time between single offers during a log
	// outage. They detect the end of the outage when no record is pending.
	outageProbeInterval = 5 * time.Second
)

// pendingAppend is a record that was appended and is not read back yet.
type pendingAppend struct {
	record     Record
	firstAt    time.Time
	sentAt     time.Time
	retryAfter time.Duration
}

// logOutage tracks whether the log returns what was appended.
type logOutage struct {
	since      time.Time // zero while the log is available
	probeAt    time.Time
	lastReadAt time.Time // of the newest record or empty response
}

// recordID returns the ID that identifies a record when it is read back. Two
// appends of one record have the same ID. Names of unbounded length are hashed,
// because the log accepts identifiers of at most 128 bytes.
func recordID(r Record) string {
	switch r.Kind {
	case JobSubmitted:
		return "job:" + string(r.Job.ID)
	case Held:
		return fmt.Sprintf("held:%016x:%d", xxhash.Sum64String(string(r.Partition)), r.Epoch)
	case Cancelled:
		return "cancel:" + string(r.Task.Job)
	case SetAside:
		return "set-aside:" + string(r.Task.Job)
	case SnapshotPart:
		return fmt.Sprintf("snapshot:%s:%d", r.Part.Snapshot, r.Part.Index)
	case Started:
		server := xxhash.Sum64String(string(r.Server))
		return fmt.Sprintf("start:%s:%d:%d:%016x", r.Task.ID(), r.Attempt, r.Epoch, server)
	default:
		return fmt.Sprintf("end:%s:%d:%d", r.Task.ID(), r.Attempt, r.Epoch)
	}
}

func (l *Ledger) append(now time.Time, r Record) {
	id := recordID(r)
	if l.pending[id] != nil {
		return
	}
	p := &pendingAppend{record: r, firstAt: now, retryAfter: l.settings.ReadBackTimeout}
	l.pending[id] = p
	l.sendAppend(now, id, p)
}

func (l *Ledger) sendAppend(now time.Time, id string, p *pendingAppend) {
	p.sentAt = now
	l.out.Appends = append(l.out.Appends, Append{ID: id, Record: p.record})
	l.timers.add(now.Add(p.retryAfter), func(now time.Time) { l.retryAppend(now, id, p) })
}

func (l *Ledger) retryAppend(now time.Time, id string, p *pendingAppend) {
	if l.pending[id] != p {
		return
	}
	if l.outage.lastReadAt.Before(p.sentAt) && l.outage.since.IsZero() {
		l.outage.since, l.outage.probeAt = now, now.Add(outageProbeInterval)
		l.event(Event{Kind: EventLogUnresponsive, Detail: id})
	}
	if p.record.Kind == Started && now.Sub(p.firstAt) >= l.settings.StartTimeout {
		l.abandonStart(id, p.record)
		return
	}
	p.retryAfter = min(2*p.retryAfter, maxAppendInterval)
	l.sendAppend(now, id, p)
}

// AppendRefused schedules a retry of an append that was rejected because the log
// writer's ring was full.
func (l *Ledger) AppendRefused(now time.Time, id string) {
	p := l.pending[id]
	if p == nil {
		return
	}
	l.timers.add(now.Add(ringFullPause), func(now time.Time) {
		if l.pending[id] == p {
			p.sentAt = now
			l.out.Appends = append(l.out.Appends, Append{ID: id, Record: p.record})
		}
	})
}

// logResponded records that a read of the log returned, and ends an outage.
func (l *Ledger) logResponded(now time.Time) {
	l.outage.lastReadAt = now
	if !l.outage.since.IsZero() {
		l.event(Event{Kind: EventLogRecovered, Detail: now.Sub(l.outage.since).String()})
		l.outage = logOutage{lastReadAt: now}
	}
}

// Abandon stops the retries of a job's submission or cancellation whose client
// no longer waits. The record may still take effect.
func (l *Ledger) Abandon(id fleet.JobID) {
	delete(l.pending, recordID(Record{Kind: JobSubmitted, Job: &Job{ID: id}}))
	delete(l.pending, recordID(Record{Kind: Cancelled, Task: Ref{Job: id}}))
}

// Submit appends a job. The job is accepted once Read returns Accepted for it.
func (l *Ledger) Submit(now time.Time, j Job) {
	l.append(now, Record{Kind: JobSubmitted, Job: &j})
}

// Cancel appends the cancellation of a job.
func (l *Ledger) Cancel(now time.Time, id fleet.JobID, reason string) {
	l.append(now, Record{Kind: Cancelled, Task: Ref{Job: id}, Reason: reason})
}

func (l *Ledger) event(e Event) { l.out.Events = append(l.out.Events, e) }
