package standin

import (
	"context"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/platformapi"
)

// usageSample is a usage report with the time at which it was taken.
type usageSample struct {
	at     time.Time
	report platformapi.UsageReport
}

// sample takes a usage sample of every worker at the configured interval until
// the context ends.
func (m *machines) sample(ctx context.Context) {
	ticker := time.NewTicker(max(m.settings.usageEvery(), time.Millisecond))
	defer ticker.Stop()
	for {
		m.sampleAll()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sampleAll takes a usage sample of every worker and drops the samples that are
// older than the lag requires.
func (m *machines) sampleAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, s := range m.servers {
		m.updateTasks(s, now)
		s.samples = append(s.samples, usageSample{at: now, report: s.measure()})
		for len(s.samples) > 1 && now.Sub(s.samples[1].at) >= m.settings.usageLag() {
			s.samples = s.samples[1:]
		}
	}
}

// measure returns a report on the current usage and resets the latencies.
func (s *machine) measure() platformapi.UsageReport {
	r := platformapi.UsageReport{BackendServer: s.id, RequestSlots: s.requestSlots}
	r.Connections, _ = s.listener.counts()
	perSlot := s.capacity.MilliCPU / int64(max(1, s.capacity.Slots))
	r.MilliCPU = int64(s.requestSlots) * perSlot
	for service, l := range s.latencies {
		if r.Latencies == nil {
			r.Latencies = map[fleet.Service]int64{}
		}
		r.Latencies[service] = l.total.Microseconds() / l.count
	}
	clear(s.latencies)
	for _, t := range s.tasks {
		r.Tasks = append(r.Tasks, t.report())
		if t.running() {
			r.MilliCPU += t.start.Resources.MilliCPU
			r.MemoryMiB += t.start.Resources.MemoryMiB
		}
	}
	return r
}

// usage returns for each worker in a data centre the newest report that is at
// least as old as the lag. Workers without one and those that are down are left
// out.
func (m *machines) usage(dataCentre fleet.DataCentre) []platformapi.UsageReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var reports []platformapi.UsageReport
	for _, s := range sortedByID(m.servers) {
		if s.dataCentre != dataCentre || s.faults.Mode == BackendDown || len(s.samples) == 0 {
			continue
		}
		sample := s.samples[0]
		if now.Sub(sample.at) < m.settings.usageLag() {
			continue
		}
		sample.report.AgeMillis = ageMillis(now.Sub(sample.at))
		reports = append(reports, sample.report)
	}
	return reports
}
