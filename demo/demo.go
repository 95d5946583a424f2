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

// The scenario's times, from the start of the load.
const (
	killAfter    = 4 * time.Second
	replaceAfter = 12 * time.Second
	stopAfter    = 20 * time.Second
	loadDuration = 26 * time.Second
	loadRate     = 120 // requests a second
	readyWait    = 20 * time.Second
	jobsWait     = 15 * time.Second
	partitions   = 3
)

// Settings of a run.
type Settings struct {
	Bin  string // directory with the programs
	Work string // directory for settings and logs
	Out  io.Writer
}

// Report is what a run brought.
type Report struct {
	Load       load.Result
	Violations standin.Violations
	// RefusedButRun counts bookings that were refused as not run and ran;
	// LostBookings those that were answered and never ran.
	RefusedButRun int
	LostBookings  int
	TasksFinished int
	StopErr       error // of the planned stop
}

// Run carries out the scenario. It returns an error when the system could not
// be run; broken promises are in the report.
func Run(ctx context.Context, s Settings) (Report, error) {
	c, err := newCluster(s.Bin, s.Work)
	if err != nil {
		return Report{}, err
	}
	defer c.close()
	if err := c.publish(); err != nil {
		return Report{}, err
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	if err := c.ready(readyCtx, partitions); err != nil {
		return Report{}, err
	}
	fmt.Fprintln(s.Out, "all instances are ready; load starts")
	return c.scenario(ctx, s.Out)
}

func (c *cluster) scenario(ctx context.Context, out io.Writer) (Report, error) {
	var report Report
	b := newBalancer()
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go b.watch(watchCtx, c.addresses())
	t, err := newTraffic(b, c.callersAddresses(), loadRate*int(loadDuration.Seconds()))
	if err != nil {
		return report, err
	}
	loaded := supervise.NewRing[load.Result]("demo.loaded", 1, supervise.Refuse)
	go func() { _ = loaded.Put(ctx, t.run(ctx, loadRate, loadDuration)) }()
	if err := c.submitJobs(); err != nil {
		return report, err
	}
	started := time.Now()
	steps := []struct {
		after time.Duration
		text  string
		do    func() error
	}{
		{killAfter, "SIGKILL entry-1", func() error { c.instances[0].process.kill(); return c.unlist(c.instances[0]) }},
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
	report.Load = <-loaded.Items()
	return report, c.settle(ctx, t, &report)
}

// settle waits for the batch tasks and counts what must not have happened.
func (c *cluster) settle(ctx context.Context, t *traffic, report *Report) error {
	jobsCtx, cancel := context.WithTimeout(ctx, jobsWait)
	defer cancel()
	finished, err := c.finishedTasks(jobsCtx)
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
		if strings.HasPrefix(b.end, endRefused) && runs > 0 {
			report.RefusedButRun++
		}
		if b.end == endAnswered && runs == 0 {
			report.LostBookings++
		}
	}
	report.Violations, err = c.violations()
	return err
}
