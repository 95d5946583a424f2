package cell

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lacewingfork.example/lacewingfork/decision/job"
	"lacewingfork.example/lacewingfork/fleet"
)

// triageKind is a kind of jobs of triageLoad.
type triageKind struct {
	queue     job.Queue
	priority  int
	steps     int
	tasks     int // mean of a step
	milliCPU  int64
	taskTime  time.Duration
	objective time.Duration
	worth     float64 // of a mean job
}

const triageSlack = 1.5

func (k triageKind) settings() QueueSettings {
	chain := time.Duration(triageSlack * float64(k.steps) * float64(k.taskTime))
	return QueueSettings{Name: k.queue, Service: "s", Priority: k.priority, MaxAttempts: 3, SlackFactor: triageSlack, TargetLatency: k.objective - chain}
}

func (k triageKind) meanWork() float64 {
	return float64(k.steps*k.tasks) * float64(k.milliCPU) / milliCPUPerCore * k.taskTime.Seconds()
}

// The kinds of the first deployment with high load, with their worth. The scheduler
// does not know the worth.
var (
	shortKind = triageKind{"short", 0, 1, 16, 1900, time.Second, 1900 * time.Millisecond, 0.342}
	batchKind = triageKind{"batch", 2, 2, 20, 1800, 2700 * time.Millisecond, 9100 * time.Millisecond, 1.6}
)

// triageJob is a job of triageLoad.
type triageJob struct {
	*crowdedJob
	kind triageKind
	job  job.Job
	// submitted is the time of the first submission, and last that of the last one.
	submitted, last time.Duration
	// rejections is the number of times that it was rejected; retryAt is when its
	// caller comes again, 0 if it does not.
	rejections int
	retryAt    time.Duration
}

// triageTries is the number of times that a caller submits a job.
const triageTries = 4

// time returns the time from the first submission to the end; 0 if there is none.
func (j *triageJob) time() time.Duration {
	if j.took == 0 {
		return 0
	}
	return j.took + j.last - j.submitted
}

func (j *triageJob) inTime() bool   { return j.took > 0 && j.time() <= j.objective }
func (j *triageJob) servable() bool { return j.took > 0 && j.time() <= 3*j.objective }

// earned returns what the caller of a job has got: the worth of its kind by its work,
// in full within its objective and 0.15 of it up to three times the objective.
func (j *triageJob) earned() float64 {
	worth := j.kind.worth * min(4, 0.3+0.7*j.work/j.kind.meanWork())
	switch {
	case j.inTime():
		return worth
	case j.servable():
		return 0.15 * worth
	default:
		return 0
	}
}

// triageLoad plays short and batch jobs on the servers of crowdedService.
type triageLoad struct {
	*crowdedService
	sizes *rand.Rand
	all   []*triageJob
	byID  map[fleet.JobID]*triageJob
}

func newTriageLoad(t *testing.T, seed uint64, byCost bool) *triageLoad {
	l := &triageLoad{crowdedService: newCrowdedService(t, seed, 0), sizes: rand.New(rand.NewPCG(seed, 31)), byID: map[fleet.JobID]*triageJob{}}
	l.cell.settings.TriageByCost = byCost
	l.taskTimes = map[fleet.JobID]time.Duration{}
	l.handle(QueuesChanged{Queues: []QueueSettings{
		shortKind.settings(), batchKind.settings(),
		{Name: "long", Service: "s", SlackFactor: 2.2, TargetLatency: 2500 * time.Millisecond},
	}})
	l.run(time.Second)
	return l
}

// offer submits a random job of a kind and returns its work in core-seconds.
func (l *triageLoad) offer(k triageKind) float64 {
	id := fleet.JobID(fmt.Sprintf("%016x", 1<<42+len(l.all)*0x9e37))
	j := &triageJob{crowdedJob: &crowdedJob{objective: k.objective}, kind: k, submitted: l.now, job: job.Job{ID: id, Queue: k.queue}}
	size := l.sizes.ExpFloat64()
	for i := range k.steps {
		step := job.Step{
			Count: 1 + int(size*float64(k.tasks)), Need: fleet.Resources{MilliCPU: k.milliCPU, MemoryMiB: 100}, Estimate: k.taskTime,
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		j.work += float64(step.Count) * taskWork(&step)
		j.job.Steps = append(j.job.Steps, step)
	}
	l.all, l.byID[id], l.jobs[id], l.taskTimes[id] = append(l.all, j), j, j.crowdedJob, k.taskTime
	l.submit(j)
	return j.work
}

func (l *triageLoad) submit(j *triageJob) {
	j.last, j.retryAt = l.now, 0
	l.handle(Submitted{Token: 1, Job: j.job})
	for _, r := range takeActions[Reply](l.fixture) {
		if r.Reply.Verdict != NotStored {
			continue
		}
		if j.rejections++; j.rejections < triageTries {
			j.retryAt = l.now + r.Reply.RetryAfter
		}
	}
}

// run lets time pass, and the callers that were rejected come again.
func (l *triageLoad) run(d time.Duration) {
	for end := l.now + d; l.now < end; {
		l.crowdedService.run(50 * time.Millisecond)
		for _, j := range l.all {
			if j.retryAt > 0 && l.now >= j.retryAt {
				l.submit(j)
			}
		}
	}
}

// play offers the given shares of the capacity for a time. Shares are in core-seconds
// for each second, relative to the cores.
func (l *triageLoad) play(d time.Duration, short, batch float64) {
	const cores = crowdedServers * crowdedMilliCPU / milliCPUPerCore
	offeredShort, offeredBatch := 0.0, 0.0
	for began := l.now; l.now-began < d; l.run(50 * time.Millisecond) {
		for elapsed := (l.now - began).Seconds(); offeredShort < short*cores*elapsed; {
			offeredShort += l.offer(shortKind)
		}
		for elapsed := (l.now - began).Seconds(); offeredBatch < batch*cores*elapsed; {
			offeredBatch += l.offer(batchKind)
		}
	}
}

// result is what the callers of a priority got.
type triageResult struct {
	jobs             int
	worth, offered   float64
	inTime, servable int // jobs within the objective, and up to three times the objective
	rejected         int // jobs that were rejected once or more often
}

func (r triageResult) String() string {
	return fmt.Sprintf("%d jobs: %.3f of the worth, %.3f in time, %.3f useful, %d rejected", r.jobs, r.worth/r.offered, float64(r.inTime)/float64(r.jobs), float64(r.servable)/float64(r.jobs), r.rejected)
}

// results returns the results by priority, and the total worth in the last place.
func (l *triageLoad) results() (byPriority map[int]*triageResult, worth float64) {
	byPriority = map[int]*triageResult{}
	for _, j := range l.all {
		r := byPriority[j.kind.priority]
		if r == nil {
			r = &triageResult{}
			byPriority[j.kind.priority] = r
		}
		r.jobs++
		r.worth += j.earned()
		r.offered += j.kind.worth * min(4, 0.3+0.7*j.work/j.kind.meanWork())
		if j.inTime() {
			r.inTime++
		}
		if j.servable() {
			r.servable++
		}
		if j.rejections > 0 {
			r.rejected++
		}
		worth += j.earned()
	}
	return byPriority, worth
}

// playBoth plays a load with the order by priority and with the order by cost.
func playBoth(t *testing.T, seed uint64, play func(l *triageLoad)) (off, on *triageLoad) {
	for _, byCost := range []bool{false, true} {
		l := newTriageLoad(t, seed, byCost)
		play(l)
		byPriority, worth := l.results()
		t.Logf("seed %d, by cost %v: worth %.1f; priority 0 %v; priority 2 %v", seed, byCost, worth, byPriority[0], byPriority[2])
		if byCost {
			on = l
		} else {
			off = l
		}
	}
	return off, on
}
