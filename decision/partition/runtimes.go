package partition

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/estimate"
	"lacewingfork.example/lacewingfork/decision/interference"
)

// recentRunsLength covers the runs of 7 s on a backend server of 8 slots at 30 ms a
// run: a report tells of the second before its sample and comes 5 s late.
const recentRunsLength = 2048

// recentRuns remembers the newest runs on one backend server. A report gives the mean
// service time over all operations of a service, so its value follows which
// operations happened to run; without this a few long operations looked like
// interference, and tasks were evicted beside idle slots.
type recentRuns struct {
	runs [recentRunsLength]endedRun
	next int
}

type endedRun struct {
	at       int64 // ns since 1970; a time.Time would double the size
	service  interference.ServiceIndex
	expected float32 // usual run time of the operation on all servers, s
}

func (m *recentRuns) add(now time.Time, service interference.ServiceIndex, expected time.Duration) {
	m.runs[m.next] = endedRun{now.UnixNano(), service, float32(expected.Seconds())}
	m.next = (m.next + 1) % recentRunsLength
}

// expectedMean returns the mean run time that the runs of a service which ended in
// a window were expectedMean to have, or 0 when none did. It reports false when no
// run of the service on this server is known at all: others sent them.
func (m *recentRuns) expectedMean(service interference.ServiceIndex, after, until time.Time) (mean time.Duration, known bool) {
	from, to := after.UnixNano(), until.UnixNano()
	sum, n := 0.0, 0
	for i := range m.runs {
		r := &m.runs[i]
		if r.service != service || r.at == 0 {
			continue
		}
		known = true
		if r.at > from && r.at <= to {
			sum += float64(r.expected)
			n++
		}
	}
	if n == 0 {
		return 0, known
	}
	return time.Duration(sum / float64(n) * float64(time.Second)), known
}

// runTimeBaseline follows the mean run time of each operation and of each service,
// slowly: a mean that followed a wave of interference would hide the wave.
type runTimeBaseline struct {
	operations map[*estimate.Operation]*meanRunTime
	services   []meanRunTime // by interference.ServiceIndex
}

func newRunTimeBaseline() runTimeBaseline {
	return runTimeBaseline{operations: map[*estimate.Operation]*meanRunTime{}}
}

type meanRunTime struct {
	mean float64 // seconds
	runs uint64
}

// minMeanWeight is the least weight of one run: about an hour of one run a second
// on ten servers has no part in it any more.
const minMeanWeight = 0.0005

// add takes a run and returns what a run of its operation usually takes.
func (u *runTimeBaseline) add(service interference.ServiceIndex, operation *estimate.Operation, run time.Duration) time.Duration {
	o := u.operations[operation]
	if o == nil {
		o = &meanRunTime{}
		u.operations[operation] = o
	}
	o.add(run.Seconds())
	if service != interference.NoService {
		for int(service) >= len(u.services) {
			u.services = append(u.services, meanRunTime{})
		}
		u.services[service].add(run.Seconds())
	}
	return time.Duration(o.mean * float64(time.Second))
}

func (u *meanRunTime) add(seconds float64) {
	u.runs++
	u.mean += (seconds - u.mean) * max(minMeanWeight, 1/float64(u.runs))
}

// adjustForMix scales a reported mean to the usual mix of operations. It returns 0,
// which teaches nothing, when the mix behind the mean isn't known.
func (u *runTimeBaseline) adjustForMix(service interference.ServiceIndex, mean, expected time.Duration) time.Duration {
	if expected <= 0 || service == interference.NoService || int(service) >= len(u.services) {
		return 0
	}
	return time.Duration(float64(mean) * u.services[service].mean / expected.Seconds())
}
