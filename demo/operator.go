package demo

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/callerapi"
	"lacewingfork.example/lacewingfork/operator"
	"lacewingfork.example/lacewingfork/operator/examples"
)

const (
	batchJobs        = 3
	tasksPerJob      = 4
	batchRunTime     = 3 * time.Second        // of one task
	jobCheckInterval = 500 * time.Millisecond // time between two requests for the list of jobs
)

// command runs the lacewingfork command and returns its standard output.
func (c *cluster) command(arguments ...string) ([]byte, error) {
	var addresses []string
	for _, i := range c.instances {
		addresses = append(addresses, "--callers", i.Callers, "--operations", i.Operations)
	}
	all := append([]string{"--log", "http://" + c.platform, "--json"}, append(addresses, arguments...)...)
	out, err := exec.Command(filepath.Join(c.bin, "lacewingfork"), all...).Output()
	var failed *exec.ExitError
	if errors.As(err, &failed) {
		return out, errors.Errorf("lacewingfork %s: exit code %d: %s",
			strings.Join(arguments, " "), failed.ExitCode(), strings.TrimSpace(string(failed.Stderr)))
	}
	if err != nil {
		return out, errors.Wrap(err, "run lacewingfork")
	}
	return out, nil
}

// publish writes the example configuration to a file and publishes it with the
// lacewingfork command.
func (c *cluster) publish() error {
	text, err := operator.Text(examples.Asante())
	if err != nil {
		return errors.Wrap(err, "print the configuration")
	}
	path := filepath.Join(c.work, "asante.toml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return errors.Wrap(err, "write the configuration")
	}
	_, err = c.command("config", "publish", path, "--replaces", "0", "--operator", "demo")
	return err
}

func (c *cluster) submitJobs() error {
	for range batchJobs {
		_, err := c.command("job", "submit", "--team", "seams", "--kind", "seam-watch",
			"--tasks", "4", "--slots", "1", "--milli-cpu", "2000", "--memory-mib", "1024", "--run-time", batchRunTime.String())
		if err != nil {
			return err
		}
	}
	return nil
}

// waitForTasks waits until all tasks of the jobs have succeeded or the context
// ends. It returns the number of succeeded tasks.
func (c *cluster) waitForTasks(ctx context.Context) (int, error) {
	ticker := time.NewTicker(jobCheckInterval)
	defer ticker.Stop()
	for {
		finished, err := c.countFinished()
		if err == nil && finished >= batchJobs*tasksPerJob {
			return finished, nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return finished, err
		}
	}
}

// countFinished returns the number of succeeded tasks of all jobs.
func (c *cluster) countFinished() (int, error) {
	out, err := c.command("job", "list")
	if err != nil {
		return 0, err
	}
	var jobs []callerapi.JobStatus
	if err := json.Unmarshal(out, &jobs); err != nil {
		return 0, errors.Wrap(err, "decode the list of jobs")
	}
	finished := 0
	for _, j := range jobs {
		finished += j.Succeeded
	}
	return finished, nil
}
