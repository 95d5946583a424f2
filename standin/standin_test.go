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

// fixture is a stand-in on a fake clock and a client for it.
type fixture struct {
	*StandIn
	t      *testing.T
	client *http.Client
}

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

// run sends a request to the first backend server with a deadline of 5 s.
func (f *fixture) run(header map[string]string) (int, http.Header, string, error) {
	ctx, cancel := context.WithTimeout(f.t.Context(), 5*time.Second)
	defer cancel()
	return f.call(ctx, http.MethodPost, "http://"+f.BackendServers()[0].Address+"/run/planner/layout", "abc", header)
}

func (f *fixture) control(method, path, body string) string {
	status, _, got, err := f.call(f.t.Context(), method, "http://"+f.Address()+"/control/"+path, body, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	return fmt.Sprintf("%d %s", status, got)
}

// Guards against a backend server whose faults, set over the control API, do
// not have the effect that a caller is tested against.
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
					t.Errorf("got %d %v %q, %v", status, header, body, err)
				}
				if took := time.Since(began); took != c.took {
					t.Errorf("took %v, want %v", took, c.took)
				}
				want := 1
				if strings.Contains(c.fault, "down") {
					want = 0
				}
				if runs := f.Runs("r1", ""); runs.Request != want {
					t.Errorf("request ran %d times, want %d", runs.Request, want)
				}
			})
		})
	}
}

// Guards against open connections that recover after they went silent, and
// against new ones that do not work.
func TestStalledConnectionsDoNotRecover(t *testing.T) {
	withStandIn(t, func(f *fixture) {
		if _, _, _, err := f.run(nil); err != nil {
			t.Fatal(err)
		}
		f.control(http.MethodPut, "faults/backend-servers/"+firstServer, `{"silence_open":true}`)
		if _, _, _, err := f.run(nil); err == nil {
			t.Error("the open connection answered")
		}
		if status, _, _, err := f.run(nil); status != 200 || err != nil {
			t.Errorf("a new connection: %d, %v", status, err)
		}
	})
}

// Guards against a breach of capacity that is not counted, or counted without
// one.
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
				t.Errorf("%d requests: %+v, want %+v", c.requests, got, c.want)
			}
			if s := f.BackendServers()[0]; s.Slots != 0 || s.PeakSlots != c.requests || s.PeakConnections != c.requests {
				t.Errorf("%d requests: %+v", c.requests, s)
			}
		})
	}
}

// Guards against a client's end that frees a slot whose work goes on.
func TestWorkContinuesAfterClientDisconnects(t *testing.T) {
	withStandIn(t, func(f *fixture) {
		if _, _, _, err := f.run(map[string]string{HeaderRunMillis: "8000"}); err == nil {
			t.Fatal("answered before its time")
		}
		if slots := f.BackendServers()[0].Slots; slots != 1 {
			t.Errorf("%d slots in use after the client left, want 1", slots)
		}
		time.Sleep(3 * time.Second) // the bubble's clock
		synctest.Wait()
		if slots := f.BackendServers()[0].Slots; slots != 0 {
			t.Errorf("%d slots in use after the work, want 0", slots)
		}
	})
}

// Guards against promises whose breach does not show on the control API.
func TestViolationsInControlAPI(t *testing.T) {
	withStandIn(t, func(f *fixture) {
		for range 2 {
			if _, _, _, err := f.run(map[string]string{HeaderKey: "k", HeaderRequestID: "r"}); err != nil {
				t.Fatal(err)
			}
		}
		if got := f.control(http.MethodGet, "runs?request_id=r&key=k", ""); got != `200 {"request":2,"key":2}` {
			t.Error(got)
		}
		f.control(http.MethodPut, "backend-servers/"+firstServer+"/leaving", `{"leaving":true}`)
		// The 3 s count from the first list that shows it, here after 5 s.
		for _, wait := range []time.Duration{5 * time.Second, 3 * time.Second, time.Millisecond} {
			time.Sleep(wait) // the bubble's clock
			if _, header, _, err := f.run(nil); err != nil || header.Get(HeaderLeaving) != "true" {
				t.Fatal(header, err)
			}
			if _, _, _, err := f.call(f.t.Context(), http.MethodGet, "http://"+f.Address()+"/v1/instances", "", nil); err != nil {
				t.Fatal(err)
			}
		}
		var got Violations
		_, body, _ := strings.Cut(f.control(http.MethodGet, "violations", ""), " ")
		if err := json.Unmarshal([]byte(body), &got); err != nil || got != (Violations{KeysRunAgain: 1, WorkOnLeaving: 1}) {
			t.Errorf("%+v, %v", got, err)
		}
	})
}

// Guards against registrations over the control API that do not reach the
// list, and against bodies that are accepted although they are wrong.
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
				t.Errorf("%s %s %s: %s, want %s", c.method, c.path, c.body, got, c.want)
			}
		}
		time.Sleep(time.Second) // the bubble's clock; the lag is 500 ms
		list, _ := f.registry.snapshot()
		if len(list.Instances) != 1 || !list.Instances[0].Leaving || len(list.BackendServers) != 8 {
			t.Errorf("list: %+v", list)
		}
		added, ok := f.registry.server("x")
		if !ok || added.Capacity.Slots != 8 || added.Partition() != fleet.PartitionID("accra-1/rack-9") {
			t.Errorf("added: %+v", added)
		}
	})
}

// Guards against settings whose faults are reported one at a time or without
// their place.
func TestParseSettings(t *testing.T) {
	_, err := ParseSettings("s.toml", []byte("listen = '127.0.0.1:0'\nlag = 1\n[retention]\nage = 2\n"))
	if err == nil || !strings.Contains(err.Error(), "s.toml:2: lag") || !strings.Contains(err.Error(), "s.toml:4: retention.age") {
		t.Errorf("unknown keys: %v", err)
	}
	_, err = ParseSettings("s.toml", []byte("backend_host = '192.0.2.1'\nlist_lag_ms = -1\n[[regions]]\nname = ''\n"))
	if err == nil || bytes.Count([]byte(err.Error()), []byte("\n")) != 2 {
		t.Errorf("values out of range: %v", err)
	}
	s, err := ParseSettings("s.toml", []byte("[[regions]]\nname='r'\n[[regions.data_centres]]\nname='d'\nracks=2\nbackend_servers_per_rack=9\n"))
	if err != nil || len(s.backendServers()) != 18 || s.Capacity.Slots != 8 {
		t.Errorf("%+v, %v", s, err)
	}
}

// Guards against interference that does not follow the tasks on a backend
// server, and against a machine's end that leaves its tasks running.
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
				t.Errorf("took %v, want %v: %v", time.Since(began), want, err)
			}
			f.control(http.MethodPut, "faults/backend-servers/"+firstServer, `{"mode":"down"}`)
			f.control(http.MethodPut, "faults/backend-servers/"+firstServer, `{}`)
		}
		start.Attempt = 2
		if err := f.machines.startTask("accra-1-rack-1-server-2", start); err != nil || f.Violations() != (Violations{}) {
			t.Errorf("%+v, %v", f.Violations(), err)
		}
	})
}
