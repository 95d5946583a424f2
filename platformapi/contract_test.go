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

// platformClients holds the interfaces under test and the stand-in that serves
// them. The scripts use the stand-in only to inject faults and to read its
// counters.
type platformClients struct {
	log     platformapi.Log
	list    platformapi.InstanceList
	workers platformapi.Workers
	faults  *standin.StandIn
}

type command func(ctx context.Context, c *platformClients, d *datadriven.TestData) (string, error)

// runScripts runs each script of a folder against a separate stand-in, over HTTP
// and on a fake clock.
func runScripts(t *testing.T, folder string, commands map[string]command) {
	datadriven.Walk(t, "testdata/"+folder, func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			c := startPlatform(t)
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				if d.Cmd == "wait" {
					time.Sleep(durationArg(t, d, "for")) // on the fake clock
					synctest.Wait()
					return ""
				}
				run := commands[d.Cmd]
				if run == nil {
					d.Fatalf(t, "unknown command %q", d.Cmd)
				}
				out, err := run(t.Context(), c, d)
				return out + errorKind(err)
			})
		})
	})
}

func startPlatform(t *testing.T) *platformClients {
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
	return &platformClients{log: client, list: client, workers: client, faults: s}
}

// errorKind returns the text of the error that err wraps. The interface promises
// no more about an error than its kind.
func errorKind(err error) string {
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
	return "unexpected error: " + err.Error()
}

func stringArg(d *datadriven.TestData, key string) string {
	for _, a := range d.CmdArgs {
		if a.Key == key && len(a.Vals) > 0 {
			return a.Vals[0]
		}
	}
	return ""
}

func intArg(d *datadriven.TestData, key string) int {
	n, _ := strconv.Atoi(stringArg(d, key))
	return n
}

func durationArg(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	v, err := time.ParseDuration(stringArg(d, key))
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return v
}

// Guards against a log client or log service that loses, duplicates or invents
// records when responses are lost, appends take effect late, records expire or
// the service is unavailable.
func TestLogContract(t *testing.T) {
	runScripts(t, "log", map[string]command{
		"append": func(ctx context.Context, c *platformClients, d *datadriven.TestData) (string, error) {
			data := []byte(stringArg(d, "data"))
			if n := intArg(d, "bytes"); n > 0 {
				data = make([]byte, n)
			}
			offset, err := c.log.Append(ctx, stringArg(d, "stream"), data)
			if err != nil {
				return "", err
			}
			return fmt.Sprintf("offset %d", offset), nil
		},
		"read": func(ctx context.Context, c *platformClients, d *datadriven.TestData) (string, error) {
			sent := time.Now()
			b, err := c.log.Read(ctx, stringArg(d, "stream"), fleet.Offset(intArg(d, "from")), time.Duration(intArg(d, "wait_ms"))*time.Millisecond)
			out := fmt.Sprintf("after %v: oldest %d next %d end %d", time.Since(sent), b.Oldest, b.Next, b.End)
			for _, r := range b.Records {
				out += fmt.Sprintf("\n%d %.8s", r.Offset, r.Data)
			}
			return out + "\n", err
		},
		"append-later": func(ctx context.Context, c *platformClients, d *datadriven.TestData) (string, error) {
			stream, data := stringArg(d, "stream"), []byte(stringArg(d, "data"))
			time.AfterFunc(time.Duration(intArg(d, "ms"))*time.Millisecond, func() {
				_, _ = c.log.Append(ctx, stream, data)
			})
			return "", nil
		},
		"fault": func(_ context.Context, c *platformClients, d *datadriven.TestData) (string, error) {
			c.faults.SetLogFaults(standin.LogFaults{
				Outage: standin.OutageMode(stringArg(d, "outage")), DelayMillis: int64(intArg(d, "delay_ms")),
				LoseAnswers: intArg(d, "lose_answers"),
				LateAppends: intArg(d, "late_appends"), LateMillis: int64(intArg(d, "late_ms")),
			})
			return "", nil
		},
	})
}

// Guards against a client that reuses idle connections after a call on one of
// them timed out: the next call would time out as well.
func TestFreshConnectionAfterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startPlatform(t)
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
			t.Errorf("append on a stalled connection: got error %v, expected ErrUnavailable", err)
		}
		sent := time.Now()
		if _, err := c.log.Append(t.Context(), "a", []byte("y")); err != nil || time.Since(sent) != 0 {
			t.Errorf("append after the timeout: got error %v after %v, expected success at once", err, time.Since(sent))
		}
	})
}

// Guards against a list that shows the current state without its lag, or that
// reports an age below that of its content.
func TestInstanceListContract(t *testing.T) {
	runScripts(t, "list", map[string]command{
		"list": func(ctx context.Context, c *platformClients, _ *datadriven.TestData) (string, error) {
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
		"put": func(_ context.Context, c *platformClients, d *datadriven.TestData) (string, error) {
			c.faults.PutInstance(fleet.Instance{ID: fleet.InstanceID(stringArg(d, "id")), Leaving: stringArg(d, "leaving") == "true"})
			return "", nil
		},
		"remove": func(_ context.Context, c *platformClients, d *datadriven.TestData) (string, error) {
			c.faults.RemoveInstance(fleet.InstanceID(stringArg(d, "id")))
			return "", nil
		},
		"leave": func(_ context.Context, c *platformClients, d *datadriven.TestData) (string, error) {
			c.faults.SetBackendLeaving(fleet.BackendServerID(stringArg(d, "server")), true)
			return "", nil
		},
		"fault": func(_ context.Context, c *platformClients, d *datadriven.TestData) (string, error) {
			c.faults.SetListFaults(standin.ListFaults{
				Outage: standin.OutageMode(stringArg(d, "outage")), Frozen: stringArg(d, "frozen") == "true",
				LagMillis: int64(intArg(d, "lag_ms")),
			})
			return "", nil
		},
	})
}

// Guards against workers that run a task twice or after its lease has lapsed, or
// accept calls with an older epoch, and against a stand-in that does not count a
// violation.
func TestWorkersContract(t *testing.T) {
	runScripts(t, "workers", map[string]command{
		"start": func(ctx context.Context, c *platformClients, d *datadriven.TestData) (string, error) {
			return "", c.workers.Start(ctx, workerArg(d), platformapi.StartTask{
				Task: fleet.TaskID(stringArg(d, "task")), Attempt: intArg(d, "attempt"),
				Partition: "accra-1/rack-1", Epoch: fleet.Epoch(intArg(d, "epoch")),
				Resources: fleet.Resources{Slots: intArg(d, "slots"), MilliCPU: 1000},
				RunMillis: int64(intArg(d, "run_ms")), LeaseMillis: int64(intArg(d, "lease_ms")),
				Checkpoint: stringArg(d, "checkpoint"), Parameters: stringArg(d, "parameters"),
			})
		},
		"renew": func(ctx context.Context, c *platformClients, d *datadriven.TestData) (string, error) {
			lease := time.Duration(intArg(d, "lease_ms")) * time.Millisecond
			return "", c.workers.Renew(ctx, workerArg(d), "accra-1/rack-1", fleet.Epoch(intArg(d, "epoch")), lease)
		},
		"throttle": func(ctx context.Context, c *platformClients, d *datadriven.TestData) (string, error) {
			return "", c.workers.Throttle(ctx, workerArg(d), fleet.TaskID(stringArg(d, "task")), intArg(d, "attempt"), fleet.Epoch(intArg(d, "epoch")), stringArg(d, "lift") == "")
		},
		"checkpoint": func(ctx context.Context, c *platformClients, d *datadriven.TestData) (string, error) {
			return describeResult(c.workers.Checkpoint(ctx, workerArg(d), fleet.TaskID(stringArg(d, "task")), intArg(d, "attempt"), fleet.Epoch(intArg(d, "epoch"))))
		},
		"stop": func(ctx context.Context, c *platformClients, d *datadriven.TestData) (string, error) {
			return describeResult(c.workers.Stop(ctx, workerArg(d), fleet.TaskID(stringArg(d, "task")), intArg(d, "attempt"), fleet.Epoch(intArg(d, "epoch"))))
		},
		"usage": func(ctx context.Context, c *platformClients, _ *datadriven.TestData) (string, error) {
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
		"violations": func(_ context.Context, c *platformClients, _ *datadriven.TestData) (string, error) {
			return fmt.Sprintf("%+v", c.faults.Violations()), nil
		},
	})
}

func workerArg(d *datadriven.TestData) fleet.BackendServerID {
	return fleet.BackendServerID("accra-1-rack-1-server-" + stringArg(d, "on"))
}

func describeResult(r platformapi.TaskReport, err error) (string, error) {
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
