package platformapi_test

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/go-faster/errors"
	"go.uber.org/goleak"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/platformapi"
	"lacewingfork.example/lacewingfork/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// contract runs scripts against the three interfaces. It knows the platform
// only through them; faults is what makes the other side misbehave.
type contract struct {
	log     platformapi.Log
	list    platformapi.InstanceList
	workers platformapi.Workers
	faults  *standin.StandIn
}

type command func(ctx context.Context, c *contract, d *datadriven.TestData) (string, error)

// runContract runs each script of a folder on a platform of its own, through
// HTTP and on a fake clock.
func runContract(t *testing.T, folder string, commands map[string]command) {
	datadriven.Walk(t, "testdata/"+folder, func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			c := startContract(t)
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				if d.Cmd == "wait" {
					time.Sleep(duration(t, d, "for")) // the bubble's clock
					synctest.Wait()
					return ""
				}
				run := commands[d.Cmd]
				if run == nil {
					d.Fatalf(t, "unknown command")
				}
				out, err := run(t.Context(), c, d)
				return out + outcome(err)
			})
		})
	})
}

func startContract(t *testing.T) *contract {
	network := standin.NewPipeNetwork()
	settings := standin.DefaultSettings()
	settings.Retention = standin.Retention{Records: 4, AgeMillis: 60_000}
	settings.Regions = []standin.Region{{Name: "accra", DataCentres: []standin.DataCentre{
		{Name: "accra-1", Racks: 1, BackendServers: 2},
	}}}
	s, err := standin.Start(settings, network.Listen)
	if err != nil {
		t.Fatal(err)
	}
	client, err := platformapi.NewClient(platformapi.ClientSettings{BaseURL: "http://" + s.Address(), Dial: network.Dial})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		client.Close()
		s.Close()
		synctest.Wait()
	})
	return &contract{log: client, list: client, workers: client, faults: s}
}

// outcome names the error's kind, which is all that the interface promises.
func outcome(err error) string {
	if err == nil {
		return ""
	}
	for _, kind := range []error{
		platformapi.ErrUnavailable, platformapi.ErrTruncated, platformapi.ErrFenced,
		platformapi.ErrInvalid, platformapi.ErrUnknown,
	} {
		if errors.Is(err, kind) {
			return "error: " + kind.Error()
		}
	}
	return "error of no kind: " + err.Error()
}

func text(d *datadriven.TestData, key string) string {
	for _, a := range d.CmdArgs {
		if a.Key == key && len(a.Vals) > 0 {
			return a.Vals[0]
		}
	}
	return ""
}

func number(d *datadriven.TestData, key string) int {
	n, _ := strconv.Atoi(text(d, key))
	return n
}

func duration(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	v, err := time.ParseDuration(text(d, key))
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return v
}

// Guards against a log client or log service that loses, repeats or invents
// records when answers are lost, appends are late, records expire or the
// service is out.
func TestLogContract(t *testing.T) {
	runContract(t, "log", map[string]command{
		"append": func(ctx context.Context, c *contract, d *datadriven.TestData) (string, error) {
			data := []byte(text(d, "data"))
			if n := number(d, "bytes"); n > 0 {
				data = make([]byte, n)
			}
			offset, err := c.log.Append(ctx, text(d, "stream"), data)
			if err != nil {
				return "", err
			}
			return fmt.Sprintf("offset %d", offset), nil
		},
		"read": func(ctx context.Context, c *contract, d *datadriven.TestData) (string, error) {
			sent := time.Now()
			b, err := c.log.Read(ctx, text(d, "stream"), fleet.Offset(number(d, "from")), time.Duration(number(d, "wait_ms"))*time.Millisecond)
			out := fmt.Sprintf("after %v: oldest %d next %d end %d", time.Since(sent), b.Oldest, b.Next, b.End)
			for _, r := range b.Records {
				out += fmt.Sprintf("\n%d %.8s", r.Offset, r.Data)
			}
			return out + "\n", err
		},
		"append-later": func(ctx context.Context, c *contract, d *datadriven.TestData) (string, error) {
			stream, data := text(d, "stream"), []byte(text(d, "data"))
			time.AfterFunc(time.Duration(number(d, "ms"))*time.Millisecond, func() {
				_, _ = c.log.Append(ctx, stream, data)
			})
			return "", nil
		},
		"fault": func(_ context.Context, c *contract, d *datadriven.TestData) (string, error) {
			c.faults.SetLogFaults(standin.LogFaults{
				Outage: standin.OutageMode(text(d, "outage")), DelayMillis: int64(number(d, "delay_ms")),
				LoseAnswers: number(d, "lose_answers"),
				LateAppends: number(d, "late_appends"), LateMillis: int64(number(d, "late_ms")),
			})
			return "", nil
		},
	})
}

// Guards against calls that go on using idle connections after one of them went
// silent: the second call would wait for its timeout as well.
func TestFreshConnectionAfterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startContract(t)
		polls := make(chan error, 3)
		for range cap(polls) {
			go func() {
				_, err := c.log.Read(t.Context(), "a", 0, time.Second)
				polls <- err
			}()
		}
		for range cap(polls) {
			if err := <-polls; err != nil {
				t.Fatal(err)
			}
		}
		c.faults.StallConnections()
		if _, err := c.log.Append(t.Context(), "a", []byte("x")); !errors.Is(err, platformapi.ErrUnavailable) {
			t.Errorf("a silent connection answered: %v", err)
		}
		sent := time.Now()
		if _, err := c.log.Append(t.Context(), "a", []byte("y")); err != nil || time.Since(sent) != 0 {
			t.Errorf("after %v: %v", time.Since(sent), err)
		}
	})
}

// Guards against a list that shows the present, or whose age is too small for
// what it shows.
func TestInstanceListContract(t *testing.T) {
	runContract(t, "list", map[string]command{
		"list": func(ctx context.Context, c *contract, _ *datadriven.TestData) (string, error) {
			s, err := c.list.List(ctx)
			if err != nil {
				return "", err
			}
			out := fmt.Sprintf("age %d ms\n", s.AgeMillis)
			for _, i := range s.Instances {
				out += fmt.Sprintf("%s leaving=%t\n", i.ID, i.Leaving)
			}
			for _, b := range s.BackendServers {
				out += fmt.Sprintf("%s leaving=%t\n", b.ID, b.Leaving)
			}
			return out, nil
		},
		"put": func(_ context.Context, c *contract, d *datadriven.TestData) (string, error) {
			c.faults.PutInstance(fleet.Instance{ID: fleet.InstanceID(text(d, "id")), Leaving: text(d, "leaving") == "true"})
			return "", nil
		},
		"remove": func(_ context.Context, c *contract, d *datadriven.TestData) (string, error) {
			c.faults.RemoveInstance(fleet.InstanceID(text(d, "id")))
			return "", nil
		},
		"leave": func(_ context.Context, c *contract, d *datadriven.TestData) (string, error) {
			c.faults.SetBackendLeaving(fleet.BackendServerID(text(d, "server")), true)
			return "", nil
		},
		"fault": func(_ context.Context, c *contract, d *datadriven.TestData) (string, error) {
			c.faults.SetListFaults(standin.ListFaults{
				Outage: standin.OutageMode(text(d, "outage")), Frozen: text(d, "frozen") == "true",
				LagMillis: int64(number(d, "lag_ms")),
			})
			return "", nil
		},
	})
}

// Guards against workers that run a task twice or past its lease, or obey an
// older epoch, and against a stand-in that does not notice a broken promise.
func TestWorkersContract(t *testing.T) {
	runContract(t, "workers", map[string]command{
		"start": func(ctx context.Context, c *contract, d *datadriven.TestData) (string, error) {
			return "", c.workers.Start(ctx, worker(d), platformapi.StartTask{
				Task: fleet.TaskID(text(d, "task")), Attempt: number(d, "attempt"),
				Partition: "accra-1/rack-1", Epoch: fleet.Epoch(number(d, "epoch")),
				Resources: fleet.Resources{Slots: number(d, "slots"), MilliCPU: 1000},
				RunMillis: int64(number(d, "run_ms")), LeaseMillis: int64(number(d, "lease_ms")),
				Checkpoint: text(d, "checkpoint"), Parameters: text(d, "parameters"),
			})
		},
		"renew": func(ctx context.Context, c *contract, d *datadriven.TestData) (string, error) {
			lease := time.Duration(number(d, "lease_ms")) * time.Millisecond
			return "", c.workers.Renew(ctx, worker(d), "accra-1/rack-1", fleet.Epoch(number(d, "epoch")), lease)
		},
		"throttle": func(ctx context.Context, c *contract, d *datadriven.TestData) (string, error) {
			return "", c.workers.Throttle(ctx, worker(d), fleet.TaskID(text(d, "task")), number(d, "attempt"), fleet.Epoch(number(d, "epoch")), text(d, "lift") == "")
		},
		"checkpoint": func(ctx context.Context, c *contract, d *datadriven.TestData) (string, error) {
			return reported(c.workers.Checkpoint(ctx, worker(d), fleet.TaskID(text(d, "task")), number(d, "attempt"), fleet.Epoch(number(d, "epoch"))))
		},
		"stop": func(ctx context.Context, c *contract, d *datadriven.TestData) (string, error) {
			return reported(c.workers.Stop(ctx, worker(d), fleet.TaskID(text(d, "task")), number(d, "attempt"), fleet.Epoch(number(d, "epoch"))))
		},
		"usage": func(ctx context.Context, c *contract, _ *datadriven.TestData) (string, error) {
			reports, err := c.workers.Usage(ctx, "accra-1")
			var out strings.Builder
			for _, r := range reports {
				fmt.Fprintf(&out, "%s age %d ms, %d milli-CPU\n", r.BackendServer, r.AgeMillis, r.MilliCPU)
				for _, t := range r.Tasks {
					fmt.Fprintf(&out, "  %s\n", describe(t))
				}
			}
			return out.String(), err
		},
		"violations": func(_ context.Context, c *contract, _ *datadriven.TestData) (string, error) {
			return fmt.Sprintf("%+v", c.faults.Violations()), nil
		},
	})
}

func worker(d *datadriven.TestData) fleet.BackendServerID {
	return fleet.BackendServerID("accra-1-rack-1-server-" + text(d, "on"))
}

func reported(r platformapi.TaskReport, err error) (string, error) {
	if err != nil {
		return "", err
	}
	return describe(r), nil
}

func describe(r platformapi.TaskReport) string {
	out := fmt.Sprintf("%s/%d epoch %d %s, %d ms done", r.Task, r.Attempt, r.Epoch, r.State, r.ProgressMillis)
	if r.Checkpoint != "" {
		out += ", checkpoint " + r.Checkpoint
	}
	if r.Throttled {
		out += ", throttled"
	}
	if r.Error != "" {
		out += ", " + r.Error
	}
	return out
}
