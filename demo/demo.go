package demo

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/internal/wait"
	"lacewingfork.example/lacewingfork/load"
	"lacewingfork.example/lacewingfork/standin"
	"lacewingfork.example/lacewingfork/supervise"
)

// Times and sizes of the scenario. The first three count from the start of the
// load.
const (
	killAfter    = 4 * time.Second
	replaceAfter = 12 * time.Second
	stopAfter    = 20 * time.Second
	loadDuration = 26 * time.Second
	loadRate     = 120              // requests a second
	readyTimeout = 20 * time.Second // until all instances are ready
	jobsTimeout  = 15 * time.Second // from the end of the load until all tasks have succeeded
	partitions   = 3                // partitions that must be held before the load starts
)

// Settings configures a run.
type Settings struct {
	Bin  string // directory of the programs
	Work string // directory for settings files and logs
	Out  io.Writer
}

// Report holds the results of a run.
type Report struct {
	Load       load.Result
	Violations standin.Violations
	// RefusedButRun counts bookings that were refused as not run but ran.
	// LostBookings counts those that were answered but never ran.
	RefusedButRun int
	LostBookings  int
	TasksFinished int
	StopErr       error // of the planned stop
}

// Run starts the system and runs the scenario. It returns an error if the
// system could not be run; violated guarantees are in the report.
func Run(ctx context.Context, s Settings) (Report, error) {
	c, err := newCluster(s.Bin, s.Work)
	if err != nil {
		return Report{}, err
	}
	defer c.close()
	if err := c.publish(); err != nil {
		return Report{}, err
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := c.waitUntilReady(readyCtx, partitions); err != nil {
		return Report{}, err
	}
	fmt.Fprintln(s.Out, "all instances are ready; load starts")
	return c.runScenario(ctx, s.Out)
}

// runScenario generates load and submits batch jobs while one instance is killed
// and replaced and another is stopped.
func (c *cluster) runScenario(ctx context.Context, out io.Writer) (Report, error) {
	var report Report
	b := newBalancer()
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go b.watch(watchCtx, c.copyInstances())
	t, err := newTraffic(b, c.callersAddresses(), loadRate*int(loadDuration.Seconds()))
	if err != nil {
		return report, err
	}
	results := supervise.NewRing[load.Result]("demo.loaded", 1, supervise.Refuse)
	go func() { _ = results.Put(ctx, t.run(ctx, loadRate, loadDuration)) }()
	if err := c.submitJobs(); err != nil {
		return report, err
	}
	started := time.Now()
	steps := []struct {
		after time.Duration
		text  string
		do    func() error
	}{
		{killAfter, "SIGKILL entry-1", func() error { c.instances[0].process.kill(); return c.deregister(c.instances[0]) }},
		{replaceAfter, "entry-1 is replaced", func() error { return c.startInstance(c.instances[0]) }},
		{stopAfter, "SIGTERM entry-2", func() error { report.StopErr = c.instances[1].process.stop(); return nil }},
	}
	for _, step := range steps {
		if !wait.For(ctx, step.after-time.Since(started)) {
			return report, ctx.Err()
		}
		fmt.Fprintf(out, "%5.1f s  %s\n", time.Since(started).Seconds(), step.text)
		if err := step.do(); err != nil {
			return report, errors.Wrap(err, step.text)
		}
	}
	report.Load = <-results.Items()
	return report, c.collectResults(ctx, t, &report)
}

// collectResults waits for the batch tasks and adds their number, the bookings
// with a wrong outcome and the violations to the report.
func (c *cluster) collectResults(ctx context.Context, t *traffic, report *Report) error {
	jobsCtx, cancel := context.WithTimeout(ctx, jobsTimeout)
	defer cancel()
	finished, err := c.waitForTasks(jobsCtx)
	if err != nil {
		return err
	}
	report.TasksFinished = finished
	for range t.bookings.Stats().Depth {
		b := <-t.bookings.Items()
		runs, err := c.keyRuns(b.key)
		if err != nil {
			return err
		}
		if strings.HasPrefix(b.outcome, outcomeRefused) && runs > 0 {
			report.RefusedButRun++
		}
		if b.outcome == outcomeAnswered && runs == 0 {
			report.LostBookings++
		}
	}
	report.Violations, err = c.violations()
	return err
}
