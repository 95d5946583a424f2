package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/platformapi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const firstServer = "accra-1-rack-1-server-1"

// fixture is a stand-in on a fake clock with an HTTP client.
type fixture struct {
	*StandIn
	t      *testing.T
	client *http.Client
}

// withStandIn runs a test function with a new stand-in on a fake clock.
func withStandIn(t *testing.T, run func(*fixture)) {
	synctest.Test(t, func(t *testing.T) {
		network := NewPipeNetwork()
		settings := DefaultSettings()
		settings.Interference = []Interference{{Class: "watch", Percent: 50}}
		s, err := Start(settings, network.Listen)
		if err != nil {
			t.Fatal(err)
		}
		transport := &http.Transport{DialContext: network.Dial, MaxIdleConnsPerHost: 100}
		defer synctest.Wait()
		defer s.Close()
		defer transport.CloseIdleConnections()
		run(&fixture{StandIn: s, t: t, client: &http.Client{Transport: transport}})
	})
}

func (f *fixture) call(ctx context.Context, method, url, body string, header map[string]string) (int, http.Header, string, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(data), err
}

// run sends a request to the first backend server with a timeout of 5 s.
func (f *fixture) run(header map[string]string) (int, http.Header, string, error) {
	ctx, cancel := context.WithTimeout(f.t.Context(), 5*time.Second)
	defer cancel()
	return f.call(ctx, http.MethodPost, "http://"+f.BackendServers()[0].Address+"/run/planner/layout", "abc", header)
}

// control calls the control API and returns the status and the body.
func (f *fixture) control(method, path, body string) string {
	status, _, got, err := f.call(f.t.Context(), method, "http://"+f.Address()+"/control/"+path, body, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	return fmt.Sprintf("%d %s", status, got)
}

// Guards against backend server faults, set through the control API, that do not
// have their documented effect: tests of callers rely on it.
func TestBackendServerFaults(t *testing.T) {
	const sum = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
	for _, c := range []struct {
		fault  string
		took   time.Duration
		status int
		id     string
		body   string // part of the body
		fails  bool
	}{
		{`{"mode":""}`, time.Second, 200, "r1", sum, false},
		{`{"mode":"fail"}`, 0, 500, "r1", "fails", false},
		{`{"mode":"silent"}`, 5 * time.Second, 0, "", "", true},
		{`{"mode":"half"}`, time.Second, 200, "r1", "", true},
		{`{"mode":"crossed"}`, time.Second, 200, "other-", "other-", false},
		{`{"mode":"down"}`, 0, 0, "", "", true},
		{`{"mode":"slow","factor":3}`, 3 * time.Second, 200, "r1", sum, false},
	} {
		t.Run(c.fault, func(t *testing.T) {
			withStandIn(t, func(f *fixture) {
				if got := f.control(http.MethodPut, "faults/backend-servers/"+firstServer, c.fault); !strings.HasPrefix(got, "200") {
					t.Fatal(got)
				}
				began := time.Now()
				status, header, body, err := f.run(map[string]string{HeaderRunMillis: "1000", HeaderRequestID: "r1"})
				if (err != nil) != c.fails || status != c.status || header.Get(HeaderRequestID) != c.id || !strings.Contains(body, c.body) {
					t.Errorf("got status %d, header %v, body %q, error %v; expected status %d, request identifier %q, body containing %q, error %t", status, header, body, err, c.status, c.id, c.body, c.fails)
				}
				if took := time.Since(began); took != c.took {
					t.Errorf("request took %v, expected %v", took, c.took)
				}
				want := 1
				if strings.Contains(c.fault, "down") {
					want = 0
				}
				if runs := f.Runs("r1", ""); runs.Request != want {
					t.Errorf("request ran %d times, expected %d", runs.Request, want)
				}
			})
		})
	}
}

// Guards against stalled connections that answer again, and against new
// connections that do not work after the open ones were stalled.
func TestStalledConnectionsDoNotRecover(t *testing.T) {
	withStandIn(t, func(f *fixture) {
		if _, _, _, err := f.run(nil); err != nil {
			t.Fatal(err)
		}
		f.control(http.MethodPut, "faults/backend-servers/"+firstServer, `{"silence_open":true}`)
		if _, _, _, err := f.run(nil); err == nil {
			t.Error("got a response on a stalled connection, expected none")
		}
		if status, _, _, err := f.run(nil); status != 200 || err != nil {
			t.Errorf("request on a new connection: got status %d and error %v, expected 200 and none", status, err)
		}
	})
}

// Guards against use above capacity that is not counted, and against a count
// without such use.
func TestCapacityViolations(t *testing.T) {
	for _, c := range []struct {
		requests int
		want     Violations
	}{
		{8, Violations{}},
		{9, Violations{SlotsOverCapacity: 1}},
		{66, Violations{SlotsOverCapacity: 58, ConnectionsOverCapacity: 2}},
	} {
		withStandIn(t, func(f *fixture) {
			done := make(chan error, c.requests)
			for range c.requests {
				go func() {
					_, _, _, err := f.run(map[string]string{HeaderRunMillis: "1000"})
					done <- err
				}()
			}
			for range c.requests {
				if err := <-done; err != nil {
					t.Fatal(err)
				}
			}
			if got := f.Violations(); got != c.want {
				t.Errorf("%d requests: got violations %+v, expected %+v", c.requests, got, c.want)
			}
			if s := f.BackendServers()[0]; s.Slots != 0 || s.PeakSlots != c.requests || s.PeakConnections != c.requests {
				t.Errorf("%d requests: got counters %+v, expected no slots in use and peaks of %d", c.requests, s, c.requests)
			}
		})
	}
}

// Guards against a slot that is freed when the client disconnects although the
// work continues.
func TestWorkContinuesAfterClientDisconnects(t *testing.T) {
	withStandIn(t, func(f *fixture) {
		if _, _, _, err := f.run(map[string]string{HeaderRunMillis: "8000"}); err == nil {
			t.Fatal("got a response before the end of the run time, expected a timeout")
		}
		if slots := f.BackendServers()[0].Slots; slots != 1 {
			t.Errorf("got %d slots in use after the client disconnected, expected 1", slots)
		}
		time.Sleep(3 * time.Second) // on the fake clock
		synctest.Wait()
		if slots := f.BackendServers()[0].Slots; slots != 0 {
			t.Errorf("got %d slots in use after the end of the work, expected 0", slots)
		}
	})
}

// Guards against violations that the control API does not report.
func TestViolationsInControlAPI(t *testing.T) {
	withStandIn(t, func(f *fixture) {
		for range 2 {
			if _, _, _, err := f.run(map[string]string{HeaderKey: "k", HeaderRequestID: "r"}); err != nil {
				t.Fatal(err)
			}
		}
		if got := f.control(http.MethodGet, "runs?request_id=r&key=k", ""); got != `200 {"request":2,"key":2}` {
			t.Errorf("got %s, expected two runs of the request and of the key", got)
		}
		f.control(http.MethodPut, "backend-servers/"+firstServer+"/leaving", `{"leaving":true}`)
		// The grace period of 3 s starts with the first list that shows the server
		// as leaving, here after 5 s.
		for _, wait := range []time.Duration{5 * time.Second, 3 * time.Second, time.Millisecond} {
			time.Sleep(wait) // on the fake clock
			if _, header, _, err := f.run(nil); err != nil || header.Get(HeaderLeaving) != "true" {
				t.Fatalf("got header %v and error %v, expected header %s", header, err, HeaderLeaving)
			}
			if _, _, _, err := f.call(f.t.Context(), http.MethodGet, "http://"+f.Address()+"/v1/instances", "", nil); err != nil {
				t.Fatal(err)
			}
		}
		var got Violations
		_, body, _ := strings.Cut(f.control(http.MethodGet, "violations", ""), " ")
		if err := json.Unmarshal([]byte(body), &got); err != nil || got != (Violations{KeysRunAgain: 1, WorkOnLeaving: 1}) {
			t.Errorf("got violations %+v and error %v, expected one repeated key and one start on a leaving server", got, err)
		}
	})
}

// Guards against registrations through the control API that do not reach the
// list, and against invalid bodies that are accepted.
func TestRegistrationThroughControlAPI(t *testing.T) {
	withStandIn(t, func(f *fixture) {
		for _, c := range []struct{ method, path, body, want string }{
			{"PUT", "instances", `{"id":"e/1","peer_address":"127.0.0.1:1","region":"accra","data_centre":"accra-1"}`, "200"},
			{"PUT", "instances", `{"id":"e2"}`, "400"},
			{"PUT", "instances/e%2F1/leaving", `{"leaving":true}`, "200"},
			{"DELETE", "instances/e3", "", "404"},
			{"PUT", "backend-servers", `{"id":"x","region":"accra","data_centre":"accra-1","rack":"rack-9"}`, "200"},
			{"PUT", "backend-servers", `{"id":"x","region":"accra","data_centre":"accra-1","rack":"rack-9"}`, "400"},
			{"DELETE", "backend-servers/" + firstServer, "", "200"},
			{"PUT", "faults/backend-servers/" + firstServer, `{}`, "404"},
			{"PUT", "faults/backend-servers/x", `{"mode":"odd"}`, "400"},
			{"PUT", "faults/log", `{"outages":1}`, "400"},
		} {
			if got := f.control(c.method, c.path, c.body); !strings.HasPrefix(got, c.want) {
				t.Errorf("%s %s %s: got %s, expected status %s", c.method, c.path, c.body, got, c.want)
			}
		}
		time.Sleep(time.Second) // on the fake clock; the lag is 500 ms
		list, _ := f.registry.snapshot()
		if len(list.Instances) != 1 || !list.Instances[0].Leaving || len(list.BackendServers) != 8 {
			t.Errorf("got list %+v, expected one leaving instance and 8 backend servers", list)
		}
		added, ok := f.registry.server("x")
		if !ok || added.Capacity.Slots != 8 || added.Partition() != fleet.PartitionID("accra-1/rack-9") {
			t.Errorf("got added server %+v (found %t), expected 8 slots in partition accra-1/rack-9", added, ok)
		}
	})
}

// Guards against errors in a settings file that are reported one at a time or
// without their line.
func TestParseSettings(t *testing.T) {
	_, err := ParseSettings("s.toml", []byte("listen = '127.0.0.1:0'\nlag = 1\n[retention]\nage = 2\n"))
	if err == nil || !strings.Contains(err.Error(), "s.toml:2: lag") || !strings.Contains(err.Error(), "s.toml:4: retention.age") {
		t.Errorf("unknown keys: got error %v, expected findings at lines 2 and 4", err)
	}
	_, err = ParseSettings("s.toml", []byte("backend_host = '192.0.2.1'\nlist_lag_ms = -1\n[[regions]]\nname = ''\n"))
	if err == nil || bytes.Count([]byte(err.Error()), []byte("\n")) != 2 {
		t.Errorf("values out of range: got error %v, expected three findings", err)
	}
	s, err := ParseSettings("s.toml", []byte("[[regions]]\nname='r'\n[[regions.data_centres]]\nname='d'\nracks=2\nbackend_servers_per_rack=9\n"))
	if err != nil || len(s.backendServers()) != 18 || s.Capacity.Slots != 8 {
		t.Errorf("got settings %+v and error %v, expected 18 backend servers with 8 slots", s, err)
	}
}

// Guards against interference without a running task on the backend server, and
// against a machine that goes down with its tasks still running.
func TestInterferenceEndsWithTasks(t *testing.T) {
	withStandIn(t, func(f *fixture) {
		start := platformapi.StartTask{
			Task: "t", Attempt: 1, Partition: "p", Epoch: 1, Class: "watch", RunMillis: 60_000, LeaseMillis: 60_000,
		}
		if err := f.machines.startTask(firstServer, start); err != nil {
			t.Fatal(err)
		}
		for _, want := range []time.Duration{1500 * time.Millisecond, time.Second} {
			began := time.Now()
			if _, _, _, err := f.run(map[string]string{HeaderRunMillis: "1000"}); err != nil || time.Since(began) != want {
				t.Errorf("request took %v with error %v, expected %v", time.Since(began), err, want)
			}
			f.control(http.MethodPut, "faults/backend-servers/"+firstServer, `{"mode":"down"}`)
			f.control(http.MethodPut, "faults/backend-servers/"+firstServer, `{}`)
		}
		start.Attempt = 2
		if err := f.machines.startTask("accra-1-rack-1-server-2", start); err != nil || f.Violations() != (Violations{}) {
			t.Errorf("got violations %+v and error %v, expected none", f.Violations(), err)
		}
	})
}
