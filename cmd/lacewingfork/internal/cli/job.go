package cli

import (
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/callerapi"
	"lacewingfork.example/lacewingfork/fleet"
)

// jobSubmit implements the command job submit.
type jobSubmit struct {
	app          *app
	ID           string        `long:"id" description:"identifier of the job; repeat that of an earlier run to resume it; generated when missing"`
	Team         string        `long:"team" required:"yes" description:"team that the job belongs to"`
	Kind         string        `long:"kind" required:"yes" description:"kind of batch work, as configured"`
	Tasks        int           `long:"tasks" default:"1" description:"number of tasks"`
	Slots        int           `long:"slots" description:"slots of a task; as configured for the kind when missing"`
	MilliCPU     int64         `long:"milli-cpu" description:"thousandths of a core of a task"`
	MemoryMiB    int64         `long:"memory-mib" description:"memory of a task in MiB"`
	Accelerators int           `long:"accelerators" description:"accelerators of a task"`
	RunTime      time.Duration `long:"run-time" description:"declared run time of a task, such as 90m"`
	Parameters   string        `long:"parameters" description:"text that is passed to each task"`
}

// Execute implements flags.Commander.
func (c *jobSubmit) Execute([]string) error {
	if c.Tasks < 1 || c.RunTime < 0 || c.Slots < 0 || c.MilliCPU < 0 || c.MemoryMiB < 0 || c.Accelerators < 0 {
		return failf(Usage, "invalid job: expected at least one task and no negative size or run time")
	}
	if c.ID == "" {
		c.ID = c.app.env.NewID()
	}
	job := callerapi.Job{
		ID: fleet.JobID(c.ID), Team: fleet.Team(c.Team), Kind: c.Kind, Tasks: c.Tasks,
		Resources: fleet.Resources{
			Slots: c.Slots, MilliCPU: c.MilliCPU, MemoryMiB: c.MemoryMiB, Accelerators: c.Accelerators,
		},
		RunMillis: c.RunTime.Milliseconds(), Parameters: c.Parameters,
	}
	var accepted callerapi.JobStatus
	if err := c.app.callJobs(http.MethodPost, callerapi.PathJobs, job, &accepted, true); err != nil {
		if exitCodeOf(err) == Unknown {
			err = withExitCode(Unknown, errors.Wrapf(err, "job %s may have been accepted; run the command again with --id %s", c.ID, c.ID))
		}
		return err
	}
	accepted.ID = job.ID
	return c.app.printJobs(accepted, accepted)
}

// jobStatus implements the command job status.
type jobStatus struct {
	app  *app
	Args idArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *jobStatus) Execute([]string) error {
	var job callerapi.JobStatus
	if err := c.app.callJobs(http.MethodGet, jobPath(c.Args.ID), nil, &job, false); err != nil {
		return err
	}
	return c.app.printJobs(job, job)
}

// jobCancel implements the command job cancel.
type jobCancel struct {
	app  *app
	Args idArgument `positional-args:"yes" required:"yes"`
}

// cancelOutput is the JSON output of job cancel.
type cancelOutput struct {
	ID        string `json:"id"`
	Cancelled bool   `json:"cancelled"`
}

// Execute implements flags.Commander.
func (c *jobCancel) Execute([]string) error {
	if err := c.app.callJobs(http.MethodDelete, jobPath(c.Args.ID), nil, nil, true); err != nil {
		return err
	}
	return c.app.print(cancelOutput{c.Args.ID, true}, table{head: []string{c.Args.ID + ": cancelled"}})
}

// jobList implements the command job list.
type jobList struct {
	app  *app
	Team string `long:"team" description:"only jobs of this team"`
}

// Execute implements flags.Commander.
func (c *jobList) Execute([]string) error {
	var jobs []callerapi.JobStatus
	if err := c.app.callJobs(http.MethodGet, callerapi.PathJobs, nil, &jobs, false); err != nil {
		return err
	}
	selected := []callerapi.JobStatus{}
	for _, job := range jobs {
		if c.Team == "" || string(job.Team) == c.Team {
			selected = append(selected, job)
		}
	}
	return c.app.printJobs(selected, selected...)
}

func jobPath(id string) string { return callerapi.PathJobs + "/" + url.PathEscape(id) }

// printJobs prints value as JSON or jobs as a table.
func (a *app) printJobs(value any, jobs ...callerapi.JobStatus) error {
	t := table{head: []string{"ID", "TEAM", "KIND", "STATE", "TASKS", "WAITING", "RUNNING", "SUCCEEDED", "FAILED", "EVICTIONS", "REASON"}}
	for _, j := range jobs {
		t.add(j.ID, j.Team, j.Kind, j.State, j.Tasks, j.Waiting, j.Running, j.Succeeded, j.Failed, j.Evictions, j.Reason)
	}
	return a.print(value, t)
}

// callJobs tries the callers' addresses in order until one responds. Every call
// is idempotent, because the identifier of the job is fixed. When none responds,
// a call that changes state and may have been sent ends with exit code Unknown.
func (a *app) callJobs(method, path string, body, result any, changesState bool) error {
	if len(a.options.Callers) == 0 {
		return failf(Usage, "no callers' address given; set --callers or LACEWINGFORK_CALLERS")
	}
	var failures []error
	sent := false
	for _, address := range a.options.Callers {
		err := a.call(method, address, path, body, result)
		if err == nil || exitCodeOf(err) != Unreachable {
			return err
		}
		sent = sent || !errors.Is(err, errNotSent)
		failures = append(failures, err)
	}
	code := Unreachable
	if sent && changesState {
		code = Unknown
	}
	return withExitCode(code, errors.Join(failures...))
}

// exitCodeOf returns the exit code of an error, or Failure if it has none.
func exitCodeOf(err error) ExitCode {
	var coded *exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	return Failure
}
