package partition

import (
	"time"

	"lacewingfork.example/lacewingfork/decision/estimate"
	"lacewingfork.example/lacewingfork/decision/interference"
)

// recentRunsLength covers 7 s of runs on a backend server of 8 slots at 30 ms a
// run: a report covers the second before its sample and arrives 5 s late.
const recentRunsLength = 2048

// recentRuns is a ring buffer of the last runs on one backend server. A report
// gives the mean service time over all operations of a service, which depends
// on the mix of operations that ran. Without a correction for the mix, a few
// long operations looked like interference, and tasks were evicted although
// slots were idle.
type recentRuns struct {
	runs [recentRunsLength]endedRun
	next int
}

type endedRun struct {
	at       int64 // ns since 1970; a time.Time would double the size
	service  interference.ServiceIndex
	expected float32 // baseline run time of the operation on all servers, s
}

func (r *recentRuns) add(now time.Time, service interference.ServiceIndex, expected time.Duration) {
	r.runs[r.next] = endedRun{now.UnixNano(), service, float32(expected.Seconds())}
	r.next = (r.next + 1) % recentRunsLength
}

// expectedMean returns the mean of the baseline run times of a service's runs
// that ended in a window, or 0 if none did. It reports false if no run of the
// service on this server is recorded at all, because the requests there were
// not placed by this State.
func (r *recentRuns) expectedMean(service interference.ServiceIndex, after, until time.Time) (mean time.Duration, known bool) {
	from, to := after.UnixNano(), until.UnixNano()
	sum, n := 0.0, 0
	for i := range r.runs {
		run := &r.runs[i]
		if run.service != service || run.at == 0 {
			continue
		}
		known = true
		if run.at > from && run.at <= to {
			sum += float64(run.expected)
			n++
		}
	}
	if n == 0 {
		return 0, known
	}
	return time.Duration(sum / float64(n) * float64(time.Second)), known
}

// runTimeBaseline holds a slow moving average of the run time of each operation
// and each service. A fast one would follow a period of interference and hide
// it.
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

// minMeanWeight is the minimum weight of one run. At one run a second on each of
// ten servers, runs older than about an hour no longer contribute.
const minMeanWeight = 0.0005

// add records a run and returns the mean run time of its operation.
func (b *runTimeBaseline) add(service interference.ServiceIndex, operation *estimate.Operation, run time.Duration) time.Duration {
	o := b.operations[operation]
	if o == nil {
		o = &meanRunTime{}
		b.operations[operation] = o
	}
	o.add(run.Seconds())
	if service != interference.NoService {
		for int(service) >= len(b.services) {
			b.services = append(b.services, meanRunTime{})
		}
		b.services[service].add(run.Seconds())
	}
	return time.Duration(o.mean * float64(time.Second))
}

func (m *meanRunTime) add(seconds float64) {
	m.runs++
	m.mean += (seconds - m.mean) * max(minMeanWeight, 1/float64(m.runs))
}

// adjustForMix scales a reported mean run time from the mix of operations that
// ran, with the mean expected, to the average mix of the service. It returns 0,
// which callers ignore, if the mix is unknown.
func (b *runTimeBaseline) adjustForMix(service interference.ServiceIndex, mean, expected time.Duration) time.Duration {
	if expected <= 0 || service == interference.NoService || int(service) >= len(b.services) {
		return 0
	}
	return time.Duration(float64(mean) * b.services[service].mean / expected.Seconds())
}
